// AdmissionController: each refusal has its kind, and a wrong estimate shuts nobody out.
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

  Submission Submit(const std::string& team, std::size_t tasks) const {
    Submission submission{.id = "new", .team = team, .job = "stock", .deadline = now + seconds(5)};
    submission.tasks.resize(tasks, {.run_time = milliseconds(100)});
    return submission;
  }

  void Queue(const std::string& team, std::uint32_t tasks, milliseconds cost) {
    JobQueue::NewJob job{.submission_id = team + std::to_string(queue.size()),
                         .team = team,
                         .arrival = now,
                         .task_costs = std::vector<Duration>(tasks, cost)};
    for (std::uint32_t index = 0; index < tasks; ++index) job.waiting.push_back(index);
    queue.Push(std::move(job));
  }

  std::optional<Error> Load(const Submission& submission) const {
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

bool Refused(const std::optional<Error>& error, ErrorKind kind) {
  return error.has_value() && error->kind == kind;
}

}  // namespace

// Guards against a refusal that is blamed on the wrong cause.
Test(admission_controller, names_the_cause_of_a_declaration_refusal) {
  Shard shard;
  const auto check = [&](const Submission& submission) {
    return shard.controller.CheckDeclaration(submission, shard.Situation());
  };
  cr_assert(!check(shard.Submit("anvil", 1)).has_value());
  cr_assert(Refused(check(shard.Submit("other", 1)), ErrorKind::kUnknownTeam));
  Submission submission = shard.Submit("anvil", 1);
  submission.job = "other";
  cr_assert(Refused(check(submission), ErrorKind::kUnknownJob));
  submission.job = "print";
  cr_assert(Refused(check(submission), ErrorKind::kUnknownJob));
  cr_assert(Refused(check(shard.Submit("anvil", 0)), ErrorKind::kInvalidRequest));
  cr_assert(Refused(check(shard.Submit("birch", 51)), ErrorKind::kTooLarge));
  submission = shard.Submit("anvil", 2);
  submission.tasks[1].memory_mb = 1001;
  cr_assert(Refused(check(submission), ErrorKind::kNeverRunnable));
  shard.capacity.largest_memory_mb = 0;
  cr_assert(!check(submission).has_value(), "no executor is known yet");
  shard.config.version = 0;
  cr_assert(Refused(check(submission), ErrorKind::kNotReady));
}

// Guards against "retry later" for a job that is larger than its team's limit and never fits.
Test(admission_controller, refuses_a_job_above_the_team_limit_for_good) {
  Shard shard;
  shard.config.jobs["stock"].max_tasks = 500;
  const auto error =
      shard.controller.CheckDeclaration(shard.Submit("anvil", 101), shard.Situation());
  cr_assert(Refused(error, ErrorKind::kTooLarge));
}

// Guards against a team that queues more than its limit, and a refusal without a time to retry.
Test(admission_controller, enforces_the_limit_of_queued_tasks) {
  Shard shard;
  shard.Queue("anvil", 90, milliseconds(100));
  shard.capacity.free_slots = 0;
  cr_assert(!shard.Load(shard.Submit("anvil", 10)).has_value());
  const auto error = shard.Load(shard.Submit("anvil", 50));
  cr_assert(Refused(error, ErrorKind::kQuotaExceeded));
  // 40 of the 90 tasks have to go first: 40 * 100 ms on 8 slots.
  cr_assert_eq(error->retry_after.count(), 500);
}

// Guards against a queue beyond its bound, and against one team that fills it for the others.
Test(admission_controller, keeps_room_in_the_queue_for_other_teams) {
  Shard shard;
  shard.config.teams["anvil"].max_queued_tasks = 0;
  shard.queue.Configure(shard.config);
  shard.capacity = {};
  // A quarter of 100,000 is reserved for the other of two equal teams.
  shard.Queue("anvil", 74'990, milliseconds(1));
  cr_assert(!shard.Load(shard.Submit("anvil", 10)).has_value());
  cr_assert(Refused(shard.Load(shard.Submit("anvil", 11)), ErrorKind::kOverloaded));
  shard.Queue("birch", 24'990, milliseconds(1));
  cr_assert(!shard.Load(shard.Submit("birch", 20)).has_value());
  cr_assert(Refused(shard.Load(shard.Submit("birch", 21)), ErrorKind::kOverloaded));
}

// Guards against admitting a job that cannot be completed by its deadline.
Test(admission_controller, refuses_a_job_whose_wait_exceeds_its_deadline) {
  Shard shard;
  shard.capacity.free_slots = 0;
  shard.Queue("birch", 100, milliseconds(100));
  cr_assert(!shard.Load(shard.Submit("birch", 8)).has_value());
  // 60 s of work on 8 slots takes 7.5 s.
  shard.Queue("birch", 500, milliseconds(100));
  const auto error = shard.Load(shard.Submit("birch", 8));
  cr_assert(Refused(error, ErrorKind::kOverloaded));
  cr_assert_gt(error->retry_after.count(), 2500);
  cr_assert(!shard.Load(shard.Submit("anvil", 8)).has_value(), "it waits for its share only");
}

// Guards against a learned estimate that is far too long and refuses every job that could mend it.
Test(admission_controller, admits_a_job_that_starts_at_once) {
  Shard shard;
  for (int task = 0; task < 20; ++task) {
    shard.estimator.Observe("stock", milliseconds(100), seconds(30));
  }
  cr_assert(!shard.Load(shard.Submit("birch", 8)).has_value());
  cr_assert(!shard.Load(shard.Submit("birch", 50)).has_value(), "the queue is empty");
  shard.Queue("birch", 1, seconds(30));
  shard.capacity.free_slots = 0;
  cr_assert(Refused(shard.Load(shard.Submit("birch", 8)), ErrorKind::kOverloaded));
}

// Guards against a team at its own limit of running tasks that delays the estimate of others.
Test(admission_controller, does_not_wait_for_the_work_of_limited_teams) {
  Shard shard;
  shard.config.teams["birch"].max_running_tasks = 1;
  shard.queue.Configure(shard.config);
  shard.Queue("birch", 500, seconds(1));
  cr_assert(shard.queue.Pop().has_value());
  shard.queue.OnTaskStarted("birch");
  cr_assert(!shard.queue.Pop().has_value());
  shard.capacity.free_slots = 7;
  cr_assert(!shard.Load(shard.Submit("anvil", 50)).has_value());
}
