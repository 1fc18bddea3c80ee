// Start, revocation and expiry of task records.
#include "core/start_ledger.h"

#include <utility>

namespace zinniamux::core {
namespace {

// Sizes of the two map nodes of a record and of their allocations on x86-64, rounded up.
constexpr std::size_t kRecordOverheadBytes = 320;

std::size_t EstimateBytes(const TaskOutcome& outcome) {
  // The submission id is stored in the map's key and in the outcome.
  return kRecordOverheadBytes + 2 * outcome.key.submission_id.size() + outcome.result.size() +
         outcome.failure.size();
}

}  // namespace

StartLedger::StartLedger(const Limits& limits, const Clock& clock)
    : limits_(limits), clock_(clock) {}

bool StartLedger::HasCapacityFor(std::size_t count) const {
  return records_.size() + count <= limits_.max_records && bytes_ < limits_.max_bytes;
}

bool StartLedger::TryStart(const TaskKey& key, const JobFacts& job,
                           std::chrono::milliseconds retention) {
  TaskOutcome running{.key = key, .state = TaskState::kRunning, .job = job};
  const std::size_t bytes = EstimateBytes(running);
  const bool inserted =
      records_.try_emplace(key, Record{.outcome = std::move(running), .retention = retention})
          .second;
  if (inserted) bytes_ += bytes;
  return inserted;
}

TaskOutcome StartLedger::Revoke(const TaskKey& key, std::chrono::milliseconds retention) {
  Record revoked{.outcome = {.key = key, .state = TaskState::kRevoked}, .retention = retention};
  const std::size_t bytes = EstimateBytes(revoked.outcome);
  const auto [position, inserted] = records_.try_emplace(key, std::move(revoked));
  if (inserted) {
    bytes_ += bytes;
    expiry_.emplace(clock_.now() + retention, &position->first);
  }
  return position->second.outcome;
}

void StartLedger::Finish(TaskOutcome outcome) {
  const auto found = records_.find(outcome.key);
  if (found == records_.end()) return;
  Record& record = found->second;
  if (record.outcome.state != TaskState::kRunning) return;
  bytes_ -= EstimateBytes(record.outcome);
  outcome.job = record.outcome.job;
  record.outcome = std::move(outcome);
  bytes_ += EstimateBytes(record.outcome);
  expiry_.emplace(clock_.now() + record.retention, &found->first);
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

std::vector<TaskKey> StartLedger::Expire() {
  std::vector<TaskKey> expired;
  const auto end = expiry_.upper_bound(clock_.now());
  for (auto due = expiry_.begin(); due != end; due = expiry_.erase(due)) {
    const auto found = records_.find(*due->second);
    bytes_ -= EstimateBytes(found->second.outcome);
    expired.push_back(found->first);
    records_.erase(found);
  }
  return expired;
}

}  // namespace zinniamux::core
