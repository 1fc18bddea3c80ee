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

// Serves agents and other entries. A request for a shard that this process does not own, or loses
// while the request waits, ends with FAILED_PRECONDITION instead of being forwarded: the sender
// knows the owner or will learn it, so a request takes at most one hop.
class RpcService : public v1::EntryService::CallbackService {
 public:
  struct Hooks {
    std::function<grpc::ServerBidiReactor<v1::AgentMessage, v1::EntryMessage>*(
        grpc::CallbackServerContext*)>
        accept_agent;
    // Gets a peer's status and returns the status of this entry.
    std::function<v1::PeerStatus(const v1::PeerStatus&)> on_heartbeat;
    // The shard that the submission belongs to, if this process owns it.
    std::function<std::shared_ptr<OwnedShard>(const core::Submission&)> owned_shard_for;
    // All shards that this process owns.
    std::function<std::vector<std::shared_ptr<OwnedShard>>()> owned_shards;
    // Whether new submissions are refused because this entry is stopping and cannot hand over a
    // shard.
    std::function<bool()> refuses_submissions;
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

  // Number of calls from other entries that have not been answered yet.
  int in_flight() const { return *in_flight_; }

 private:
  ShardAnswerCallback MakeResponder(grpc::ServerUnaryReactor* reactor, v1::JobAnswer* response);
  // The owned shard that has a job with this id, else any owned shard; null if this process owns
  // none.
  std::shared_ptr<OwnedShard> FindOwnedShard(const std::string& submission_id) const;

  const Hooks hooks_;
  MessageCounts& counts_;
  const core::Clock& clock_;
  const std::shared_ptr<std::atomic<int>> in_flight_;
};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_RPC_SERVICE_H_
