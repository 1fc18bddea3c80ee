// The entry's side of one agent's stream.
#ifndef ZINNIAMUX_ZINNIAMUXD_AGENT_STREAM_H_
#define ZINNIAMUX_ZINNIAMUXD_AGENT_STREAM_H_

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>

#include "core/clock.h"
#include "zinniamux.grpc.pb.h"

namespace zinniamux::daemon {

// Queues outgoing messages and passes incoming ones to a hook, in order. Exists until the stream
// has ended and the last reference is released.
class AgentStream : public grpc::ServerBidiReactor<v1::AgentMessage, v1::EntryMessage>,
                    public std::enable_shared_from_this<AgentStream> {
 public:
  struct Hooks {
    std::function<void(const std::shared_ptr<AgentStream>&, v1::AgentMessage)> on_message;
    std::function<void(const std::shared_ptr<AgentStream>&)> on_closed;
    // Optional.
    std::function<void(const v1::EntryMessage&)> on_send;
  };

  AgentStream(grpc::CallbackServerContext* context, Hooks hooks, const core::Clock& clock);

  // Starts reading. The stream keeps itself alive until it has ended.
  void Start();
  void Send(v1::EntryMessage message);
  // Ends the stream; on_closed follows.
  void Cancel();

  core::TimePoint last_received() const { return last_received_.load(); }
  core::TimePoint last_sent() const { return last_sent_.load(); }

  void OnReadDone(bool ok) override;
  void OnWriteDone(bool ok) override;
  void OnCancel() override;
  void OnDone() override;

 private:
  void FinishOnce();

  grpc::CallbackServerContext* const context_;
  const Hooks hooks_;
  const core::Clock& clock_;
  std::shared_ptr<AgentStream> self_;
  v1::AgentMessage incoming_;
  std::atomic<core::TimePoint> last_received_;
  std::atomic<core::TimePoint> last_sent_;
  std::mutex mutex_;
  // Guarded by mutex_. The front message is being written while writing_ is set; no operation is
  // started once finished_ is set.
  std::deque<v1::EntryMessage> outgoing_;
  bool writing_ = false;
  bool finished_ = false;
};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_AGENT_STREAM_H_
