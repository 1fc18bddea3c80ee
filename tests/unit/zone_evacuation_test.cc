// ZoneEvacuation, and what RunSupervisor and JobScheduler do with evacuated zones.
#include "core/zone_evacuation.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "core/job_scheduler.h"
#include "core/run_supervisor.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using zinniamux::core::AnswerJob;
using zinniamux::core::CallHold;
using zinniamux::core::CallStart;
using zinniamux::core::CallStop;
using zinniamux::core::EvacuationState;
using zinniamux::core::ExecutorTime;
using zinniamux::core::JobReason;
using zinniamux::core::JobScheduler;
using zinniamux::core::ManualClock;
using zinniamux::core::RunId;
using zinniamux::core::RunOutcome;
using zinniamux::core::RunSupervisor;
using zinniamux::core::RunUpdate;
using zinniamux::core::StartAnswer;
using zinniamux::core::StartTasks;
using zinniamux::core::SupervisorAction;
using zinniamux::core::ZoneEvacuation;

const std::string kOwner = "entry@1";

RunId MakeRunId(std::uint32_t index) { return {.task = {.job_id = "job", .index = index}}; }

// A supervisor in zone-a, whose executor has room for four runs.
struct SupervisorFixture {
  explicit SupervisorFixture(std::string announced_zone = "") {
    supervisor.OnExecutorStatus({.id = "executor",
                                 .born_ms = 10,
                                 .service = "service",
                                 .capacity = {.cpu_milli = 4000, .memory_mb = 1000},
                                 .sequence = 1,
                                 .clock = ExecutorTime(5000),
                                 .zone = std::move(announced_zone)});
    TakeActions();
    for (const auto& hold : ActionsOf<CallHold>()) {
      supervisor.OnHoldAnswer(hold.number, {{.born_ms = 10, .clock = ExecutorTime(5000)}});
    }
    TakeActions();
  }

  void TakeActions() { actions = supervisor.TakeActions(); }
  template <typename Action>
  std::vector<Action> ActionsOf() const {
    std::vector<Action> found;
    for (const SupervisorAction& action : actions) {
      if (const auto* each = std::get_if<Action>(&action)) found.push_back(*each);
    }
    return found;
  }
  void OrderRun(std::uint32_t index, std::int64_t cpu_milli = 1000) {
    supervisor.OnOrder(kOwner, {.id = MakeRunId(index),
                                .need = {.cpu_milli = cpu_milli, .memory_mb = 10},
                                .estimate = milliseconds(100),
                                .expires = clock.now() + milliseconds(400)});
    TakeActions();
  }
  void Evacuate(std::uint64_t version, std::set<std::string> zones) {
    supervisor.OnEvacuation({.version = version, .zones = std::move(zones)});
    TakeActions();
  }

  ManualClock clock;
  RunSupervisor supervisor{{.fencing_token = 7, .availability_zone = "zone-a"}, clock};
  std::vector<SupervisorAction> actions;
};

// A dispatcher with one executor in each of zone-a and zone-b.
struct DispatcherFixture {
  DispatcherFixture() {
    // Skip the startup grace, during which jobs wait for executors.
    clock.Advance(seconds(1));
    Attach("a", "zone-a");
    Attach("b", "zone-b");
  }
  void Attach(const std::string& supervisor, const std::string& zone) {
    scheduler.OnAgentAttached(supervisor, zone, 1, {});
    Report(supervisor);
  }
  void Report(const std::string& supervisor, const std::string& announced_zone = "") {
    scheduler.OnReport(supervisor, {.executor_id = "executor-" + supervisor,
                                    .service = "service",
                                    .accepting = true,
                                    .capacity = {.cpu_milli = 4000, .memory_mb = 1000},
                                    .free = {.cpu_milli = 4000, .memory_mb = 1000},
                                    .pace = 1,
                                    .executor_answered = true,
                                    .availability_zone = announced_zone});
  }
  void Submit(const std::string& id) {
    scheduler.OnJob({.id = id,
                     .queue = "normal",
                     .service = "service",
                     .steps = {{.count = 2,
                                .need = {.cpu_milli = 1000, .memory_mb = 1},
                                .estimate = milliseconds(100)}},
                     .attempts = 2,
                     .stretch = 1.6,
                     .slack = milliseconds(60),
                     .deadline = clock.now() + seconds(2)});
    Place();
  }
  void Place() {
    scheduler.Place();
    for (auto& action : scheduler.TakeActions()) {
      if (const auto* start = std::get_if<StartTasks>(&action)) starts.push_back(*start);
      if (const auto* answer = std::get_if<AnswerJob>(&action)) answers.push_back(*answer);
    }
  }
  bool HasOrdered(const std::string& supervisor) const {
    return std::any_of(starts.begin(), starts.end(),
                       [&](const StartTasks& start) { return start.agent_id == supervisor; });
  }

