// A dispatcher's connections from supervisors.
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

#include "adapters/listen_address.h"
#include "core/clock.h"
#include "core/configuration_exchange.h"
#include "core/error_kind.h"
#include "core/executor_view.h"
#include "core/job_scheduler.h"
#include "core/report_audience.h"
#include "link/frame_connection.h"
#include "runs.pb.h"

namespace zinniamux::daemon {

// Accepts connections, decodes frames, and closes connections that are silent. All calls and
// callbacks are on the loop.
class SupervisorRegistry {
 public:
  struct Options {
    adapters::ListenAddress address;
    std::string entry_id;
    std::uint64_t incarnation = 0;
    // With so many executors or fewer, the entry asks for every change of all of them.
    std::size_t few_executors = core::ReportAudience::kFewExecutors;
    std::chrono::milliseconds heartbeat{300};
    // A connection without a frame for this long is closed. Three heartbeats.
    std::chrono::milliseconds silence_limit{900};
  };
  struct Handlers {
    std::function<void(const std::string& agent_id, const std::string& availability_zone,
                       std::uint64_t incarnation, const std::vector<core::RunId>& held_runs)>
        on_attached;
    std::function<void(const std::string& agent_id, const std::string& reason)> on_detached;
    std::function<void(const std::string& agent_id, core::ExecutorReport report)> on_report;
    std::function<void(const std::string& agent_id, const core::RunId& id, core::RunOutcome outcome,
                       core::Duration elapsed)>
        on_update;
    // A supervisor knows another version of the configuration.
    std::function<void(std::uint64_t version, const std::string& body)> on_configuration;
    // The frame has been handled.
    std::function<void()> on_frame_done;
  };

  SupervisorRegistry(asio::io_context& loop, Options options, const core::Clock& clock,
                     Handlers handlers);
  ~SupervisorRegistry();
  SupervisorRegistry(const SupervisorRegistry&) = delete;
  SupervisorRegistry& operator=(const SupervisorRegistry&) = delete;

  core::Result<void> Listen();
  // Actions for supervisors are gathered until Flush sends them.
  void Add(const core::StartTasks& start);
  void Add(const core::StopTask& stop);
  void Flush();
  // Lets supervisors have the configuration, for entries that cannot read it from the store.
  void ShareConfiguration(std::uint64_t version, std::string body) {
    exchange_.Take(version, std::move(body));
  }
  void OnTimer();
  std::size_t connections() const { return peers_.size(); }

 private:
  struct Peer {
    std::shared_ptr<link::FrameConnection> connection;
    std::string agent_id;
    core::TimePoint heard_at;
    core::TimePoint sent_at;
    // The agent's clock minus this one; at most the true difference, because messages take time.
    core::Duration clock_offset = core::Duration::min();
    runs::EntryFrame outgoing;
    bool has_outgoing = false;
  };

  void Accept();
  void Adopt(asio::ip::tcp::socket socket);
  void OnFrame(const std::shared_ptr<Peer>& peer, std::string_view bytes);
  void OnHello(const std::shared_ptr<Peer>& peer, const runs::AgentHello& hello);
  void Drop(const std::shared_ptr<Peer>& peer, const std::string& reason);
  void Send(Peer& peer);
  // Asks a supervisor that holds a newer configuration than this entry.
  void AskForConfiguration();

  asio::io_context& loop_;
  const Options options_;
  const core::Clock& clock_;
  const Handlers handlers_;
  asio::ip::tcp::acceptor acceptor_;
  std::vector<std::shared_ptr<Peer>> peers_;
  // Peers that have introduced themselves. Invariant: each is in peers_.
  std::map<std::string, std::shared_ptr<Peer>> by_agent_;
  core::ConfigurationExchange exchange_;
};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_SUPERVISOR_REGISTRY_H_
