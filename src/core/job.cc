// Phase transitions of the tasks and completion of a job.
#include "core/job.h"

#include <algorithm>
#include <utility>

namespace zinniamux::core {

Job::Job(std::shared_ptr<const Submission> submission)
    : submission_(std::move(submission)), tasks_(submission_->tasks.size()) {
  counts_[static_cast<std::size_t>(Phase::kPending)] = task_count();
}

bool Job::IsAssignedTo(std::uint32_t index, const AgentInstance& agent) const {
  const Task& task = tasks_[index];
  const bool dispatched = task.phase == Phase::kDispatched || task.phase == Phase::kRunning;
  return dispatched && task.agent == agent;
}

bool Job::IsRevokedAt(std::uint32_t index, const AgentInstance& agent) const {
  return std::ranges::find(tasks_[index].revoked_at, agent) != tasks_[index].revoked_at.end();
}

void Job::SetPhase(Task& task, Phase phase) {
  --counts_[static_cast<std::size_t>(task.phase)];
  task.phase = phase;
  ++counts_[static_cast<std::size_t>(phase)];
}

void Job::MarkWithheld(std::uint32_t index) {
  if (phase(index) == Phase::kPending) SetPhase(tasks_[index], Phase::kWithheld);
}

std::vector<std::uint32_t> Job::ReleaseWithheld() {
  std::vector<std::uint32_t> released_indices;
  for (std::uint32_t index = 0; index < task_count(); ++index) {
    if (phase(index) != Phase::kWithheld) continue;
    SetPhase(tasks_[index], Phase::kPending);
    released_indices.push_back(index);
  }
  return released_indices;
}

void Job::MarkDispatched(std::uint32_t index, std::string agent_id, std::uint64_t incarnation) {
  Task& task = tasks_[index];
  if (task.phase != Phase::kPending && task.phase != Phase::kWithheld) return;
  SetPhase(task, Phase::kDispatched);
  task.agent = {.agent_id = std::move(agent_id), .incarnation = incarnation};
}

void Job::MarkRunning(std::uint32_t index) {
  if (phase(index) == Phase::kDispatched) SetPhase(tasks_[index], Phase::kRunning);
}

void Job::MarkNotStarted(std::uint32_t index) {
  Task& task = tasks_[index];
  if (task.phase != Phase::kDispatched && task.phase != Phase::kRunning) return;
  SetPhase(task, Phase::kPending);
  task.agent = {};
}

void Job::MarkRevokedAt(std::uint32_t index, const AgentInstance& agent) {
  if (!IsRevokedAt(index, agent)) tasks_[index].revoked_at.push_back(agent);
}

void Job::MarkFinished(std::uint32_t index, std::string result) {
  Task& task = tasks_[index];
  if (!HasNoOutcome(task)) return;
  SetPhase(task, Phase::kFinished);
  if (finished()) return;
  task.result = std::move(result);
  if (CountInPhase(Phase::kFinished) < task_count()) return;
  JobAnswer answer;
  answer.submission_id = submission_->id;
  answer.state = JobState::kComplete;
  answer.results.reserve(tasks_.size());
  for (Task& finished_task : tasks_) answer.results.push_back(std::move(finished_task.result));
  answer_ = std::move(answer);
}

void Job::MarkFailed(std::uint32_t index, std::string failure) {
  Task& task = tasks_[index];
  if (!HasNoOutcome(task)) return;
  SetPhase(task, Phase::kFailed);
  Fail({ErrorKind::kTaskFailed, std::move(failure), {}});
}

void Job::MarkUnknown(std::uint32_t index, std::string failure) {
  Task& task = tasks_[index];
  if (!HasNoOutcome(task)) return;
  SetPhase(task, Phase::kUnknown);
  Fail({ErrorKind::kOutcomeUnknown, std::move(failure), {}});
}

void Job::Fail(Error error) {
  if (finished()) return;
  JobAnswer answer = FailedAnswer(submission_->id, std::move(error));
  answer.not_run = nothing_started();
  answer_ = std::move(answer);
}

void Job::FailWithoutNotRun(Error error) {
  if (finished()) return;
  Fail(std::move(error));
  answer_->not_run = false;
}

JobAnswer Job::CurrentAnswer() const {
  if (finished()) return *answer_;
  JobAnswer answer;
  answer.submission_id = submission_->id;
  answer.state = nothing_started() ? JobState::kQueued : JobState::kRunning;
  return answer;
}

}  // namespace zinniamux::core
