// The dispatcher role: serves callers, schedules their jobs and connects to supervisors and the
// store, all on one event loop.
#ifndef ZINNIAMUX_ZINNIAMUXD_DISPATCHER_DAEMON_H_
#define ZINNIAMUX_ZINNIAMUXD_DISPATCHER_DAEMON_H_

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "adapters/http_client.h"
#include "adapters/input_guard.h"
#include "adapters/json_log.h"
#include "adapters/loop_http_server.h"
#include "adapters/metrics.h"
#include "adapters/settings.h"
#include "core/backlog_meter.h"
#include "core/clock.h"
#include "core/job_scheduler.h"
#include "core/message_delay_meter.h"
#include "core/stall_detector.h"
#include "platform/store_client.h"
#include "zinniamuxd/caller_gateway.h"
#include "zinniamuxd/configuration_watch.h"
#include "zinniamuxd/roster_service.h"
#include "zinniamuxd/supervisor_registry.h"
#include "zinniamuxd/unreadable_row_log.h"

namespace zinniamux::daemon {

// Runs until SIGTERM or SIGINT. The shutdown is graceful: readiness is withdrawn from the load
// balancer, accepted jobs are finished, and the process exits before the platform kills it.
class DispatcherDaemon {
 public:
  DispatcherDaemon(const adapters::DispatcherSettings& settings, std::string settings_file,
                   const core::Clock& clock, adapters::JsonLog& log);
  ~DispatcherDaemon();

  // Returns after a shutdown, or with an error if the process cannot start.
  core::Result<void> Run();

 private:
  core::Result<void> Listen();
  void StartTimer();
  void OnTimer();
  // Called before events may lead to orders.
  void DetectStall();
  // Notes after this many turns of the loop that what had arrived by then is handled.
  void PostInputHandled(core::TimePoint arrived, int hops);
  void AwaitSignal();
  void OnSignal(int signal);
  void StartShutdown();
  bool CanExit() const;
  void OnConfiguration(const std::string& body, const char* source);
  void OnStoreStatus(bool answered, const std::string& reason);
  bool IsReady() const;
  // Places tasks once, after the events that are already queued on the loop.
  void SchedulePlacement();
  // `source` names who has told the state in log lines.
  void OnEvacuation(const core::EvacuationState& state, const std::string& source);
  // Performs the actions that the scheduler has queued.
  void RunActions();
  void LogStatus();
  void UpdateGauges();

  const adapters::DispatcherSettings settings_;
  const std::string settings_file_;
  const core::Clock& clock_;
  adapters::JsonLog& log_;
  const std::uint64_t incarnation_;
  asio::io_context loop_;
  adapters::Metrics metrics_;
  adapters::InputGuard input_guard_;
  // Used by callbacks of store_client_.
  UnreadableRowLog unreadable_rows_;
  adapters::HttpClient store_client_;
  platform::StoreClient store_;
  core::JobScheduler scheduler_;
  CallerGateway gateway_;
  SupervisorRegistry registry_;
  std::shared_ptr<RosterService> roster_;
  std::shared_ptr<ConfigurationWatch> configuration_watch_;
  std::unique_ptr<adapters::LoopHttpServer> caller_server_;
  std::unique_ptr<adapters::LoopHttpServer> readiness_server_;
  std::unique_ptr<adapters::LoopHttpServer> metrics_server_;
  asio::signal_set signals_;
  asio::steady_timer timer_;
  bool store_available_ = true;
  bool placement_scheduled_ = false;
  // A configuration from a supervisor that came before the evacuated zones were known. It takes
  // effect with them, so that nothing starts in such a zone.
  std::optional<std::string> held_configuration_;
  // Delays of supervisors' messages, and the counts at the last status line.
  core::MessageDelayMeter message_delays_;
  core::BacklogMeter backlog_;
  core::StallDetector stall_detector_;
  core::TimePoint timer_started_at_;
  std::uint64_t messages_handled_ = 0;
  std::uint64_t logged_placements_ = 0;
  // Unset until a shutdown is requested.
  core::TimePoint shutdown_started_at_;
  core::TimePoint next_roster_at_;
  core::TimePoint next_status_at_;
};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_DISPATCHER_DAEMON_H_