  ManualClock clock;
  JobScheduler scheduler{{.availability_zone = "zone-a"}, clock};
  std::vector<StartTasks> starts;
  std::vector<AnswerJob> answers;
};

}  // namespace

// Guards against an older state, from a dispatcher that is cut off from the store, that undoes a
// newer one.
Test(zone_evacuation, takes_newer_versions_only) {
  ZoneEvacuation evacuation;
  cr_assert_not(evacuation.Take({}));
  cr_assert(evacuation.Take({.version = 5, .zones = {"zone-a"}}));
  cr_assert_not(evacuation.Take({.version = 5, .zones = {}}));
  cr_assert_not(evacuation.Take({.version = 4, .zones = {"zone-b"}}));
  cr_assert(evacuation.IsEvacuated("zone-a"));
  cr_assert_not(evacuation.IsEvacuated("zone-b"));
  cr_assert(evacuation.Take({.version = 6, .zones = {}}));
  cr_assert_not(evacuation.IsEvacuated("zone-a"));
}

// Guards against starts in an evacuated zone by orders that were on their way, or by a dispatcher
// that does not know of the row.
Test(zone_evacuation, supervisor_refuses_orders_in_an_evacuated_zone) {
  SupervisorFixture fixture;
  fixture.Evacuate(5, {"zone-a"});
  cr_assert_not(fixture.supervisor.accepting());
  fixture.OrderRun(0);
  cr_assert(fixture.ActionsOf<CallStart>().empty());
  cr_assert(fixture.ActionsOf<RunUpdate>().at(0).outcome == RunOutcome::kNotAccepting);
  // The row is removed, and added again with a higher version.
  fixture.Evacuate(6, {});
  fixture.OrderRun(1);
  cr_assert_eq(fixture.ActionsOf<CallStart>().size(), 1);
  fixture.Evacuate(7, {"zone-a", "zone-b"});
  fixture.OrderRun(2);
  cr_assert(fixture.ActionsOf<CallStart>().empty());
}

// Guards against a waiting order that starts when room is released after the evacuation, and
// against runs that are stopped by it.
Test(zone_evacuation, supervisor_refuses_waiting_orders_and_keeps_runs) {
  SupervisorFixture fixture;
  fixture.OrderRun(0, 3000);
  fixture.OrderRun(1, 3000);
  cr_assert_eq(fixture.supervisor.waiting_count(), 1);
  fixture.Evacuate(5, {"zone-a"});
  const auto updates = fixture.ActionsOf<RunUpdate>();
  cr_assert_eq(updates.size(), 1);
  cr_assert(updates[0].id == MakeRunId(1));
  cr_assert(updates[0].outcome == RunOutcome::kNotAccepting);
  cr_assert(fixture.ActionsOf<CallStop>().empty());
  // The start was sent before: its run goes on.
  fixture.supervisor.OnStartAnswer(MakeRunId(0), StartAnswer::kStarted, ExecutorTime(5001));
  fixture.TakeActions();
  cr_assert(fixture.ActionsOf<CallStop>().empty());
  cr_assert_eq(fixture.supervisor.run_count(), 1);
}

// Guards against a start that the executor has refused and that is sent again after the evacuation.
Test(zone_evacuation, supervisor_does_not_repeat_a_refused_start) {
  for (const StartAnswer answer : {StartAnswer::kFenced, StartAnswer::kLeaseExpired}) {
    SupervisorFixture fixture;
    fixture.OrderRun(0);
    fixture.Evacuate(5, {"zone-a"});
    fixture.supervisor.OnStartAnswer(MakeRunId(0), answer, ExecutorTime(5001));
    fixture.TakeActions();
    cr_assert(fixture.ActionsOf<CallStart>().empty());
    cr_assert(fixture.ActionsOf<RunUpdate>().at(0).outcome == RunOutcome::kNotAccepting);
  }
}

