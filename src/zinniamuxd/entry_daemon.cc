// Wiring of the entry role.
#include "zinniamuxd/entry_daemon.h"

#include <nlohmann/json.hpp>
#include <thread>
#include <utility>
#include <variant>

#include "adapters/caller_codec.h"
#include "adapters/config_codec.h"
#include "rpc/convert.h"

namespace zinniamux::daemon {
namespace {

using adapters::HttpRequest;
using adapters::HttpResponder;
using adapters::HttpResponse;

constexpr std::chrono::seconds kSilenceLimit{3};
constexpr std::chrono::seconds kHeartbeatPeriod{1};
constexpr std::chrono::milliseconds kAnswerMargin{500};
constexpr std::chrono::milliseconds kShutdownPoll{10};
constexpr std::string_view kJobsPath = "/v1/jobs";

std::string Address(const adapters::ListenAddress& listen) {
  return listen.host + ":" + std::to_string(listen.port);
}

HttpResponse PlainText(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  response.content_type = "text/plain";
  return response;
}

core::Duration WaitOf(const HttpRequest& request, core::Duration longest) {
  const std::string value = adapters::QueryValue(request.query, "wait_ms");
  if (value.empty()) return longest;
  return std::chrono::milliseconds(std::strtoul(value.c_str(), nullptr, 10));
}

}  // namespace

// The gRPC service; every call is passed on to the daemon.
class EntryDaemon::RpcService : public v1::EntryService::CallbackService {
 public:
  explicit RpcService(EntryDaemon& daemon) : daemon_(daemon) {}

  grpc::ServerBidiReactor<v1::AgentMessage, v1::EntryMessage>* Attach(
      grpc::CallbackServerContext* context) override {
    auto stream = std::make_shared<AgentStream>(
        context,
        AgentStream::Hooks{
            .on_message =
                [this](const std::shared_ptr<AgentStream>& from, v1::AgentMessage message) {
                  daemon_.OnAgentMessage(from, std::move(message));
                },
            .on_closed =
                [this](const std::shared_ptr<AgentStream>& from) { daemon_.OnAgentClosed(from); }},
        daemon_.clock_);
    stream->Start();
    return stream.get();
  }

  grpc::ServerUnaryReactor* Forward(grpc::CallbackServerContext* context,
                                    const v1::ForwardRequest* request,
                                    v1::JobAnswer* response) override {
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    const core::Duration wait = std::chrono::milliseconds(request->wait_ms());
    daemon_.shard_->Submit(rpc::FromProto(v1::ForwardRequest(*request), daemon_.clock_.now()), wait,
                           [reactor, response](const core::JobAnswer& answer) {
                             *response = rpc::ToProto(answer);
                             reactor->Finish(grpc::Status::OK);
                           });
    return reactor;
  }

  grpc::ServerUnaryReactor* FetchJob(grpc::CallbackServerContext* context,
                                     const v1::JobReference* request,
                                     v1::JobAnswer* response) override {
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    daemon_.shard_->Fetch(request->submission_id(), std::chrono::milliseconds(request->wait_ms()),
                          [reactor, response](const core::JobAnswer& answer) {
                            *response = rpc::ToProto(answer);
                            reactor->Finish(grpc::Status::OK);
                          });
    return reactor;
  }

  grpc::ServerUnaryReactor* CancelJob(grpc::CallbackServerContext* context,
                                      const v1::JobReference* request,
                                      v1::JobAnswer* response) override {
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    *response = rpc::ToProto(daemon_.shard_->Cancel(request->submission_id()));
    reactor->Finish(grpc::Status::OK);
    return reactor;
  }

