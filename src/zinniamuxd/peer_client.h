// Calls from this entry to one other entry.
#ifndef ZINNIAMUX_ZINNIAMUXD_PEER_CLIENT_H_
#define ZINNIAMUX_ZINNIAMUXD_PEER_CLIENT_H_

#include <grpcpp/grpcpp.h>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "core/clock.h"
#include "core/job_answer.h"
#include "zinniamux.grpc.pb.h"

namespace zinniamux::daemon {

// How a call to the owner of a shard ended.
struct PeerReply {
  enum class Outcome {
    kAnswered,
    // The peer does not own the shard; it did nothing.
    kNotOwner,
    // The peer's address refused the connection; the peer did not receive the call.
    kRefused,
    // No answer arrived; the peer may have received the call.
    kLost,
  };

  Outcome outcome = Outcome::kLost;
  core::JobAnswer answer;
  // The channel used for the call; see PeerClient::ReplaceChannel.
  std::uint64_t channel_id = 0;
};

// Whether the address refused the connection, which means that no process listens there.
bool IsConnectionRefused(const grpc::Status& status);

// Makes calls over one channel at a time. A channel that went silent is replaced by a new one that
// shares no connection with it. Thread-safe.
class PeerClient : public std::enable_shared_from_this<PeerClient> {
 public:
  using ReplyCallback = std::function<void(PeerReply)>;
  using StatusCallback = std::function<void(const grpc::Status&, v1::PeerStatus)>;
  // Cancels a call. Its callback then gets kLost, unless it has already been called.
  using CancelCall = std::function<void()>;

  PeerClient(std::string address, const core::Clock& clock);

  CancelCall Forward(v1::ForwardRequest request, core::Duration deadline, ReplyCallback callback);
  CancelCall Fetch(v1::JobReference request, core::Duration deadline, ReplyCallback callback);
  CancelCall Cancel(v1::JobReference request, core::Duration deadline, ReplyCallback callback);
  void Heartbeat(v1::PeerStatus status, core::Duration deadline, StatusCallback callback);

  // Replaces the channel in use by a new one, if its id is `channel_id`. Calls on the old one
  // continue for a short time and are then cancelled.
  void ReplaceChannel(std::uint64_t channel_id);
  std::uint64_t channel_id() const;
  // Called every few milliseconds.
  void OnTimer();
  // Whether no call is active and no callback is running.
  bool idle() const;
  // Cancels all calls and waits for their callbacks. Later calls are cancelled at once.
  void Close();

  const std::string& address() const { return address_; }

 private:
  struct ActiveCall {
    std::uint64_t channel_id = 0;
    std::shared_ptr<grpc::ClientContext> context;
  };
  // What a call needs, copied under the lock.
  struct CallHandle {
    std::uint64_t call_id = 0;
    std::uint64_t channel_id = 0;
    std::shared_ptr<v1::EntryService::Stub> stub;
    std::shared_ptr<grpc::ClientContext> context;
  };

  template <typename Request, typename Start>
  CancelCall Call(Request request, core::Duration deadline, ReplyCallback callback, Start start);
  CallHandle BeginCall(core::Duration deadline);
  void EndCall(std::uint64_t call_id);

  const std::string address_;
  const core::Clock& clock_;
  mutable std::mutex mutex_;
  // Guarded by mutex_.
  std::shared_ptr<v1::EntryService::Stub> stub_;
  std::uint64_t channel_id_ = 1;
  core::TimePoint replaced_at_;
  std::uint64_t next_call_id_ = 1;
  // Calls whose callback has not returned yet.
  std::map<std::uint64_t, ActiveCall> active_calls_;
  std::condition_variable call_ended_;
  bool closed_ = false;
};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_PEER_CLIENT_H_
