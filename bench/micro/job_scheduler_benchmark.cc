// A job through a JobScheduler with one dispatcher's share of a deployment.
#include <benchmark/benchmark.h>

#include <string>
#include <variant>
#include <vector>

#include "core/job_scheduler.h"

namespace {

using namespace zinniamux::core;  // NOLINT(google-build-using-namespace)

constexpr int kExecutors = 72;
constexpr int kRacks = 9;
constexpr int kTasks = 8;

// Arguments: whether the job's data is in a rack, and whether waits for racks are decided.
void ScheduleJob(benchmark::State& state) {
  ManualClock clock;
  JobScheduler scheduler({.availability_zone = "zone-0",
                          .locality = {.spread_factor = state.range(1) != 0 ? 3.0 : 0.0}},
                         clock);
  clock.Advance(std::chrono::seconds(2));
  const Resources capacity{.cpu_milli = 64'000, .memory_mb = 65'536};
  for (int i = 0; i < kExecutors; ++i) {
    const std::string id = "agent-" + std::to_string(i);
    scheduler.OnAgentAttached(id, "zone-" + std::to_string(i % 3), 1, {});
    scheduler.OnReport(id, {.executor_id = id,
                            .service = "service",
                            .accepting = true,
                            .capacity = capacity,
                            .free = capacity,
                            .labels = {"rack-" + std::to_string(i % kRacks)},
                            .is_close = i % 3 == 0,
                            .pace = 1,
                            .executor_answered = true});
  }
  scheduler.TakeActions();
  int number = 0;
  for (auto _ : state) {
    JobRequest job{.id = "job-" + std::to_string(number++),
                   .queue = "queue",
                   .service = "service",
                   .steps = {{.count = kTasks,
                              .need = {.cpu_milli = 1300, .memory_mb = 64},
                              .estimate = std::chrono::milliseconds(60)}},
                   .attempts = 3,
                   .stretch = 1.6,
                   .slack = std::chrono::milliseconds(60),
                   .deadline = clock.now() + std::chrono::seconds(2)};
    if (state.range(0) != 0) job.steps[0].preferred_rack = "rack-1";
    scheduler.OnJob(std::move(job));
    scheduler.Place();
    for (const SchedulerAction& action : scheduler.TakeActions()) {
      const auto* start = std::get_if<StartTasks>(&action);
      if (start == nullptr) continue;
      for (const auto& each : start->starts) {
        scheduler.OnRunUpdate(
            start->agent_id,
            {.task = {.job_id = start->job_id, .step = start->step, .index = each.index},
             .run = each.run},
            RunOutcome::kDone, std::chrono::milliseconds(60));
      }
      state.PauseTiming();
      ExecutorReport report = scheduler.executors()[0]->report();
      for (const ExecutorView* view : scheduler.executors()) {
        if (view->agent_id() == start->agent_id) report = view->report();
      }
      report.orders_seen = start->order;
      scheduler.OnReport(start->agent_id, report);
      state.ResumeTiming();
    }
    scheduler.TakeActions();
    clock.Advance(std::chrono::milliseconds(1));
  }
  state.SetItemsProcessed(state.iterations() * kTasks);
}
BENCHMARK(ScheduleJob)
    ->ArgNames({"rack", "waits"})
    ->ArgsProduct({{0, 1}, {0, 1}})
    ->Unit(benchmark::kMicrosecond);

}  // namespace
