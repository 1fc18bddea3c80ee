// AdmissionController: error kinds of refusals, and admission despite wrong estimates.
#include "core/admission_controller.h"

#include <criterion/criterion.h>

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using namespace zinniamux::core;  // NOLINT(google-build-using-namespace)

struct Shard {
  Shard() {
    config.version = 1;
    config.teams["anvil"] = {.weight = 1, .max_queued_tasks = 100};
    config.teams["birch"] = {.weight = 1};
    config.jobs["stock"] = {.run_time = milliseconds(100), .max_tasks = 50, .memory_mb = 0};
    config.jobs["print"] = {.team = "birch"};
    queue.Configure(config);
  }

  AdmissionController::Situation Situation() const {
    return {.config = config, .queue = queue, .capacity = capacity, .now = now};
  }

  Submission MakeSubmission(const std::string& team, std::size_t tasks) const {
    Submission submission{.id = "new", .team = team, .job = "stock", .deadline = now + seconds(5)};
    submission.tasks.resize(tasks, {.run_time = milliseconds(100)});
    return submission;
  }

  void EnqueueJob(const std::string& team, std::uint32_t tasks, milliseconds cost) {
    JobQueue::NewJob job{.submission_id = team + std::to_string(queue.size()),
                         .team = team,
                         .arrival = now,
                         .task_costs = std::vector<Duration>(tasks, cost)};
    for (std::uint32_t index = 0; index < tasks; ++index) job.waiting.push_back(index);
    queue.Push(std::move(job));
  }

  std::optional<Error> CheckLoad(const Submission& submission) const {
    const JobEstimate estimate = EstimateJob(submission, config.jobs.at("stock"), estimator);
    return controller.CheckLoad(submission, estimate, Situation());
  }

  DispatchConfig config;
  JobQueue queue;
  RunTimeEstimator estimator;
  AdmissionController controller;
  AdmissionController::Capacity capacity{
      .open_slots = 8, .free_slots = 8, .largest_memory_mb = 1000};
  TimePoint now{seconds(100)};
};

bool IsRefusedWith(const std::optional<Error>& error, ErrorKind kind) {
  return error.has_value() && error->kind == kind;
}

}  // namespace

// Guards against a refusal with the wrong error kind.
Test(admission_controller, refuses_an_invalid_declaration_with_its_cause) {
  Shard shard;
  const auto check = [&](const Submission& submission) {
    return shard.controller.CheckDeclaration(submission, shard.Situation());
  };
  cr_assert(!check(shard.MakeSubmission("anvil", 1)).has_value());
  cr_assert(IsRefusedWith(check(shard.MakeSubmission("other", 1)), ErrorKind::kUnknownTeam));
  Submission submission = shard.MakeSubmission("anvil", 1);
  submission.job = "other";
  cr_assert(IsRefusedWith(check(submission), ErrorKind::kUnknownJob));
  submission.job = "print";
  cr_assert(IsRefusedWith(check(submission), ErrorKind::kUnknownJob));
  cr_assert(IsRefusedWith(check(shard.MakeSubmission("anvil", 0)), ErrorKind::kInvalidRequest));
  cr_assert(IsRefusedWith(check(shard.MakeSubmission("birch", 51)), ErrorKind::kTooLarge));
  submission = shard.MakeSubmission("anvil", 2);
  submission.tasks[1].memory_mb = 1001;
  cr_assert(IsRefusedWith(check(submission), ErrorKind::kNeverRunnable));
  shard.capacity.largest_memory_mb = 0;
  cr_assert(!check(submission).has_value(), "no executor is known yet");
  shard.config.version = 0;
  cr_assert(IsRefusedWith(check(submission), ErrorKind::kNotReady));
}

// Guards against a retryable error for a job that is larger than its team's limit and never fits.
Test(admission_controller, refuses_a_job_above_the_team_limit_as_too_large) {
  Shard shard;
  shard.config.jobs["stock"].max_tasks = 500;
  const auto error =
      shard.controller.CheckDeclaration(shard.MakeSubmission("anvil", 101), shard.Situation());
  cr_assert(IsRefusedWith(error, ErrorKind::kTooLarge));
}

