// The decision log: one line per routing decision, and the recent decisions of each submission.
#ifndef ZINNIAMUX_ADAPTERS_DECISION_LOG_H_
#define ZINNIAMUX_ADAPTERS_DECISION_LOG_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "adapters/json_log.h"
#include "core/dispatcher_action.h"

namespace zinniamux::adapters {

// The name of a decision in the log, the metrics and explanations, for example "placed".
std::string_view DecisionName(core::DecisionRecord::Decision decision);

// Logs decisions and keeps the most recent ones in memory for `explain`. Memory is bounded: the
// submission that was decided on least recently is forgotten first. Thread-safe and cheap enough to
// be called under a shard's lock.
class DecisionLog {
 public:
  struct Options {
    // Bound on the kept decisions, counted with their strings and candidates.
    std::size_t max_bytes = 16U << 20U;
  };

  explicit DecisionLog(JsonLog& log);
  DecisionLog(JsonLog& log, const Options& options);

  // Writes a line with event "decision" and keeps the record.
  void Record(core::DecisionRecord record);

  // {"submission_id", "decisions": [...], "forgotten"} in the order of the decisions; "forgotten"
  // counts earlier decisions that are no longer kept. Nothing if the id is unknown or forgotten.
  std::optional<std::string> Explain(const std::string& submission_id) const;

 private:
  struct Entry {
    std::chrono::system_clock::time_point time;
    std::shared_ptr<const core::DecisionRecord> record;
    std::size_t bytes = 0;
  };
  struct History {
    std::deque<Entry> entries;
    std::size_t forgotten = 0;
    std::list<std::string>::iterator position;
  };

  void Keep(Entry entry);
  // Drops the oldest decisions until the bound holds.
  void Shrink();

  JsonLog& log_;
  const Options options_;
  mutable std::mutex mutex_;
  // Guarded by mutex_. `recency_` holds the ids of `histories_`, the most recent last; `bytes_` is
  // the sum over all entries and at most options_.max_bytes between calls.
  std::unordered_map<std::string, History> histories_;
  std::list<std::string> recency_;
  std::size_t bytes_ = 0;
};

}  // namespace zinniamux::adapters

#endif  // ZINNIAMUX_ADAPTERS_DECISION_LOG_H_
