// A supervisor's connection to one dispatcher.
#ifndef ZINNIAMUX_ZINNIAMUXD_ENTRY_LINK_H_
#define ZINNIAMUX_ZINNIAMUXD_ENTRY_LINK_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/entry_address.h"
#include "link/frame_connection.h"
#include "runs.pb.h"

namespace zinniamux::daemon {

// Dials until it is closed. Updates are kept while there is no connection, for the incarnation of
// the entry that they are meant for. All calls and callbacks are on the loop. Created with
// std::make_shared.
class EntryLink : public std::enable_shared_from_this<EntryLink> {
 public:
  struct Options {
    std::chrono::milliseconds connect_timeout{500};
    std::chrono::milliseconds redial_pause{100};
    std::chrono::milliseconds longest_redial_pause{1000};
    std::chrono::milliseconds heartbeat{300};
    // A connection without a frame for this long is given up. Three heartbeats.
    std::chrono::milliseconds silence_limit{900};
    // Bound on the updates that wait for a connection.
    std::size_t max_waiting_updates = 2000;
  };
  struct Handlers {
    // Fills the introduction and the first report.
    std::function<void(const EntryLink& link, runs::AgentFrame& frame)> introduce;
    // Adds to a heartbeat.
    std::function<void(const EntryLink& link, runs::AgentFrame& frame)> on_heartbeat;
    std::function<void(const std::string& owner, const runs::EntryFrame& frame)> on_frame;
    // The process that had this name is gone for certain.
    std::function<void(const std::string& owner)> on_owner_gone;
    std::function<void(const std::string& entry_id, bool connected, const std::string& reason)>
        on_state;
  };

  EntryLink(asio::io_context& loop, core::EntryAddress address, const Options& options,
            const core::Clock& clock, Handlers handlers);

  void Start() { Dial(); }
  // No callback follows.
  void Close();
  void OnTimer();

  const core::EntryAddress& address() const { return address_; }
  // The name of the process at the other end; empty before its first frame.
  const std::string& owner() const { return owner_; }
  bool connected() const { return connection_ != nullptr; }
  core::TimePoint last_connected() const { return last_connected_; }

  // Goes out with the next Flush.
  runs::AgentFrame& outgoing() {
    has_outgoing_ = true;
    return outgoing_;
  }
  bool has_outgoing() const { return has_outgoing_; }
  void Flush();

  static std::string OwnerName(const std::string& entry_id, std::uint64_t incarnation) {
    return entry_id + '@' + std::to_string(incarnation);
  }

 private:
  void Dial();
  void OnDialled(const asio::error_code& error);
  void RedialLater();
  void OnFrame(std::string_view bytes);
  void OnClosed(const std::string& reason);
  void Send();

  asio::io_context& loop_;
  const core::EntryAddress address_;
  const Options options_;
  const core::Clock& clock_;
  Handlers handlers_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  std::shared_ptr<link::FrameConnection> connection_;
  std::string owner_;
  std::chrono::milliseconds pause_;
  core::TimePoint heard_at_;
  core::TimePoint sent_at_;
  core::TimePoint last_connected_;
  runs::AgentFrame outgoing_;
  bool has_outgoing_ = false;
  bool dialling_ = false;
  bool closed_ = false;
};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_ENTRY_LINK_H_
