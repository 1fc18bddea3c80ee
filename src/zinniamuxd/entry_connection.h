// The agent's side of its stream to one entry.
#ifndef ZINNIAMUX_ZINNIAMUXD_ENTRY_CONNECTION_H_
#define ZINNIAMUX_ZINNIAMUXD_ENTRY_CONNECTION_H_

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "core/clock.h"
#include "zinniamux.grpc.pb.h"

namespace zinniamux::daemon {

// One stream on a channel of its own. When it has ended, the owner creates a new object instead of
// reusing a connection that went silent.
class EntryConnection : public grpc::ClientBidiReactor<v1::AgentMessage, v1::EntryMessage>,
                        public std::enable_shared_from_this<EntryConnection> {
 public:
  struct Hooks {
    std::function<void(const std::shared_ptr<EntryConnection>&, v1::EntryMessage)> on_message;
    // Called last. The receiver must keep the connection and release it on a thread that is not
    // gRPC's: the last channel of a process joins gRPC's callback threads when it is destroyed, and
    // a thread that joins itself aborts the process.
    std::function<void(std::shared_ptr<EntryConnection>)> on_closed;
  };

  EntryConnection(std::string address, Hooks hooks, const core::Clock& clock);

  // Opens the stream with `first` as its first message.
  void Start(v1::AgentMessage first);
  void Send(v1::AgentMessage message);
  void Cancel();

  const std::string& address() const { return address_; }
  // The id of the entry, once its Welcome has arrived.
  std::string entry_id() const;
  void set_entry_id(std::string entry_id);
  core::TimePoint last_received() const { return last_received_.load(); }
  core::TimePoint last_sent() const { return last_sent_.load(); }

  void OnReadDone(bool ok) override;
  void OnWriteDone(bool ok) override;
  void OnDone(const grpc::Status& status) override;

 private:
  const std::string address_;
  const Hooks hooks_;
  const core::Clock& clock_;
  std::shared_ptr<EntryConnection> self_;
  std::shared_ptr<grpc::Channel> channel_;
  std::unique_ptr<v1::EntryService::Stub> stub_;
  grpc::ClientContext context_;
  v1::EntryMessage incoming_;
  std::atomic<core::TimePoint> last_received_;
  std::atomic<core::TimePoint> last_sent_;
  mutable std::mutex mutex_;
  // Guarded by mutex_. The front message is being written while writing_ is set; no write is
  // started once closed_ is set.
  std::deque<v1::AgentMessage> outgoing_;
  std::string entry_id_;
  bool writing_ = false;
  bool closed_ = false;
};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_ENTRY_CONNECTION_H_
