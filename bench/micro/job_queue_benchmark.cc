// Cost of queue operations with 35 teams.
#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "core/admission_controller.h"
#include "core/job_queue.h"

namespace {

using namespace zinniamux::core;  // NOLINT(google-build-using-namespace)

constexpr int kTeams = 35;

DispatchConfig Config(JobOrder order) {
  DispatchConfig config{.version = 1};
  for (int team = 0; team < kTeams; ++team) {
    config.teams["team-" + std::to_string(team)].weight = 1 + team % 4;
  }
  config.jobs["stock"];
  config.policy.job_order = order;
  return config;
}

JobQueue::NewJob MakeJob(int number, int tasks) {
  JobQueue::NewJob job{.submission_id = "submission-" + std::to_string(number),
                       .team = "team-" + std::to_string(number % kTeams),
                       .arrival = TimePoint(Duration(number)),
                       .task_costs = std::vector<Duration>(tasks, std::chrono::milliseconds(200))};
  for (int index = 0; index < tasks; ++index) job.waiting.push_back(index);
  return job;
}

// Argument: tasks that wait throughout. Each iteration adds, serves and ends ten tasks of one job.
void ServeJob(benchmark::State& state) {
  constexpr int kTasks = 10;
  const auto order = static_cast<JobOrder>(state.range(0));
  JobQueue queue;
  queue.Configure(Config(order));
  int number = 0;
  while (queue.size() < static_cast<std::size_t>(state.range(1))) {
    queue.Push(MakeJob(number++, kTasks));
  }
  for (auto _ : state) {
    queue.Push(MakeJob(number++, kTasks));
    for (int task = 0; task < kTasks; ++task) {
      const auto popped = queue.Pop();
      queue.OnTaskStarted(popped->team);
      queue.OnTaskEnded(popped->team);
      if (popped->task_index + 1 == kTasks) queue.Remove(popped->submission_id);
    }
  }
  state.SetItemsProcessed(state.iterations() * kTasks);
}
BENCHMARK(ServeJob)
    ->ArgNames({"order", "waiting"})
    ->ArgsProduct({{static_cast<int>(JobOrder::kFifo), static_cast<int>(JobOrder::kLeastRemaining)},
                   {1'000, 90'000}});

// A refused task goes back and is served again.
void RequeueTask(benchmark::State& state) {
  JobQueue queue;
  queue.Configure(Config(JobOrder::kFifo));
  for (int number = 0; number < 3'500; ++number) queue.Push(MakeJob(number, 10));
  for (auto _ : state) {
    const auto popped = queue.Pop();
    queue.Requeue(popped->submission_id, popped->task_index);
  }
}
BENCHMARK(RequeueTask);

// Cancels one of the waiting 500-task jobs, and adds another.
void CancelJob(benchmark::State& state) {
  JobQueue queue;
  queue.Configure(Config(JobOrder::kFifo));
  constexpr int kJobs = 200;
  for (int number = 0; number < kJobs; ++number) queue.Push(MakeJob(number, 500));
  int number = kJobs;
  for (auto _ : state) {
    queue.Remove("submission-" + std::to_string(number - kJobs));
    state.PauseTiming();
    queue.Push(MakeJob(number++, 500));
    state.ResumeTiming();
  }
}
BENCHMARK(CancelJob);

// The decision whether a 10-task job may enter a queue of 70,000 tasks.
void AdmitJob(benchmark::State& state) {
  const DispatchConfig config = Config(JobOrder::kFifo);
  JobQueue queue;
  queue.Configure(config);
  for (int number = 0; number < 7'000; ++number) queue.Push(MakeJob(number, 10));
  const AdmissionController controller;
  const RunTimeEstimator estimator;
  Submission submission{.id = "new", .team = "team-3", .job = "stock"};
  submission.deadline = TimePoint(std::chrono::seconds(60));
  submission.tasks.resize(10, {.run_time = std::chrono::milliseconds(100)});
  for (auto _ : state) {
    const JobEstimate estimate = EstimateJob(submission, config.jobs.at("stock"), estimator);
    benchmark::DoNotOptimize(controller.CheckLoad(
        submission, estimate,
        {.config = config, .queue = queue, .capacity = {.open_slots = 6720}, .now = TimePoint()}));
  }
}
BENCHMARK(AdmitJob);

}  // namespace
