// A submitted job of tasks with resource needs, and its possible answers.
#ifndef ZINNIAMUX_CORE_JOB_REQUEST_H_
#define ZINNIAMUX_CORE_JOB_REQUEST_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/run.h"

namespace zinniamux::core {

// Identical tasks that may run at the same time.
struct JobStep {
  std::uint32_t count = 1;
  // Of one task.
  Resources need;
  // The caller's rough estimate of one task's run time.
  std::chrono::milliseconds estimate{0};
  // Indexes of earlier steps that must be complete first.
  std::vector<std::uint32_t> after;
  // A label that the executor must have; empty if any will do.
  std::string required_label;
  // A label of executors that run the tasks faster; empty if there is none.
  std::string preferred_rack;
  // The tasks run faster if all of them run in one rack.
  bool prefers_one_rack = false;
  // Tasks of the step that may run on one executor at a time; 0 if there is no limit.
  std::uint32_t max_per_executor = 0;
};

struct JobRequest {
  std::string id;
  // The queue that it was submitted to, and the service whose executors run it.
  std::string queue;
  std::string service;
  // Passed to the executor with each task.
  std::string spec;
  std::vector<JobStep> steps;
  // Its tasks come before those of jobs that are not urgent.
  bool urgent = false;
  // Failed runs that a task may have.
  std::uint32_t attempts = 1;
  // The answer is due within stretch * longest chain of estimated run times + slack.
  double stretch = 1;
  std::chrono::milliseconds slack{0};
  // When it arrived at this dispatcher; if unset, the scheduler uses the time of OnJob.
  TimePoint arrived;
  // When its connection was opened, or when the last request before it was read there; if unset,
  // the scheduler uses the time of OnJob. See StaleRequestDetector.
  TimePoint connection_used_at;
  // When the caller stops waiting.
  TimePoint deadline;
};

enum class JobResult {
  kComplete,
  // A task has used up its attempts, or crashes the executors that run it.
  kFailed,
  // None of its tasks has run or will run.
  kRefused,
  // Given up after a task may have started.
  kAbandoned,
};

enum class JobReason {
  kNone,
  kAttemptsUsedUp,
  // It could not start in time.
  kOverloaded,
  // The dispatcher has no memory left for it; see WorkBudget.
  kNoMemory,
  // No executor could run one of its tasks.
  kNeverRunnable,
  // No executor of its service is known.
  kNoExecutors,
  kShuttingDown,
  kDeadline,
  kCancelled,
  // Too many executors have crashed while they ran one of its tasks.
  kExecutorsCrashed,
  // The dispatcher or a supervisor of the job was cut off or lost: the caller may have sent the job
  // elsewhere.
  kIsolated,
};

struct JobReply {
  std::string job_id;
  JobResult result = JobResult::kComplete;
  JobReason reason = JobReason::kNone;
  // For refused jobs: after this time, the caller may submit the job again.
  std::chrono::milliseconds retry_after{0};
};

// Names in logs and metrics.
std::string_view NameOf(JobResult result);
std::string_view NameOf(JobReason reason);

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_JOB_REQUEST_H_
