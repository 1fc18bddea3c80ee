// The agents of one shard as the table keeps them for the shard's next owner.
#ifndef ZINNIAMUX_CORE_AGENT_SET_H_
#define ZINNIAMUX_CORE_AGENT_SET_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/table_store.h"

namespace zinniamux::core {

// Which agents may hold records of the shard's tasks. A new owner waits for every agent in the
// row, so an agent must be in the row before it gets its first task. Not thread-safe.
class AgentSet {
 public:
  struct Options {
    // A silent agent is kept this long: isolation limit, longest deadline and retention.
    std::chrono::milliseconds silence_limit{130'000};
    std::chrono::milliseconds retry_period{500};
  };

  // `stored` is the content of the row.
  AgentSet(Options options, std::set<std::string> stored, const Clock& clock);

  void OnAttached(const std::string& agent_id);
  void OnDetached(const std::string& agent_id);
  // The agent ended gracefully and holds no record that the owner has not acknowledged.
  void OnLeft(const std::string& agent_id);

  // The set to write, if a write is due; it is under way until OnWriteDone.
  std::optional<std::vector<std::string>> TakeWrite();
  void OnWriteDone(CommitOutcome outcome);

  // The row is known to name the agent.
  bool IsStored(const std::string& agent_id) const { return stored_.contains(agent_id); }
  const std::set<std::string>& stored() const { return stored_; }

 private:
  void ForgetSilent();

  const Options options_;
  const Clock& clock_;
  std::set<std::string> stored_;
  // What the row should hold: each agent, and since when it is silent (unset while attached).
  std::map<std::string, std::optional<TimePoint>> wanted_;
  // The content of the write under way.
  std::optional<std::set<std::string>> writing_;
  TimePoint next_write_at_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_AGENT_SET_H_
