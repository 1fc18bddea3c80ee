// A supervisor's connection to one dispatcher.
#ifndef ZINNIAMUX_ZINNIAMUXD_DISPATCHER_LINK_H_
#define ZINNIAMUX_ZINNIAMUXD_DISPATCHER_LINK_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/entry_address.h"
#include "link/frame_connection.h"
#include "runs.pb.h"

namespace zinniamux::daemon {

// Reconnects until it is closed, or until another dispatcher answers at the address: it would take
// this link for a new connection of the supervisor and close the one that it has. Run updates are
// kept for the incarnation of the dispatcher that ordered the runs, until it has handled them:
// those that a broken connection may have lost are sent again on the next one. All calls and
// callbacks run on the event loop. Created with std::make_shared.
class DispatcherLink : public std::enable_shared_from_this<DispatcherLink> {
 public:
  struct Options {
    std::chrono::milliseconds connect_timeout{500};
    std::chrono::milliseconds initial_reconnect_delay{100};
    std::chrono::milliseconds max_reconnect_delay{1000};
    std::chrono::milliseconds heartbeat{300};
    // A connection is closed when no frame arrives for this long: three heartbeats.
    std::chrono::milliseconds silence_limit{900};
    // Limit on the run updates kept while disconnected; beyond it, all of them are discarded.
    std::size_t max_pending_updates = 2000;
  };
  struct Handlers {
    // Fills the hello and the first executor report of a new connection.
    std::function<void(const DispatcherLink& link, runs::AgentFrame& frame)> fill_hello;
    // Adds the executor report and the configuration version to a heartbeat.
    std::function<void(const DispatcherLink& link, runs::AgentFrame& frame)> fill_heartbeat;
    std::function<void(const std::string& owner, const runs::EntryFrame& frame)> on_frame;
    // The dispatcher process `owner` is known to have ended: another one answers at its address.
    std::function<void(const std::string& owner)> on_owner_lost;
    // The port of `owner` refuses connections. Its process may have ended, or may live and be back
    // in a moment. Called once until the next connection.
    std::function<void(const std::string& owner)> on_owner_refuses;
    std::function<void(const std::string& entry_id, bool connected, const std::string& reason)>
        on_connection_changed;
  };

  DispatcherLink(asio::io_context& loop, core::EntryAddress address, const Options& options,
                 const core::Clock& clock, Handlers handlers);

  void Start() { Connect(); }
  // No callback is called afterwards.
  void Close();
  void OnTimer();

  const core::EntryAddress& address() const { return address_; }
  // The dispatcher process that was last at the other end, as MakeOwnerId forms it; empty before
  // the first welcome.
  const std::string& owner() const { return owner_; }
  bool connected() const { return connection_ != nullptr; }
  // Another dispatcher has answered at the address, so the link does not connect any more.
  bool misdirected() const { return misdirected_; }
  // Whether a link to `address`, which the directory lists now, is to replace this one. A
  // dispatcher that answers keeps its link: if it moves, the connection ends.
  bool IsReplacedBy(const core::EntryAddress& address) const;
  // When the last frame arrived, or when the link was created if none has arrived.
  core::TimePoint last_frame_at() const { return last_frame_at_; }

  // The frame that the next Flush sends.
  runs::AgentFrame& mutable_outgoing() {
    has_outgoing_ = true;
    return outgoing_;
  }
  bool has_outgoing() const { return has_outgoing_; }
  void Flush();

  // Distinguishes a dispatcher process from earlier ones with the same entry id.
  static std::string MakeOwnerId(const std::string& entry_id, std::uint64_t incarnation) {
    return entry_id + '@' + std::to_string(incarnation);
  }

 private:
  void Connect();
  void OnConnectResult(const asio::error_code& error);
  void ScheduleReconnect();
  void OnFrame(std::string_view bytes);
  // Another process answers at the address.
  void EndOwner();
  void OnClosed(const std::string& reason);
  void CloseConnection(const std::string& reason);
  void SendOutgoing();
  // The dispatcher has handled the first `count` frames of the connection.
  void OnFramesHandled(std::uint64_t count);
  // Puts the updates that were sent, but may not have been handled, before the buffered ones.
  void TakeBackUpdates();

  // The updates of one frame of the present connection.
  struct SentUpdates {
    // Counts the frames of the connection from 1.
    std::uint64_t frame = 0;
    std::vector<runs::RunUpdate> updates;
  };

  asio::io_context& loop_;
  const core::EntryAddress address_;
  const Options options_;
  const core::Clock& clock_;
  Handlers handlers_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  std::shared_ptr<link::FrameConnection> connection_;
  std::string owner_;
  std::chrono::milliseconds reconnect_delay_;
  // When the connection was opened or its last frame arrived.
  core::TimePoint last_received_at_;
  core::TimePoint last_sent_at_;
  core::TimePoint last_frame_at_;
  runs::AgentFrame outgoing_;
  bool has_outgoing_ = false;
  // Of the present connection.
  std::uint64_t frames_sent_ = 0;
  // Updates that the dispatcher may not have handled, by frame. Empty while disconnected.
  std::deque<SentUpdates> unconfirmed_;
  bool connecting_ = false;
  // on_owner_refuses was called since the last connection.
  bool refused_ = false;
  // A welcome has arrived on the present connection.
  bool welcomed_ = false;
  bool misdirected_ = false;
  bool closed_ = false;
};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_DISPATCHER_LINK_H_
