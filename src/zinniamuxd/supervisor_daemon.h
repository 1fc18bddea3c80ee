// The supervisor role: starts and stops leased runs on the one executor of its VM.
#ifndef ZINNIAMUX_ZINNIAMUXD_SUPERVISOR_DAEMON_H_
#define ZINNIAMUX_ZINNIAMUXD_SUPERVISOR_DAEMON_H_

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "adapters/http_client.h"
#include "adapters/input_guard.h"
#include "adapters/json_log.h"
#include "adapters/loop_http_server.h"
#include "adapters/metrics.h"
#include "adapters/settings.h"
#include "core/clock.h"
#include "core/configuration_exchange.h"
#include "core/report_audience.h"
#include "core/report_schedule.h"
#include "core/run_supervisor.h"
#include "platform/store_client.h"
#include "zinniamuxd/dispatcher_link.h"
#include "zinniamuxd/unreadable_row_log.h"

namespace zinniamux::daemon {

// Runs until SIGTERM or SIGINT, and then until its runs have ended or the grace period is almost
// over.
class SupervisorDaemon {
 public:
  // `clock` counts the time for which the VM is suspended, `steady_clock` does not; nor does the
  // executor's.
  SupervisorDaemon(const adapters::SupervisorSettings& settings, std::string settings_file,
                   const core::Clock& clock, const core::Clock& steady_clock,
                   adapters::JsonLog& log);

  // Returns after a shutdown, or with an error if the process cannot start.
  core::Result<void> Run();

 private:
  core::Result<void> Listen();
  adapters::HttpResponse OnExecutorRequest(const adapters::HttpRequest& request);
  adapters::HttpResponse OnAnnouncement(const std::string& id, const std::string& body);

  void ReadDispatchers();
  void OnDispatcherRows(const core::Result<std::vector<core::TableRow>>& rows);
  void AddLink(const core::EntryAddress& address);
  void FillHello(const DispatcherLink& link, runs::AgentFrame& frame);
  // Adds the evacuated zones if the dispatcher may not know them in the newest version.
  void FillEvacuation(const std::string& dispatcher, runs::AgentFrame& frame);
  void OnEvacuation(const std::string& dispatcher, const core::EvacuationState& state);
  void CloseLink(DispatcherLink& link);
  // Requests the configuration from a dispatcher that holds a newer one, if there is any.
  void RequestConfiguration();
  void OnDispatcherFrame(DispatcherLink& link, const runs::EntryFrame& frame);

  // Performs the actions that the run supervisor has queued.
  void RunActions();
  void LogStop(const core::RunStopping& stopping);
  void LogRestart(const core::ExecutorRestarted& restarted);
  void LogUnconfirmedRun(const core::UnconfirmedRunFound& found);
  // Logs runs whose lease has expired, and orders for a task that has a run here.
  void LogUnusualEnd(const core::RunUpdate& update);
  void SendStart(const core::CallStart& call);
  void SendStop(const core::CallStop& call);
  void SendHold(const core::CallHold& call);
  void SendToExecutor(std::string_view path, const std::string& executor_id, std::string body,
                      std::chrono::milliseconds timeout,
                      std::function<void(const adapters::HttpResult&)> on_result);
  // Schedules reports at a limited rate to close dispatchers, or to all if `to_all` is set, and
  // adds one to every frame that is about to be sent. Close dispatchers (see ReportAudience) get a
  // report of every change of free capacity.
  void ReportCapacityChange(bool to_all);
  void ScheduleReports(bool to_all);
  void StartReportTimer();
  void SendDueReports();
  // Fills in a report that is sent with the link's next frame.
  void FillReport(const DispatcherLink& link, runs::ExecutorReport& message);
  DispatcherLink* FindLinkByOwner(const std::string& owner);

  void StartTimer();
  void OnTimer();
  void AwaitSignal();
  void OnSignal(int signal);
  bool CanExit() const;
  void UpdateGauges();
  // Logs the orders that were refused for lack of memory.
  void NoteMemoryRefusals();

  const adapters::SupervisorSettings settings_;
  const std::string settings_file_;
  const core::Clock& clock_;
  adapters::JsonLog& log_;
  const std::uint64_t incarnation_;
  asio::io_context loop_;
  adapters::Metrics metrics_;
  adapters::InputGuard input_guard_;
  core::RunSupervisor run_supervisor_;
  // Used by callbacks of store_client_.
  UnreadableRowLog unreadable_rows_;
  adapters::HttpClient store_client_;
  platform::StoreClient store_;
  adapters::HttpClient executor_client_;
  std::map<std::string, std::shared_ptr<DispatcherLink>> links_;
  // The highest order number received from each dispatcher process, by owner id.
  std::map<std::string, std::uint64_t> orders_seen_;
  std::unique_ptr<adapters::LoopHttpServer> local_server_;
  std::unique_ptr<adapters::LoopHttpServer> metrics_server_;
  asio::signal_set signals_;
  asio::steady_timer timer_;
  asio::steady_timer run_supervisor_timer_;
  asio::steady_timer report_timer_;
  core::ReportAudience audience_;
  core::ReportSchedule report_schedule_;
  // When report_timer_ expires; unset if it is not running.
  std::optional<core::TimePoint> report_timer_end_;
  core::TimePoint next_dispatcher_read_at_;
  bool reading_dispatchers_ = false;
  bool store_available_ = true;
  core::ConfigurationExchange exchange_;
  // The version of the evacuated zones that each dispatcher was told on its present connection, or
  // has told itself.
  std::map<std::string, std::uint64_t> evacuation_known_;
  // Unset until a shutdown is requested.
  core::TimePoint shutdown_started_at_;
  // Orders without memory that have been logged.
  std::uint64_t noted_memory_refusals_ = 0;
  core::TimePoint next_refusal_log_at_;
};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_SUPERVISOR_DAEMON_H_
