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
    // The peer's address refused the connection; it got nothing.
    kRefused,
    // No answer; the peer may have received the call.
    kLost,
  };

  Outcome outcome = Outcome::kLost;
  core::JobAnswer answer;
  // The channel of the call; see PeerClient::ReplaceChannel.
  std::uint64_t channel = 0;
};

// The address refused the connection: no process listens there.
bool IsConnectionRefused(const grpc::Status& status);

// Makes calls over one channel at a time. A channel that went silent is replaced by a new one, with
// connections of its own. Thread-safe.
class PeerClient : public std::enable_shared_from_this<PeerClient> {
 public:
  using ReplyCallback = std::function<void(PeerReply)>;
  using StatusCallback = std::function<void(const grpc::Status&, v1::PeerStatus)>;
  // Abandons a call; its callback follows with kLost, unless it has been called.
  using CancelCall = std::function<void()>;

  PeerClient(std::string address, const core::Clock& clock);

  CancelCall Forward(v1::ForwardRequest request, core::Duration deadline, ReplyCallback callback);
  CancelCall Fetch(v1::JobReference request, core::Duration deadline, ReplyCallback callback);
  CancelCall Cancel(v1::JobReference request, core::Duration deadline, ReplyCallback callback);
  void Heartbeat(v1::PeerStatus status, core::Duration deadline, StatusCallback callback);

  // Uses a new channel from now on, if `channel` is the one in use. Calls on the old one go on for
  // a short time and are then abandoned.
  void ReplaceChannel(std::uint64_t channel);
  std::uint64_t channel() const;
  // Called every few milliseconds.
  void OnTimer();
  // No call is under way and no callback is running.
  bool idle() const;
  // Abandons all calls and waits for their callbacks. Calls that begin later end at once.
  void Close();

  const std::string& address() const { return address_; }

 private:
  struct ActiveCall {
    std::uint64_t channel = 0;
    std::shared_ptr<grpc::ClientContext> context;
  };
  // What a call needs, taken under the lock.
  struct Lease {
    std::uint64_t call_id = 0;
    std::uint64_t channel = 0;
    std::shared_ptr<v1::EntryService::Stub> stub;
    std::shared_ptr<grpc::ClientContext> context;
  };

  template <typename Request, typename Start>
  CancelCall Call(Request request, core::Duration deadline, ReplyCallback callback, Start start);
  Lease Begin(core::Duration deadline);
  void End(std::uint64_t call_id);

  const std::string address_;
  const core::Clock& clock_;
  mutable std::mutex mutex_;
  // Guarded by mutex_.
  std::shared_ptr<v1::EntryService::Stub> stub_;
  std::uint64_t channel_ = 1;
  core::TimePoint replaced_at_;
  std::uint64_t next_call_ = 1;
  // Calls whose callback has not returned.
  std::map<std::uint64_t, ActiveCall> active_;
  std::condition_variable ended_;
  bool closed_ = false;
};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_PEER_CLIENT_H_
