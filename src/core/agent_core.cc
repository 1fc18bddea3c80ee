// Acceptance of dispatches, fencing, and reporting of outcomes.
#include "core/agent_core.h"

#include <algorithm>
#include <utility>

namespace zinniamux::core {
namespace {

constexpr std::chrono::milliseconds kRevokeRetention{60'000};

}  // namespace

AgentCore::AgentCore(Options options, const Clock& clock)
    : options_(std::move(options)), clock_(clock), ledger_(clock) {}

std::chrono::milliseconds AgentCore::AgentTime() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(clock_.now().time_since_epoch());
}

ExecutorStatus AgentCore::EffectiveStatus() const {
  ExecutorStatus status = executor_;
  status.leaving = status.leaving || draining_;
  return status;
}

AgentHello AgentCore::Hello() const {
  return {.agent_id = options_.agent_id,
          .incarnation = options_.incarnation,
          .shard = options_.shard,
          .availability_zone = options_.availability_zone,
          .rack = options_.rack,
          .executor = EffectiveStatus(),
          .agent_time = AgentTime(),
          .epoch = epoch_};
}

std::optional<RefusalReason> AgentCore::RefusalFor(const DispatchOrder& order) const {
  if (order.epoch < epoch_) return RefusalReason::kStaleEpoch;
  if (order.config_version < config_version_) return RefusalReason::kStaleConfig;
  if (AgentTime() > order.start_by) return RefusalReason::kLate;
  if (EffectiveStatus().leaving) return RefusalReason::kLeaving;
  if (!executor_.available) return RefusalReason::kExecutorDown;
  for (const DispatchTask& task : order.tasks) {
    const TaskOutcome* record = ledger_.Find({order.submission_id, task.task_index});
    if (record == nullptr) continue;
    return record->state == TaskState::kRevoked ? RefusalReason::kRevoked
                                                : RefusalReason::kAlreadyStarted;
  }
  if (running_tasks_ + order.tasks.size() > executor_.slots) return RefusalReason::kNoSlot;
  return std::nullopt;
}

void AgentCore::OnDispatch(std::string_view entry_id, DispatchOrder order) {
  if (const std::optional<RefusalReason> reason = RefusalFor(order)) {
    SendRefusal refusal{std::string(entry_id), {}, *reason, epoch_};
    for (const DispatchTask& task : order.tasks) {
      refusal.tasks.push_back({order.submission_id, task.task_index});
    }
    actions_.emplace_back(std::move(refusal));
    return;
  }
  epoch_ = order.epoch;
  config_version_ = order.config_version;
  owner_id_ = entry_id;
  for (DispatchTask& task : order.tasks) {
    const TaskKey key{order.submission_id, task.task_index};
    if (!ledger_.TryStart(key, order.facts, order.retention)) continue;
    ++running_tasks_;
    actions_.emplace_back(StartTask{key, std::move(task)});
  }
}

void AgentCore::OnRevoke(std::string_view entry_id, std::uint64_t epoch,
                         std::span<const TaskKey> tasks) {
  OnReconcile(entry_id, epoch, tasks);
}

void AgentCore::OnReconcile(std::string_view entry_id, std::uint64_t epoch,
                            std::span<const TaskKey> tasks) {
  if (epoch < epoch_) return;
  SendReconcileReply reply{std::string(entry_id), {}};
  for (const TaskKey& key : tasks) reply.outcomes.push_back(ledger_.Revoke(key, kRevokeRetention));
  actions_.emplace_back(std::move(reply));
}

void AgentCore::OnFence(std::string_view entry_id, std::uint64_t epoch) {
  const bool accepted = epoch >= epoch_;
  if (accepted) {
    epoch_ = epoch;
    owner_id_ = entry_id;
  }
  SendFenceReply reply{std::string(entry_id), accepted, epoch_, {}};
  if (accepted) reply.records = ledger_.Records();
  actions_.emplace_back(std::move(reply));
}

void AgentCore::OnResultAck(std::span<const TaskKey> /*tasks*/) {}

void AgentCore::OnTaskEnded(const TaskOutcome& outcome) {
  const TaskOutcome* record = ledger_.Find(outcome.key);
  if (record == nullptr || record->state != TaskState::kRunning) return;
  ledger_.Finish(outcome);
  --running_tasks_;
  actions_.emplace_back(SendResults{owner_id_, {*ledger_.Find(outcome.key)}});
}

void AgentCore::OnExecutorStatus(const ExecutorStatus& status) {
  if (status == executor_) return;
  executor_ = status;
  actions_.emplace_back(BroadcastStatus{EffectiveStatus()});
}

void AgentCore::SetDraining(bool draining) {
  if (draining == draining_) return;
  draining_ = draining;
  actions_.emplace_back(BroadcastStatus{EffectiveStatus()});
}

void AgentCore::OnTimer() { ledger_.Expire(); }

std::vector<AgentAction> AgentCore::TakeActions() { return std::exchange(actions_, {}); }

}  // namespace zinniamux::core
