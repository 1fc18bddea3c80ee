// Handlers of the calls of agents and other entries.
#include "zinniamuxd/rpc_service.h"

#include <utility>

#include "rpc/convert.h"

namespace zinniamux::daemon {

RpcService::RpcService(Hooks hooks, MessageCounts& counts, const core::Clock& clock)
    : hooks_(std::move(hooks)),
      counts_(counts),
      clock_(clock),
      in_flight_(std::make_shared<std::atomic<int>>(0)) {}

grpc::ServerBidiReactor<v1::AgentMessage, v1::EntryMessage>* RpcService::Attach(
    grpc::CallbackServerContext* context) {
  return hooks_.accept_agent(context);
}

ShardAnswerCallback RpcService::MakeResponder(grpc::ServerUnaryReactor* reactor,
                                              v1::JobAnswer* response) {
  ++*in_flight_;
  return [reactor, response, in_flight = in_flight_](std::optional<core::JobAnswer> answer) {
    if (answer) {
      *response = rpc::ToProto(*answer);
      reactor->Finish(grpc::Status::OK);
    } else {
      reactor->Finish({grpc::StatusCode::FAILED_PRECONDITION, "not the owner of the shard"});
    }
    --*in_flight;
  };
}

grpc::ServerUnaryReactor* RpcService::Forward(grpc::CallbackServerContext* context,
                                              const v1::ForwardRequest* request,
                                              v1::JobAnswer* response) {
  counts_.CountPeerCall(MessageCounts::PeerCall::kForward);
  grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
  ShardAnswerCallback respond = MakeResponder(reactor, response);
  const core::Duration wait = std::chrono::milliseconds(request->wait_ms());
  core::Submission submission = rpc::FromProto(v1::ForwardRequest(*request), clock_.now());
  const std::shared_ptr<OwnedShard> shard = hooks_.owned_shard_for(submission);
  if (shard == nullptr) {
    respond(std::nullopt);
  } else if (!request->resubmission() && hooks_.refuses_submissions()) {
    core::JobAnswer answer = core::FailedAnswer(
        submission.id, {core::ErrorKind::kShuttingDown, "the shard's owner is stopping", {}});
    answer.not_run = submission.attempt == 1;
    respond(std::move(answer));
  } else {
    shard->Submit(std::move(submission), wait, std::move(respond));
  }
  return reactor;
}

std::shared_ptr<OwnedShard> RpcService::FindOwnedShard(const std::string& submission_id) const {
  const std::vector<std::shared_ptr<OwnedShard>> shards = hooks_.owned_shards();
  if (shards.empty()) return nullptr;
  for (const auto& shard : shards) {
    if (shard->HasJob(submission_id)) return shard;
  }
  return shards.front();
}

grpc::ServerUnaryReactor* RpcService::FetchJob(grpc::CallbackServerContext* context,
                                               const v1::JobReference* request,
                                               v1::JobAnswer* response) {
  counts_.CountPeerCall(MessageCounts::PeerCall::kFetch);
  grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
  ShardAnswerCallback respond = MakeResponder(reactor, response);
  const auto shard = FindOwnedShard(request->submission_id());
  if (shard == nullptr) {
    respond(std::nullopt);
    return reactor;
  }
  shard->Fetch(request->submission_id(), std::chrono::milliseconds(request->wait_ms()),
               std::move(respond));
  return reactor;
}

grpc::ServerUnaryReactor* RpcService::CancelJob(grpc::CallbackServerContext* context,
                                                const v1::JobReference* request,
                                                v1::JobAnswer* response) {
  counts_.CountPeerCall(MessageCounts::PeerCall::kCancel);
  grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
  const ShardAnswerCallback respond = MakeResponder(reactor, response);
  const auto shard = FindOwnedShard(request->submission_id());
  if (shard == nullptr) {
    respond(std::nullopt);
    return reactor;
  }
  shard->Cancel(request->submission_id(), respond);
  return reactor;
}

grpc::ServerUnaryReactor* RpcService::PeerHeartbeat(grpc::CallbackServerContext* context,
                                                    const v1::PeerStatus* request,
                                                    v1::PeerStatus* response) {
  counts_.CountPeerCall(MessageCounts::PeerCall::kHeartbeat);
  grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
  *response = hooks_.on_heartbeat(*request);
  reactor->Finish(grpc::Status::OK);
  return reactor;
}

}  // namespace zinniamux::daemon
