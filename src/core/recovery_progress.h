// The agents whose ledgers a new owner has not received yet.
#ifndef ZINNIAMUX_CORE_RECOVERY_PROGRESS_H_
#define ZINNIAMUX_CORE_RECOVERY_PROGRESS_H_

#include <cstdint>
#include <set>
#include <string>

#include "core/agent_instance.h"
#include "core/clock.h"

namespace zinniamux::core {

// Tracks the ledgers that a new owner needs before it knows every start of earlier epochs.
class RecoveryProgress {
 public:
  // `expected` holds names formatted by InstanceName, or an agent id alone where the incarnation is
  // not known.
  RecoveryProgress(std::set<std::string> expected, TimePoint ends_at);

  // `agent_epoch` is the highest epoch that the agent has seen. Returns true if this shows for
  // the first time that an agent has lost its records of earlier epochs.
  bool OnAttached(const AgentInstance& agent, std::uint64_t agent_epoch);
  // The agent's whole ledger was merged.
  void OnLedgerMerged(const AgentInstance& agent);

  // Every expected ledger was merged, so a task without a record was not started.
  bool complete() const { return instances_without_ledger_.empty() && !lost_; }
  // Some expected ledger can never be merged.
  bool lost() const { return lost_; }
  // Unknown submission ids may have been started before and may still be resubmitted.
  bool recovering(TimePoint now) const { return !complete() && now < ends_at_; }
  const std::set<std::string>& instances_without_ledger() const {
    return instances_without_ledger_;
  }

 private:
  std::set<std::string> instances_without_ledger_;
  TimePoint ends_at_;
  bool lost_ = false;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_RECOVERY_PROGRESS_H_
