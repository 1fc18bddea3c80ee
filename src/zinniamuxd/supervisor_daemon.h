// The supervisor role: the agent beside one executor that runs tasks under leases.
#ifndef ZINNIAMUX_ZINNIAMUXD_SUPERVISOR_DAEMON_H_
#define ZINNIAMUX_ZINNIAMUXD_SUPERVISOR_DAEMON_H_

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "adapters/http_client.h"
#include "adapters/json_log.h"
#include "adapters/loop_http_server.h"
#include "adapters/metrics.h"
#include "adapters/settings.h"
#include "core/clock.h"
#include "core/configuration_exchange.h"
#include "core/report_audience.h"
#include "core/run_supervisor.h"
#include "platform/store_client.h"
#include "zinniamuxd/entry_link.h"

namespace zinniamux::daemon {

// Runs until SIGTERM or SIGINT, and then until its runs have ended or the grace is nearly over.
class SupervisorDaemon {
 public:
  SupervisorDaemon(const adapters::SupervisorSettings& settings, std::string settings_file,
                   const core::Clock& clock, adapters::JsonLog& log);

  // Returns when the process has been stopped, or with an error if it cannot start.
  core::Result<void> Run();

 private:
  core::Result<void> Listen();
  adapters::HttpResponse OnExecutorCall(const adapters::HttpRequest& request);
  adapters::HttpResponse OnAnnouncement(const std::string& id, const std::string& body);

  void ReadEntries();
  void OnEntries(const core::Result<std::vector<core::TableRow>>& rows);
  void AddLink(const core::EntryAddress& address);
  void Introduce(const EntryLink& link, runs::AgentFrame& frame);
  void Forget(EntryLink& link);
  // Asks an entry that holds a newer configuration than this supervisor.
  void AskForConfiguration();
  void OnEntryFrame(EntryLink& link, const runs::EntryFrame& frame);

  // Carries out what the supervisor decided.
  void CarryOut();
  void Call(const core::CallStart& call);
  void Call(const core::CallStop& call);
  void Call(const core::CallHold& call);
  void SendToExecutor(std::string_view path, const std::string& executor_id, std::string body,
                      std::chrono::milliseconds timeout,
                      std::function<void(const adapters::HttpResult&)> on_result);
  // Reports to entries with something else to send go out with it; the others are paced, and go to
  // close entries unless `to_all` is set.
  void Report(bool to_all);
  void ReportLater(bool to_all);
  void SendReports();
  void FillReport(const EntryLink& link, runs::ExecutorReport& message) const;
  EntryLink* LinkOf(const std::string& owner);

  void StartTimer();
  void OnTimer();
  void AwaitSignal();
  void OnSignal(int signal);
  bool MayEnd() const;
  void UpdateGauges();

  const adapters::SupervisorSettings settings_;
  const std::string settings_file_;
  const core::Clock& clock_;
  adapters::JsonLog& log_;
  const std::uint64_t incarnation_;
  asio::io_context loop_;
  adapters::Metrics metrics_;
  core::RunSupervisor supervisor_;
  adapters::HttpClient store_client_;
  platform::StoreClient store_;
  adapters::HttpClient executor_client_;
  std::map<std::string, std::shared_ptr<EntryLink>> links_;
  // The highest order taken from each entry, by link.
  std::map<std::string, std::uint64_t> orders_seen_;
  std::unique_ptr<adapters::LoopHttpServer> local_server_;
  std::unique_ptr<adapters::LoopHttpServer> metrics_server_;
  asio::signal_set signals_;
  asio::steady_timer timer_;
  asio::steady_timer supervisor_timer_;
  asio::steady_timer report_timer_;
  core::ReportAudience audience_;
  bool report_waits_ = false;
  // The report that waits is for every entry.
  bool report_to_all_ = false;
  core::TimePoint next_read_at_;
  bool reading_ = false;
  bool store_answers_ = true;
  core::ConfigurationExchange exchange_;
  core::TimePoint leaving_since_;
};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_SUPERVISOR_DAEMON_H_
