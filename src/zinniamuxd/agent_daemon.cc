// Wiring of the agent role.
#include "zinniamuxd/agent_daemon.h"

#include <nlohmann/json.hpp>
#include <random>
#include <thread>
#include <utility>
#include <variant>

#include "rpc/convert.h"

namespace zinniamux::daemon {
namespace {

using adapters::HttpRequest;
using adapters::HttpResponder;
using adapters::HttpResponse;
using std::chrono::milliseconds;

constexpr std::chrono::seconds kSilenceLimit{3};
constexpr std::chrono::seconds kHeartbeatPeriod{1};
constexpr milliseconds kReconnectDelay{200};
// Three announcements missed.
constexpr std::chrono::seconds kAnnounceLimit{3};
constexpr milliseconds kShutdownPoll{10};
constexpr milliseconds kDeliveryGrace{500};

std::uint64_t NewIncarnation() { return std::random_device()() | 1ULL; }

core::AgentCore::Options CoreOptions(const adapters::AgentSettings& settings) {
  return {.agent_id = settings.id,
          .incarnation = NewIncarnation(),
          .shard = settings.shard,
          .availability_zone = settings.availability_zone,
          .rack = settings.rack};
}

}  // namespace

AgentDaemon::AgentDaemon(adapters::AgentSettings settings, const core::Clock& clock,
                         adapters::JsonLog& log)
    : settings_(std::move(settings)),
      clock_(clock),
      log_(log),
      core_(CoreOptions(settings_), clock),
      executor_client_(std::make_unique<adapters::HttpClient>()) {}

core::Result<void> AgentDaemon::Start() {
  auto server = adapters::HttpServer::Start(
      {.address = settings_.local.host, .port = settings_.local.port, .threads = 1},
      [this](const HttpRequest& request, const HttpResponder& respond) {
        ServeLocal(request, respond);
      });
  if (!server) return tl::unexpected(server.error());
  local_server_ = *std::move(server);
  const std::lock_guard lock(mutex_);
  for (const std::string& address : settings_.entries) Connect(address, links_[address]);
  return {};
}

void AgentDaemon::ServeLocal(const HttpRequest& request, const HttpResponder& respond) {
  if (request.path == "/healthz") {
    respond({.status = 200, .body = "ok\n", .content_type = "text/plain"});
    return;
  }
  if (request.path == "/v1/announce" && request.method == "POST") {
    const nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
    if (body.is_discarded()) {
      respond({.status = 400, .body = "{}\n"});
      return;
    }
    const std::lock_guard lock(mutex_);
    executor_address_ = body.value("address", std::string());
    last_announce_ = clock_.now();
    core_.OnExecutorStatus({.executor_id = body.value("executor_id", std::string()),
                            .available = true,
                            .leaving = false,
                            .slots = body.value("slots", 0U),
                            .connections = body.value("connections", 0U),
                            .memory_mb = body.value("memory_mb", 0U)});
    CarryOut();
    respond({.status = 200, .body = "{}\n"});
    return;
  }
  if (request.path == "/v1/leave" && request.method == "POST") {
    const std::lock_guard lock(mutex_);
    core_.SetDraining(true);
    CarryOut();
    respond({.status = 200, .body = "{}\n"});
    return;
  }
  respond({.status = 404, .body = "{}\n"});
}

void AgentDaemon::Connect(const std::string& address, Link& link) {
  link.connection = std::make_shared<EntryConnection>(
      address,
      EntryConnection::Hooks{
          .on_message = [this](
                            const std::shared_ptr<EntryConnection>& from,
                            v1::EntryMessage message) { OnEntryMessage(from, std::move(message)); },
          .on_closed =
              [this](const std::shared_ptr<EntryConnection>& from) { OnEntryClosed(from); }},
      clock_);
  v1::AgentMessage hello;
  *hello.mutable_hello() = rpc::ToProto(core_.Hello());
  hello.set_now_mono_ms(hello.hello().now_mono_ms());
  link.connection->Start(std::move(hello));
}

void AgentDaemon::OnEntryMessage(const std::shared_ptr<EntryConnection>& connection,
                                 v1::EntryMessage message) {
  const std::lock_guard lock(mutex_);
  const std::string entry_id = connection->entry_id();
  switch (message.body_case()) {
    case v1::EntryMessage::kWelcome:
      connection->set_entry_id(message.welcome().entry_id());
      break;
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
      core_.OnFence(entry_id, message.fence().epoch());
      break;
    default:
      break;
  }
  CarryOut();
}

void AgentDaemon::OnEntryClosed(const std::shared_ptr<EntryConnection>& connection) {
  const std::lock_guard lock(mutex_);
  Link& link = links_[connection->address()];
  if (link.connection != connection) return;
  link.connection = nullptr;
  link.retry_at = clock_.now() + kReconnectDelay;
}

void AgentDaemon::CarryOut() {
  for (core::AgentAction& action : core_.TakeActions()) {
    v1::AgentMessage message;
    if (auto* start = std::get_if<core::StartTask>(&action)) {
      RunTask(std::move(*start));
    } else if (const auto* refusal = std::get_if<core::SendRefusal>(&action)) {
      v1::Refusal* body = message.mutable_refusal();
      body->set_reason(rpc::ToProto(refusal->reason));
      body->set_epoch(refusal->epoch);
      for (const core::TaskKey& key : refusal->tasks) *body->add_tasks() = rpc::ToProto(key);
      SendTo(refusal->entry_id, std::move(message));
    } else if (const auto* results = std::get_if<core::SendResults>(&action)) {
      v1::Results* body = message.mutable_results();
      for (const core::TaskOutcome& outcome : results->outcomes) {
        *body->add_outcomes() = rpc::ToProto(outcome);
      }
      SendTo(results->entry_id, std::move(message));
    } else if (const auto* status = std::get_if<core::BroadcastStatus>(&action)) {
      for (const auto& [address, link] : links_) {
        if (link.connection == nullptr) continue;
        v1::AgentMessage report;
        *report.mutable_report() = rpc::ToProto(status->status);
        report.set_now_mono_ms(static_cast<std::uint64_t>(core_.Hello().agent_time.count()));
        link.connection->Send(std::move(report));
      }
    }
  }
}

void AgentDaemon::RunTask(core::StartTask start) {
  adapters::HttpCall call{
      .method = "POST",
      .url = "http://" + executor_address_ + "/v1/tasks",
      .headers = {{"X-Submission-Id", start.key.submission_id},
                  {"X-Task-Index", std::to_string(start.key.task_index)},
                  {"Content-Type", "application/octet-stream"}},
      .body = std::move(start.task.payload),
      .timeout = start.task.time_limit,
      .fresh_connection = true,
  };
  executor_client_->Send(std::move(call), [this, key = start.key,
                                           started = clock_.now()](adapters::HttpResult result) {
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
    outcome.failure = "the executor answered with status " + std::to_string(result.status);
  } else if (result.not_sent) {
    outcome.state = core::TaskState::kRevoked;
  } else {
    outcome.state = core::TaskState::kUnknown;
    outcome.failure = result.failure;
  }
  const std::lock_guard lock(mutex_);
  core_.OnTaskEnded(outcome);
  CarryOut();
}

void AgentDaemon::SendTo(const std::string& entry_id, v1::AgentMessage message) {
  message.set_now_mono_ms(static_cast<std::uint64_t>(core_.Hello().agent_time.count()));
  for (const auto& [address, link] : links_) {
    if (link.connection == nullptr || link.connection->entry_id() != entry_id) continue;
    link.connection->Send(std::move(message));
    return;
  }
}

void AgentDaemon::OnTimer() {
  const std::lock_guard lock(mutex_);
  const core::TimePoint now = clock_.now();
  core_.OnTimer();
  if (core_.executor().available && now - last_announce_ > kAnnounceLimit) {
    core::ExecutorStatus status = core_.executor();
    status.available = false;
    core_.OnExecutorStatus(status);
  }
  CarryOut();
  for (auto& [address, link] : links_) {
    if (link.connection == nullptr) {
      if (now >= link.retry_at) Connect(address, link);
      continue;
    }
    if (now - link.connection->last_received() > kSilenceLimit) {
      link.connection->Cancel();
    } else if (now - link.connection->last_sent() > kHeartbeatPeriod) {
      v1::AgentMessage heartbeat;
      heartbeat.mutable_heartbeat();
      heartbeat.set_now_mono_ms(static_cast<std::uint64_t>(core_.Hello().agent_time.count()));
      link.connection->Send(std::move(heartbeat));
    }
  }
}

void AgentDaemon::Stop() {
  {
    const std::lock_guard lock(mutex_);
    core_.SetDraining(true);
    CarryOut();
  }
  while (true) {
    OnTimer();
    const std::lock_guard lock(mutex_);
    if (core_.running_tasks() == 0) break;
    std::this_thread::sleep_for(kShutdownPoll);
  }
  std::this_thread::sleep_for(kDeliveryGrace);
  local_server_->Stop();
}

}  // namespace zinniamux::daemon
