// StartLedger: one start per task, retention and limits.
#include "core/start_ledger.h"

#include <criterion/criterion.h>

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using zinniamux::core::ManualClock;
using zinniamux::core::StartLedger;
using zinniamux::core::TaskKey;
using zinniamux::core::TaskState;

const TaskKey kTask{"order-1", 0};
constexpr milliseconds kRetention{60'000};

}  // namespace

// Guards against a start after the owner was told that the task never starts here.
Test(start_ledger, never_starts_a_revoked_task) {
  const ManualClock clock;
  StartLedger ledger({}, clock);
  cr_assert(ledger.Revoke(kTask, kRetention).state == TaskState::kRevoked);
  cr_assert(!ledger.TryStart(kTask, {}, kRetention));
  ledger.Finish({.key = kTask, .state = TaskState::kFinished});
  cr_assert(ledger.Find(kTask)->state == TaskState::kRevoked);
}

// Guards against a record that is dropped while the task may be submitted again, and against one
// that is kept forever.
Test(start_ledger, keeps_records_until_their_retention_ends) {
  ManualClock clock;
  StartLedger ledger({}, clock);
  ledger.TryStart(kTask, {}, kRetention);
  clock.Advance(2 * kRetention);
  cr_assert(ledger.Expire().empty(), "the record of a running task was dropped");
  ledger.Finish({.key = kTask, .state = TaskState::kFinished, .result = "done"});
  clock.Advance(kRetention - milliseconds(1));
  cr_assert(ledger.Expire().empty());
  cr_assert(!ledger.TryStart(kTask, {}, kRetention));
  clock.Advance(milliseconds(1));
  cr_assert(ledger.Expire().size() == 1);
  cr_assert(ledger.size() == 0 && ledger.bytes() == 0);
}

// Guards against a ledger that grows without bound, by number or by size of results.
Test(start_ledger, has_no_capacity_beyond_its_limits) {
  const ManualClock clock;
  StartLedger by_count({.max_records = 2}, clock);
  cr_assert(by_count.HasCapacityFor(2));
  cr_assert(!by_count.HasCapacityFor(3));
  by_count.TryStart(kTask, {}, kRetention);
  cr_assert(!by_count.HasCapacityFor(2));
  StartLedger by_bytes({.max_bytes = 4096}, clock);
  by_bytes.TryStart(kTask, {}, kRetention);
  cr_assert(by_bytes.HasCapacityFor(1));
  by_bytes.Finish({.key = kTask, .state = TaskState::kFinished, .result = std::string(4096, 'r')});
  cr_assert(!by_bytes.HasCapacityFor(1));
}
