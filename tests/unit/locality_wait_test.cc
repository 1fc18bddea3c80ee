// LocalityWait, and JobScheduler with tasks whose run time depends on the rack.
#include "core/locality_wait.h"

#include <criterion/criterion.h>

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "core/job_scheduler.h"
#include "support/job_traces.h"
#include "support/lease_world.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using zinniamux::core::AnswerJob;
using zinniamux::core::JobRequest;
using zinniamux::core::JobScheduler;
using zinniamux::core::LocalityWait;
using zinniamux::core::ManualClock;
using zinniamux::core::RunOutcome;
using zinniamux::core::StartTasks;
using zinniamux::core::TimePoint;
using zinniamux::testing::CounterTrace;
using zinniamux::testing::CountKind;
using zinniamux::testing::LeaseWorld;
using zinniamux::testing::SimulatedJob;

constexpr milliseconds kRunTime{100};
// Objective of the jobs: 1.6 x the run time + 60 ms.
constexpr milliseconds kObjective{220};

struct Cluster {
  explicit Cluster(double spread_factor)
      : scheduler({.availability_zone = "zone", .locality = {.spread_factor = spread_factor}},
                  clock) {
    // Skip the startup grace, during which jobs wait for executors.
    clock.Advance(seconds(1));
  }

  // `wait`: the wait for room for one task, if none is free.
  void Report(const std::string& id, const std::string& rack, std::int64_t free_tasks,
              milliseconds wait = milliseconds(0), bool accepting = true) {
    const double rate =
        wait == milliseconds(0) ? 0 : 1000 / std::chrono::duration<double>(wait).count();
    scheduler.OnReport(id, {.executor_id = id,
                            .service = "service",
                            .accepting = accepting,
                            .capacity = {.cpu_milli = 4000, .memory_mb = 1000},
                            .free = {.cpu_milli = free_tasks * 1000, .memory_mb = 1000},
                            .labels = {rack},
                            .is_close = true,
                            .orders_seen = last_order,
                            .pace = 1,
                            .release_rate = rate,
                            .lesser_release_rate = rate,
                            .executor_answered = true});
  }

  void Attach(const std::string& id, const std::string& rack, std::int64_t free_tasks,
              milliseconds wait = milliseconds(0)) {
    scheduler.OnAgentAttached(id, "zone", 1, {});
    Report(id, rack, free_tasks, wait);
  }

  JobRequest MakeJob(const std::string& id, const std::string& rack) const {
    return {.id = id,
            .queue = "queue",
            .service = "service",
            .steps = {{.count = 1,
                       .need = {.cpu_milli = 1000, .memory_mb = 1},
                       .estimate = kRunTime,
                       .preferred_rack = rack}},
            .attempts = 2,
            .stretch = 1.6,
            .slack = milliseconds(60),
            .deadline = clock.now() + seconds(2)};
  }

  void Submit(JobRequest job) {
    scheduler.OnJob(std::move(job));
    Place();
  }

  void Place() {
    scheduler.Place();
    for (auto& action : scheduler.TakeActions()) {
      if (const auto* start = std::get_if<StartTasks>(&action)) {
        starts.push_back(*start);
        last_order = start->order;
      }
      if (const auto* answer = std::get_if<AnswerJob>(&action)) answers.push_back(*answer);
    }
  }

  // The last order ends after `time`.
  void End(RunOutcome outcome, milliseconds time, milliseconds elapsed = milliseconds(0)) {
    clock.Advance(time);
    const StartTasks start = starts.back();
    for (const auto& each : start.starts) {
      scheduler.OnRunUpdate(
          start.agent_id, {.task = {.job_id = start.job_id, .index = each.index}, .run = each.run},
          outcome, elapsed);
    }
    Place();
  }

  std::string last_executor() const { return starts.empty() ? "" : starts.back().agent_id; }

  ManualClock clock;
  JobScheduler scheduler;
  std::uint64_t last_order = 0;
  std::vector<StartTasks> starts;
  std::vector<AnswerJob> answers;
};

LocalityWait::Question Ask(milliseconds wait, TimePoint now) {
  return {.queue = "queue",
          .rack = "r",
          .declared = kRunTime,
          .wait = wait,
          .objective = now + kObjective,
          .now = now};
}

