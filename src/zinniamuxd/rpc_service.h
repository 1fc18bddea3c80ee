// The gRPC service of an entry.
#ifndef ZINNIAMUX_ZINNIAMUXD_RPC_SERVICE_H_
#define ZINNIAMUX_ZINNIAMUXD_RPC_SERVICE_H_

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <functional>
#include <memory>

#include "core/clock.h"
#include "core/submission.h"
#include "zinniamux.grpc.pb.h"
#include "zinniamuxd/message_counts.h"
#include "zinniamuxd/owned_shard.h"

namespace zinniamux::daemon {

// Answers agents and other entries. A request for a shard that this process does not own, or ceases
// to own while the request waits, ends with FAILED_PRECONDITION: the sender knows or will learn the
// owner, so that a request takes one hop at most.
class RpcService : public v1::EntryService::CallbackService {
 public:
  struct Hooks {
    std::function<grpc::ServerBidiReactor<v1::AgentMessage, v1::EntryMessage>*(
        grpc::CallbackServerContext*)>
        accept_agent;
    std::function<v1::PeerStatus(const v1::PeerStatus&)> heartbeat;
    // The shard that the submission belongs to, if this process owns it.
    std::function<std::shared_ptr<OwnedShard>(const core::Submission&)> owned_for;
    // All shards that this process owns.
    std::function<std::vector<std::shared_ptr<OwnedShard>>()> owned;
    // New submissions are refused: this entry stops and cannot hand over.
    std::function<bool()> refuses_new;
  };

  // `counts` outlives this object.
  RpcService(Hooks hooks, MessageCounts& counts, const core::Clock& clock);

  grpc::ServerBidiReactor<v1::AgentMessage, v1::EntryMessage>* Attach(
      grpc::CallbackServerContext* context) override;
  grpc::ServerUnaryReactor* Forward(grpc::CallbackServerContext* context,
                                    const v1::ForwardRequest* request,
                                    v1::JobAnswer* response) override;
  grpc::ServerUnaryReactor* FetchJob(grpc::CallbackServerContext* context,
                                     const v1::JobReference* request,
                                     v1::JobAnswer* response) override;
  grpc::ServerUnaryReactor* CancelJob(grpc::CallbackServerContext* context,
                                      const v1::JobReference* request,
                                      v1::JobAnswer* response) override;
  grpc::ServerUnaryReactor* PeerHeartbeat(grpc::CallbackServerContext* context,
                                          const v1::PeerStatus* request,
                                          v1::PeerStatus* response) override;

  // Calls of other entries without an answer.
  int in_flight() const { return *in_flight_; }

 private:
  ShardAnswerCallback Responder(grpc::ServerUnaryReactor* reactor, v1::JobAnswer* response);
  // The owned shard that knows the id, or any owned shard; null if this process owns none.
  std::shared_ptr<OwnedShard> ShardKnowing(const std::string& submission_id) const;

  const Hooks hooks_;
  MessageCounts& counts_;
  const core::Clock& clock_;
  const std::shared_ptr<std::atomic<int>> in_flight_;
};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_RPC_SERVICE_H_
