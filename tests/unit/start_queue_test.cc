// StartQueue and UrgentReserve: which waiting order starts next on an executor.
#include "core/start_queue.h"

#include <criterion/criterion.h>

#include <string>

#include "core/urgent_reserve.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using zinniamux::core::Resources;
using zinniamux::core::RunOrder;
using zinniamux::core::StartQueue;
using zinniamux::core::StartRank;
using zinniamux::core::TimePoint;
using zinniamux::core::UrgentReserve;

constexpr TimePoint kNow{seconds(100)};
constexpr std::size_t kCapacity = 4;

RunOrder MakeOrder(std::uint32_t index, std::int64_t cpu_milli, StartRank rank,
                   milliseconds expires_in) {
  return {.id = {.task = {.job_id = "job", .index = index}},
          .need = {.cpu_milli = cpu_milli, .memory_mb = 1},
          .expires = kNow + expires_in,
          .rank = rank,
          .urgent = rank == StartRank::kUrgent};
}

Resources MakeRoom(std::int64_t cpu_milli) { return {.cpu_milli = cpu_milli, .memory_mb = 100}; }

// The index of the next order that starts, or -1.
int TakeNext(StartQueue& queue, std::int64_t free, std::int64_t reserved_cpu_milli = 0) {
  const auto taken = queue.TakeNextFitting(MakeRoom(free), reserved_cpu_milli);
  return taken ? static_cast<int>(taken->order.id.task.index) : -1;
}

}  // namespace

// Guards against urgent tasks that wait behind others, and against tasks that expire behind tasks
// with a later expiry.
Test(start_queue, starts_by_rank_and_then_by_expiry) {
  StartQueue queue(kCapacity);
  queue.Add({.owner = "a", .order = MakeOrder(0, 10, StartRank::kNormal, milliseconds(50))});
  queue.Add({.owner = "a", .order = MakeOrder(1, 10, StartRank::kNormal, milliseconds(20))});
  queue.Add({.owner = "b", .order = MakeOrder(2, 10, StartRank::kUrgent, milliseconds(90))});
  queue.Add({.owner = "b", .order = MakeOrder(3, 10, StartRank::kStarted, milliseconds(400))});
  for (const int expected : {3, 2, 1, 0, -1}) cr_assert_eq(TakeNext(queue, 100), expected);
}

// Guards against large or urgent tasks that are starved by small ones of a lower rank, and against
// room that stays idle because the first task does not fit.
Test(start_queue, a_task_that_does_not_fit_blocks_lower_ranks_only) {
  StartQueue queue(kCapacity);
  queue.Add({.owner = "a", .order = MakeOrder(0, 80, StartRank::kUrgent, milliseconds(10))});
  queue.Add({.owner = "a", .order = MakeOrder(1, 20, StartRank::kUrgent, milliseconds(20))});
  queue.Add({.owner = "a", .order = MakeOrder(2, 20, StartRank::kNormal, milliseconds(5))});
  cr_assert_eq(TakeNext(queue, 50), 1);
  cr_assert_eq(TakeNext(queue, 50), -1);
  cr_assert_eq(TakeNext(queue, 90), 0);
  cr_assert_eq(TakeNext(queue, 50), 2);
}

// Guards against other tasks in the room that is reserved for urgent ones, and against started jobs
// that are delayed by the reserve.
Test(start_queue, normal_orders_leave_the_reserved_room) {
  StartQueue queue(kCapacity);
  queue.Add({.owner = "a", .order = MakeOrder(0, 30, StartRank::kNormal, milliseconds(10))});
  cr_assert_eq(TakeNext(queue, 40, 20), -1);
  queue.Add({.owner = "a", .order = MakeOrder(1, 30, StartRank::kUrgent, milliseconds(10))});
  queue.Add({.owner = "a", .order = MakeOrder(2, 30, StartRank::kStarted, milliseconds(10))});
  cr_assert_eq(TakeNext(queue, 40, 20), 2);
  cr_assert_eq(TakeNext(queue, 40, 20), 1);
  cr_assert_eq(TakeNext(queue, 50, 20), 0);
}

// Guards against an unbounded queue, and against orders that stay after their expiry.
Test(start_queue, is_bounded_and_removes_expired_orders) {
  StartQueue queue(kCapacity);
  for (std::uint32_t i = 0; i < kCapacity; ++i) {
    const milliseconds expires_in(10 * (i + 1));
    cr_assert(queue.Add({.owner = "a", .order = MakeOrder(i, 10, StartRank::kNormal, expires_in)}));
  }
  cr_assert_not(
      queue.Add({.owner = "a", .order = MakeOrder(9, 10, StartRank::kUrgent, seconds(1))}));
  cr_assert(queue.next_expiry() == kNow + milliseconds(10));
  cr_assert_eq(queue.TakeExpired(kNow + milliseconds(20)).size(), 2);
  cr_assert_eq(queue.waiting_needs().all_cpu_milli, 20);
  cr_assert_eq(queue.TakeOwnedBy("b").size(), 0);
  cr_assert_eq(queue.TakeOwnedBy("a").size(), 2);
  cr_assert(queue.empty());
}

// Load pattern: short urgent tasks use a fifth of an executor, with gaps. Guards against other
// tasks that fill the gaps, and against room that stays reserved long after urgent runs have ended.
Test(urgent_reserve, reserves_recent_use_by_urgent_runs) {
  constexpr std::int64_t kCpuMilli = 32'000;
  UrgentReserve reserve;
  cr_assert_eq(reserve.ReservedCpuMilli(kCpuMilli, kNow), 0);
  TimePoint now = kNow;
  for (int i = 0; i < 100; ++i) {
    reserve.Update(i % 2 == 0 ? 12'000 : 0, now);
    now += milliseconds(50);
  }
  reserve.Update(0, now);
  // Six tenths of the mean use of 6,000.
  cr_assert_geq(reserve.ReservedCpuMilli(kCpuMilli, now), 3200);
  cr_assert_leq(reserve.ReservedCpuMilli(kCpuMilli, now), 4000);
  // While urgent runs use that much, nothing more is reserved.
  reserve.Update(12'000, now);
  cr_assert_eq(reserve.ReservedCpuMilli(kCpuMilli, now), 0);
  reserve.Update(0, now);
  cr_assert_leq(reserve.ReservedCpuMilli(kCpuMilli, now + seconds(5)), 100);
}

// Guards against late orders that take room which a waiting order, an urgent run or the next
// ordinary task needs.
Test(start_queue, a_late_order_starts_only_in_spare_room) {
  StartQueue queue(kCapacity);
  queue.Add({.owner = "a", .order = MakeOrder(0, 20, StartRank::kLate, milliseconds(10))});
  cr_assert_eq(TakeNext(queue, 39), -1);
  cr_assert_eq(TakeNext(queue, 49, 10), -1);
  queue.Add({.owner = "a", .order = MakeOrder(1, 100, StartRank::kNormal, milliseconds(90))});
  cr_assert_eq(TakeNext(queue, 99), -1);
  // Late orders do not lengthen the expected wait of others.
  cr_assert_eq(queue.waiting_needs().all_cpu_milli, 100);
  cr_assert_eq(queue.waiting_needs().late_cpu_milli, 20);
  cr_assert_eq(TakeNext(queue, 150), 1);
  cr_assert_eq(TakeNext(queue, 50, 10), 0);
}
