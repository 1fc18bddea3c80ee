// Start records of one agent.
#include "core/start_ledger.h"

namespace zinniamux::core {

StartLedger::StartLedger(const Clock& clock) : clock_(clock) {}

bool StartLedger::TryStart(const TaskKey& key, const JobFacts& job,
                           std::chrono::milliseconds retention) {
  TaskOutcome running{.key = key, .state = TaskState::kRunning, .job = job};
  return records_
      .try_emplace(
          key, Record{.outcome = std::move(running), .retention = retention, .forget_after = {}})
      .second;
}

TaskOutcome StartLedger::Revoke(const TaskKey& key, std::chrono::milliseconds retention) {
  Record revoked{.outcome = {.key = key, .state = TaskState::kRevoked},
                 .retention = retention,
                 .forget_after = clock_.now() + retention};
  return records_.try_emplace(key, std::move(revoked)).first->second.outcome;
}

void StartLedger::Finish(const TaskOutcome& outcome) {
  const auto found = records_.find(outcome.key);
  if (found == records_.end()) return;
  Record& record = found->second;
  if (record.outcome.state != TaskState::kRunning) return;
  const JobFacts job = record.outcome.job;
  record.outcome = outcome;
  record.outcome.job = job;
  record.forget_after = clock_.now() + record.retention;
}

const TaskOutcome* StartLedger::Find(const TaskKey& key) const {
  const auto found = records_.find(key);
  return found == records_.end() ? nullptr : &found->second.outcome;
}

std::vector<TaskOutcome> StartLedger::Records() const {
  std::vector<TaskOutcome> outcomes;
  outcomes.reserve(records_.size());
  for (const auto& [key, record] : records_) outcomes.push_back(record.outcome);
  return outcomes;
}

void StartLedger::Expire() {
  const TimePoint now = clock_.now();
  std::erase_if(records_, [now](const auto& entry) {
    return entry.second.forget_after && *entry.second.forget_after <= now;
  });
}

}  // namespace zinniamux::core
