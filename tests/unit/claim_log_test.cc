// ClaimLog: group commit, time limits, takeover and expiry. tests/property covers its safety.
#include "core/claim_log.h"

#include <criterion/criterion.h>

#include "support/claim_owner.h"

namespace {

using namespace std::chrono_literals;
using zinniamux::core::ClaimDecision;
using zinniamux::core::ManualClock;
using zinniamux::standins::PlatformState;
using zinniamux::testing::ClaimOwner;

// The last answer, which must be for `submission_id`.
ClaimDecision LastAnswer(const ClaimOwner& owner, const std::string& submission_id) {
  cr_assert(!owner.answers().empty());
  cr_assert(owner.answers().back().submission_id == submission_id);
  return owner.answers().back().decision;
}

}  // namespace

// Guards against one store write per request, and against a claim that is granted before its row is
// written.
Test(claim_log, writes_waiting_claims_in_one_row) {
  ManualClock clock;
  PlatformState platform;
  ClaimOwner owner("a", platform, clock);
  owner.TakeOver(1);
  owner.Settle();
  owner.Add("s1", "k1");
  owner.Add("s2", "k2");
  owner.Add("s3", "k1");
  owner.Tick();
  cr_assert(owner.store().pending() == 1);
  cr_assert(owner.answers().empty());
  owner.store().ServeAll();
  cr_assert(platform.Rows("claim/0/").size() == 1);
  cr_assert(owner.answers().size() == 3);
  cr_assert(owner.answers()[0].decision == ClaimDecision::kGranted);
  cr_assert(owner.answers()[1].decision == ClaimDecision::kGranted);
  cr_assert(owner.answers()[2].decision == ClaimDecision::kDuplicate);
}

// Guards against a claim that waits longer than the limit, and against claims that wait although
// the store is known not to answer.
Test(claim_log, refuses_quickly_while_the_store_is_down) {
  ManualClock clock;
  PlatformState platform;
  ClaimOwner owner("a", platform, clock);
  owner.TakeOver(1);
  owner.Settle();
  owner.Add("s1", "k1");
  owner.Tick();
  clock.Advance(1001ms);
  owner.Tick();
  cr_assert(LastAnswer(owner, "s1") == ClaimDecision::kUnavailable);
  owner.Add("s2", "k2");
  cr_assert(LastAnswer(owner, "s2") == ClaimDecision::kUnavailable);
  // The first call is answered late: the key now belongs to the submission that was refused.
  owner.store().ServeAll();
  owner.Add("s3", "k1");
  cr_assert(LastAnswer(owner, "s3") == ClaimDecision::kDuplicate);
  owner.Add("s1", "k1");
  cr_assert(LastAnswer(owner, "s1") == ClaimDecision::kGranted);
}

// Guards against a lost answer that makes a claim wait or fail although it was written.
Test(claim_log, recognises_its_own_row_after_a_lost_answer) {
  ManualClock clock;
  PlatformState platform;
  ClaimOwner owner("a", platform, clock);
  owner.TakeOver(1);
  owner.Settle();
  owner.Add("s1", "k1");
  owner.Tick();
  owner.store().LoseAnswer();
  owner.store().ServeAll();
  cr_assert(LastAnswer(owner, "s1") == ClaimDecision::kGranted);
}

// Guards against a transaction that takes effect late and is then taken for another owner's.
Test(claim_log, recognises_its_own_row_after_a_conflict) {
  ManualClock clock;
  PlatformState platform;
  ClaimOwner owner("a", platform, clock);
  owner.TakeOver(1);
  owner.Settle();
  owner.Add("s1", "k1");
  owner.Tick();
  owner.store().Delay();
  owner.store().Serve();  // the row does not exist yet
  owner.store().ApplyDelayed();
  clock.Advance(200ms);
  owner.Settle();
  cr_assert(LastAnswer(owner, "s1") == ClaimDecision::kGranted);
  cr_assert(!owner.superseded());
}

// Guards against a late answer to a call of an earlier epoch that is matched to a new call.
Test(claim_log, ignores_answers_of_an_earlier_epoch) {
  ManualClock clock;
  PlatformState platform;
  ClaimOwner owner("a", platform, clock);
  owner.TakeOver(1);
  owner.Settle();
  owner.Add("s1", "k1");
  owner.Tick();
  owner.store().LoseAnswer();
  owner.store().ServeAndHold(0);  // finds the row; answered below
  owner.TakeOver(2);
  owner.Tick();
  owner.store().Serve(1);
  const std::size_t answers = owner.answers().size();
  owner.Add("s2", "k2");
  owner.Tick();
  owner.store().Serve(0);
  cr_assert(owner.answers().size() == answers);
  owner.store().ServeAll();
  cr_assert(LastAnswer(owner, "s2") == ClaimDecision::kGranted);
}

// Guards against a new owner that does not know its predecessors' claims, and against a former
// owner that keeps granting claims.
Test(claim_log, loads_earlier_claims_before_it_answers) {
  ManualClock clock;
  PlatformState platform;
  ClaimOwner first("a", platform, clock);
  first.TakeOver(1);
  first.Settle();
  first.Add("s1", "k1");
  first.Settle();
  ClaimOwner second("b", platform, clock);
  second.TakeOver(2);
  second.Add("s2", "k1");
  cr_assert(second.answers().empty());
  second.Settle();
  cr_assert(LastAnswer(second, "s2") == ClaimDecision::kDuplicate);
  second.Add("s1", "k1");
  cr_assert(LastAnswer(second, "s1") == ClaimDecision::kGranted);
  first.Add("s3", "k3");
  first.Settle();
  cr_assert(LastAnswer(first, "s3") == ClaimDecision::kUnavailable);
  cr_assert(first.superseded());
  cr_assert(platform.Rows("claim/0/").size() == 1);
}

// Guards against claims that are granted although a row is malformed.
Test(claim_log, grants_nothing_while_a_row_is_malformed) {
  ManualClock clock;
  PlatformState platform;
  platform.Commit({.puts = {{"claim/0/1/1", "not a claim row"}}});
  ClaimOwner owner("a", platform, clock);
  owner.TakeOver(2);
  owner.Add("s1", "k1");
  owner.Settle();
  cr_assert(owner.answers().empty() && !owner.log().loaded());
  clock.Advance(1001ms);
  owner.Tick();
  cr_assert(LastAnswer(owner, "s1") == ClaimDecision::kUnavailable);
}

// Guards against rows that are never deleted or deleted too early, and against claims that are
// released while their rows still exist.
Test(claim_log, deletes_claims_after_their_retention) {
  ManualClock clock;
  PlatformState platform;
  ClaimOwner owner("a", platform, clock);
  owner.TakeOver(1);
  owner.Settle();
  for (const std::string number : {"1", "2", "3"}) {
    owner.Add("s" + number, "k" + number);
    owner.Settle();
  }
  clock.Advance(24h - 1s);
  owner.Settle();
  cr_assert(platform.Rows("claim/0/").size() == 3);
  clock.Advance(2s);
  owner.Tick();
  owner.store().LoseCall();
  owner.Add("s4", "k1");
  cr_assert(LastAnswer(owner, "s4") == ClaimDecision::kDuplicate);
  clock.Advance(1s);
  owner.Settle();
  cr_assert(platform.Rows("claim/0/").empty());
  owner.Add("s5", "k1");
  owner.Settle();
  cr_assert(LastAnswer(owner, "s5") == ClaimDecision::kGranted);
}