// Guards against the evacuation of the wrong zone: an executor may announce another one than that
// of its supervisor's settings.
Test(zone_evacuation, zone_of_an_executor_is_the_announced_one) {
  SupervisorFixture fixture("zone-b");
  fixture.Evacuate(5, {"zone-a"});
  cr_assert(fixture.supervisor.accepting());
  fixture.Evacuate(6, {"zone-b"});
  cr_assert_not(fixture.supervisor.accepting());
  DispatcherFixture dispatcher;
  dispatcher.Report("a", "zone-c");
  dispatcher.scheduler.OnEvacuation({.version = 5, .zones = {"zone-c"}});
  dispatcher.Submit("job");
  cr_assert_not(dispatcher.HasOrdered("a"));
  cr_assert(dispatcher.HasOrdered("b"));
}

// Guards against dispatchers that are not told at once that an executor takes no work.
Test(zone_evacuation, supervisor_reports_the_change) {
  SupervisorFixture fixture;
  fixture.Evacuate(5, {"zone-a"});
  cr_assert_eq(fixture.ActionsOf<zinniamux::core::ReportChanged>().size(), 1);
  fixture.Evacuate(6, {"zone-a", "zone-b"});
  cr_assert(fixture.ActionsOf<zinniamux::core::ReportChanged>().empty());
  fixture.Evacuate(7, {"zone-b"});
  cr_assert_eq(fixture.ActionsOf<zinniamux::core::ReportChanged>().size(), 1);
}

// Guards against orders to executors of an evacuated zone, also of supervisors that attach or
// report afterwards, and against a restored zone that stays unused.
Test(zone_evacuation, dispatcher_places_nothing_in_an_evacuated_zone) {
  DispatcherFixture fixture;
  cr_assert(fixture.scheduler.OnEvacuation({.version = 5, .zones = {"zone-a", "unknown"}}));
  fixture.Submit("job1");
  fixture.Attach("a", "zone-a");
  fixture.Submit("job2");
  cr_assert_not(fixture.HasOrdered("a"));
  cr_assert(fixture.HasOrdered("b"));
  cr_assert(fixture.scheduler.has_evacuated_executors());
  cr_assert_not(fixture.scheduler.OnEvacuation({.version = 4, .zones = {}}));
  cr_assert(fixture.scheduler.OnEvacuation({.version = 6, .zones = {"zone-b"}}));
  fixture.starts.clear();
  fixture.Submit("job3");
  cr_assert(fixture.HasOrdered("a"));
  cr_assert_not(fixture.HasOrdered("b"));
}

// Guards against callers that wait although no executor may take their jobs, and against a refusal
// that blames the load.
Test(zone_evacuation, dispatcher_refuses_at_once_when_all_zones_are_evacuated) {
  DispatcherFixture fixture;
  fixture.scheduler.OnEvacuation({.version = 5, .zones = {"zone-a", "zone-b"}});
  fixture.Submit("job");
  cr_assert(fixture.starts.empty());
  cr_assert_eq(fixture.answers.size(), 1);
  cr_assert(fixture.answers[0].answer.reason == JobReason::kNoExecutors);
  fixture.scheduler.OnEvacuation({.version = 6, .zones = {}});
  fixture.Submit("job2");
  cr_assert_not(fixture.starts.empty());
}

// Guards against a job that waits for room and is refused as if executors were only busy, when all
// zones are evacuated meanwhile.
Test(zone_evacuation, dispatcher_refuses_waiting_jobs_when_all_zones_are_evacuated) {
  DispatcherFixture fixture;
  for (const char* supervisor : {"a", "b"}) {
    fixture.scheduler.OnReport(supervisor, {.executor_id = "executor",
                                            .service = "service",
                                            .accepting = true,
                                            .capacity = {.cpu_milli = 4000, .memory_mb = 1000},
                                            .pace = 1,
                                            .release_rate = 40'000,
                                            .lesser_release_rate = 40'000,
                                            .executor_answered = true});
  }
  fixture.Submit("job");
  cr_assert(fixture.starts.empty());
  cr_assert(fixture.answers.empty());
  fixture.scheduler.OnEvacuation({.version = 5, .zones = {"zone-a", "zone-b"}});
  fixture.Place();
  cr_assert_eq(fixture.answers.size(), 1);
  cr_assert(fixture.answers[0].answer.reason == JobReason::kNoExecutors);
}
