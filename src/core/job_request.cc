// Names of job results.
#include "core/job_request.h"

namespace zinniamux::core {

std::string_view NameOf(JobResult result) {
  switch (result) {
    case JobResult::kComplete:
      return "complete";
    case JobResult::kFailed:
      return "failed";
    case JobResult::kRefused:
      return "refused";
    case JobResult::kAbandoned:
      return "abandoned";
  }
  return "unknown";
}

std::string_view NameOf(JobReason reason) {
  switch (reason) {
    case JobReason::kNone:
      return "none";
    case JobReason::kAttemptsUsedUp:
      return "attempts_used_up";
    case JobReason::kOverloaded:
      return "overloaded";
    case JobReason::kNoMemory:
      return "no_memory";
    case JobReason::kNeverRunnable:
      return "never_runnable";
    case JobReason::kNoExecutors:
      return "no_executors";
    case JobReason::kShuttingDown:
      return "shutting_down";
    case JobReason::kDeadline:
      return "deadline";
    case JobReason::kCancelled:
      return "cancelled";
    case JobReason::kExecutorsCrashed:
      return "executors_crashed";
    case JobReason::kIsolated:
      return "isolated";
  }
  return "unknown";
}

}  // namespace zinniamux::core
