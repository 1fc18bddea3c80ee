// Connects the agent core to entries, the executor and the store.
#include "zinniamuxd/agent_daemon.h"

#include <algorithm>
#include <future>
#include <nlohmann/json.hpp>
#include <set>
#include <string_view>
#include <thread>
#include <utility>
#include <variant>

#include "adapters/caller_codec.h"
#include "adapters/row_codec.h"
#include "core/agent_instance.h"
#include "rpc/convert.h"
#include "zinniamuxd/announcement.h"
#include "zinniamuxd/incarnation.h"
#include "zinniamuxd/stream_timing.h"

namespace zinniamux::daemon {
namespace {

using adapters::HttpRequest;
using adapters::HttpResponder;
using adapters::HttpResponse;
using adapters::LogLevel;
using std::chrono::milliseconds;

// The owner acknowledges up to the last message that it processed, so a stopping agent that waits
// for acknowledgements sends heartbeats more often.
constexpr milliseconds kStoppingHeartbeatPeriod{100};
constexpr milliseconds kMinRetryDelay{100};
constexpr milliseconds kMaxRetryDelay{2000};
constexpr unsigned kMaxRetryDoublings = 5;
// Three missed announcements.
constexpr std::chrono::seconds kAnnounceTimeout{3};
// Longer than a takeover, which takes 3 s of silence and a conditional write.
constexpr std::chrono::seconds kAcknowledgeTimeout{5};
constexpr std::chrono::seconds kCloseTimeout{3};
// Longer than the deadline of a store request.
constexpr milliseconds kPublishTimeout{3000};
constexpr milliseconds kShutdownPollPeriod{10};
// The longest deadline of a job; limits tasks that have no time limit of their own.
constexpr std::chrono::minutes kMaxTaskTime{10};
constexpr std::size_t kMaxLocalBodyBytes = 64U << 10U;
// The core admits at most one task per announced connection, so the client needs no limit.
constexpr long kUnlimitedConnections = 0;

constexpr std::array<std::string_view, core::kRefusalReasonCount> kReasonNames{
    "stale_epoch",    "stale_config",    "late",   "no_slot", "leaving", "executor_down",
    "not_authorised", "already_started", "revoked"};

std::string_view ReasonName(core::RefusalReason reason) {
  return kReasonNames[static_cast<std::size_t>(reason)];
}

core::AgentCore::Options CoreOptions(const adapters::AgentSettings& settings) {
  return {.agent_id = settings.id,
          .incarnation = RandomIncarnation(),
          .shard = settings.shard,
          .availability_zone = settings.availability_zone,
          .rack = settings.rack,
          .isolation_limit = settings.isolation_limit,
          .ledger_limits = {}};
}

HttpResponse PlainText(int status, std::string body) {
  return {.status = status, .body = std::move(body), .content_type = "text/plain", .headers = {}};
}

HttpResponse ErrorResponse(core::ErrorKind kind, std::string message) {
  return adapters::ToHttp(core::Error{kind, std::move(message), {}});
}

void AddOutcomes(std::vector<core::TaskOutcome>& outcomes,
                 google::protobuf::RepeatedPtrField<v1::TaskOutcome>& target) {
  target.Reserve(static_cast<int>(outcomes.size()));
  for (const core::TaskOutcome& outcome : outcomes) *target.Add() = rpc::ToProto(outcome);
}

v1::AgentMessage ToMessage(const core::SendRefusal& refusal) {
  v1::AgentMessage message;
  v1::Refusal* body = message.mutable_refusal();
  body->set_reason(rpc::ToProto(refusal.reason));
  body->set_epoch(refusal.epoch);
  for (const core::TaskKey& key : refusal.tasks) *body->add_tasks() = rpc::ToProto(key);
  return message;
}

v1::AgentMessage ToMessage(core::SendResults& results) {
  v1::AgentMessage message;
  AddOutcomes(results.outcomes, *message.mutable_results()->mutable_outcomes());
  return message;
}

v1::AgentMessage ToMessage(core::SendReconcileReply& reply) {
  v1::AgentMessage message;
  message.mutable_reconcile_reply()->set_epoch(reply.epoch);
  AddOutcomes(reply.outcomes, *message.mutable_reconcile_reply()->mutable_outcomes());
  return message;
}

v1::AgentMessage ToMessage(core::SendFenceReply& reply, std::uint32_t shard) {
  v1::AgentMessage message;
  v1::FenceReply* body = message.mutable_fence_reply();
  body->set_shard(shard);
  body->set_epoch(reply.epoch);
  body->set_accepted(reply.accepted);
  body->set_last_part(reply.last_part);
  AddOutcomes(reply.records, *body->mutable_records());
  return message;
}

}  // namespace

AgentDaemon::AgentDaemon(adapters::AgentSettings settings, const core::Clock& clock,
                         adapters::JsonLog& log, core::TableStore* store)
    : settings_(std::move(settings)),
      clock_(clock),
      log_(log),
      store_(store),
      core_(CoreOptions(settings_), clock),
      random_(std::random_device()()),
      executor_client_(std::make_unique<adapters::HttpClient>(
          adapters::HttpClient::Options{.max_connections_per_host = kUnlimitedConnections})) {}

core::Result<void> AgentDaemon::Start() {
  auto server =
      adapters::HttpServer::Start({.address = settings_.local.host,
                                   .port = settings_.local.port,
                                   .threads = 1,
                                   .max_body_bytes = kMaxLocalBodyBytes},
                                  [this](const HttpRequest& request, const HttpResponder& respond) {
                                    ServeLocal(request, respond);
                                  });
  if (!server) return tl::unexpected(server.error());
  local_server_ = *std::move(server);
  const std::lock_guard lock(mutex_);
  UpdateLinks();
  return {};
}

void AgentDaemon::ServeLocal(const HttpRequest& request, const HttpResponder& respond) {
  const bool is_post_path = request.path == "/v1/announce" || request.path == "/v1/leave";
  const bool is_get_path =
      request.path == "/healthz" || request.path == "/readyz" || request.path == "/metrics";
  if (!is_post_path && !is_get_path) {
    respond(ErrorResponse(core::ErrorKind::kNotFound, "no such path: " + request.path));
    return;
  }
  if (request.method != (is_post_path ? "POST" : "GET")) {
    HttpResponse response =
        ErrorResponse(core::ErrorKind::kInvalidRequest,
                      request.path + " accepts " + (is_post_path ? "POST" : "GET") + " only");
    response.status = 405;
    respond(std::move(response));
    return;
  }
  if (request.path == "/v1/announce") return respond(ServeAnnounce(request.body));
  if (request.path == "/v1/leave") return respond(ServeLeave(request.body));
  if (request.path == "/readyz") return respond(ServeReady());
  if (request.path == "/metrics") return respond(ServeMetrics());
  respond(PlainText(200, "ok\n"));
}

HttpResponse AgentDaemon::ServeAnnounce(const std::string& body) {
  const core::Result<Announcement> announcement = ParseAnnouncement(body);
  if (!announcement) return adapters::ToHttp(announcement.error());
  Apply([&] {
    const bool was_available = core_.executor().available;
    executor_address_ = announcement->address;
    last_announced_at_ = clock_.now();
    core_.OnAnnounce(announcement->status, announcement->leaving);
    if (was_available) return;
    log_.Write(LogLevel::kInfo, "executor_available",
               {{"executor", announcement->status.executor_id},
                {"address", announcement->address},
                {"slots", announcement->status.slots}});
  });
  return {.status = 200, .body = "{}\n", .headers = {}};
}

HttpResponse AgentDaemon::ServeLeave(const std::string& body) {
  const core::Result<std::string> id = ParseLeave(body);
  if (!id) return adapters::ToHttp(id.error());
  bool known = false;
  std::size_t running = 0;
  Apply([&] {
    const std::string& announced = core_.executor().executor_id;
    known = !announced.empty() && (id->empty() || *id == announced);
    if (!known) return;
    if (!core_.executor().leaving) {
      log_.Write(LogLevel::kInfo, "executor_leaving", {{"executor", announced}});
    }
    core_.OnExecutorLeave();
    running = core_.running_tasks();
  });
  if (!known) {
    return ErrorResponse(core::ErrorKind::kInvalidRequest,
                         "field 'executor_id' does not name the executor announced to this agent");
  }
  // Tasks that are being sent to the executor count as running: 0 means that no task is on its way
  // and that none will follow.
  return {.status = 200,
          .body = R"({"running_tasks":)" + std::to_string(running) + "}\n",
          .headers = {}};
}

HttpResponse AgentDaemon::ServeReady() {
  const std::lock_guard lock(mutex_);
  const core::ExecutorStatus status = core_.EffectiveStatus();
  if (status.leaving) return PlainText(503, "leaving\n");
  if (!status.available) return PlainText(503, "no executor has announced itself\n");
  if (attached_entries() == 0) return PlainText(503, "not attached to any entry\n");
  return PlainText(200, "ready\n");
}

HttpResponse AgentDaemon::ServeMetrics() {
  const std::lock_guard lock(mutex_);
  const core::AgentCounters& counters = core_.counters();
  std::string page;
  const auto add_metric = [&page](std::string_view name, std::uint64_t value) {
    page.append("zinniamux_agent_").append(name).append(" ");
    page.append(std::to_string(value)).append("\n");
  };
  add_metric("starts_total", counters.starts);
  for (std::size_t reason = 0; reason < kReasonNames.size(); ++reason) {
    add_metric("refusals_total{reason=\"" + std::string(kReasonNames[reason]) + "\"}",
               counters.refusals[reason]);
  }
  add_metric("outcomes_sent_total", counters.outcomes_sent);
  add_metric("outcomes_resent_total", counters.outcomes_resent);
  add_metric("result_messages_total", counters.result_messages);
  add_metric("running_tasks", core_.running_tasks());
  add_metric("unacknowledged_outcomes", core_.unacknowledged());
  add_metric("ledger_records", core_.ledger().size());
  add_metric("ledger_bytes", core_.ledger().bytes());
  add_metric("entry_addresses", links_.size());
  add_metric("connections_total", connections_total_);
  add_metric("attached_entries", attached_entries());
  add_metric("roster_entries", core_.roster().size());
  add_metric("epoch", core_.epoch());
  add_metric("config_version", core_.config_version());
  return PlainText(200, std::move(page));
}

std::size_t AgentDaemon::attached_entries() const {
  return static_cast<std::size_t>(std::ranges::count_if(links_, [](const auto& item) {
    const std::shared_ptr<EntryConnection>& connection = item.second.connection;
    return connection != nullptr && !connection->entry_id().empty();
  }));
}

void AgentDaemon::Apply(const std::function<void()>& event) {
  std::vector<ExecutorCall> calls;
  {
    const std::lock_guard lock(mutex_);
    event();
    calls = CarryOut();
  }
  for (ExecutorCall& call : calls) RunTask(std::move(call));
}

void AgentDaemon::Connect(const std::string& address, Link& link) {
  link.connection = std::make_shared<EntryConnection>(
      address,
      EntryConnection::Hooks{
          .on_message = [this](
                            const std::shared_ptr<EntryConnection>& from,
                            v1::EntryMessage message) { OnEntryMessage(from, std::move(message)); },
          .on_closed =
              [this](std::shared_ptr<EntryConnection> from) { OnEntryClosed(std::move(from)); }},
      clock_);
  ++open_connections_;
  ++connections_total_;
  v1::AgentMessage hello;
  *hello.mutable_hello() = rpc::ToProto(core_.Hello());
  hello.set_now_mono_ms(hello.hello().now_mono_ms());
  link.connection->Start(std::move(hello));
}

bool AgentDaemon::IsCurrent(const std::shared_ptr<EntryConnection>& connection) const {
  const auto found = links_.find(connection->address());
  return found != links_.end() && found->second.connection == connection;
}

void AgentDaemon::OnEntryMessage(const std::shared_ptr<EntryConnection>& connection,
                                 v1::EntryMessage message) {
  Apply([&] {
    // A message of an abandoned stream may arrive much later.
    if (IsCurrent(connection)) HandleEntryMessage(connection, std::move(message));
  });
}

void AgentDaemon::HandleEntryMessage(const std::shared_ptr<EntryConnection>& connection,
                                     v1::EntryMessage message) {
  if (message.has_welcome()) {
    HandleWelcome(connection, message.welcome());
    return;
  }
  const std::string entry_id = connection->entry_id();
  if (entry_id.empty()) return;
  core_.OnEntryHeard(entry_id);
  switch (message.body_case()) {
    case v1::EntryMessage::kDispatch:
      core_.OnDispatch(entry_id, rpc::FromProto(std::move(*message.mutable_dispatch())));
      break;
    case v1::EntryMessage::kRevoke:
      core_.OnRevoke(entry_id, message.revoke().epoch(), rpc::FromProto(message.revoke().tasks()));
      break;
    case v1::EntryMessage::kReconcile:
      core_.OnReconcile(entry_id, message.reconcile().epoch(),
                        rpc::FromProto(message.reconcile().tasks()));
      break;
    case v1::EntryMessage::kFence:
      // Epochs of different shards are not comparable.
      if (message.fence().shard() == settings_.shard) {
        core_.OnFence(entry_id, message.fence().epoch());
      }
      break;
    case v1::EntryMessage::kResultAck:
      core_.OnResultAck(entry_id, rpc::FromProto(message.result_ack().tasks()));
      break;
    case v1::EntryMessage::kHeartbeat:
      core_.OnAcknowledged(entry_id, milliseconds(message.heartbeat().now_mono_ms()));
      break;
    case v1::EntryMessage::kDrain:
      log_.Write(LogLevel::kInfo, "drain",
                 {{"entry", entry_id}, {"draining", message.drain().draining()}});
      core_.SetDraining(message.drain().draining());
      break;
    default:
      break;
  }
}

void AgentDaemon::HandleWelcome(const std::shared_ptr<EntryConnection>& connection,
                                const v1::Welcome& welcome) {
  const std::string& entry_id = welcome.entry_id();
  if (entry_id.empty()) return;
  const bool is_first_welcome = connection->entry_id().empty();
  connection->set_entry_id(entry_id);
  core_.OnEntryHeard(entry_id);
  std::vector<std::string> roster_ids;
  roster_addresses_[entry_id] = connection->address();
  for (const v1::EntryAddress& entry : welcome.roster()) {
    roster_ids.push_back(entry.entry_id());
    if (entry.entry_id() != entry_id) roster_addresses_[entry.entry_id()] = entry.rpc_address();
  }
  core_.OnRoster(entry_id, welcome.incarnation(), roster_ids);
  std::erase_if(roster_addresses_,
                [this](const auto& item) { return !core_.roster().contains(item.first); });
  links_[connection->address()].failures = 0;
  if (is_first_welcome) {
    log_.Write(LogLevel::kInfo, "entry_attached",
               {{"entry", entry_id}, {"address", connection->address()}});
    core_.OnAttached(entry_id);
  }
  UpdateLinks();
}

void AgentDaemon::UpdateLinks() {
  std::set<std::string> addresses(settings_.entries.begin(), settings_.entries.end());
  for (const auto& [id, address] : roster_addresses_) addresses.insert(address);
  for (auto entry = links_.begin(); entry != links_.end();) {
    if (addresses.contains(entry->first)) {
      ++entry;
      continue;
    }
    log_.Write(LogLevel::kInfo, "entry_dropped", {{"address", entry->first}});
    if (entry->second.connection != nullptr) entry->second.connection->Cancel();
    entry = links_.erase(entry);
  }
  for (const std::string& address : addresses) {
    const auto [entry, added] = links_.try_emplace(address);
    if (added) Connect(address, entry->second);
  }
}

core::Duration AgentDaemon::RetryDelay(unsigned failures) {
  const milliseconds max_delay =
      std::min(kMaxRetryDelay, kMinRetryDelay * (1U << std::min(failures, kMaxRetryDoublings)));
  // The jitter keeps agents that lost the same entry from reconnecting all at once.
  std::uniform_int_distribution<long> jitter(max_delay.count() / 2, max_delay.count());
  return milliseconds(jitter(random_));
}

void AgentDaemon::OnEntryClosed(std::shared_ptr<EntryConnection> connection) {
  const std::lock_guard lock(mutex_);
  --open_connections_;
  ended_connections_.push_back(std::move(connection));
  const std::shared_ptr<EntryConnection>& ended = ended_connections_.back();
  if (!IsCurrent(ended)) return;
  Link& link = links_[ended->address()];
  link.connection = nullptr;
  link.retry_at = clock_.now() + RetryDelay(link.failures);
  if (link.failures++ > 0) return;
  log_.Write(LogLevel::kWarning, "entry_detached",
             {{"entry", ended->entry_id()}, {"address", ended->address()}});
}

void AgentDaemon::DestroyEndedConnections() {
  std::vector<std::shared_ptr<EntryConnection>> ended;
  {
    const std::lock_guard lock(mutex_);
    ended.swap(ended_connections_);
  }
  // Without the lock, because the destructor may wait for a callback that needs the lock.
  ended.clear();
}

std::vector<AgentDaemon::ExecutorCall> AgentDaemon::CarryOut() {
  std::vector<ExecutorCall> calls;
  for (core::AgentAction& action : core_.TakeActions()) {
    if (auto* start = std::get_if<core::StartTask>(&action)) {
      calls.push_back({std::move(*start), executor_address_});
    } else if (const auto* refusal = std::get_if<core::SendRefusal>(&action)) {
      log_.Write(LogLevel::kInfo, "refused",
                 {{"reason", ReasonName(refusal->reason)},
                  {"entry", refusal->entry_id},
                  {"tasks", refusal->tasks.size()},
                  {"submission",
                   refusal->tasks.empty() ? std::string() : refusal->tasks.front().submission_id}});
      SendTo(refusal->entry_id, ToMessage(*refusal));
    } else if (auto* results = std::get_if<core::SendResults>(&action)) {
      SendTo(results->entry_id, ToMessage(*results));
    } else if (auto* reconciled = std::get_if<core::SendReconcileReply>(&action)) {
      SendTo(reconciled->entry_id, ToMessage(*reconciled));
    } else if (auto* fenced = std::get_if<core::SendFenceReply>(&action)) {
      SendTo(fenced->entry_id, ToMessage(*fenced, settings_.shard));
    } else if (const auto* status = std::get_if<core::BroadcastStatus>(&action)) {
      log_.Write(LogLevel::kInfo, "executor_status",
                 {{"available", status->status.available}, {"leaving", status->status.leaving}});
      v1::AgentMessage report;
      *report.mutable_report() = rpc::ToProto(status->status);
      Broadcast(report);
    }
  }
  return calls;
}

void AgentDaemon::SendTo(const std::string& entry_id, v1::AgentMessage message) {
  message.set_now_mono_ms(static_cast<std::uint64_t>(core_.sent_time().count()));
  for (const auto& [address, link] : links_) {
    if (link.connection == nullptr || link.connection->entry_id() != entry_id) continue;
    link.connection->Send(std::move(message));
    return;
  }
}

void AgentDaemon::Broadcast(const v1::AgentMessage& message) {
  for (const auto& [address, link] : links_) {
    if (link.connection == nullptr) continue;
    v1::AgentMessage copy = message;
    copy.set_now_mono_ms(static_cast<std::uint64_t>(core_.sent_time().count()));
    link.connection->Send(std::move(copy));
  }
}

void AgentDaemon::RunTask(ExecutorCall call) {
  const core::TaskKey key = call.start.key;
  const milliseconds limit = call.start.task.time_limit;
  // libcurl silently resends a POST when a reused connection turns out to be closed. The executor
  // might then start the task twice, so every task gets a new connection.
  adapters::HttpCall request{
      .method = "POST",
      .url = "http://" + call.address + "/v1/tasks",
      .headers = {{"X-Submission-Id", key.submission_id},
                  {"X-Task-Index", std::to_string(key.task_index)},
                  {"Content-Type", "application/octet-stream"}},
      .body = std::move(call.start.task.payload),
      .timeout = limit.count() > 0 ? limit : milliseconds(kMaxTaskTime),
      .fresh_connection = true,
  };
  executor_client_->Send(std::move(request),
                         [this, key, started = clock_.now()](adapters::HttpResult result) {
                           OnTaskResponse(key, started, std::move(result));
                         });
}

void AgentDaemon::OnTaskResponse(const core::TaskKey& key, core::TimePoint started,
                                 adapters::HttpResult result) {
  core::TaskOutcome outcome{.key = key};
  outcome.run_time = std::chrono::duration_cast<milliseconds>(clock_.now() - started);
  if (result.status == 200) {
    outcome.state = core::TaskState::kFinished;
    outcome.result = std::move(result.body);
  } else if (result.status != 0) {
    outcome.state = core::TaskState::kFailed;
    outcome.failure = "the executor responded with status " + std::to_string(result.status);
  } else if (result.not_sent) {
    outcome.state = core::TaskState::kRevoked;
  } else {
    outcome.state = core::TaskState::kUnknown;
    outcome.failure = "no response from the executor: " + result.failure;
  }
  Apply([&] { core_.OnTaskEnded(std::move(outcome)); });
}

void AgentDaemon::OnTimer() {
  DestroyEndedConnections();
  bool read_shard_row = false;
  Apply([&] {
    core_.OnTimer();
    if (core_.executor().available && clock_.now() - last_announced_at_ > kAnnounceTimeout) {
      log_.Write(LogLevel::kWarning, "executor_lost", {{"executor", core_.executor().executor_id}});
      core_.OnExecutorLost();
    }
    read_shard_row = store_ != nullptr && !shard_row_read_pending_ && core_.WantsShardRow();
    if (!read_shard_row) return;
    shard_row_read_pending_ = true;
    core_.OnShardRowRequested();
  });
  if (read_shard_row) ReadShardRow();
  const std::lock_guard lock(mutex_);
  MaintainLinks();
}

void AgentDaemon::ReadShardRow() {
  const core::TimePoint requested_at = clock_.now();
  store_->ReadRow("shard/" + std::to_string(settings_.shard),
                  [this, requested_at](const core::Result<std::optional<core::TableRow>>& row) {
                    OnShardRow(requested_at, row);
                  });
}

void AgentDaemon::OnShardRow(core::TimePoint requested_at,
                             const core::Result<std::optional<core::TableRow>>& row) {
  const std::lock_guard lock(mutex_);
  shard_row_read_pending_ = false;
  if (!row || !row->has_value()) return;
  const nlohmann::json value = nlohmann::json::parse((*row)->value, nullptr, false);
  if (!value.is_object()) return;
  const auto epoch = value.find("epoch");
  if (epoch == value.end() || !epoch->is_number_unsigned()) return;
  core_.OnShardRow(epoch->get<std::uint64_t>(), requested_at);
}

void AgentDaemon::MaintainLinks() {
  const core::TimePoint now = clock_.now();
  const core::Duration period =
      stopping_ ? core::Duration(kStoppingHeartbeatPeriod) : core::Duration(kHeartbeatPeriod);
  for (auto& [address, link] : links_) {
    if (link.connection == nullptr) {
      if (now >= link.retry_at) Connect(address, link);
      continue;
    }
    if (now - link.connection->last_received() > kSilenceLimit) {
      link.connection->Cancel();
    } else if (now - link.connection->last_sent() >= period) {
      v1::AgentMessage heartbeat;
      heartbeat.mutable_heartbeat();
      heartbeat.set_now_mono_ms(static_cast<std::uint64_t>(core_.AgentTime().count()));
      link.connection->Send(std::move(heartbeat));
    }
  }
}

void AgentDaemon::Stop() {
  Apply([&] {
    stopping_ = true;
    core_.BeginShutdown();
  });
  core::TimePoint deadline = core::TimePoint::max();
  while (!ResultsDelivered(deadline)) {
    OnTimer();
    std::this_thread::sleep_for(kShutdownPollPeriod);
    const std::lock_guard lock(mutex_);
    if (core_.running_tasks() > 0) continue;
    deadline = std::min(deadline, clock_.now() + kAcknowledgeTimeout);
  }
  PublishLedger();
  local_server_->Stop();
  CloseConnections();
}

void AgentDaemon::PublishLedger() {
  if (store_ == nullptr) return;
  v1::FenceReply ledger;
  core::AgentInstance instance;
  {
    const std::lock_guard lock(mutex_);
    // No task is running and none will start, so the ledger is final.
    std::vector<core::TaskOutcome> records = core_.LedgerRecords();
    AddOutcomes(records, *ledger.mutable_records());
    const core::AgentHello hello = core_.Hello();
    instance = {.agent_id = hello.agent_id, .incarnation = hello.incarnation};
  }
  ledger.set_shard(settings_.shard);
  ledger.set_last_part(true);
  auto write_result = std::make_shared<std::promise<core::Result<void>>>();
  std::future<core::Result<void>> result = write_result->get_future();
  store_->WriteObject(adapters::DepartedLedgerKey(settings_.shard, core::InstanceName(instance)),
                      ledger.SerializeAsString(), [write_result](core::Result<void> outcome) {
                        write_result->set_value(std::move(outcome));
                      });
  // OnTimer keeps the streams alive meanwhile, so that an owner that fences this agent gets the
  // ledger directly.
  const core::TimePoint deadline = clock_.now() + kPublishTimeout;
  while (result.wait_for(kShutdownPollPeriod) != std::future_status::ready) {
    if (clock_.now() >= deadline) break;
    OnTimer();
  }
  const bool done = result.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
  if (done && result.get().has_value()) return;
  log_.Write(LogLevel::kWarning, "ledger_not_published", nlohmann::json::object());
}

bool AgentDaemon::ResultsDelivered(core::TimePoint deadline) {
  const std::lock_guard lock(mutex_);
  if (core_.running_tasks() > 0) return false;
  if (core_.unacknowledged() == 0) return true;
  if (clock_.now() < deadline) return false;
  log_.Write(LogLevel::kWarning, "results_not_acknowledged", {{"tasks", core_.unacknowledged()}});
  return true;
}

void AgentDaemon::CloseConnections() {
  {
    const std::lock_guard lock(mutex_);
    for (auto& [address, link] : links_) {
      if (link.connection != nullptr) link.connection->Cancel();
    }
    links_.clear();
  }
  // The callbacks of connections and store reads use this object, so it must outlive them.
  const core::TimePoint deadline = clock_.now() + kCloseTimeout;
  while (clock_.now() < deadline) {
    DestroyEndedConnections();
    {
      const std::lock_guard lock(mutex_);
      if (open_connections_ == 0 && ended_connections_.empty() && !shard_row_read_pending_) return;
    }
    std::this_thread::sleep_for(kShutdownPollPeriod);
  }
}

}  // namespace zinniamux::daemon
