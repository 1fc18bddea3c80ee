// Which agents a new owner has yet to hear from.
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
  // `expected` holds names by InstanceName, or agent ids alone where the incarnation is not known.
  RecoveryProgress(std::set<std::string> expected, TimePoint ends_at);

  // `agent_epoch` is the highest epoch that the agent has seen. Returns true if the agent's memory
  // of earlier epochs turns out to be lost by this.
  bool OnAttached(const AgentInstance& agent, std::uint64_t agent_epoch);
  // The agent's whole ledger was merged.
  void OnLedgerMerged(const AgentInstance& agent);

  // Every expected ledger was merged: a task without a record has not started.
  bool complete() const { return unheard_.empty() && !lost_; }
  // Some expected ledger can never be merged.
  bool lost() const { return lost_; }
  // Unknown submission ids may have started before and may still be resubmitted.
  bool recovering(TimePoint now) const { return !complete() && now < ends_at_; }
  const std::set<std::string>& unheard() const { return unheard_; }

 private:
  std::set<std::string> unheard_;
  TimePoint ends_at_;
  bool lost_ = false;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_RECOVERY_PROGRESS_H_
