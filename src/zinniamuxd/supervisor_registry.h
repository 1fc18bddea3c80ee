// A dispatcher's connections to its supervisors.
#ifndef ZINNIAMUX_ZINNIAMUXD_SUPERVISOR_REGISTRY_H_
#define ZINNIAMUX_ZINNIAMUXD_SUPERVISOR_REGISTRY_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "adapters/input_guard.h"
#include "adapters/listen_address.h"
#include "core/clock.h"
#include "core/clock_offset.h"
#include "core/configuration_exchange.h"
#include "core/error_kind.h"
#include "core/executor_view.h"
#include "core/job_scheduler.h"
#include "core/report_audience.h"
#include "core/report_pace.h"
#include "core/zone_evacuation.h"
#include "link/frame_connection.h"
#include "runs.pb.h"

namespace zinniamux::daemon {

// Accepts connections, decodes frames, and closes silent connections. All calls and callbacks run
// on the event loop.
class SupervisorRegistry {
 public:
  struct Options {
    adapters::ListenAddress address;
    std::string entry_id;
    std::uint64_t incarnation = 0;
    // With at most this many executors, the dispatcher asks all supervisors to report every change.
    std::size_t max_executors_for_all_changes = core::ReportAudience::kFewExecutors;
    std::chrono::milliseconds heartbeat{300};
    // A connection is closed when no frame arrives for this long: three heartbeats.
    std::chrono::milliseconds silence_limit{900};
  };
  // A hello that arrived after one that the supervisor sent later.
  struct OutdatedHello {
    std::string supervisor_id;
    std::uint64_t incarnation = 0;
    std::uint64_t newer_incarnation = 0;
    // How much earlier it was sent. Only meaningful if both incarnations are the same.
    std::chrono::milliseconds age{0};
  };
  struct Handlers {
    std::function<void(const std::string& supervisor_id, const std::string& availability_zone,
                       std::uint64_t incarnation, const std::vector<core::RunId>& held_runs)>
        on_attached;
    std::function<void(const std::string& supervisor_id, const std::string& reason)> on_detached;
    // The connection on which it came is closed, and the supervisor's newer one stays.
    std::function<void(const OutdatedHello& hello)> on_hello_outdated;
    std::function<void(const std::string& supervisor_id, core::ExecutorReport report)> on_report;
    std::function<void(const std::string& supervisor_id, const core::RunId& id,
                       core::RunOutcome outcome, core::Duration elapsed)>
        on_update;
    // The evacuated zones that a supervisor knows of. Called before the frame's other contents.
    std::function<void(core::EvacuationState state)> on_evacuation = nullptr;
    // A supervisor has sent the configuration that this dispatcher requested.
    std::function<void(std::uint64_t version, const std::string& body)> on_configuration;
    // How long the frame that is being handled has waited; see MessageDelayMeter.
    std::function<void(const std::string& supervisor_id, core::Duration delay)> on_message_delay;
    // The time up to which the dispatcher has handled all input; see EntryFrame.
    std::function<core::TimePoint()> input_handled;
    // All contents of a frame have been passed to the handlers.
    std::function<void()> on_frame_handled;
  };

  SupervisorRegistry(asio::io_context& loop, Options options, const core::Clock& clock,
                     Handlers handlers);
  ~SupervisorRegistry();
  SupervisorRegistry(const SupervisorRegistry&) = delete;
  SupervisorRegistry& operator=(const SupervisorRegistry&) = delete;

  // Counts connections and unfinished frames from now on. `guard` outlives the registry.
  void LimitInput(adapters::InputGuard& guard) { input_guard_ = &guard; }
  core::Result<void> Listen();
  // Orders are collected until Flush sends them. Orders to disconnected supervisors are dropped.
  void QueueStart(const core::StartTasks& start);
  void QueueStop(const core::StopTask& stop);
  void QueueSupersede(const core::SupersedeJob& job);
  void Flush();
  // Offers the configuration to supervisors, which pass it on to dispatchers that cannot read it
  // from the store.
  void ShareConfiguration(std::uint64_t version, std::string body) {
    exchange_.Take(version, std::move(body));
  }
  // Tells every supervisor with the next frame to it, and at once if other zones are evacuated than
  // before. Supervisors that attach later are told with the welcome.
  void ShareEvacuation(const core::EvacuationState& state);
  void OnTimer();
  std::size_t connection_count() const { return peers_.size(); }
  // Of the orders in frames that are not handed to the system completely. At most the bytes of
  // these frames: more than the orders only while a connection never runs empty.
  std::size_t unsent_order_bytes() const;
  // The time that supervisors are asked to leave between two reports of changes.
  std::chrono::milliseconds report_pause() const { return report_pace_.pause(); }

 private:
  struct Peer {
    std::shared_ptr<link::FrameConnection> connection;
    // Null without an input guard.
    std::shared_ptr<adapters::ConnectionInput> input;
    std::string supervisor_id;
    core::TimePoint last_received_at;
    core::TimePoint last_sent_at;
    core::ClockOffset clock_offset;
    // Frames whose run updates have been passed to the handlers.
    std::uint64_t frames_handled = 0;
    // The version of the evacuation state that was last sent.
    std::uint64_t evacuation_sent = 0;
    runs::EntryFrame outgoing;
    bool has_outgoing = false;
    // Of the orders sent since `connection` last had nothing unsent.
    std::size_t order_bytes = 0;
  };
  // When a hello was sent, by the clock of its supervisor.
  struct HelloTime {
    std::uint64_t incarnation = 0;
    std::chrono::milliseconds sent_at{0};
  };

  void Accept();
  void AddPeer(asio::ip::tcp::socket socket);
  // Counts the input of the peer, if there is an input guard.
  void OpenInput(const std::shared_ptr<Peer>& peer);
  void OnFrame(const std::shared_ptr<Peer>& peer, std::string_view bytes);
  // Returns false if the hello is outdated; `peer` is closed then.
  bool OnHello(const std::shared_ptr<Peer>& peer, const runs::AgentHello& hello,
               std::chrono::milliseconds sent_at);
  // Whether the supervisor is known to have sent another hello after this one.
  bool IsOutdated(const std::string& supervisor_id, const HelloTime& hello) const;
  void ClosePeer(const std::shared_ptr<Peer>& peer, const std::string& reason);
  void SendOutgoing(Peer& peer);
  // Requests the configuration from a supervisor that holds a newer one, if there is any.
  void RequestConfiguration();

  asio::io_context& loop_;
  // Null for no limits.
  adapters::InputGuard* input_guard_ = nullptr;
  const Options options_;
  const core::Clock& clock_;
  const Handlers handlers_;
  asio::ip::tcp::acceptor acceptor_;
  std::vector<std::shared_ptr<Peer>> peers_;
  // Peers that have sent a hello, by supervisor id. Invariant: each is in peers_.
  std::map<std::string, std::shared_ptr<Peer>> peers_by_supervisor_;
  // The last hello of each supervisor that was not outdated. Kept when its connection ends: an
  // older one may still be on its way.
  std::map<std::string, HelloTime> last_hellos_;
  core::ConfigurationExchange exchange_;
  core::ReportPace report_pace_;
  core::EvacuationState evacuation_;
};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_SUPERVISOR_REGISTRY_H_
