// Acceptance of dispatches, fencing, isolation, and reporting of outcomes.
#include "core/agent_core.h"

#include <algorithm>
#include <utility>

namespace zinniamux::core {
namespace {

// A revocation must outlive every dispatch of the task that is in flight; start-by times are about
// one second ahead. It is kept as long as start records are, so that a new owner receives it.
constexpr std::chrono::milliseconds kMinRevokeRetention{60'000};
// gRPC receivers accept 4 MiB by default, which leaves room for a part with one large record.
constexpr std::size_t kPartBytes = 512U << 10U;
constexpr std::size_t kMaxResultBytes = 1U << 20U;
// Encoded size of an outcome without its strings, rounded up.
constexpr std::size_t kOutcomeOverheadBytes = 64;
// A live entry sends a message at least every second. Reads of the shard row begin well before the
// isolation limit.
constexpr std::chrono::seconds kEntrySilenceLimit{3};
constexpr std::chrono::seconds kMinRowReadInterval{2};

std::size_t EstimateEncodedBytes(const TaskOutcome& outcome) {
  return kOutcomeOverheadBytes + outcome.key.submission_id.size() + outcome.result.size() +
         outcome.failure.size();
}

// Splits outcomes into parts of about kPartBytes, in order. Returns at least one part.
std::vector<std::vector<TaskOutcome>> SplitIntoParts(std::vector<TaskOutcome> outcomes) {
  std::vector<std::vector<TaskOutcome>> parts(1);
  std::size_t bytes = 0;
  for (TaskOutcome& outcome : outcomes) {
    const std::size_t size = EstimateEncodedBytes(outcome);
    if (!parts.back().empty() && bytes + size > kPartBytes) {
      parts.emplace_back();
      bytes = 0;
    }
    bytes += size;
    parts.back().push_back(std::move(outcome));
  }
  return parts;
}

std::vector<TaskKey> TaskKeysOf(const DispatchOrder& order) {
  std::vector<TaskKey> keys;
  keys.reserve(order.tasks.size());
  for (const DispatchTask& task : order.tasks) {
    keys.push_back({order.submission_id, task.task_index});
  }
  return keys;
}

}  // namespace

AgentCore::AgentCore(Options options, const Clock& clock)
    : options_(std::move(options)),
      clock_(clock),
      ledger_(options_.ledger_limits, clock),
      longest_retention_(kMinRevokeRetention) {}

std::chrono::milliseconds AgentCore::AgentTime() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(clock_.now().time_since_epoch());
}

ExecutorStatus AgentCore::EffectiveStatus() const {
  ExecutorStatus status = executor_;
  status.leaving = status.leaving || draining_ || stopping_;
  // Each running task needs a connection of its own.
  status.slots = std::min(status.slots, status.connections);
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

bool AgentCore::AdoptEpoch(std::string_view entry_id, std::uint64_t epoch) {
  if (epoch < epoch_) return false;
  epoch_ = epoch;
  AdoptOwner(entry_id);
  return true;
}

void AgentCore::AdoptOwner(std::string_view entry_id) {
  if (owner_id_ == entry_id) return;
  owner_id_ = entry_id;
  // The new owner does not acknowledge what was sent to the previous one.
  ResendUnacknowledged();
}

void AgentCore::Refuse(std::string_view entry_id, std::vector<TaskKey> tasks,
                       RefusalReason reason) {
  ++counters_.refusals[static_cast<std::size_t>(reason)];
  actions_.emplace_back(SendRefusal{.entry_id = std::string(entry_id),
                                    .tasks = std::move(tasks),
                                    .reason = reason,
                                    .epoch = epoch_});
}

void AgentCore::RefuseKnownTasks(std::string_view entry_id, DispatchOrder& order) {
  std::vector<TaskKey> started;
  std::vector<TaskKey> ended;
  std::vector<TaskKey> revoked;
  std::erase_if(order.tasks, [&](const DispatchTask& task) {
    TaskKey key{order.submission_id, task.task_index};
    const TaskOutcome* record = ledger_.Find(key);
    if (record == nullptr) return false;
    if (record->state == TaskState::kRevoked) {
      revoked.push_back(std::move(key));
      return true;
    }
    if (record->state != TaskState::kRunning) ended.push_back(key);
    started.push_back(std::move(key));
    return true;
  });
  if (!started.empty()) Refuse(entry_id, std::move(started), RefusalReason::kAlreadyStarted);
  if (!revoked.empty()) Refuse(entry_id, std::move(revoked), RefusalReason::kRevoked);
  if (!ended.empty()) SendOutcomes(ended);
}

std::optional<RefusalReason> AgentCore::RefusalReasonFor(const DispatchOrder& order) const {
  if (order.config_version < config_version_) return RefusalReason::kStaleConfig;
  if (AgentTime() > order.start_by) return RefusalReason::kLate;
  if (!IsAuthorised(order.epoch)) return RefusalReason::kNotAuthorised;
  const ExecutorStatus status = EffectiveStatus();
  if (status.leaving) return RefusalReason::kLeaving;
  if (!status.available) return RefusalReason::kExecutorDown;
  if (running_tasks_ + order.tasks.size() > status.slots) return RefusalReason::kNoSlot;
  if (!ledger_.HasCapacityFor(order.tasks.size())) return RefusalReason::kNoSlot;
  return std::nullopt;
}

void AgentCore::OnDispatch(std::string_view entry_id, DispatchOrder order) {
  // Epochs of different shards are not comparable.
  if (order.shard != options_.shard) {
    Refuse(entry_id, TaskKeysOf(order), RefusalReason::kNotAuthorised);
    return;
  }
  if (!AdoptEpoch(entry_id, order.epoch)) {
    Refuse(entry_id, TaskKeysOf(order), RefusalReason::kStaleEpoch);
    return;
  }
  // Done before the checks below: any of their reasons would tell the owner that a task with a
  // record may be placed elsewhere.
  RefuseKnownTasks(entry_id, order);
  if (order.tasks.empty()) return;
  if (const std::optional<RefusalReason> reason = RefusalReasonFor(order)) {
    Refuse(entry_id, TaskKeysOf(order), *reason);
    return;
  }
  config_version_ = order.config_version;
  longest_retention_ = std::max(longest_retention_, order.retention);
  LocalJob& job = jobs_[order.submission_id];
  job.result_hold = order.result_hold;
  for (DispatchTask& task : order.tasks) {
    TaskKey key{order.submission_id, task.task_index};
    if (!ledger_.TryStart(key, order.facts, order.retention)) continue;
    ++job.running;
    ++running_tasks_;
    ++counters_.starts;
    actions_.emplace_back(StartTask{std::move(key), std::move(task)});
  }
}

void AgentCore::OnRevoke(std::string_view entry_id, std::uint64_t epoch,
                         std::span<const TaskKey> tasks) {
  OnReconcile(entry_id, epoch, tasks);
}

void AgentCore::OnReconcile(std::string_view entry_id, std::uint64_t epoch,
                            std::span<const TaskKey> tasks) {
  if (!AdoptEpoch(entry_id, epoch)) {
    Refuse(entry_id, {}, RefusalReason::kStaleEpoch);
    return;
  }
  std::vector<TaskOutcome> outcomes;
  outcomes.reserve(tasks.size());
  for (const TaskKey& key : tasks) outcomes.push_back(ledger_.Revoke(key, longest_retention_));
  for (std::vector<TaskOutcome>& part : SplitIntoParts(std::move(outcomes))) {
    actions_.emplace_back(SendReconcileReply{
        .entry_id = std::string(entry_id), .epoch = epoch_, .outcomes = std::move(part)});
  }
}

void AgentCore::OnFence(std::string_view entry_id, std::uint64_t epoch) {
  if (epoch < epoch_) {
    actions_.emplace_back(SendFenceReply{
        .entry_id = std::string(entry_id), .accepted = false, .epoch = epoch_, .records = {}});
    return;
  }
  epoch_ = epoch;
  owner_id_ = entry_id;
  // The reply contains every outcome, including those held for batching.
  in_flight_outcomes_.clear();
  unsent_outcomes_.clear();
  for (auto& [id, job] : jobs_) job.held_outcomes.clear();
  std::vector<TaskOutcome> records = ledger_.Records();
  for (const TaskOutcome& record : records) {
    if (record.state == TaskState::kRunning) continue;
    unacknowledged_.insert(record.key);
    unsent_outcomes_.push_back(record.key);
  }
  std::vector<std::vector<TaskOutcome>> parts = SplitIntoParts(std::move(records));
  for (std::vector<TaskOutcome>& part : parts) {
    const bool is_last = &part == &parts.back();
    actions_.emplace_back(SendFenceReply{.entry_id = std::string(entry_id),
                                         .accepted = true,
                                         .epoch = epoch_,
                                         .records = std::move(part),
                                         .last_part = is_last});
  }
}

void AgentCore::OnTaskEnded(TaskOutcome outcome) {
  const TaskOutcome* record = ledger_.Find(outcome.key);
  if (record == nullptr || record->state != TaskState::kRunning) return;
  if (outcome.result.size() > kMaxResultBytes) {
    outcome.state = TaskState::kFailed;
    outcome.failure = "the result of " + std::to_string(outcome.result.size()) +
                      " bytes exceeds the limit of " + std::to_string(kMaxResultBytes);
    outcome.result.clear();
  }
  const TaskKey key = outcome.key;
  const TaskState state = outcome.state;
  ledger_.Finish(std::move(outcome));
  --running_tasks_;
  unacknowledged_.insert(key);
  // Report the executor as down before the outcome, so that the entries do not place the task here
  // again.
  if (state == TaskState::kRevoked) OnExecutorLost();
  LocalJob& job = jobs_[key.submission_id];
  --job.running;
  if (job.held_outcomes.empty()) job.flush_at = clock_.now() + job.result_hold;
  job.held_outcomes.push_back(key);
  // A failed task ends the job, so holding its outcome back gains nothing.
  if (state != TaskState::kFinished || job.running == 0 || job.result_hold.count() == 0) {
    FlushJob(key.submission_id);
  }
}

void AgentCore::FlushJob(const std::string& submission_id) {
  const auto found = jobs_.find(submission_id);
  const std::vector<TaskKey> held = std::exchange(found->second.held_outcomes, {});
  if (found->second.running == 0) jobs_.erase(found);
  SendOutcomes(held);
}

void AgentCore::SendOutcomes(std::span<const TaskKey> keys) {
  std::vector<TaskOutcome> outcomes;
  outcomes.reserve(keys.size());
  for (const TaskKey& key : keys) {
    const TaskOutcome* record = ledger_.Find(key);
    if (record == nullptr) continue;
    outcomes.push_back(*record);
    unsent_outcomes_.push_back(key);
  }
  if (outcomes.empty()) return;
  counters_.outcomes_sent += outcomes.size();
  for (std::vector<TaskOutcome>& part : SplitIntoParts(std::move(outcomes))) {
    ++counters_.result_messages;
    actions_.emplace_back(SendResults{.entry_id = owner_id_, .outcomes = std::move(part)});
  }
}

void AgentCore::ResendUnacknowledged() {
  in_flight_outcomes_.clear();
  unsent_outcomes_.clear();
  std::unordered_set<TaskKey, TaskKeyHash> held;
  for (const auto& [id, job] : jobs_) {
    held.insert(job.held_outcomes.begin(), job.held_outcomes.end());
  }
  std::vector<TaskKey> keys;
  for (const TaskKey& key : unacknowledged_) {
    if (!held.contains(key)) keys.push_back(key);
  }
  counters_.outcomes_resent += keys.size();
  SendOutcomes(keys);
}

void AgentCore::OnAttached(std::string_view entry_id) {
  if (!owner_id_.empty() && entry_id == owner_id_) ResendUnacknowledged();
}

void AgentCore::OnResultAck(std::string_view entry_id, std::span<const TaskKey> tasks) {
  if (entry_id != owner_id_) return;
  for (const TaskKey& key : tasks) unacknowledged_.erase(key);
}

void AgentCore::OnAcknowledged(std::string_view entry_id, std::chrono::milliseconds agent_time) {
  if (entry_id != owner_id_) return;
  // Strictly earlier: several messages may share a time stamp, and the last of them may not have
  // arrived.
  while (!in_flight_outcomes_.empty() && in_flight_outcomes_.front().sent_time < agent_time) {
    unacknowledged_.erase(in_flight_outcomes_.front().key);
    in_flight_outcomes_.pop_front();
  }
}

void AgentCore::OnEntryHeard(std::string_view entry_id) {
  const auto found = last_heard_.find(entry_id);
  if (found == last_heard_.end()) {
    last_heard_.emplace(entry_id, clock_.now());
    return;
  }
  found->second = clock_.now();
}

void AgentCore::OnRoster(std::string_view reporter, std::uint64_t incarnation,
                         std::span<const std::string> entry_ids) {
  RosterReport report{.incarnation = incarnation,
                      .entry_ids = {entry_ids.begin(), entry_ids.end()}};
  report.entry_ids.emplace(reporter);
  RosterReport& previous = last_roster_reports_[std::string(reporter)];
  if (previous.incarnation == incarnation) {
    for (const std::string& id : previous.entry_ids) {
      if (report.entry_ids.contains(id)) continue;
      roster_.erase(id);
      last_heard_.erase(id);
    }
  }
  roster_.insert(report.entry_ids.begin(), report.entry_ids.end());
  previous = std::move(report);
  std::erase_if(last_roster_reports_,
                [this](const auto& item) { return !roster_.contains(item.first); });
}

bool AgentCore::IsAnyEntrySilentFor(Duration limit) const {
  const TimePoint now = clock_.now();
  return std::ranges::any_of(roster_, [&](const std::string& id) {
    const auto heard = last_heard_.find(id);
    return heard == last_heard_.end() || now - heard->second > limit;
  });
}

bool AgentCore::IsAuthorised(std::uint64_t epoch) const {
  if (!roster_.empty() && !IsAnyEntrySilentFor(options_.isolation_limit)) return true;
  return row_read_began_at_ && clock_.now() - *row_read_began_at_ <= options_.isolation_limit &&
         row_epoch_ == epoch;
}

bool AgentCore::WantsShardRow() const {
  if (!IsAnyEntrySilentFor(kEntrySilenceLimit)) return false;
  return !row_requested_at_ || clock_.now() - *row_requested_at_ >= kMinRowReadInterval;
}

void AgentCore::OnShardRowRequested() { row_requested_at_ = clock_.now(); }

void AgentCore::OnShardRow(std::uint64_t epoch, TimePoint requested_at) {
  row_epoch_ = epoch;
  row_read_began_at_ = requested_at;
  epoch_ = std::max(epoch_, epoch);
}

void AgentCore::UpdateExecutor(const ExecutorStatus& status, bool draining, bool stopping) {
  const ExecutorStatus before = EffectiveStatus();
  executor_ = status;
  draining_ = draining;
  stopping_ = stopping;
  const ExecutorStatus after = EffectiveStatus();
  if (after != before) actions_.emplace_back(BroadcastStatus{after});
}

void AgentCore::OnExecutorStatus(const ExecutorStatus& status) {
  UpdateExecutor(status, draining_, stopping_);
}

void AgentCore::OnAnnounce(ExecutorStatus status, std::optional<bool> leaving) {
  const bool restarted = status.executor_id != executor_.executor_id;
  status.available = true;
  status.leaving = leaving.value_or(!restarted && executor_.leaving);
  OnExecutorStatus(status);
}

void AgentCore::OnExecutorLeave() {
  ExecutorStatus status = executor_;
  status.leaving = true;
  OnExecutorStatus(status);
}

void AgentCore::OnExecutorLost() {
  ExecutorStatus status = executor_;
  status.available = false;
  OnExecutorStatus(status);
}

void AgentCore::SetDraining(bool draining) { UpdateExecutor(executor_, draining, stopping_); }

void AgentCore::BeginShutdown() { UpdateExecutor(executor_, draining_, true); }

void AgentCore::OnTimer() {
  const TimePoint now = clock_.now();
  std::vector<std::string> due_jobs;
  for (const auto& [id, job] : jobs_) {
    if (!job.held_outcomes.empty() && job.flush_at <= now) due_jobs.push_back(id);
  }
  for (const std::string& id : due_jobs) FlushJob(id);
  for (const TaskKey& key : ledger_.Expire()) unacknowledged_.erase(key);
}

std::vector<AgentAction> AgentCore::TakeActions() {
  sent_time_ = AgentTime();
  for (TaskKey& key : unsent_outcomes_) in_flight_outcomes_.push_back({std::move(key), sent_time_});
  unsent_outcomes_.clear();
  return std::exchange(actions_, {});
}

}  // namespace zinniamux::core
