// When the agents row of a shard is written, and what it holds.
#include "core/agent_set.h"

#include <algorithm>
#include <utility>

namespace zinniamux::core {

AgentSet::AgentSet(Options options, std::set<std::string> stored, const Clock& clock)
    : options_(options), clock_(clock), stored_(std::move(stored)), next_write_at_(clock.now()) {
  for (const std::string& id : stored_) wanted_[id] = clock.now();
}

void AgentSet::OnAttached(const std::string& agent_id) { wanted_[agent_id].reset(); }

void AgentSet::OnDetached(const std::string& agent_id) {
  const auto found = wanted_.find(agent_id);
  if (found != wanted_.end()) found->second = clock_.now();
}

void AgentSet::OnLeft(const std::string& agent_id) { wanted_.erase(agent_id); }

void AgentSet::ForgetSilent() {
  std::erase_if(wanted_, [this](const auto& agent) {
    return agent.second && clock_.now() - *agent.second >= options_.silence_limit;
  });
}

std::optional<std::vector<std::string>> AgentSet::TakeWrite() {
  if (writing_ || clock_.now() < next_write_at_) return std::nullopt;
  ForgetSilent();
  std::set<std::string> ids;
  for (const auto& [id, silent_since] : wanted_) ids.insert(id);
  if (ids == stored_) return std::nullopt;
  writing_ = std::move(ids);
  return std::vector<std::string>(writing_->begin(), writing_->end());
}

void AgentSet::OnWriteDone(CommitOutcome outcome) {
  if (!writing_) return;
  const std::set<std::string> written = *std::exchange(writing_, std::nullopt);
  if (outcome == CommitOutcome::kCommitted) {
    stored_ = written;
    return;
  }
  if (outcome == CommitOutcome::kUnknown) {
    // The row holds either content; only agents in both are known to be in it.
    std::erase_if(stored_, [&](const std::string& id) { return !written.contains(id); });
  }
  next_write_at_ = clock_.now() + options_.retry_period;
}

}  // namespace zinniamux::core
