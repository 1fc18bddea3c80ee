// Names of run outcomes.
#include "core/run.h"

namespace zinniamux::core {

std::string_view NameOf(RunOutcome outcome) {
  switch (outcome) {
    case RunOutcome::kDone:
      return "done";
    case RunOutcome::kFailed:
      return "failed";
    case RunOutcome::kStopped:
      return "stopped";
    case RunOutcome::kLapsed:
      return "lapsed";
    case RunOutcome::kBroken:
      return "broken";
    case RunOutcome::kAlone:
      return "alone";
    case RunOutcome::kNoRoom:
      return "no_room";
    case RunOutcome::kOutdated:
      return "outdated";
    case RunOutcome::kUnhealthy:
      return "unhealthy";
    case RunOutcome::kExpired:
      return "expired";
    case RunOutcome::kNotAccepting:
      return "not_accepting";
    case RunOutcome::kWithdrawn:
      return "withdrawn";
    case RunOutcome::kOwnerSilent:
      return "owner_silent";
    case RunOutcome::kStartUnanswered:
      return "start_unanswered";
    case RunOutcome::kExecutorCrashed:
      return "executor_crashed";
  }
  return "unknown";
}

}  // namespace zinniamux::core
