// The answer to a submission: complete, or failed with one error kind.
#ifndef ZINNIAMUX_CORE_JOB_ANSWER_H_
#define ZINNIAMUX_CORE_JOB_ANSWER_H_

#include <string>
#include <vector>

#include "core/error_kind.h"

namespace zinniamux::core {

enum class JobState { kQueued, kRunning, kComplete, kFailed };

// Invariants: `results` holds one entry per task, in task order, if the state is kComplete, and is
// empty otherwise. `error` is meaningful only if the state is kFailed. `not_run` is true only if no
// task of the submission was or can still be started.
struct JobAnswer {
  std::string submission_id;
  JobState state = JobState::kQueued;
  std::vector<std::string> results;
  Error error;
  bool not_run = false;

  bool finished() const { return state == JobState::kComplete || state == JobState::kFailed; }
};

// A failed answer; `not_run` follows from the error table.
JobAnswer FailedAnswer(std::string submission_id, Error error);

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_JOB_ANSWER_H_