 private:
  EntryDaemon& daemon_;
};

EntryDaemon::EntryDaemon(adapters::EntrySettings settings, const core::Clock& clock,
                         adapters::JsonLog& log)
    : settings_(std::move(settings)),
      clock_(clock),
      log_(log),
      owner_(settings_.peers.empty() || Address(settings_.rpc) < settings_.peers.front()),
      shard_(std::make_unique<ShardRuntime>(
          core::ShardDispatcher::Options{.shard = 0, .epoch = 1},
          ShardRuntime::Hooks{
              .on_action = [this](core::DispatcherAction action) { CarryOut(std::move(action)); }},
          clock)),
      service_(std::make_unique<RpcService>(*this)) {}

EntryDaemon::~EntryDaemon() = default;

core::Result<void> EntryDaemon::Start() {
  grpc::ServerBuilder builder;
  int bound_port = 0;
  builder.AddListeningPort(Address(settings_.rpc), grpc::InsecureServerCredentials(), &bound_port);
  builder.RegisterService(service_.get());
  rpc_server_ = builder.BuildAndStart();
  if (rpc_server_ == nullptr || bound_port == 0) {
    return tl::unexpected(
        core::Error{core::ErrorKind::kInternal, "cannot listen on " + Address(settings_.rpc), {}});
  }
  if (!owner_) {
    owner_stub_ = v1::EntryService::NewStub(
        grpc::CreateChannel(settings_.peers.front(), grpc::InsecureChannelCredentials()));
  }
  auto caller =
      adapters::HttpServer::Start({.address = settings_.caller.host, .port = settings_.caller.port},
                                  [this](const HttpRequest& request, HttpResponder respond) {
                                    ServeCaller(request, std::move(respond));
                                  });
  if (!caller) return tl::unexpected(caller.error());
  caller_server_ = *std::move(caller);
  auto admin = adapters::HttpServer::Start(
      {.address = settings_.admin.host, .port = settings_.admin.port, .threads = 1},
      [this](const HttpRequest& request, const HttpResponder& respond) {
        ServeAdmin(request, respond);
      });
  if (!admin) return tl::unexpected(admin.error());
  admin_server_ = *std::move(admin);
  return {};
}

void EntryDaemon::ServeCaller(const HttpRequest& request, HttpResponder respond) {
  ++requests_in_flight_;
  AnswerCallback reply = [this, respond = std::move(respond)](const core::JobAnswer& answer) {
    respond(adapters::ToHttp(answer));
    --requests_in_flight_;
  };
  if (request.path == kJobsPath && request.method == "POST") {
    core::Result<core::Submission> submission =
        adapters::ParseSubmission(request.body, clock_.now());
    if (!submission) {
      reply(core::FailedAnswer("", submission.error()));
      return;
    }
    const core::Duration longest = submission->deadline - clock_.now() + kAnswerMargin;
    SubmitJob(*std::move(submission), WaitOf(request, longest), std::move(reply));
    return;
  }
  const std::string prefix = std::string(kJobsPath) + "/";
  if (request.path.starts_with(prefix)) {
    const std::string id = request.path.substr(prefix.size());
    if (request.method == "GET") {
      shard_->Fetch(id, WaitOf(request, core::Duration::zero()), std::move(reply));
      return;
    }
    if (request.method == "DELETE") {
      reply(shard_->Cancel(id));
      return;
    }
  }
  reply(core::FailedAnswer("", {core::ErrorKind::kNotFound, "no such path", {}}));
}

void EntryDaemon::SubmitJob(core::Submission submission, core::Duration wait,
                            AnswerCallback callback) {
  if (owns_shard()) {
    shard_->Submit(std::move(submission), wait, std::move(callback));
    return;
  }
  ForwardJob(submission, wait, std::move(callback));
}

void EntryDaemon::ForwardJob(const core::Submission& submission, core::Duration wait,
                             AnswerCallback callback) {
  struct Call {
    grpc::ClientContext context;
    v1::ForwardRequest request;
    v1::JobAnswer response;
  };
  auto call = std::make_shared<Call>();
  const auto to_ms = [](core::Duration duration) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
  };
  call->request = rpc::ToProto(submission, to_ms(submission.deadline - clock_.now()), to_ms(wait));
  call->context.set_deadline(std::chrono::system_clock::now() + wait + kAnswerMargin);
  owner_stub_->async()->Forward(
      &call->context, &call->request, &call->response,
      [call, callback = std::move(callback)](const grpc::Status& status) {
        if (status.ok()) {
          callback(rpc::FromProto(std::move(call->response)));
          return;
        }
        callback(core::FailedAnswer(
            call->request.submission_id(),
            {core::ErrorKind::kOwnerUnavailable, "the shard's owner did not answer", {}}));
      });
}

void EntryDaemon::ServeAdmin(const HttpRequest& request, const HttpResponder& respond) {
  if (request.path == "/healthz") {
    respond(PlainText(200, "ok\n"));
    return;
  }
  if (request.path == "/readyz") {
    const bool ready = !stopping_ && (!owner_ || config_version_ > 0);
    respond(PlainText(ready ? 200 : 503, ready ? "ready\n" : "not ready\n"));
    return;
  }
  if (request.path == "/v1/config" && request.method == "POST") {
    core::Result<core::DispatchConfig> config =
        adapters::ParseConfig(request.body, config_version_ + 1);
    if (!config) {
      respond(adapters::ToHttp(config.error()));
      return;
    }
    ++config_version_;
    shard_->Apply([&](core::ShardDispatcher& dispatcher) { dispatcher.OnConfig(*config); });
    respond(HttpResponse{.body = R"({"version":)" + std::to_string(config_version_) + "}\n"});
    return;
  }
  respond(adapters::ToHttp(core::Error{core::ErrorKind::kNotFound, "no such path", {}}));
}

