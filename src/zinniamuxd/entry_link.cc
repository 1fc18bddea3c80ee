// Dialling, heartbeats and frames.
#include "zinniamuxd/entry_link.h"

#include <algorithm>
#include <utility>

#include "adapters/listen_address.h"
#include "zinniamuxd/run_codec.h"

namespace zinniamux::daemon {

EntryLink::EntryLink(asio::io_context& loop, core::EntryAddress address, const Options& options,
                     const core::Clock& clock, Handlers handlers)
    : loop_(loop),
      address_(std::move(address)),
      options_(options),
      clock_(clock),
      handlers_(std::move(handlers)),
      socket_(loop),
      timer_(loop),
      pause_(options.redial_pause),
      last_connected_(clock.now()) {}

void EntryLink::Close() {
  closed_ = true;
  timer_.cancel();
  asio::error_code ignored;
  socket_.close(ignored);
  if (connection_) connection_->Close();
  connection_.reset();
}

void EntryLink::Dial() {
  const auto address = adapters::ParseAddress(address_.rpc_address);
  if (!address || closed_) return;
  asio::error_code error;
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address->host, error),
                                         address->port);
  socket_ = asio::ip::tcp::socket(loop_);
  dialling_ = true;
  timer_.expires_after(options_.connect_timeout);
  timer_.async_wait([self = shared_from_this()](const asio::error_code& timer_error) {
    // Closing the socket ends the attempt with an error.
    if (timer_error || !self->dialling_) return;
    asio::error_code ignored;
    self->socket_.close(ignored);
  });
  socket_.async_connect(endpoint, [self = shared_from_this()](const asio::error_code& dial_error) {
    if (!self->closed_) self->OnDialled(dial_error);
  });
}

void EntryLink::OnDialled(const asio::error_code& error) {
  dialling_ = false;
  timer_.cancel();
  if (error) {
    // Nothing listens there any more, so the process that did has ended.
    if (error == asio::error::connection_refused && !owner_.empty()) {
      handlers_.on_owner_gone(std::exchange(owner_, ""));
      outgoing_.Clear();
    }
    return RedialLater();
  }
  pause_ = options_.redial_pause;
  heard_at_ = clock_.now();
  connection_ =
      std::make_shared<link::FrameConnection>(std::move(socket_), link::FrameConnection::Options());
  connection_->Start(
      {.on_frame = [self = shared_from_this()](std::string_view bytes) { self->OnFrame(bytes); },
       .on_closed =
           [self = shared_from_this()](const std::string& reason) { self->OnClosed(reason); }});
  handlers_.introduce(*this, outgoing());
  handlers_.on_state(address_.entry_id, true, "");
  Send();
}

void EntryLink::RedialLater() {
  timer_.expires_after(pause_);
  pause_ = std::min(pause_ * 2, options_.longest_redial_pause);
  timer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
    if (!error && !self->closed_) self->Dial();
  });
}

void EntryLink::OnFrame(std::string_view bytes) {
  runs::EntryFrame frame;
  if (!frame.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return OnClosed("a frame that cannot be read");
  }
  heard_at_ = last_connected_ = clock_.now();
  if (frame.has_welcome()) {
    const std::string owner = OwnerName(frame.welcome().entry_id(), frame.welcome().incarnation());
    if (!owner_.empty() && owner_ != owner) handlers_.on_owner_gone(owner_);
    owner_ = owner;
  }
  handlers_.on_frame(owner_, frame);
}

void EntryLink::OnClosed(const std::string& reason) {
  if (connection_) connection_->Close();
  connection_.reset();
  handlers_.on_state(address_.entry_id, false, reason);
  RedialLater();
}

void EntryLink::Flush() {
  if (!has_outgoing_) return;
  if (connection_) return Send();
  if (static_cast<std::size_t>(outgoing_.updates_size()) > options_.max_waiting_updates) {
    outgoing_.Clear();
  }
}

void EntryLink::Send() {
  sent_at_ = clock_.now();
  outgoing_.set_sent_clock_ms(ClockMilliseconds(sent_at_));
  const std::string bytes = outgoing_.SerializeAsString();
  outgoing_.Clear();
  has_outgoing_ = false;
  connection_->Send(bytes);
}

void EntryLink::OnTimer() {
  if (!connection_) return;
  const core::TimePoint now = clock_.now();
  if (now - heard_at_ > options_.silence_limit) return OnClosed("silent");
  if (now - sent_at_ < options_.heartbeat) return;
  handlers_.on_heartbeat(*this, outgoing_);
  Send();
}

}  // namespace zinniamux::daemon
