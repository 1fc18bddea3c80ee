// Dispatchers and supervisors under drawn faults, as real processes.
#include "support/leased_round.h"

#include <criterion/criterion.h>

#include "support/leased_plan.h"

namespace {

using std::chrono::milliseconds;
using zinniamux::testing::DrawLeasedPlan;
using zinniamux::testing::LeasedFault;
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

// Guards against tasks that run twice, and jobs that are refused after their tasks have run: the
// connection of a start breaks before its answer, the HTTP client sends the start again, and the
// executor refuses the second copy.
Test(leased_round, refused_second_copies_of_starts_run_no_task_twice) {
  LeasedPlan plan{.seed = 1, .dispatchers = 2, .supervisors = 3, .refuses_second_copies = true};
  for (std::size_t i = 0; i < 60; ++i) {
    plan.jobs.push_back({.id = std::to_string(1'000'000'000'000'000 + i),
                         .at = milliseconds(1000 + 50 * i),
                         .task_length = milliseconds(300),
                         .tasks = 2,
                         .dispatcher = i % plan.dispatchers});
  }
  for (int at = 1000; at < 4000; at += 20) {
    plan.faults.push_back(
        {.kind = LeasedFault::Kind::kResetExecutorAnswers, .target = 0, .at = milliseconds(at)});
  }
  LeasedRoundReport report = RunLeasedRound(plan);
  // They would fill the message.
  report.faults.clear();
  cr_assert(report.clean(), "%s", report.ToJson().c_str());
  cr_assert_gt(report.complete, 0, "%s", report.ToJson().c_str());
  // Otherwise no start was sent again.
  cr_assert_gt(report.outcomes.count("stopped"), 0, "%s", report.ToJson().c_str());
}

// Guards against tasks that start in an evacuated zone, whoever learns of the row: a dispatcher is
// cut off from the supervisors and a supervisor of the zone restarts meanwhile. Guards as well
// against a restored zone that gets no work.
Test(leased_round, evacuated_zone_starts_no_task_until_it_is_restored) {
  constexpr std::size_t kZone = 1;
  LeasedPlan plan{.seed = 2, .dispatchers = 2, .supervisors = 4};
  for (std::size_t i = 0; i < 120; ++i) {
    plan.jobs.push_back({.id = std::to_string(2'000'000'000'000'000 + i),
                         .at = milliseconds(100 * i),
                         .task_length = milliseconds(200),
                         .tasks = 4,
                         .dispatcher = i % plan.dispatchers});
  }
  plan.faults = {{.kind = LeasedFault::Kind::kEvacuateZone,
                  .target = kZone,
                  .at = milliseconds(1500),
                  .length = milliseconds(7500)},
                 {.kind = LeasedFault::Kind::kCutDispatcher,
                  .target = 0,
                  .at = milliseconds(1400),
                  .length = milliseconds(1500)},
                 {.kind = LeasedFault::Kind::kKillSupervisor,
                  .target = kZone,
                  .at = milliseconds(4000),
                  .length = milliseconds(500)}};
  const LeasedRoundReport report = RunLeasedRound(plan);
  cr_assert(report.clean(), "%s", report.ToJson().c_str());
  cr_assert_gt(report.restored_starts, 0, "%s", report.ToJson().c_str());
}
