// gRPC callback reactor for the stream to one entry.
#include "zinniamuxd/entry_connection.h"

#include <utility>

namespace zinniamux::daemon {
namespace {

// A dispatch contains up to 64 KiB for each free slot of the executor.
constexpr int kMaxMessageBytes = 64 << 20;

std::shared_ptr<grpc::Channel> NewChannel(const std::string& address) {
  grpc::ChannelArguments arguments;
  // A private pool, so that a new channel does not reuse a connection that went silent.
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  arguments.SetMaxReceiveMessageSize(kMaxMessageBytes);
  return grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
}

}  // namespace

EntryConnection::EntryConnection(std::string address, Hooks hooks, const core::Clock& clock)
    : address_(std::move(address)),
      hooks_(std::move(hooks)),
      clock_(clock),
      last_received_(clock.now()),
      last_sent_(clock.now()) {}

void EntryConnection::Start(v1::AgentMessage first) {
  self_ = shared_from_this();
  channel_ = NewChannel(address_);
  stub_ = v1::EntryService::NewStub(channel_);
  stub_->async()->Attach(&context_, this);
  // The hold allows Send to be called at any time until OnDone.
  AddHold();
  Send(std::move(first));
  StartRead(&incoming_);
  StartCall();
}

void EntryConnection::Send(v1::AgentMessage message) {
  const std::lock_guard lock(mutex_);
  if (closed_) return;
  last_sent_ = clock_.now();
  outgoing_.push_back(std::move(message));
  if (writing_) return;
  writing_ = true;
  StartWrite(&outgoing_.front());
}

void EntryConnection::Cancel() { context_.TryCancel(); }

std::string EntryConnection::entry_id() const {
  const std::lock_guard lock(mutex_);
  return entry_id_;
}

void EntryConnection::set_entry_id(std::string entry_id) {
  const std::lock_guard lock(mutex_);
  entry_id_ = std::move(entry_id);
}

void EntryConnection::OnReadDone(bool ok) {
  if (!ok) {
    {
      const std::lock_guard lock(mutex_);
      closed_ = true;
    }
    RemoveHold();
    return;
  }
  last_received_ = clock_.now();
  hooks_.on_message(self_, std::move(incoming_));
  incoming_ = v1::EntryMessage();
  StartRead(&incoming_);
}

void EntryConnection::OnWriteDone(bool ok) {
  const std::lock_guard lock(mutex_);
  outgoing_.pop_front();
  writing_ = false;
  if (!ok || closed_ || outgoing_.empty()) return;
  writing_ = true;
  StartWrite(&outgoing_.front());
}

void EntryConnection::OnDone(const grpc::Status& /*status*/) {
  // The receiver may destroy this object, and the hook with it, before the call returns.
  const auto on_closed = hooks_.on_closed;
  on_closed(std::move(self_));
}

}  // namespace zinniamux::daemon
