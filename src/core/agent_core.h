// The decisions of one agent: which dispatches it accepts, and whom it tells what.
#ifndef ZINNIAMUX_CORE_AGENT_CORE_H_
#define ZINNIAMUX_CORE_AGENT_CORE_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/agent_action.h"
#include "core/clock.h"
#include "core/dispatch_order.h"
#include "core/executor_info.h"
#include "core/start_ledger.h"

namespace zinniamux::core {

// The only door to one executor. Not thread-safe: the caller holds the agent's lock.
class AgentCore {
 public:
  struct Options {
    std::string agent_id;
    std::uint64_t incarnation = 0;
    std::uint32_t shard = 0;
    std::string availability_zone;
    std::string rack;
  };

  AgentCore(Options options, const Clock& clock);

  AgentHello Hello() const;

  void OnDispatch(std::string_view entry_id, DispatchOrder order);
  void OnRevoke(std::string_view entry_id, std::uint64_t epoch, std::span<const TaskKey> tasks);
  void OnReconcile(std::string_view entry_id, std::uint64_t epoch, std::span<const TaskKey> tasks);
  void OnFence(std::string_view entry_id, std::uint64_t epoch);
  void OnResultAck(std::span<const TaskKey> tasks);
  void OnTaskEnded(const TaskOutcome& outcome);
  void OnExecutorStatus(const ExecutorStatus& status);
  // An operator's request, or the start of a graceful shutdown.
  void SetDraining(bool draining);
  void OnTimer();

  std::vector<AgentAction> TakeActions();

  std::size_t running_tasks() const { return running_tasks_; }
  const ExecutorStatus& executor() const { return executor_; }

 private:
  std::optional<RefusalReason> RefusalFor(const DispatchOrder& order) const;
  std::chrono::milliseconds AgentTime() const;
  ExecutorStatus EffectiveStatus() const;

  const Options options_;
  const Clock& clock_;
  StartLedger ledger_;
  ExecutorStatus executor_;
  bool draining_ = false;
  // The entry that dispatched last under the highest epoch; results go there.
  std::string owner_id_;
  // Highest values seen; they never decrease.
  std::uint64_t epoch_ = 0;
  std::uint64_t config_version_ = 0;
  std::size_t running_tasks_ = 0;
  std::vector<AgentAction> actions_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_AGENT_CORE_H_
