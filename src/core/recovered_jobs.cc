// Merging of ledger records by submission.
#include "core/recovered_jobs.h"

namespace zinniamux::core {

void RecoveredJobs::Merge(const AgentInstance& agent, TaskOutcome outcome, TimePoint now) {
  const std::string id = outcome.key.submission_id;
  const auto [found, inserted] = jobs_.try_emplace(id);
  RecoveredJob& job = found->second;
  job.expires_at = now + retention_;
  if (inserted) expiry_.emplace(job.expires_at, id);
  const bool revoked = outcome.state == TaskState::kRevoked;
  if (!revoked && !job.facts) job.facts = outcome.job;
  const auto [record, first] = job.records.try_emplace(outcome.key.task_index);
  // Only the instance that started a task can report its progress.
  const bool replaces =
      first || record->second.outcome.state == TaskState::kRevoked ||
      (record->second.outcome.state == TaskState::kRunning && record->second.agent == agent);
  if (replaces) record->second = {.agent = agent, .outcome = std::move(outcome)};
}

void RecoveredJobs::MarkInstanceLost(const AgentInstance& agent) {
  for (auto& [id, job] : jobs_) {
    for (auto& [index, record] : job.records) {
      if (record.agent != agent || record.outcome.state != TaskState::kRunning) continue;
      record.outcome.state = TaskState::kUnknown;
      record.outcome.failure = "agent " + agent.agent_id + " restarted while it ran the task";
    }
  }
}

const RecoveredJob* RecoveredJobs::Find(const std::string& submission_id) const {
  const auto found = jobs_.find(submission_id);
  return found == jobs_.end() ? nullptr : &found->second;
}

bool RecoveredJobs::MarkCancelled(const std::string& submission_id) {
  const auto found = jobs_.find(submission_id);
  if (found == jobs_.end()) return false;
  found->second.cancelled = true;
  return true;
}

RecoveredJob RecoveredJobs::Take(const std::string& submission_id) {
  const auto found = jobs_.find(submission_id);
  RecoveredJob job = std::move(found->second);
  jobs_.erase(found);
  return job;
}

void RecoveredJobs::Expire(TimePoint now) {
  while (!expiry_.empty() && expiry_.begin()->first <= now) {
    const std::string id = std::move(expiry_.extract(expiry_.begin()).value().second);
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) continue;
    if (found->second.expires_at <= now) {
      jobs_.erase(found);
    } else {
      expiry_.emplace(found->second.expires_at, id);
    }
  }
}

JobAnswer AnswerFromRecords(const std::string& submission_id, const RecoveredJob& job) {
  const auto failed = [&](ErrorKind kind, std::string message) {
    JobAnswer answer = FailedAnswer(submission_id, {kind, std::move(message), {}});
    answer.not_run = false;
    return answer;
  };
  if (job.cancelled) return failed(ErrorKind::kCancelled, "cancelled by the caller");
  JobAnswer answer;
  answer.submission_id = submission_id;
  answer.state = JobState::kRunning;
  std::vector<std::string> results;
  for (const auto& [index, record] : job.records) {
    const TaskOutcome& outcome = record.outcome;
    if (outcome.state == TaskState::kFailed) return failed(ErrorKind::kTaskFailed, outcome.failure);
    if (outcome.state == TaskState::kUnknown) {
      return failed(ErrorKind::kOutcomeUnknown, outcome.failure);
    }
    if (outcome.state == TaskState::kFinished) results.push_back(outcome.result);
  }
  if (!job.facts || results.size() != job.facts->task_count) return answer;
  answer.state = JobState::kComplete;
  answer.results = std::move(results);
  return answer;
}

}  // namespace zinniamux::core
