// Start records of one agent.
#include "core/start_ledger.h"

#include <utility>

namespace zinniamux::core {
namespace {

// Sizes of the two map nodes of a record and of their allocations on x86-64, rounded up.
constexpr std::size_t kRecordOverheadBytes = 320;

std::size_t BytesOf(const TaskOutcome& outcome) {
  // The submission id is stored in the map's key and in the outcome.
  return kRecordOverheadBytes + 2 * outcome.key.submission_id.size() + outcome.result.size() +
         outcome.failure.size();
}

}  // namespace

StartLedger::StartLedger(const Limits& limits, const Clock& clock)
    : limits_(limits), clock_(clock) {}

bool StartLedger::HasRoom(std::size_t count) const {
  return records_.size() + count <= limits_.max_records && bytes_ < limits_.max_bytes;
}

bool StartLedger::TryStart(const TaskKey& key, const JobFacts& job,
                           std::chrono::milliseconds retention) {
  TaskOutcome running{.key = key, .state = TaskState::kRunning, .job = job};
  const std::size_t bytes = BytesOf(running);
  const bool inserted =
      records_.try_emplace(key, Record{.outcome = std::move(running), .retention = retention})
          .second;
  if (inserted) bytes_ += bytes;
  return inserted;
}

TaskOutcome StartLedger::Revoke(const TaskKey& key, std::chrono::milliseconds retention) {
  Record revoked{.outcome = {.key = key, .state = TaskState::kRevoked}, .retention = retention};
  const std::size_t bytes = BytesOf(revoked.outcome);
  const auto [entry, inserted] = records_.try_emplace(key, std::move(revoked));
  if (inserted) {
    bytes_ += bytes;
    expiry_.emplace(clock_.now() + retention, &entry->first);
  }
  return entry->second.outcome;
}

void StartLedger::Finish(TaskOutcome outcome) {
  const auto found = records_.find(outcome.key);
  if (found == records_.end()) return;
  Record& record = found->second;
  if (record.outcome.state != TaskState::kRunning) return;
  bytes_ -= BytesOf(record.outcome);
  outcome.job = record.outcome.job;
  record.outcome = std::move(outcome);
  bytes_ += BytesOf(record.outcome);
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
  std::vector<TaskKey> forgotten;
  const auto end = expiry_.upper_bound(clock_.now());
  for (auto entry = expiry_.begin(); entry != end; entry = expiry_.erase(entry)) {
    const auto found = records_.find(*entry->second);
    bytes_ -= BytesOf(found->second.outcome);
    forgotten.push_back(found->first);
    records_.erase(found);
  }
  return forgotten;
}

}  // namespace zinniamux::core
