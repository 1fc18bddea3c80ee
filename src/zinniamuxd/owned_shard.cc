// Connects a shard's dispatcher to agents, claims and the table.
#include "zinniamuxd/owned_shard.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "adapters/row_codec.h"
#include "rpc/convert.h"

namespace zinniamux::daemon {
namespace {

constexpr std::chrono::milliseconds kStoreRetryPeriod{250};
// Acknowledgements collected during this period are sent in one message per agent.
constexpr std::chrono::milliseconds kAcknowledgePeriod{100};
// The largest isolation limit that an agent's settings allow.
constexpr std::chrono::milliseconds kMaxIsolationLimit{10'000};
// Time until another attempt to read a ledger that is missing.
constexpr std::chrono::milliseconds kLedgerRereadPeriod{1000};
// How long after the last confirmation of ownership an answer may still say "not run"; the shard
// row is read once per second.
constexpr std::chrono::milliseconds kOwnershipValidity{3000};

// How long a submission that an agent may have started without reporting it can still be
// resubmitted. Never shorter than the default, because an earlier configuration may have allowed
// that much.
std::chrono::milliseconds RecoveryWindow(const std::optional<core::DispatchConfig>& config) {
  const std::chrono::milliseconds min_window = core::ShardDispatcher::Options().recovery_window;
  if (!config) return min_window;
  return std::max(min_window,
                  kMaxIsolationLimit + config->policy.max_deadline + config->policy.retention);
}

}  // namespace

OwnedShard::OwnedShard(const Options& options, Hooks hooks, core::TableStore& store,
                       AgentRegistry& agents, const core::Clock& clock)
    : options_(options),
      hooks_(std::move(hooks)),
      store_(store),
      agents_(agents),
      clock_(clock),
      acknowledge_at_(clock.now()),
      reread_ledgers_at_(clock.now() + kLedgerRereadPeriod),
      write_agents_at_(clock.now()) {}

void OwnedShard::Start() { ReadAgents(); }

void OwnedShard::ReadAgents() {
  {
    const std::lock_guard lock(mutex_);
    read_agents_at_.reset();
  }
  store_.ReadRow(adapters::AgentsRowKey(options_.shard),
                 [weak = weak_from_this()](const core::Result<std::optional<core::TableRow>>& row) {
                   const auto self = weak.lock();
                   if (self == nullptr) return;
                   core::Result<std::set<std::string>> agents;
                   if (!row) {
                     agents = tl::unexpected(row.error());
                   } else if (*row) {
                     agents = adapters::ParseAgentsRow((*row)->value);
                   }
                   if (agents) {
                     self->ReadDepartedLedgers(*agents);
                     return;
                   }
                   self->hooks_.on_problem("agents row: " + agents.error().message);
                   const std::lock_guard lock(self->mutex_);
                   self->read_agents_at_ = self->clock_.now() + kStoreRetryPeriod;
                 });
}

void OwnedShard::ReadDepartedLedger(const core::AgentInstance& instance,
                                    std::function<void(std::optional<DepartedLedger>)> callback) {
  store_.ReadObject(
      adapters::DepartedLedgerKey(options_.shard, core::InstanceName(instance)),
      [instance, callback = std::move(callback)](const core::Result<std::string>& body) {
        v1::FenceReply ledger;
        if (!body || !ledger.ParseFromString(*body)) return callback(std::nullopt);
        callback(DepartedLedger{.instance = instance,
                                .records = rpc::FromProto(std::move(*ledger.mutable_records()))});
      });
}

void OwnedShard::ReadDepartedLedgers(const std::set<std::string>& expected_agents) {
  struct LedgerReads {
    std::mutex mutex;
    std::size_t pending = 1;
    std::vector<DepartedLedger> ledgers;
  };
  auto reads = std::make_shared<LedgerReads>();
  const auto finish = [self = shared_from_this(), reads,
                       expected_agents](std::optional<DepartedLedger> ledger) {
    {
      const std::lock_guard lock(reads->mutex);
      if (ledger) reads->ledgers.push_back(*std::move(ledger));
      if (--reads->pending > 0) return;
    }
    self->StartDispatcher(expected_agents, std::move(reads->ledgers));
  };
  for (const std::string& name : expected_agents) {
    const std::optional<core::AgentInstance> instance = core::ParseInstanceName(name);
    if (!instance) continue;
    const auto hello = agents_.Find(instance->agent_id);
    if (hello && hello->incarnation == instance->incarnation) continue;
    {
      const std::lock_guard lock(reads->mutex);
      ++reads->pending;
    }
    ReadDepartedLedger(*instance, finish);
  }
  finish(std::nullopt);
}

void OwnedShard::RereadDepartedLedgers() {
  {
    const std::lock_guard lock(mutex_);
    if (clock_.now() < reread_ledgers_at_) return;
    reread_ledgers_at_ = clock_.now() + kLedgerRereadPeriod;
  }
  const auto runtime = Runtime();
  if (runtime == nullptr) return;
  const std::set<std::string> unheard = runtime->Read(
      [](const core::ShardDispatcher& dispatcher) { return dispatcher.UnheardInstances(); });
  for (const std::string& name : unheard) {
    const std::optional<core::AgentInstance> instance = core::ParseInstanceName(name);
    if (!instance) continue;
    ReadDepartedLedger(*instance, [runtime](std::optional<DepartedLedger> ledger) {
      if (!ledger) return;
      runtime->Apply([&](core::ShardDispatcher& dispatcher) {
        dispatcher.OnDepartedLedger(ledger->instance, std::move(ledger->records));
      });
    });
  }
}

void OwnedShard::StartDispatcher(std::set<std::string> expected_agents,
                                 std::vector<DepartedLedger> departed) {
  auto runtime = std::make_shared<ShardRuntime>(
      core::ShardDispatcher::Options{.shard = options_.shard,
                                     .epoch = options_.epoch,
                                     .seed = options_.incarnation ^ options_.epoch,
                                     .expected_agents = std::move(expected_agents),
                                     .recovery_window = RecoveryWindow(hooks_.current_config()),
                                     .require_persisted_agents = true,
                                     .ownership_validity = kOwnershipValidity,
                                     .availability_zone = options_.availability_zone},
      ShardRuntime::Hooks{.on_action =
                              [weak = weak_from_this()](core::DispatcherAction action) {
                                const auto self = weak.lock();
                                if (self != nullptr) self->CarryOut(std::move(action));
                              }},
      clock_);
  auto claims = std::make_shared<ClaimService>(
      core::ClaimLog::Options{.shard = options_.shard,
                              .token = std::to_string(options_.incarnation)},
      store_, clock_,
      ClaimService::Hooks{
          .on_decided =
              [runtime](const std::string& submission_id, core::ClaimDecision decision) {
                runtime->Apply([&](core::ShardDispatcher& dispatcher) {
                  dispatcher.OnClaimDecided(submission_id, decision);
                });
              },
          .on_superseded = [this](std::uint64_t) { hooks_.on_row_outdated(); },
          .on_problem = [this](const std::string& text) { hooks_.on_problem(text); }});
  claims->StartEpoch(options_.epoch, options_.row_version);
  // Must come before any agent attaches: when a new incarnation of an agent attaches, the records
  // of the old one count as lost.
  runtime->Apply([&](core::ShardDispatcher& dispatcher) {
    for (DepartedLedger& ledger : departed) {
      dispatcher.OnDepartedLedger(ledger.instance, std::move(ledger.records));
    }
  });
  if (const auto config = hooks_.current_config()) {
    runtime->Apply([&](core::ShardDispatcher& dispatcher) { dispatcher.OnConfig(*config); });
  }
  {
    const std::lock_guard lock(mutex_);
    if (closed_) return;
    runtime_ = runtime;
    claims_ = std::move(claims);
  }
  AttachKnownAgents();
  // The configuration may have changed before runtime_ was set, and OnConfig ignored it.
  if (const auto config = hooks_.current_config()) OnConfig(*config);
  hooks_.on_running();
}

void OwnedShard::AttachKnownAgents() {
  const std::lock_guard lock(attach_mutex_);
  const auto runtime = Runtime();
  if (runtime == nullptr) return;
  for (const core::AgentHello& hello : agents_.AgentsOf(options_.shard)) {
    runtime->Apply([&](core::ShardDispatcher& dispatcher) { dispatcher.OnAgentAttached(hello); });
  }
}

std::shared_ptr<ShardRuntime> OwnedShard::Runtime() const {
  const std::lock_guard lock(mutex_);
  return runtime_;
}

std::vector<core::Submission> OwnedShard::Close() {
  std::shared_ptr<ShardRuntime> runtime;
  std::shared_ptr<ClaimService> claims;
  {
    const std::lock_guard lock(mutex_);
    closed_ = true;
    runtime = std::move(runtime_);
    claims = std::move(claims_);
  }
  if (runtime == nullptr) return {};
  std::vector<core::Submission> unfinished = runtime->Close();
  claims->Resign();
  return unfinished;
}

void OwnedShard::OnTimer() {
  bool read_agents = false;
  std::shared_ptr<ShardRuntime> runtime;
  std::shared_ptr<ClaimService> claims;
  {
    const std::lock_guard lock(mutex_);
    read_agents = read_agents_at_ && clock_.now() >= *read_agents_at_;
    runtime = runtime_;
    claims = claims_;
  }
  if (read_agents) ReadAgents();
  if (runtime == nullptr) return;
  runtime->OnTimer();
  if (claims != nullptr) claims->OnTimer();
  SendAcknowledgements();
  WriteAgents();
  RereadDepartedLedgers();
}

void OwnedShard::Submit(core::Submission submission, core::Duration wait,
                        ShardAnswerCallback callback) {
  const auto runtime = Runtime();
  if (runtime == nullptr) return callback(std::nullopt);
  runtime->Submit(std::move(submission), wait, std::move(callback));
}

void OwnedShard::Fetch(const std::string& submission_id, core::Duration wait,
                       ShardAnswerCallback callback) {
  const auto runtime = Runtime();
  if (runtime == nullptr) return callback(std::nullopt);
  runtime->Fetch(submission_id, wait, std::move(callback));
}

void OwnedShard::Cancel(const std::string& submission_id, const ShardAnswerCallback& callback) {
  const auto runtime = Runtime();
  if (runtime == nullptr) return callback(std::nullopt);
  runtime->Cancel(submission_id, callback);
}

bool OwnedShard::HasJob(const std::string& submission_id) const {
  const auto runtime = Runtime();
  if (runtime == nullptr) return false;
  return runtime->Read([&](const core::ShardDispatcher& dispatcher) {
    return dispatcher.Fetch(submission_id).has_value();
  });
}

void OwnedShard::OnAgentAttached(const std::string& agent_id) {
  const std::lock_guard lock(attach_mutex_);
  const auto runtime = Runtime();
  const auto hello = agents_.Find(agent_id);
  if (runtime == nullptr || !hello) return;
  runtime->Apply([&](core::ShardDispatcher& dispatcher) { dispatcher.OnAgentAttached(*hello); });
}

void OwnedShard::OnAgentDetached(const std::string& agent_id) {
  const std::lock_guard lock(attach_mutex_);
  const auto runtime = Runtime();
  if (runtime == nullptr || agents_.Find(agent_id)) return;
  runtime->Apply([&](core::ShardDispatcher& dispatcher) { dispatcher.OnAgentDetached(agent_id); });
}

bool OwnedShard::OnAgentMessage(const std::string& agent_id, v1::AgentMessage message) {
  const auto runtime = Runtime();
  if (runtime == nullptr) return false;
  std::uint64_t seen_epoch = 0;
  if (message.has_refusal()) seen_epoch = message.refusal().epoch();
  if (message.has_fence_reply()) seen_epoch = message.fence_reply().epoch();
  if (seen_epoch > options_.epoch) hooks_.on_epoch_seen(seen_epoch);
  return runtime->Apply([&](core::ShardDispatcher& dispatcher) {
    ApplyAgentMessage(dispatcher, agent_id, std::move(message));
  });
}

void OwnedShard::ApplyAgentMessage(core::ShardDispatcher& dispatcher, const std::string& agent_id,
                                   v1::AgentMessage&& message) const {
  dispatcher.OnAgentTime(agent_id, std::chrono::milliseconds(message.now_mono_ms()));
  switch (message.body_case()) {
    case v1::AgentMessage::kResults:
      dispatcher.OnOutcomes(
          agent_id, rpc::FromProto(std::move(*message.mutable_results()->mutable_outcomes())));
      break;
    case v1::AgentMessage::kReconcileReply:
      dispatcher.OnOutcomes(
          agent_id,
          rpc::FromProto(std::move(*message.mutable_reconcile_reply()->mutable_outcomes())));
      break;
    case v1::AgentMessage::kReport:
      dispatcher.OnExecutorStatus(agent_id, rpc::FromProto(message.report()));
      break;
    case v1::AgentMessage::kRefusal:
      dispatcher.OnRefusal(agent_id, rpc::FromProto(message.refusal().tasks()),
                           rpc::FromProto(message.refusal().reason()), message.refusal().epoch());
      break;
    case v1::AgentMessage::kFenceReply: {
      v1::FenceReply* reply = message.mutable_fence_reply();
      dispatcher.OnLedger(agent_id, reply->epoch(),
                          rpc::FromProto(std::move(*reply->mutable_records())), reply->last_part());
      break;
    }
    default:
      break;
  }
}

void OwnedShard::OnConfig(const core::DispatchConfig& config) {
  const auto runtime = Runtime();
  if (runtime == nullptr) return;
  runtime->Apply([&](core::ShardDispatcher& dispatcher) { dispatcher.OnConfig(config); });
}

void OwnedShard::OnOwnershipConfirmed(core::TimePoint confirmed_at) {
  const auto runtime = Runtime();
  if (runtime == nullptr) return;
  runtime->Apply(
      [&](core::ShardDispatcher& dispatcher) { dispatcher.OnOwnershipConfirmed(confirmed_at); });
}

std::optional<OwnedShard::Stats> OwnedShard::stats() const {
  const auto runtime = Runtime();
  if (runtime == nullptr) return std::nullopt;
  return runtime->Read([](const core::ShardDispatcher& dispatcher) {
    return Stats{.recovering = dispatcher.recovering(),
                 .queued_tasks = dispatcher.queued_tasks(),
                 .running_tasks = dispatcher.running_tasks()};
  });
}

std::size_t OwnedShard::unfinished_jobs() const {
  const auto runtime = Runtime();
  if (runtime == nullptr) return 0;
  return runtime->Read(
      [](const core::ShardDispatcher& dispatcher) { return dispatcher.unfinished_jobs(); });
}

std::map<std::string, core::ShardDispatcher::AgentLoad> OwnedShard::AgentLoads() const {
  const auto runtime = Runtime();
  if (runtime == nullptr) return {};
  return runtime->Read(
      [](const core::ShardDispatcher& dispatcher) { return dispatcher.AgentLoads(); });
}

void OwnedShard::CarryOut(core::DispatcherAction action) {
  v1::EntryMessage message;
  if (auto* dispatch = std::get_if<core::SendDispatch>(&action)) {
    *message.mutable_dispatch() = rpc::ToProto(std::move(dispatch->order));
    agents_.Send(dispatch->agent_id, std::move(message));
  } else if (const auto* fence = std::get_if<core::SendFence>(&action)) {
    message.mutable_fence()->set_shard(options_.shard);
    message.mutable_fence()->set_epoch(options_.epoch);
    agents_.Send(fence->agent_id, std::move(message));
  } else if (const auto* revoke = std::get_if<core::SendRevoke>(&action)) {
    message.mutable_revoke()->set_epoch(options_.epoch);
    for (const core::TaskKey& key : revoke->tasks) {
      *message.mutable_revoke()->add_tasks() = rpc::ToProto(key);
    }
    agents_.Send(revoke->agent_id, std::move(message));
  } else if (const auto* reconcile = std::get_if<core::SendReconcile>(&action)) {
    message.mutable_reconcile()->set_epoch(options_.epoch);
    for (const core::TaskKey& key : reconcile->tasks) {
      *message.mutable_reconcile()->add_tasks() = rpc::ToProto(key);
    }
    agents_.Send(reconcile->agent_id, std::move(message));
  } else if (auto* ack = std::get_if<core::SendResultAck>(&action)) {
    const std::lock_guard lock(mutex_);
    auto& tasks = acknowledgements_[ack->agent_id];
    for (core::TaskKey& key : ack->tasks) tasks.push_back(std::move(key));
  } else if (auto* persist = std::get_if<core::PersistAgents>(&action)) {
    const std::lock_guard lock(mutex_);
    agents_to_write_ = std::move(persist->instances);
    write_agents_at_ = clock_.now();
  } else if (auto* claim = std::get_if<core::PersistClaim>(&action)) {
    const std::lock_guard lock(mutex_);
    if (claims_ != nullptr) {
      claims_->AddClaim(std::move(claim->submission_id), std::move(claim->request_key));
    }
  } else {
    hooks_.on_action(std::move(action));
  }
}

void OwnedShard::SendAcknowledgements() {
  std::map<std::string, std::vector<core::TaskKey>> acknowledgements;
  {
    const std::lock_guard lock(mutex_);
    if (clock_.now() < acknowledge_at_) return;
    acknowledge_at_ = clock_.now() + kAcknowledgePeriod;
    acknowledgements.swap(acknowledgements_);
  }
  for (const auto& [agent_id, tasks] : acknowledgements) {
    // Heartbeats acknowledge results within a second by their time stamp. Only an agent that is
    // about to exit and waits for the acknowledgement gets a separate message.
    const auto hello = agents_.Find(agent_id);
    if (!hello || !hello->executor.leaving) continue;
    v1::EntryMessage message;
    for (const core::TaskKey& key : tasks) {
      *message.mutable_result_ack()->add_tasks() = rpc::ToProto(key);
    }
    agents_.Send(agent_id, std::move(message));
  }
}

void OwnedShard::WriteAgents() {
  std::set<std::string> instances;
  {
    const std::lock_guard lock(mutex_);
    if (!agents_to_write_ || writing_agents_ || closed_) return;
    if (clock_.now() < write_agents_at_) return;
    writing_agents_ = true;
    instances = *std::exchange(agents_to_write_, std::nullopt);
  }
  const std::vector<std::string> names(instances.begin(), instances.end());
  store_.Commit({.conditions = {{.key = adapters::ShardRowKey(options_.shard),
                                 .version = options_.row_version}},
                 .puts = {{.key = adapters::AgentsRowKey(options_.shard),
                           .value = adapters::AgentsRowJson(options_.epoch, names)}}},
                [weak = weak_from_this(), instances](core::CommitOutcome outcome) {
                  const auto self = weak.lock();
                  if (self == nullptr) return;
                  {
                    const std::lock_guard lock(self->mutex_);
                    self->writing_agents_ = false;
                    if (outcome != core::CommitOutcome::kCommitted) {
                      // If a newer set is waiting, it replaces the one that was not written.
                      if (!self->agents_to_write_) self->agents_to_write_ = instances;
                      self->write_agents_at_ = self->clock_.now() + kStoreRetryPeriod;
                    }
                  }
                  if (outcome == core::CommitOutcome::kConflict) self->hooks_.on_row_outdated();
                  if (outcome != core::CommitOutcome::kCommitted) return;
                  if (const auto runtime = self->Runtime()) {
                    runtime->Apply([&](core::ShardDispatcher& dispatcher) {
                      dispatcher.OnAgentsPersisted(instances);
                    });
                  }
                });
}

}  // namespace zinniamux::daemon
