// Construction of failed answers.
#include "core/job_answer.h"

#include <utility>

namespace zinniamux::core {

JobAnswer FailedAnswer(std::string submission_id, Error error) {
  JobAnswer answer;
  answer.submission_id = std::move(submission_id);
  answer.state = JobState::kFailed;
  answer.not_run = RowOf(error.kind).not_run;
  answer.error = std::move(error);
  return answer;
}

}  // namespace zinniamux::core