// Jobs that the world's callers got in time, with half of them near data, much of it in one rack.
std::size_t InTime(double known_factor, std::uint64_t seed) {
  LeaseWorld world({.seed = seed,
                    .executor_cpu_milli = std::vector<std::int64_t>(12, 32'000),
                    .racks = 6,
                    .spread_factor = 3,
                    .scheduler = {.locality = {.spread_factor = known_factor}}});
  std::size_t number = 0;
  for (SimulatedJob& job :
       CounterTrace({.seed = seed, .begin = seconds(4), .length = seconds(3), .load = 0.9})) {
    constexpr std::size_t kRacks = 6;
    const std::size_t rack = number % 6 == 0 ? 0 : number / 2 % kRacks;
    if (++number % 2 == 0) job.request.steps[0].preferred_rack = LeaseWorld::RackLabel(rack);
    world.Add(std::move(job));
  }
  world.Run(seconds(15));
  cr_assert(world.violations().empty());
  return CountKind(world, "").in_time;
}

}  // namespace

// Guards against a remote run that ends long after the local one that was possible in a moment.
Test(locality_wait, waits_for_a_rack_that_has_room_in_a_moment) {
  Cluster cluster(3);
  cluster.Attach("near", "r", 0, milliseconds(20));
  cluster.Attach("far", "s", 4);
  cluster.Submit(cluster.MakeJob("job", "r"));
  cr_assert_eq(cluster.last_executor(), "near");
  cr_assert_not(cluster.starts.back().at_once);
  // A remote run of 300 ms would be late, so the order may wait as long as the local one is not.
  cr_assert_eq((cluster.starts.back().expires - cluster.clock.now()).count(),
               std::chrono::microseconds(kObjective - kRunTime).count());
  cluster.End(RunOutcome::kDone, milliseconds(120), kRunTime);
  cr_assert_eq(cluster.scheduler.locality_waits().paid, 1);
  cr_assert_eq(cluster.scheduler.locality_waits().mean_wait().count(), 20'000);
}

// Guards against a wait that costs more than the remote run, and against waits while they are off.
Test(locality_wait, places_elsewhere_if_the_wait_does_not_pay) {
  for (const double factor : {0.0, 1.5}) {
    Cluster cluster(factor);
    cluster.Attach("near", "r", 0, milliseconds(factor == 0 ? 1 : 45));
    cluster.Attach("far", "s", 4);
    cluster.Submit(cluster.MakeJob("job", "r"));
    cr_assert_eq(cluster.last_executor(), "far");
    // Supervisors measure the pace by it: remote runs would make the executor look slow.
    cr_assert_eq(cluster.starts.back().estimate.count(), factor == 0 ? 100 : 150);
  }
}

// Guards against a wait that makes a job late that a remote run would have answered in time.
Test(locality_wait, leaves_time_for_the_remote_run) {
  Cluster cluster(1.5);
  cluster.Attach("near", "r", 0, milliseconds(20));
  cluster.Attach("far", "s", 4);
  cluster.Submit(cluster.MakeJob("job", "r"));
  cr_assert_eq(cluster.last_executor(), "near");
  const auto remote_end = cluster.starts.back().expires + milliseconds(150);
  cr_assert_lt(remote_end, cluster.clock.now() + kObjective);
  cluster.End(RunOutcome::kExpired, milliseconds(50));
  cr_assert_eq(cluster.last_executor(), "far");
  cr_assert_eq(cluster.scheduler.locality_waits().unpaid, 1);
}

// Guards against a refusal because of a wait without which the job would have started.
Test(locality_wait, does_not_refuse_a_job_after_a_wait_that_failed) {
  Cluster cluster(1.5);
  cluster.Attach("near", "r", 0, milliseconds(20));
  cluster.Attach("far", "s", 4);
  cluster.Submit(cluster.MakeJob("job", "r"));
  cluster.Report("near", "r", 0, seconds(10));
  cluster.Report("far", "s", 0, seconds(10));
  cluster.End(RunOutcome::kExpired, milliseconds(50));
  cluster.clock.Advance(milliseconds(60));
  cluster.scheduler.OnTimer();
  cluster.Place();
  cr_assert(cluster.answers.empty());
  cluster.Report("far", "s", 1);
  cluster.Place();
  cr_assert_eq(cluster.starts.size(), 2);
  cr_assert_eq(cluster.last_executor(), "far");
}

// Guards against jobs that go on waiting for a rack that is lost.
Test(locality_wait, ends_when_the_rack_is_lost) {
  Cluster cluster(3);
  cluster.Attach("near", "r", 0, milliseconds(20));
  cluster.Attach("far", "s", 4);
  cluster.Submit(cluster.MakeJob("waits", "r"));
  cr_assert_eq(cluster.last_executor(), "near");
  cluster.Report("near", "r", 0, milliseconds(20), false);
  cluster.End(RunOutcome::kNotAccepting, milliseconds(5));
  cr_assert_eq(cluster.last_executor(), "far");
  cluster.scheduler.OnAgentDetached("near");
  cluster.Submit(cluster.MakeJob("new", "r"));
  cr_assert_eq(cluster.starts.size(), 3);
  cr_assert_eq(cluster.last_executor(), "far");
}

// Load pattern: all jobs want one rack. Guards against dispatchers that join its queue by views
// that do not show each other's orders, and against a rack that is avoided for good.
Test(locality_wait, learns_how_long_waits_for_a_hot_rack_take) {
  LocalityWait waits({.spread_factor = 1.5});
  TimePoint now{seconds(100)};
  cr_assert(waits.Decide(Ask(milliseconds(20), now)));
  for (int i = 0; i < 4; ++i) {
    const LocalityWait::Placement placement{.rack = "r",
                                            .is_local = true,
                                            .wait = waits.Decide(Ask(milliseconds(5), now)),
                                            .expected_wait = milliseconds(20),
                                            .ordered_at = now - milliseconds(50)};
    if (!placement.wait) break;
    waits.OnRunEnded("queue", kRunTime, placement, RunOutcome::kExpired, {}, now);
  }
  cr_assert_gt(waits.WaitRatio("r", now), 1.5);
  cr_assert_not(waits.Decide(Ask(milliseconds(20), now)));
  // Other racks are not concerned.
  LocalityWait::Question other = Ask(milliseconds(20), now);
  other.rack = "s";
  cr_assert(waits.Decide(other));
  now += seconds(15);
  cr_assert(waits.Decide(Ask(milliseconds(20), now)));
}

// Guards against waits by a factor of the settings that is wrong for a kind of job.
Test(locality_wait, corrects_wrong_run_times) {
  LocalityWait waits({.spread_factor = 3});
  const TimePoint now{seconds(100)};
  cr_assert(waits.Decide(Ask(milliseconds(50), now)));
  const LocalityWait::Placement local{.rack = "r", .is_local = true};
  const LocalityWait::Placement remote{.rack = "r"};
  for (int i = 0; i < 10; ++i) {
    waits.OnRunEnded("queue", kRunTime, local, RunOutcome::kDone, kRunTime, now);
    waits.OnRunEnded("queue", kRunTime, remote, RunOutcome::kDone, milliseconds(110), now);
  }
  cr_assert_not(waits.Decide(Ask(milliseconds(50), now)));
  cr_assert_eq(waits.LocalTime("queue", kRunTime, remote, milliseconds(110)).count(), 100'000);
  // One kind of job says nothing about another.
  LocalityWait::Question other = Ask(milliseconds(50), now);
  other.queue = "other";
  cr_assert(waits.Decide(other));
}

// Guards against tasks of a step in several racks while one rack can take them all.
Test(locality_wait, keeps_a_step_in_one_rack) {
  Cluster cluster(3);
  cluster.Attach("r-1", "r", 2);
  cluster.Attach("s-1", "s", 2);
  cluster.Attach("s-2", "s", 2);
  for (const std::string rack : {"r", "s"}) {
    cluster.Submit(cluster.MakeJob("shows-" + rack, rack));
    cluster.End(RunOutcome::kDone, kRunTime, kRunTime);
    for (const std::string id : {"r-1", "s-1", "s-2"}) cluster.Report(id, id.substr(0, 1), 2);
  }
  cluster.starts.clear();
  JobRequest job = cluster.MakeJob("job", "");
  job.steps[0].count = 4;
  job.steps[0].prefers_one_rack = true;
  cluster.Submit(job);
  std::map<std::string, std::size_t> tasks;
  for (const StartTasks& start : cluster.starts) tasks[start.agent_id] += start.starts.size();
  cr_assert_eq(tasks["s-1"], 2);
  cr_assert_eq(tasks["s-2"], 2);
}

// Guards against fewer answers in time because dispatchers compete for a hot rack.
Test(locality_wait, serves_more_jobs_with_a_hot_rack, .timeout = 120) {
  for (const std::uint64_t seed : {1, 2}) {
    const std::size_t without = InTime(0, seed);
    const std::size_t with = InTime(3, seed);
    cr_log_info("seed %lu: %zu in time without waits, %zu with", seed, without, with);
    cr_assert_gt(with, without);
  }
}