void EntryDaemon::OnAgentMessage(const std::shared_ptr<AgentStream>& stream,
                                 v1::AgentMessage message) {
  if (message.has_hello()) {
    const core::AgentHello hello = rpc::FromProto(message.hello());
    std::shared_ptr<AgentStream> replaced;
    {
      const std::lock_guard lock(mutex_);
      replaced = std::exchange(streams_[hello.agent_id], stream);
      agent_ids_[stream.get()] = hello.agent_id;
    }
    if (replaced != nullptr) replaced->Cancel();
    v1::EntryMessage welcome;
    welcome.mutable_welcome()->set_entry_id(settings_.id);
    stream->Send(std::move(welcome));
    log_.Write(adapters::LogLevel::kInfo, "agent_attached", {{"agent", hello.agent_id}});
    shard_->Apply([&](core::ShardDispatcher& dispatcher) { dispatcher.OnAgentAttached(hello); });
    return;
  }
  std::string agent_id;
  {
    const std::lock_guard lock(mutex_);
    const auto found = agent_ids_.find(stream.get());
    if (found == agent_ids_.end() || streams_[found->second] != stream) return;
    agent_id = found->second;
  }
  shard_->Apply([&](core::ShardDispatcher& dispatcher) {
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
                             rpc::FromProto(message.refusal().reason()));
        break;
      default:
        break;
    }
  });
}

void EntryDaemon::OnAgentClosed(const std::shared_ptr<AgentStream>& stream) {
  std::string agent_id;
  {
    const std::lock_guard lock(mutex_);
    const auto found = agent_ids_.find(stream.get());
    if (found == agent_ids_.end()) return;
    agent_id = found->second;
    agent_ids_.erase(found);
    const auto current = streams_.find(agent_id);
    if (current == streams_.end() || current->second != stream) return;
    streams_.erase(current);
  }
  log_.Write(adapters::LogLevel::kWarning, "agent_detached", {{"agent", agent_id}});
  shard_->Apply([&](core::ShardDispatcher& dispatcher) { dispatcher.OnAgentDetached(agent_id); });
}

void EntryDaemon::CarryOut(core::DispatcherAction action) {
  v1::EntryMessage message;
  if (auto* dispatch = std::get_if<core::SendDispatch>(&action)) {
    *message.mutable_dispatch() = rpc::ToProto(std::move(dispatch->order));
    SendToAgent(dispatch->agent_id, std::move(message));
  } else if (const auto* ack = std::get_if<core::SendResultAck>(&action)) {
    // Acknowledgements are sent when the agent needs them; see AgentCore::OnResultAck.
    static_cast<void>(ack);
  } else if (const auto* reconcile = std::get_if<core::SendReconcile>(&action)) {
    message.mutable_reconcile()->set_epoch(1);
    for (const core::TaskKey& key : reconcile->tasks) {
      *message.mutable_reconcile()->add_tasks() = rpc::ToProto(key);
    }
    SendToAgent(reconcile->agent_id, std::move(message));
  }
}

void EntryDaemon::SendToAgent(const std::string& agent_id, v1::EntryMessage message) {
  std::shared_ptr<AgentStream> stream;
  {
    const std::lock_guard lock(mutex_);
    const auto found = streams_.find(agent_id);
    if (found == streams_.end()) return;
    stream = found->second;
  }
  stream->Send(std::move(message));
}

void EntryDaemon::OnTimer() {
  shard_->OnTimer();
  const core::TimePoint now = clock_.now();
  std::vector<std::shared_ptr<AgentStream>> streams;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [id, stream] : streams_) streams.push_back(stream);
  }
  for (const std::shared_ptr<AgentStream>& stream : streams) {
    if (now - stream->last_received() > kSilenceLimit) {
      stream->Cancel();
    } else if (now - stream->last_sent() > kHeartbeatPeriod) {
      v1::EntryMessage heartbeat;
      heartbeat.mutable_heartbeat();
      stream->Send(std::move(heartbeat));
    }
  }
}

void EntryDaemon::Stop() {
  stopping_ = true;
  std::this_thread::sleep_for(settings_.drain_notice);
  while (requests_in_flight_ > 0) {
    OnTimer();
    std::this_thread::sleep_for(kShutdownPoll);
  }
  caller_server_->Stop();
  admin_server_->Stop();
  rpc_server_->Shutdown(std::chrono::system_clock::now() + kAnswerMargin);
  rpc_server_->Wait();
}

}  // namespace zinniamux::daemon
