// Formatting of decisions and the bounded index over them.
#include "adapters/decision_log.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace zinniamux::adapters {
namespace {

using core::DecisionRecord;
using nlohmann::json;

// Containers' own memory per decision; an estimate.
constexpr std::size_t kEntryOverhead = 128;

json CandidatesJson(const std::vector<DecisionRecord::Candidate>& candidates) {
  json list = json::array();
  for (const DecisionRecord::Candidate& candidate : candidates) {
    list.push_back({{"executor", candidate.executor_id},
                    {"free_slots", candidate.free_slots},
                    {"score", candidate.score}});
  }
  return list;
}

void FillDecision(const DecisionRecord& record, json& line) {
  line["decision"] = DecisionName(record.decision);
  line["team"] = record.team;
  line["reason"] = record.reason;
  if (!record.executor_id.empty()) line["executor"] = record.executor_id;
  if (!record.candidates.empty()) line["candidates"] = CandidatesJson(record.candidates);
  if (record.task.submission_id.empty()) return;
  line["job"] = record.task.submission_id;
  line["task"] = record.task.task_index;
}

std::size_t BytesOf(const DecisionRecord& record) {
  std::size_t bytes = kEntryOverhead + sizeof(DecisionRecord) + record.reason.size() +
                      record.team.size() + 2 * record.task.submission_id.size();
  for (const DecisionRecord::Candidate& candidate : record.candidates) {
    bytes += sizeof(candidate) + candidate.executor_id.size();
  }
  return bytes;
}

}  // namespace

std::string_view DecisionName(DecisionRecord::Decision decision) {
  switch (decision) {
    case DecisionRecord::Decision::kPlaced:
      return "placed";
    case DecisionRecord::Decision::kRefused:
      return "refused";
    case DecisionRecord::Decision::kRequeued:
      return "requeued";
    case DecisionRecord::Decision::kEjected:
      return "ejected";
    case DecisionRecord::Decision::kReinstated:
      return "reinstated";
    case DecisionRecord::Decision::kJobEnded:
      return "job_ended";
  }
  return "unknown";
}

DecisionLog::DecisionLog(JsonLog& log) : DecisionLog(log, Options{}) {}

DecisionLog::DecisionLog(JsonLog& log, const Options& options) : log_(log), options_(options) {}

void DecisionLog::Record(DecisionRecord record) {
  const auto shared = std::make_shared<const DecisionRecord>(std::move(record));
  log_.WriteDeferred(LogLevel::kInfo, "decision",
                     [shared](json& line) { FillDecision(*shared, line); });
  if (shared->task.submission_id.empty()) return;
  Keep({std::chrono::system_clock::now(), shared, BytesOf(*shared)});
}

void DecisionLog::Keep(Entry entry) {
  const std::lock_guard lock(mutex_);
  const std::string& id = entry.record->task.submission_id;
  const auto [found, is_new] = histories_.try_emplace(id);
  History& history = found->second;
  if (is_new) {
    history.position = recency_.insert(recency_.end(), id);
  } else {
    recency_.splice(recency_.end(), recency_, history.position);
  }
  bytes_ += entry.bytes;
  history.entries.push_back(std::move(entry));
  Shrink();
}

void DecisionLog::Shrink() {
  while (bytes_ > options_.max_bytes) {
    const auto oldest = histories_.find(recency_.front());
    History& history = oldest->second;
    bytes_ -= history.entries.front().bytes;
    history.entries.pop_front();
    ++history.forgotten;
    if (!history.entries.empty()) continue;
    recency_.pop_front();
    histories_.erase(oldest);
  }
}

std::optional<std::string> DecisionLog::Explain(const std::string& submission_id) const {
  std::deque<Entry> entries;
  std::size_t forgotten = 0;
  {
    const std::lock_guard lock(mutex_);
    const auto found = histories_.find(submission_id);
    if (found == histories_.end()) return std::nullopt;
    entries = found->second.entries;
    forgotten = found->second.forgotten;
  }
  json decisions = json::array();
  for (const Entry& entry : entries) {
    json line{{"time_ms",
               std::chrono::duration_cast<std::chrono::milliseconds>(entry.time.time_since_epoch())
                   .count()}};
    FillDecision(*entry.record, line);
    decisions.push_back(std::move(line));
  }
  const json answer{{"submission_id", submission_id},
                    {"decisions", std::move(decisions)},
                    {"forgotten", forgotten}};
  return answer.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

}  // namespace zinniamux::adapters
