// Progress of the recovery after a takeover.
#include "core/recovery_progress.h"

#include <utility>

namespace zinniamux::core {

RecoveryProgress::RecoveryProgress(std::set<std::string> expected, TimePoint ends_at)
    : instances_without_ledger_(std::move(expected)), ends_at_(ends_at) {}

bool RecoveryProgress::OnAttached(const AgentInstance& agent, std::uint64_t agent_epoch) {
  const bool was_lost = lost_;
  const std::string name = InstanceName(agent);
  const std::string prefix = agent.agent_id + "@";
  for (const std::string& expected : instances_without_ledger_) {
    if (expected.starts_with(prefix) && expected != name) lost_ = true;
  }
  // Every earlier owner fenced the agent when it attached, so an agent that has seen no epoch has
  // restarted since.
  if (instances_without_ledger_.contains(agent.agent_id) && agent_epoch == 0) lost_ = true;
  return lost_ && !was_lost;
}

void RecoveryProgress::OnLedgerMerged(const AgentInstance& agent) {
  instances_without_ledger_.erase(InstanceName(agent));
  instances_without_ledger_.erase(agent.agent_id);
}

}  // namespace zinniamux::core
