// A 500-task job through a whole ShardDispatcher: admission, queue, placement and outcomes.
#include <benchmark/benchmark.h>

#include <string>
#include <variant>
#include <vector>

#include "core/shard_dispatcher.h"

namespace {

using namespace zinniamux::core;  // NOLINT(google-build-using-namespace)

constexpr int kTasks = 500;

// Arguments: number of executors, whether decisions are logged.
void RunJob(benchmark::State& state) {
  const auto executors = static_cast<int>(state.range(0));
  ManualClock clock;
  ShardDispatcher dispatcher({.availability_zone = "zone-0", .log_decisions = state.range(1) != 0},
                             clock);
  DispatchConfig config{.version = 1};
  for (int team = 0; team < 35; ++team) config.teams["team-" + std::to_string(team)];
  config.jobs["stock"];
  config.policy.retention = std::chrono::seconds(0);
  dispatcher.OnConfig(config);
  for (int index = 0; index < executors; ++index) {
    const int rack = index / 3;
    AgentHello hello{.agent_id = "agent-" + std::to_string(index),
                     .availability_zone = "zone-" + std::to_string(rack % 5),
                     .rack = "rack-" + std::to_string(rack)};
    hello.executor = {.executor_id = hello.agent_id,
                      .available = true,
                      .slots = static_cast<std::uint32_t>(kTasks / executors) + 8,
                      .memory_mb = 64'000};
    dispatcher.OnAgentAttached(hello);
  }
  dispatcher.TakeActions();
  std::size_t messages = 0;
  int number = 0;
  for (auto _ : state) {
    Submission submission{.id = "submission-" + std::to_string(number),
                          .team = "team-" + std::to_string(number % 35),
                          .job = "stock"};
    ++number;
    submission.deadline = clock.now() + std::chrono::seconds(1);
    submission.tasks.resize(kTasks, {.run_time = std::chrono::milliseconds(100)});
    dispatcher.Submit(std::move(submission));
    for (const DispatcherAction& action : dispatcher.TakeActions()) {
      const auto* dispatch = std::get_if<SendDispatch>(&action);
      if (dispatch == nullptr) continue;
      ++messages;
      std::vector<TaskOutcome> outcomes;
      for (const DispatchTask& task : dispatch->order.tasks) {
        outcomes.push_back({.key = {dispatch->order.submission_id, task.task_index},
                            .state = TaskState::kFinished,
                            .run_time = std::chrono::milliseconds(100),
                            .job = dispatch->order.facts});
      }
      dispatcher.OnOutcomes(dispatch->agent_id, std::move(outcomes));
    }
    dispatcher.TakeActions();
    state.PauseTiming();
    clock.Advance(std::chrono::seconds(2));
    dispatcher.OnTimer();
    dispatcher.TakeActions();
    state.ResumeTiming();
  }
  state.SetItemsProcessed(state.iterations() * kTasks);
  state.counters["messages"] = static_cast<double>(messages) / static_cast<double>(number);
}
BENCHMARK(RunJob)
    ->ArgNames({"executors", "log"})
    ->ArgsProduct({{11, 840}, {0, 1}})
    ->Unit(benchmark::kMicrosecond);

// The timer with nothing due.
void IdleTimer(benchmark::State& state) {
  ManualClock clock;
  ShardDispatcher dispatcher({}, clock);
  for (int index = 0; index < state.range(0); ++index) {
    AgentHello hello{.agent_id = "agent-" + std::to_string(index)};
    dispatcher.OnAgentAttached(hello);
  }
  for (auto _ : state) dispatcher.OnTimer();
}
BENCHMARK(IdleTimer)->ArgName("executors")->Arg(11)->Arg(840)->Unit(benchmark::kMicrosecond);

}  // namespace