// Guards against a team that queues more than its limit, and against a refusal without a retry
// time.
Test(admission_controller, enforces_the_limit_of_queued_tasks) {
  Shard shard;
  shard.EnqueueJob("anvil", 90, milliseconds(100));
  shard.capacity.free_slots = 0;
  cr_assert(!shard.CheckLoad(shard.MakeSubmission("anvil", 10)).has_value());
  const auto error = shard.CheckLoad(shard.MakeSubmission("anvil", 50));
  cr_assert(IsRefusedWith(error, ErrorKind::kQuotaExceeded));
  // 40 of the 90 tasks must be done first: 40 * 100 ms on 8 slots.
  cr_assert_eq(error->retry_after.count(), 500);
}

// Guards against a queue that exceeds its bound, and against one team that fills the whole queue.
Test(admission_controller, reserves_queue_capacity_for_other_teams) {
  Shard shard;
  shard.config.teams["anvil"].max_queued_tasks = 0;
  shard.queue.Configure(shard.config);
  shard.capacity = {};
  // A quarter of 100,000 is reserved for the other of two equal teams.
  shard.EnqueueJob("anvil", 74'990, milliseconds(1));
  cr_assert(!shard.CheckLoad(shard.MakeSubmission("anvil", 10)).has_value());
  cr_assert(
      IsRefusedWith(shard.CheckLoad(shard.MakeSubmission("anvil", 11)), ErrorKind::kOverloaded));
  shard.EnqueueJob("birch", 24'990, milliseconds(1));
  cr_assert(!shard.CheckLoad(shard.MakeSubmission("birch", 20)).has_value());
  cr_assert(
      IsRefusedWith(shard.CheckLoad(shard.MakeSubmission("birch", 21)), ErrorKind::kOverloaded));
}

// Guards against admitting a job that cannot be completed by its deadline.
Test(admission_controller, refuses_a_job_whose_wait_exceeds_its_deadline) {
  Shard shard;
  shard.capacity.free_slots = 0;
  shard.EnqueueJob("birch", 100, milliseconds(100));
  cr_assert(!shard.CheckLoad(shard.MakeSubmission("birch", 8)).has_value());
  // 60 s of work on 8 slots takes 7.5 s.
  shard.EnqueueJob("birch", 500, milliseconds(100));
  const auto error = shard.CheckLoad(shard.MakeSubmission("birch", 8));
  cr_assert(IsRefusedWith(error, ErrorKind::kOverloaded));
  cr_assert_gt(error->retry_after.count(), 2500);
  cr_assert(!shard.CheckLoad(shard.MakeSubmission("anvil", 8)).has_value(),
            "it only waits for the work that fair queueing serves before it");
}

// Guards against a learned estimate that is far too long and causes a refusal of every job whose
// outcome could correct it.
Test(admission_controller, admits_a_job_that_starts_at_once) {
  Shard shard;
  for (int task = 0; task < 20; ++task) {
    shard.estimator.Observe("stock", milliseconds(100), seconds(30));
  }
  cr_assert(!shard.CheckLoad(shard.MakeSubmission("birch", 8)).has_value());
  cr_assert(!shard.CheckLoad(shard.MakeSubmission("birch", 50)).has_value(), "the queue is empty");
  shard.EnqueueJob("birch", 1, seconds(30));
  shard.capacity.free_slots = 0;
  cr_assert(
      IsRefusedWith(shard.CheckLoad(shard.MakeSubmission("birch", 8)), ErrorKind::kOverloaded));
}

// Guards against an estimated wait that includes queued work of a team at its limit of running
// tasks.
Test(admission_controller, ignores_queued_work_of_teams_at_their_running_limit) {
  Shard shard;
  shard.config.teams["birch"].max_running_tasks = 1;
  shard.queue.Configure(shard.config);
  shard.EnqueueJob("birch", 500, seconds(1));
  cr_assert(shard.queue.Pop().has_value());
  shard.queue.OnTaskStarted("birch");
  cr_assert(!shard.queue.Pop().has_value());
  shard.capacity.free_slots = 7;
  cr_assert(!shard.CheckLoad(shard.MakeSubmission("anvil", 50)).has_value());
}
