// Dispatchers and supervisors under drawn faults, as real processes.
#include "support/leased_round.h"

#include <criterion/criterion.h>

#include "support/leased_plan.h"

namespace {

using zinniamux::testing::DrawLeasedPlan;
using zinniamux::testing::LeasedPlan;
using zinniamux::testing::LeasedRoundReport;
using zinniamux::testing::RunLeasedRound;

// The faults of this seed are those of docs/incidents/inc-33-twice.md. With zinniamuxd of 77f1cd9,
// before the fix, 4, 5, 5 and 4 pairs of runs overlapped in four plays of this round.
constexpr std::uint64_t kIncidentSeed = 1'000'010;

}  // namespace

TestSuite(leased_round, .timeout = 180);

// Guards against a task that runs twice at a time when a dispatcher is cut off from its supervisors
// and its callers, supervisors stand still meanwhile, and the callers send their jobs again.
Test(leased_round, cut_dispatcher_and_frozen_supervisor_run_no_task_twice) {
  const LeasedPlan plan = DrawLeasedPlan(kIncidentSeed);
  cr_assert(plan.incident);
  const LeasedRoundReport report = RunLeasedRound(plan);
  cr_assert(report.clean(), "%s", report.ToJson().c_str());
  // Otherwise the round has shown nothing.
  cr_assert_gt(report.resent, 0, "%s", report.ToJson().c_str());
  cr_assert_gt(report.runs, 0, "%s", report.ToJson().c_str());
}
