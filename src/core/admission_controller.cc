// Admission checks: declaration, team quota, queue bound and deadline.
#include "core/admission_controller.h"

#include <algorithm>
#include <string>

namespace zinniamux::core {
namespace {

using std::chrono::milliseconds;

// Declared run times are wrong by up to this factor in either direction.
constexpr int kMaxDeclarationError = 4;
// Allowance for the slowest task of a job, in mean deviations of its kind.
constexpr int kDeviationMargin = 2;
// Shorter waits make callers poll; longer ones exceed the length of most load peaks.
constexpr milliseconds kMinRetryAfter{100};
constexpr milliseconds kMaxRetryAfter{60'000};

milliseconds ClampRetryAfter(Duration duration) {
  return std::clamp(std::chrono::duration_cast<milliseconds>(duration), kMinRetryAfter,
                    kMaxRetryAfter);
}

Duration Scaled(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

}  // namespace

std::uint32_t TaskMemory(const TaskDeclaration& task, const JobConfig& config) {
  return task.memory_mb > 0 ? task.memory_mb : config.memory_mb;
}

JobEstimate EstimateJob(const Submission& submission, const JobConfig& config,
                        const RunTimeEstimator& estimator) {
  JobEstimate job;
  job.task_costs.reserve(submission.tasks.size());
  for (const TaskDeclaration& task : submission.tasks) {
    RunTimeEstimator::Estimate estimate = estimator.For(submission.job, task.run_time);
    if (!estimate.learned && task.run_time.count() <= 0) estimate.run_time = config.run_time;
    job.task_costs.push_back(estimate.run_time);
    job.total += estimate.run_time;
    job.longest = std::max(job.longest, estimate.run_time);
    job.deviation = std::max(job.deviation, estimate.deviation);
    job.learned = estimate.learned;
  }
  return job;
}

AdmissionController::AdmissionController(const Options& options) : options_(options) {}

std::optional<Error> AdmissionController::CheckDeclaration(const Submission& submission,
                                                           const Situation& situation) const {
  const DispatchConfig& config = situation.config;
  if (config.version == 0) {
    return Error{ErrorKind::kNotReady, "no configuration has been loaded yet", {}};
  }
  const auto team = config.teams.find(submission.team);
  if (team == config.teams.end()) {
    return Error{ErrorKind::kUnknownTeam, "team '" + submission.team + "' is not configured", {}};
  }
  const auto job = config.jobs.find(submission.job);
  if (job == config.jobs.end()) {
    return Error{ErrorKind::kUnknownJob, "job '" + submission.job + "' is not configured", {}};
  }
  const JobConfig& job_config = job->second;
  if (!job_config.team.empty() && job_config.team != submission.team) {
    return Error{ErrorKind::kUnknownJob,
                 "team '" + submission.team + "' has no job '" + submission.job + "'",
                 {}};
  }
  if (submission.tasks.empty()) {
    return Error{ErrorKind::kInvalidRequest, "the submission has no tasks", {}};
  }
  const milliseconds max_deadline = config.policy.max_deadline;
  if (submission.deadline - situation.now > max_deadline) {
    return Error{ErrorKind::kInvalidRequest,
                 "the deadline is more than " + std::to_string(max_deadline.count()) + " ms ahead",
                 {}};
  }
  const std::size_t tasks = submission.tasks.size();
  if (tasks > job_config.max_tasks) {
    return Error{ErrorKind::kTooLarge,
                 "the submission has " + std::to_string(tasks) + " tasks; job '" + submission.job +
                     "' allows " + std::to_string(job_config.max_tasks),
                 {}};
  }
  const std::uint32_t max_queued = team->second.max_queued_tasks;
  if (max_queued != 0 && tasks > max_queued) {
    return Error{ErrorKind::kTooLarge,
                 "the submission has " + std::to_string(tasks) + " tasks; team '" +
                     submission.team + "' may queue " + std::to_string(max_queued),
                 {}};
  }
  const std::uint32_t largest = situation.capacity.largest_memory_mb;
  for (const TaskDeclaration& task : submission.tasks) {
    const std::uint32_t memory = TaskMemory(task, job_config);
    if (largest == 0 || memory <= largest) continue;
    return Error{ErrorKind::kNeverRunnable,
                 "a task needs " + std::to_string(memory) + " MB; the largest executor has " +
                     std::to_string(largest) + " MB",
                 {}};
  }
  return std::nullopt;
}

std::optional<Error> AdmissionController::CheckLoad(const Submission& submission,
                                                    const JobEstimate& estimate,
                                                    const Situation& situation) const {
  if (std::optional<Error> error = CheckQuota(submission, situation)) return error;
  if (std::optional<Error> error = CheckQueueBound(submission, situation)) return error;
  return CheckDeadline(submission, estimate, situation);
}

milliseconds AdmissionController::RetryAfter(std::uint64_t excess_tasks,
                                             const Situation& situation) {
  const std::uint32_t slots = std::max(situation.capacity.open_slots, 1U);
  const auto cost = static_cast<double>(situation.queue.mean_cost().count());
  const double wait = cost * static_cast<double>(excess_tasks) / slots;
  return ClampRetryAfter(Duration(static_cast<Duration::rep>(wait)));
}

std::optional<Error> AdmissionController::CheckQuota(const Submission& submission,
                                                     const Situation& situation) const {
  const TeamQuota* quota = situation.queue.quota(submission.team);
  const auto tasks = static_cast<std::uint32_t>(submission.tasks.size());
  if (quota == nullptr || quota->CanQueue(tasks)) return std::nullopt;
  // The fraction of the team's waiting work that must be done before the submission fits its limit.
  const std::uint32_t excess = quota->queued() + tasks - quota->max_queued();
  const double fraction = static_cast<double>(excess) / quota->queued();
  const JobQueue::ServiceDemand demand = situation.queue.DemandOf(submission.team, Duration(0));
  const std::uint32_t slots = std::max(situation.capacity.open_slots, 1U);
  return Error{ErrorKind::kQuotaExceeded,
               "team '" + submission.team + "' has " + std::to_string(quota->queued()) +
                   " queued tasks; its limit is " + std::to_string(quota->max_queued()),
               ClampRetryAfter(Scaled(demand.work, fraction / slots))};
}

std::optional<Error> AdmissionController::CheckQueueBound(const Submission& submission,
                                                          const Situation& situation) const {
  const std::uint64_t reserved =
      situation.queue.ReservedByOthers(submission.team, options_.max_queued_tasks);
  const std::uint64_t needed = situation.queue.size() + submission.tasks.size() + reserved;
  if (needed <= options_.max_queued_tasks) return std::nullopt;
  return Error{ErrorKind::kOverloaded, "the queue is full",
               RetryAfter(needed - options_.max_queued_tasks, situation)};
}

std::optional<Error> AdmissionController::CheckDeadline(const Submission& submission,
                                                        const JobEstimate& estimate,
                                                        const Situation& situation) const {
  const JobQueue& queue = situation.queue;
  const Capacity& capacity = situation.capacity;
  const Duration time_left = submission.deadline - situation.now;
  if (time_left <= Duration(0)) {
    return Error{
        ErrorKind::kDeadlineExceeded, "the deadline passed before the submission arrived", {}};
  }
  // Jobs that start at once are admitted even if their estimate is too long: only their outcomes
  // can correct a wrong estimate. All jobs are admitted while no executor is known, as after a
  // start.
  if (capacity.open_slots == 0) return std::nullopt;
  if (queue.size() + submission.tasks.size() <= capacity.free_slots) return std::nullopt;

  // Without learned run times, the job's own work is the lower bound of its declared run times.
  const int divisor = estimate.learned ? 1 : kMaxDeclarationError;
  const Duration own_work = estimate.total / divisor;
  const Duration run_time = estimate.longest / divisor + kDeviationMargin * estimate.deviation;
  const JobQueue::ServiceDemand demand = queue.DemandOf(submission.team, own_work);
  const std::uint32_t slots = std::max(
      capacity.open_slots - std::min(demand.slots_of_limited_teams, capacity.open_slots), 1U);
  // Running tasks are half done on average.
  const Duration running_work = queue.running() * queue.mean_cost() / 2;
  const Duration work_ahead = running_work + demand.work - estimate.longest / divisor;
  Duration wait = std::max(work_ahead, Duration(0)) / slots;
  const TeamQuota* quota = queue.quota(submission.team);
  if (quota != nullptr && quota->max_running() > 0) {
    wait = std::max(wait, (queue.queued_work(submission.team) + own_work) / quota->max_running());
  }
  const Duration completion = Scaled(wait, options_.wait_margin) + run_time;
  if (completion <= time_left) return std::nullopt;
  // With an empty queue the job delays no other job, and its outcome corrects the estimate.
  if (queue.empty() && own_work / slots + run_time > time_left) return std::nullopt;
  return Error{ErrorKind::kOverloaded, "the estimated completion is after the deadline",
               ClampRetryAfter(completion - time_left)};
}

}  // namespace zinniamux::core
