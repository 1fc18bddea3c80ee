// The dispatcher role: callers, scheduler, supervisors and store on one loop.
#ifndef ZINNIAMUX_ZINNIAMUXD_DISPATCHER_DAEMON_H_
#define ZINNIAMUX_ZINNIAMUXD_DISPATCHER_DAEMON_H_

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "adapters/http_client.h"
#include "adapters/json_log.h"
#include "adapters/loop_http_server.h"
#include "adapters/metrics.h"
#include "adapters/settings.h"
#include "core/clock.h"
#include "core/job_scheduler.h"
#include "platform/store_client.h"
#include "zinniamuxd/caller_gateway.h"
#include "zinniamuxd/configuration_watch.h"
#include "zinniamuxd/roster_service.h"
#include "zinniamuxd/supervisor_registry.h"

namespace zinniamux::daemon {

// Runs until SIGTERM or SIGINT. A stop is graceful: the load balancer is told first, jobs that are
// being worked on are finished, and the process ends before the platform kills it.
class DispatcherDaemon {
 public:
  DispatcherDaemon(const adapters::DispatcherSettings& settings, std::string settings_file,
                   const core::Clock& clock, adapters::JsonLog& log);
  ~DispatcherDaemon();

  // Returns when the process has been stopped, or with an error if it cannot start.
  core::Result<void> Run();

 private:
  core::Result<void> Listen();
  void StartTimer();
  void OnTimer();
  void AwaitSignal();
  void OnSignal(int signal);
  void StartLeaving();
  bool MayEnd() const;
  void OnConfiguration(const std::string& body, const char* source);
  void OnStoreAnswer(bool answered, const std::string& reason);
  bool IsReady() const;
  // Places once after all events that are ready now.
  void PlaceSoon();
  // Carries out what the scheduler decided.
  void CarryOut();
  void LogStatus();
  void UpdateGauges();

  const adapters::DispatcherSettings settings_;
  const std::string settings_file_;
  const core::Clock& clock_;
  adapters::JsonLog& log_;
  const std::uint64_t incarnation_;
  asio::io_context loop_;
  adapters::Metrics metrics_;
  adapters::HttpClient client_;
  platform::StoreClient store_;
  core::JobScheduler scheduler_;
  CallerGateway gateway_;
  SupervisorRegistry registry_;
  std::shared_ptr<RosterService> roster_;
  std::shared_ptr<ConfigurationWatch> watch_;
  std::unique_ptr<adapters::LoopHttpServer> caller_server_;
  std::unique_ptr<adapters::LoopHttpServer> readiness_server_;
  std::unique_ptr<adapters::LoopHttpServer> metrics_server_;
  asio::signal_set signals_;
  asio::steady_timer timer_;
  bool store_answers_ = true;
  bool placing_ = false;
  // Unset until a stop was asked for.
  core::TimePoint leaving_since_;
  core::TimePoint next_roster_at_;
  core::TimePoint next_status_at_;
};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_DISPATCHER_DAEMON_H_
