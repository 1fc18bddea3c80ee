// Task state transitions and completion of a job.
#include "core/job.h"

#include <utility>

namespace zinniamux::core {

Job::Job(std::shared_ptr<const Submission> submission)
    : submission_(std::move(submission)),
      tasks_(submission_->tasks.size()),
      pending_count_(static_cast<std::uint32_t>(tasks_.size())) {}

void Job::MarkDispatched(std::uint32_t index, std::string agent_id) {
  Task& task = tasks_[index];
  if (task.phase != Phase::kPending) return;
  task.phase = Phase::kDispatched;
  task.agent_id = std::move(agent_id);
  --pending_count_;
  ++dispatched_count_;
}

void Job::MarkNotStarted(std::uint32_t index) {
  Task& task = tasks_[index];
  if (task.phase != Phase::kDispatched) return;
  task.phase = Phase::kPending;
  task.agent_id.clear();
  --dispatched_count_;
  ++pending_count_;
}

void Job::MarkFinished(std::uint32_t index, std::string result) {
  Task& task = tasks_[index];
  if (task.phase != Phase::kDispatched) return;
  task.phase = Phase::kDone;
  task.result = std::move(result);
  --dispatched_count_;
  ++done_count_;
  if (finished() || done_count_ < tasks_.size()) return;
  JobAnswer answer;
  answer.submission_id = submission_->id;
  answer.state = JobState::kComplete;
  answer.results.reserve(tasks_.size());
  for (Task& done : tasks_) answer.results.push_back(std::move(done.result));
  answer_ = std::move(answer);
}

void Job::Fail(Error error) {
  if (finished()) return;
  JobAnswer answer = FailedAnswer(submission_->id, std::move(error));
  answer.not_run = dispatched_count_ == 0 && done_count_ == 0;
  answer_ = std::move(answer);
}

JobAnswer Job::CurrentAnswer() const {
  if (finished()) return *answer_;
  JobAnswer answer;
  answer.submission_id = submission_->id;
  const bool untouched = dispatched_count_ == 0 && done_count_ == 0;
  answer.state = untouched ? JobState::kQueued : JobState::kRunning;
  return answer;
}

}  // namespace zinniamux::core
