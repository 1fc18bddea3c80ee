// Connecting and reconnecting, heartbeats, and encoding of frames.
#include "zinniamuxd/dispatcher_link.h"

#include <algorithm>
#include <utility>

#include "adapters/listen_address.h"
#include "zinniamuxd/run_codec.h"

namespace zinniamux::daemon {

DispatcherLink::DispatcherLink(asio::io_context& loop, core::EntryAddress address,
                               const Options& options, const core::Clock& clock, Handlers handlers)
    : loop_(loop),
      address_(std::move(address)),
      options_(options),
      clock_(clock),
      handlers_(std::move(handlers)),
      socket_(loop),
      timer_(loop),
      reconnect_delay_(options.initial_reconnect_delay),
      last_frame_at_(clock.now()) {}

void DispatcherLink::Close() {
  closed_ = true;
  timer_.cancel();
  asio::error_code ignored;
  socket_.close(ignored);
  if (connection_) connection_->Close();
  connection_.reset();
}

void DispatcherLink::Connect() {
  const auto address = adapters::ParseAddress(address_.rpc_address);
  if (!address || closed_) return;
  asio::error_code error;
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address->host, error),
                                         address->port);
  socket_ = asio::ip::tcp::socket(loop_);
  connecting_ = true;
  timer_.expires_after(options_.connect_timeout);
  timer_.async_wait([self = shared_from_this()](const asio::error_code& timer_error) {
    // Closing the socket makes the pending connect fail.
    if (timer_error || !self->connecting_) return;
    asio::error_code ignored;
    self->socket_.close(ignored);
  });
  socket_.async_connect(endpoint,
                        [self = shared_from_this()](const asio::error_code& connect_error) {
                          if (!self->closed_) self->OnConnectResult(connect_error);
                        });
}

void DispatcherLink::OnConnectResult(const asio::error_code& error) {
  connecting_ = false;
  timer_.cancel();
  if (error) {
    // The owner's process may have ended. If it lives, its next hello needs what it has here.
    const bool is_refused = error == asio::error::connection_refused && !owner_.empty();
    if (is_refused && !std::exchange(refused_, true)) handlers_.on_owner_refuses(owner_);
    return ScheduleReconnect();
  }
  refused_ = false;
  reconnect_delay_ = options_.initial_reconnect_delay;
  frames_sent_ = 0;
  last_received_at_ = clock_.now();
  connection_ =
      std::make_shared<link::FrameConnection>(std::move(socket_), link::FrameConnection::Options());
  connection_->Start(
      {.on_frame = [self = shared_from_this()](std::string_view bytes) { self->OnFrame(bytes); },
       .on_closed =
           [self = shared_from_this()](const std::string& reason) { self->OnClosed(reason); }});
  handlers_.fill_hello(*this, mutable_outgoing());
  handlers_.on_connection_changed(address_.entry_id, true, "");
  SendOutgoing();
}

void DispatcherLink::ScheduleReconnect() {
  timer_.expires_after(reconnect_delay_);
  reconnect_delay_ = std::min(reconnect_delay_ * 2, options_.max_reconnect_delay);
  timer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
    if (!error && !self->closed_) self->Connect();
  });
}

void DispatcherLink::OnFrame(std::string_view bytes) {
  runs::EntryFrame frame;
  if (!frame.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return OnClosed("malformed frame");
  }
  last_received_at_ = last_frame_at_ = clock_.now();
  OnFramesHandled(frame.frames_handled());
  if (frame.has_welcome()) {
    const std::string owner =
        MakeOwnerId(frame.welcome().entry_id(), frame.welcome().incarnation());
    if (!owner_.empty() && owner_ != owner) EndOwner();
    owner_ = owner;
    welcomed_ = true;
    if (frame.welcome().entry_id() != address_.entry_id) {
      misdirected_ = true;
      owner_.clear();
      return CloseConnection("the dispatcher at this address is " + frame.welcome().entry_id());
    }
  }
  handlers_.on_frame(owner_, frame);
}

void DispatcherLink::EndOwner() {
  // The new process numbers its runs from 1 again, so it would take these ends for those of its
  // own.
  unconfirmed_.clear();
  outgoing_.clear_updates();
  handlers_.on_owner_lost(owner_);
}

void DispatcherLink::OnClosed(const std::string& reason) {
  CloseConnection(reason);
  ScheduleReconnect();
}

void DispatcherLink::CloseConnection(const std::string& reason) {
  if (connection_) connection_->Close();
  connection_.reset();
  welcomed_ = false;
  TakeBackUpdates();
  handlers_.on_connection_changed(address_.entry_id, false, reason);
}

bool DispatcherLink::IsReplacedBy(const core::EntryAddress& address) const {
  if (misdirected_) return address != address_;
  return !welcomed_ && address.rpc_address != address_.rpc_address;
}

void DispatcherLink::Flush() {
  if (!has_outgoing_) return;
  if (connection_) return SendOutgoing();
  if (static_cast<std::size_t>(outgoing_.updates_size()) > options_.max_pending_updates) {
    outgoing_.Clear();
  }
}

void DispatcherLink::SendOutgoing() {
  last_sent_at_ = clock_.now();
  outgoing_.set_sent_clock_ms(ToClockMilliseconds(last_sent_at_));
  const std::string bytes = outgoing_.SerializeAsString();
  ++frames_sent_;
  if (outgoing_.updates_size() > 0) {
    unconfirmed_.push_back({.frame = frames_sent_,
                            .updates = {outgoing_.updates().begin(), outgoing_.updates().end()}});
  }
  outgoing_.Clear();
  // Cleared messages keep their memory for the next ones.
  if (bytes.size() > link::FrameConnection::kKeptBytes) runs::AgentFrame().Swap(&outgoing_);
  has_outgoing_ = false;
  connection_->Send(bytes);
}

void DispatcherLink::OnFramesHandled(std::uint64_t count) {
  // Dispatchers of earlier versions do not count, so what was sent to them is never known to be
  // lost.
  if (count == 0) return unconfirmed_.clear();
  while (!unconfirmed_.empty() && unconfirmed_.front().frame <= count) unconfirmed_.pop_front();
}

void DispatcherLink::TakeBackUpdates() {
  if (unconfirmed_.empty()) return;
  runs::AgentFrame frame;
  for (const SentUpdates& sent : std::exchange(unconfirmed_, {})) {
    for (const runs::RunUpdate& update : sent.updates) *frame.add_updates() = update;
  }
  frame.mutable_updates()->MergeFrom(outgoing_.updates());
  mutable_outgoing().mutable_updates()->Swap(frame.mutable_updates());
}

void DispatcherLink::OnTimer() {
  if (!connection_) return;
  const core::TimePoint now = clock_.now();
  if (now - last_received_at_ > options_.silence_limit) return OnClosed("silent");
  if (now - last_sent_at_ < options_.heartbeat) return;
  handlers_.fill_heartbeat(*this, outgoing_);
  SendOutgoing();
}

}  // namespace zinniamux::daemon
