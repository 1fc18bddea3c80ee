// Connects the run supervisor to its executor, the dispatchers, the store and the timers.
#include "zinniamuxd/supervisor_daemon.h"

#include <algorithm>
#include <asio/post.hpp>
#include <csignal>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>
#include <variant>

#include "adapters/row_codec.h"
#include "platform/executor_codec.h"
#include "platform/names.h"
#include "zinniamuxd/evacuation_log.h"
#include "zinniamuxd/incarnation.h"
#include "zinniamuxd/run_codec.h"

namespace zinniamux::daemon {
namespace {

using adapters::HttpRequest;
using adapters::HttpResponder;
using adapters::HttpResponse;
using adapters::HttpResult;
using adapters::LogLevel;
using adapters::LoopHttpServer;
using core::TimePoint;
using std::chrono::milliseconds;

// Heartbeats to dispatchers are due every 300 ms.
constexpr milliseconds kTimerPeriod{100};
// How often the list of dispatchers is read from the store, and how often until it has one.
constexpr milliseconds kDispatcherReadPeriod{3000};
constexpr milliseconds kInitialDispatcherReadPeriod{300};
// A link to a dispatcher without a row in the store is closed after this time without a frame.
constexpr std::chrono::seconds kDisconnectedLinkTimeout{30};
// The process exits this long before the end of the grace period, even if runs are left.
constexpr milliseconds kExitMargin{500};
// Starts and stops share these connections with hold calls.
constexpr long kMaxExecutorConnections = 12;
constexpr long kMaxStoreConnections = 2;
// Least time between two lines on orders that were refused for lack of memory.
constexpr std::chrono::seconds kRefusalLogPeriod{10};
constexpr std::size_t kMaxAnnouncementBytes = 4U << 20U;

core::RunSupervisor::Options SupervisorOptions(const adapters::SupervisorSettings& settings,
                                               std::uint64_t fencing_token) {
  return {.budget = settings.bounds.run_ends,
          .run_budget = adapters::RunOptions(settings.limits),
          .fencing_token = fencing_token,
          .availability_zone = settings.availability_zone};
}

// Earlier versions of dispatchers do not tell; their frames count from now.
TimePoint InputHandledBy(const runs::EntryFrame& frame, TimePoint now) {
  if (frame.input_handled_clock_ms() == 0) return now;
  return TimePoint(milliseconds(frame.input_handled_clock_ms()));
}

}  // namespace

SupervisorDaemon::SupervisorDaemon(const adapters::SupervisorSettings& settings,
                                   std::string settings_file, const core::Clock& clock,
                                   const core::Clock& steady_clock, adapters::JsonLog& log)
    : settings_(settings),
      settings_file_(std::move(settings_file)),
      clock_(clock),
      log_(log),
      incarnation_(TimestampIncarnation()),
      metrics_(clock),
      input_guard_({.budget = adapters::BudgetOptions(settings.limits),
                    .connection = settings.limits.connection},
                   clock, log, metrics_),
      // The incarnation is the fencing token: later processes of this VM get higher ones.
      run_supervisor_(SupervisorOptions(settings, incarnation_), clock, steady_clock),
      unreadable_rows_(log),
      store_client_({.max_connections_per_host = kMaxStoreConnections}),
      store_({.url = settings.store_url, .deadline = milliseconds(1000)}, store_client_, clock,
             [this](const core::UnreadableRow& row) { unreadable_rows_.Write(row); }),
      executor_client_(
          {.max_connections_per_host = kMaxExecutorConnections, .reset_on_close = true}),
      signals_(loop_, SIGTERM, SIGINT, SIGHUP),
      timer_(loop_),
      run_supervisor_timer_(loop_),
      report_timer_(loop_),
      audience_(core::ReportAudience::Options(), settings.id),
      exchange_(core::ConfigurationExchange::Options(), settings.id) {}

core::Result<void> SupervisorDaemon::Listen() {
  auto local = LoopHttpServer::Start(
      loop_, {.address = settings_.local,
              .input_guard = &input_guard_,
              .name = "local",
              .max_body_bytes = kMaxAnnouncementBytes,
              .handler = [this](LoopHttpServer::ConnectionId, const HttpRequest& request,
                                const HttpResponder& responder) {
                responder(OnExecutorRequest(request));
                RunActions();
              }});
  if (!local) return tl::unexpected(local.error());
  local_server_ = *std::move(local);
  auto metrics = LoopHttpServer::Start(
      loop_, {.address = settings_.metrics,
              .input_guard = &input_guard_,
              .name = "metrics",
              .handler = [this](LoopHttpServer::ConnectionId, const HttpRequest& /*request*/,
                                const HttpResponder& responder) {
                UpdateGauges();
                responder({.body = metrics_.Text(), .content_type = "text/plain; version=0.0.4"});
              }});
  if (!metrics) return tl::unexpected(metrics.error());
  metrics_server_ = *std::move(metrics);
  return {};
}

core::Result<void> SupervisorDaemon::Run() {
  if (auto listening = Listen(); !listening) return listening;
  log_.Write(LogLevel::kInfo, "started",
             {{"role", "supervisor"},
              {"zone", settings_.availability_zone},
              {"incarnation", incarnation_},
              {"run_end_ms", settings_.bounds.run_ends.run_end().count()},
              {"silence_ms", settings_.bounds.run_ends.silence().count()},
              {"lease_ms", settings_.bounds.run_ends.lease().count()}});
  AwaitSignal();
  StartTimer();
  loop_.run();
  for (auto& [id, link] : links_) link->Close();
  log_.Write(LogLevel::kInfo, "stopped", {{"runs", run_supervisor_.run_count()}});
  return {};
}

// --- Announcements of the executor

HttpResponse SupervisorDaemon::OnExecutorRequest(const HttpRequest& request) {
  constexpr int kBadRequest = 400;
  constexpr int kNotFound = 404;
  if (!request.path.starts_with(platform::kInstancePathPrefix)) {
    return {.status = kNotFound, .body = "{}"};
  }
  const std::string id = request.path.substr(platform::kInstancePathPrefix.size());
  if (request.method == "PUT") return OnAnnouncement(id, request.body);
  if (request.method != "DELETE") return {.status = kBadRequest, .body = "{}"};
  const auto& known = run_supervisor_.executor();
  log_.Write(LogLevel::kInfo, "executor_left",
             {{"executor", id},
              {"is_known", known && known->id == id},
              {"born_ms", known ? known->born_ms : 0},
              {"draining", known && known->draining},
              {"runs", run_supervisor_.run_count()}});
  run_supervisor_.OnExecutorLeft(id);
  return {.body = "{}"};
}

HttpResponse SupervisorDaemon::OnAnnouncement(const std::string& id, const std::string& body) {
  constexpr int kBadRequest = 400;
  const auto announcement = platform::ParseExecutorAnnouncement(id, body);
  std::string error;
  if (!announcement) {
    error = announcement.error().message;
  } else if (announcement->address != settings_.executor) {
    error =
        "address " + announcement->address + " does not match the executor address in the settings";
  } else if (announcement->status.service != settings_.service) {
    error =
        "service " + announcement->status.service + " does not match the service in the settings";
  }
  if (!error.empty()) {
    log_.Write(LogLevel::kWarning, "announcement_ignored", {{"executor", id}, {"error", error}});
    return {.status = kBadRequest, .body = "{}"};
  }
  const auto& known = run_supervisor_.executor();
  const bool is_new = !known || known->id != id || known->born_ms != announcement->status.born_ms;
  const bool starts_draining = announcement->status.draining && (is_new || !known->draining);
  const bool accepted = run_supervisor_.OnExecutorStatus(announcement->status);
  if (accepted && (is_new || starts_draining)) {
    log_.Write(LogLevel::kInfo, starts_draining ? "executor_draining" : "executor_joined",
               {{"executor", id},
                {"born_ms", announcement->status.born_ms},
                {"cpu_milli", announcement->status.capacity.cpu_milli}});
  }
  return {.body = "{}"};
}

// --- Dispatchers

void SupervisorDaemon::ReadDispatchers() {
  reading_dispatchers_ = true;
  store_.ReadRows(std::string(adapters::kEntryRowPrefix),
                  [this](core::Result<std::vector<core::TableRow>> rows) {
                    asio::post(loop_, [this, rows = std::move(rows)] { OnDispatcherRows(rows); });
                  });
}

void SupervisorDaemon::OnDispatcherRows(const core::Result<std::vector<core::TableRow>>& rows) {
  reading_dispatchers_ = false;
  next_dispatcher_read_at_ =
      clock_.now() + (links_.empty() ? kInitialDispatcherReadPeriod : kDispatcherReadPeriod);
  if (rows.has_value() != store_available_) {
    store_available_ = rows.has_value();
    log_.Write(rows ? LogLevel::kInfo : LogLevel::kWarning, rows ? "store_regained" : "store_lost",
               {{"reason", rows ? "" : rows.error().message}});
  }
  if (!rows) return;
  std::set<std::string> present;
  const auto on_unreadable_row = [this](const core::UnreadableRow& row) {
    unreadable_rows_.Write(row);
  };
  for (const core::VersionedEntryRow& row : adapters::ParseEntryRows(*rows, on_unreadable_row)) {
    const core::EntryAddress& entry = row.row.entry;
    present.insert(entry.entry_id);
    const auto known = links_.find(entry.entry_id);
    if (known != links_.end() && !known->second->IsReplacedBy(entry)) continue;
    if (known != links_.end()) CloseLink(*known->second);
    AddLink(entry);
  }
  std::erase_if(links_, [&](const auto& item) {
    const DispatcherLink& link = *item.second;
    if (present.contains(item.first) || link.connected()) return false;
    if (clock_.now() - link.last_frame_at() < kDisconnectedLinkTimeout) return false;
    CloseLink(*item.second);
    return true;
  });
}

void SupervisorDaemon::CloseLink(DispatcherLink& link) {
  link.Close();
  exchange_.OnPeerGone(link.address().entry_id);
  report_schedule_.Remove(link.address().entry_id);
  evacuation_known_.erase(link.address().entry_id);
  if (audience_.Remove(link.address().entry_id)) ScheduleReports(true);
}

void SupervisorDaemon::RequestConfiguration() {
  const std::optional<std::string> dispatcher = exchange_.PeerToAsk(clock_.now());
  if (!dispatcher) return;
  DispatcherLink& link = *links_.at(*dispatcher);
  link.mutable_outgoing().set_wants_config(true);
  link.Flush();
}

void SupervisorDaemon::AddLink(const core::EntryAddress& address) {
  const std::string& id = address.entry_id;
  auto link = std::make_shared<DispatcherLink>(
      loop_, address, DispatcherLink::Options(), clock_,
      DispatcherLink::Handlers{
          .fill_hello = [this](const DispatcherLink& connected_link,
                               runs::AgentFrame& frame) { FillHello(connected_link, frame); },
          .fill_heartbeat =
              [this](const DispatcherLink& idle_link, runs::AgentFrame& frame) {
                FillReport(idle_link, *frame.mutable_report());
                frame.set_config_version(exchange_.version());
                FillEvacuation(idle_link.address().entry_id, frame);
              },
          .on_frame =
              [this, id](const std::string& /*owner*/, const runs::EntryFrame& frame) {
                const auto found = links_.find(id);
                if (found != links_.end()) OnDispatcherFrame(*found->second, frame);
              },
          .on_owner_lost =
              [this](const std::string& owner) {
                log_.Write(LogLevel::kWarning, "dispatcher_gone", {{"dispatcher", owner}});
                run_supervisor_.OnOwnerLost(owner);
                RunActions();
              },
          .on_owner_refuses =
              [this](const std::string& owner) {
                log_.Write(LogLevel::kWarning, "dispatcher_refuses", {{"dispatcher", owner}});
                run_supervisor_.OnOwnerRefuses(owner);
                RunActions();
              },
          .on_connection_changed =
              [this](const std::string& dispatcher, bool connected, const std::string& reason) {
                log_.Write(connected ? LogLevel::kInfo : LogLevel::kWarning,
                           connected ? "dispatcher_connected" : "dispatcher_disconnected",
                           {{"dispatcher", dispatcher}, {"reason", reason}});
                if (connected) return;
                exchange_.OnPeerGone(dispatcher);
                report_schedule_.Remove(dispatcher);
                if (audience_.Remove(dispatcher)) ScheduleReports(true);
              }});
  links_[id] = link;
  link->Start();
}

void SupervisorDaemon::FillHello(const DispatcherLink& link, runs::AgentFrame& frame) {
  // The new dispatcher may replace another one among the close dispatchers.
  if (audience_.Add(link.address().entry_id)) ScheduleReports(true);
  runs::AgentHello& hello = *frame.mutable_hello();
  hello.set_agent_id(settings_.id);
  hello.set_incarnation(incarnation_);
  hello.set_availability_zone(settings_.availability_zone);
  for (const core::RunId& id : run_supervisor_.RunsOf(link.owner())) {
    ToMessage(id, *hello.add_held_runs());
  }
  // Buffered updates are sent in the same frame; until they are applied, their runs count as held.
  for (const runs::RunUpdate& update : frame.updates()) *hello.add_held_runs() = update.run();
  frame.set_config_version(exchange_.version());
  evacuation_known_.erase(link.address().entry_id);
  FillEvacuation(link.address().entry_id, frame);
  FillReport(link, *frame.mutable_report());
}

void SupervisorDaemon::FillEvacuation(const std::string& dispatcher, runs::AgentFrame& frame) {
  const core::EvacuationState& state = run_supervisor_.evacuation();
  std::uint64_t& known = evacuation_known_[dispatcher];
  if (known >= state.version) return;
  known = state.version;
  ToMessage(state, frame);
}

void SupervisorDaemon::OnEvacuation(const std::string& dispatcher,
                                    const core::EvacuationState& state) {
  // Without the setting, states that others tell have no effect either.
  if (!settings_.bounds.evacuate) return;
  std::uint64_t& known = evacuation_known_[dispatcher];
  known = std::max(known, state.version);
  const std::set<std::string> before = run_supervisor_.evacuation().zones;
  if (!run_supervisor_.OnEvacuation(state)) return;
  if (before == state.zones) return;
  LogEvacuation(log_, before, state, dispatcher, [this](const std::string& zone) {
    return std::size_t{run_supervisor_.executor_zone() == zone ? 1U : 0U};
  });
  // Not with the next heartbeat only: dispatchers may not be able to read the store.
  for (auto& [id, link] : links_) {
    if (link->connected()) FillEvacuation(id, link->mutable_outgoing());
  }
}

void SupervisorDaemon::OnDispatcherFrame(DispatcherLink& link, const runs::EntryFrame& frame) {
  const std::string owner = link.owner();
  if (owner.empty()) return;
  // Before the orders of the same frame.
  if (frame.evacuation_version() > 0) {
    OnEvacuation(link.address().entry_id, EvacuationFromMessage(frame));
  }
  // The runs that it stops have to end by what the dispatcher had handled before.
  for (const runs::RunRef& stop : frame.stops()) {
    run_supervisor_.OnStopOrder(owner, FromMessage(stop));
  }
  for (const std::string& job : frame.superseded_jobs()) {
    run_supervisor_.OnJobSuperseded(owner, job);
  }
  run_supervisor_.OnOwnerHeard(owner, InputHandledBy(frame, clock_.now()));
  report_schedule_.SetPause(link.address().entry_id, milliseconds(frame.report_pause_ms()));
  if (audience_.SetWanted(link.address().entry_id, frame.wants_changes())) ScheduleReports(true);
  exchange_.OnPeerVersion(link.address().entry_id, frame.config_version(), clock_.now());
  exchange_.Take(frame.config_version(), frame.config_body());
  if (frame.wants_config()) {
    link.mutable_outgoing().set_config_version(exchange_.version());
    link.mutable_outgoing().set_config_body(exchange_.body());
  }
  for (const runs::StartOrder& message : frame.starts()) {
    for (const core::RunOrder& order : FromMessage(message)) run_supervisor_.OnOrder(owner, order);
    std::uint64_t& seen = orders_seen_[owner];
    seen = std::max(seen, message.order());
  }
  // Runs that the same frame has ordered.
  for (const runs::RunRef& stop : frame.stops()) {
    run_supervisor_.OnStopOrder(owner, FromMessage(stop));
  }
  // The runs of a superseded job may have ended since the report that named it.
  if (frame.superseded_jobs_size() > 0) {
    FillReport(link, *link.mutable_outgoing().mutable_report());
  }
  if (frame.starts_size() > 0) {
    ScheduleReports(false);
    FillReport(link, *link.mutable_outgoing().mutable_report());
  }
  RunActions();
}

DispatcherLink* SupervisorDaemon::FindLinkByOwner(const std::string& owner) {
  for (auto& [id, link] : links_) {
    if (link->owner() == owner) return link.get();
  }
  return nullptr;
}

// --- Actions

void SupervisorDaemon::RunActions() {
  bool capacity_changed = false;
  bool report_to_all = false;
  for (core::SupervisorAction& action : run_supervisor_.TakeActions()) {
    if (const auto* start = std::get_if<core::CallStart>(&action)) {
      SendStart(*start);
    } else if (const auto* stop = std::get_if<core::CallStop>(&action)) {
      SendStop(*stop);
    } else if (const auto* hold = std::get_if<core::CallHold>(&action)) {
      SendHold(*hold);
    } else if (const auto* update = std::get_if<core::RunUpdate>(&action)) {
      capacity_changed = true;
      metrics_.Add("runs_ended_total", 1, {{"outcome", NameOf(update->outcome)}});
      LogUnusualEnd(*update);
      DispatcherLink* link = FindLinkByOwner(update->owner);
      if (link == nullptr) continue;
      ToMessage(*update, *link->mutable_outgoing().add_updates());
    } else if (const auto* stopping = std::get_if<core::RunStopping>(&action)) {
      LogStop(*stopping);
    } else if (const auto* restarted = std::get_if<core::ExecutorRestarted>(&action)) {
      LogRestart(*restarted);
    } else if (const auto* found = std::get_if<core::UnconfirmedRunFound>(&action)) {
      LogUnconfirmedRun(*found);
    } else {
      report_to_all = true;
    }
  }
  if (capacity_changed || report_to_all) ReportCapacityChange(report_to_all);
  for (auto& [id, link] : links_) link->Flush();
  const TimePoint next = run_supervisor_.next_timer();
  if (next == TimePoint::max()) return;
  run_supervisor_timer_.expires_after(std::max(next - clock_.now(), core::Duration(1000)));
  run_supervisor_timer_.async_wait([this](const asio::error_code& error) {
    if (error) return;
    run_supervisor_.OnTimer();
    RunActions();
  });
}

void SupervisorDaemon::LogStop(const core::RunStopping& stopping) {
  metrics_.Add("runs_stopping_total", 1, {{"reason", NameOf(stopping.reason)}});
  log_.Write(LogLevel::kInfo, "run_stopping",
             {{"job", stopping.id.task.job_id},
              {"step", stopping.id.task.step},
              {"task", stopping.id.task.index},
              {"run", stopping.id.run},
              {"dispatcher", stopping.owner},
              {"reason", NameOf(stopping.reason)},
              {"unheard_ms", std::chrono::duration_cast<milliseconds>(stopping.unheard).count()}});
}

void SupervisorDaemon::LogRestart(const core::ExecutorRestarted& restarted) {
  metrics_.Add("executor_restarts_total");
  log_.Write(LogLevel::kInfo, "executor_restarted",
             {{"born_ms", restarted.born_ms},
              {"runs", restarted.runs},
              {"unanswered_starts", restarted.unanswered_starts}});
}

void SupervisorDaemon::LogUnconfirmedRun(const core::UnconfirmedRunFound& found) {
  metrics_.Add("unconfirmed_runs_found_total", 1,
               {{"reported", found.was_reported ? "true" : "false"}});
  nlohmann::json fields{{"job", found.id.task.job_id},
                        {"step", found.id.task.step},
                        {"task", found.id.task.index},
                        {"run", found.id.run},
                        {"was_reported", found.was_reported}};
  if (found.since_unanswered) {
    fields["since_unanswered_ms"] =
        std::chrono::duration_cast<milliseconds>(*found.since_unanswered).count();
  }
  log_.Write(LogLevel::kWarning, "unconfirmed_run_found", fields);
}

void SupervisorDaemon::LogUnusualEnd(const core::RunUpdate& update) {
  const bool is_unusual =
      update.outcome == core::RunOutcome::kLapsed || update.outcome == core::RunOutcome::kOutdated;
  if (!is_unusual) return;
  log_.Write(LogLevel::kInfo, "run_ended",
             {{"job", update.id.task.job_id},
              {"step", update.id.task.step},
              {"task", update.id.task.index},
              {"run", update.id.run},
              {"dispatcher", update.owner},
              {"outcome", NameOf(update.outcome)}});
}

void SupervisorDaemon::SendToExecutor(std::string_view path, const std::string& executor_id,
                                      std::string body, milliseconds timeout,
                                      std::function<void(const HttpResult&)> on_result) {
  adapters::HttpCall call{.method = "POST",
                          .url = "http://" + settings_.executor + std::string(path),
                          .body = std::move(body),
                          .timeout = timeout};
  call.headers = {{"Content-Type", "application/json"},
                  {std::string(platform::kExpectInstanceHeader), executor_id}};
  executor_client_.Send(std::move(call),
                        [this, on_result = std::move(on_result)](HttpResult result) {
                          asio::post(loop_, [this, on_result, result = std::move(result)] {
                            if (result.connection_refused) run_supervisor_.OnConnectionRefused();
                            on_result(result);
                            RunActions();
                          });
                        });
}

void SupervisorDaemon::SendStart(const core::CallStart& call) {
  SendToExecutor(platform::kRunStartPath, call.executor_id, platform::ComposeStart(call),
                 call.answer_limit, [this, id = call.id](const HttpResult& result) {
                   const auto start = platform::ParseStartResult(result.status, result.body);
                   if (start.answer != core::StartAnswer::kStarted) {
                     log_.Write(LogLevel::kInfo, "start_not_confirmed",
                                {{"job", id.task.job_id},
                                 {"step", id.task.step},
                                 {"task", id.task.index},
                                 {"run", id.run},
                                 {"status", result.status},
                                 {"failure", result.failure},
                                 {"answer", result.body},
                                 {"resent", result.resent}});
                   }
                   run_supervisor_.OnStartAnswer(id, start.answer, start.clock, result.resent);
                 });
}

void SupervisorDaemon::SendStop(const core::CallStop& call) {
  const core::RunSupervisor::Options options;
  constexpr int kOk = 200;
  SendToExecutor(platform::kRunStopPath, call.executor_id, platform::ComposeStop(call),
                 options.answer_limit, [this, id = call.id](const HttpResult& result) {
                   run_supervisor_.OnStopAnswer(id, result.status == kOk);
                 });
}

void SupervisorDaemon::SendHold(const core::CallHold& call) {
  const core::RunSupervisor::Options options;
  SendToExecutor(platform::kHoldPath, call.executor_id, platform::ComposeHold(call),
                 call.wait + options.answer_limit,
                 [this, number = call.number](const HttpResult& result) {
                   const auto answer = platform::ParseHoldResult(result.status, result.body);
                   if (!answer) {
                     metrics_.Add("holds_unanswered_total");
                     log_.Write(LogLevel::kInfo, "hold_not_answered",
                                {{"status", result.status}, {"failure", result.failure}});
                   }
                   run_supervisor_.OnHoldAnswer(number, answer);
                 });
}

void SupervisorDaemon::FillReport(const DispatcherLink& link, runs::ExecutorReport& message) {
  core::ExecutorReport report;
  if (const auto& executor = run_supervisor_.executor()) {
    report.executor_id = executor->id;
    report.service = executor->service;
    report.capacity = executor->capacity;
    report.labels = executor->labels;
    if (executor->zone != settings_.availability_zone) report.availability_zone = executor->zone;
  }
  report.is_close = audience_.IsClose(link.address().entry_id);
  report.close_entries = static_cast<std::uint32_t>(audience_.close().size());
  report.accepting = run_supervisor_.accepting();
  report.free = run_supervisor_.free_room();
  report.pace = run_supervisor_.pace();
  report.steady_pace = run_supervisor_.steady_pace();
  report.waiting = run_supervisor_.waiting_room();
  report.kept_cpu_milli = run_supervisor_.kept_cpu_milli();
  report.release_rate = run_supervisor_.release_rate();
  report.lesser_release_rate = run_supervisor_.lesser_release_rate();
  report.jobs_of_others = run_supervisor_.JobsOfOthers(link.owner());
  report.executor_answered = run_supervisor_.executor_answered();
  // Part of the evacuation of zones: other deployments are placed as before.
  if (settings_.bounds.evacuate) report.cold_left = run_supervisor_.cold_left();
  const auto seen = orders_seen_.find(link.owner());
  if (seen != orders_seen_.end()) report.orders_seen = seen->second;
  ToMessage(report, message);
  report_schedule_.OnReportSent(link.address().entry_id, clock_.now());
}

void SupervisorDaemon::ReportCapacityChange(bool to_all) {
  ScheduleReports(to_all);
  for (auto& [id, link] : links_) {
    if (link->connected() && link->has_outgoing()) {
      FillReport(*link, *link->mutable_outgoing().mutable_report());
    }
  }
}

void SupervisorDaemon::ScheduleReports(bool to_all) {
  const TimePoint now = clock_.now();
  for (const auto& [id, link] : links_) {
    if (!link->connected()) continue;
    if (to_all) {
      report_schedule_.AddUrgentChange(id, audience_.pause(), now);
    } else if (audience_.IsClose(id)) {
      report_schedule_.AddChange(id, audience_.pause(), now);
    }
  }
  StartReportTimer();
}

void SupervisorDaemon::StartReportTimer() {
  const std::optional<TimePoint> due = report_schedule_.next_due();
  if (!due || (report_timer_end_ && *report_timer_end_ <= *due)) return;
  report_timer_end_ = due;
  report_timer_.expires_after(std::max(*due - clock_.now(), core::Duration(0)));
  report_timer_.async_wait([this](const asio::error_code& error) {
    // Restarted with an earlier end.
    if (error) return;
    report_timer_end_.reset();
    SendDueReports();
    StartReportTimer();
  });
}

void SupervisorDaemon::SendDueReports() {
  for (const std::string& id : report_schedule_.DueAt(clock_.now())) {
    DispatcherLink& link = *links_.at(id);
    FillReport(link, *link.mutable_outgoing().mutable_report());
    link.Flush();
  }
}

// --- Time and signals

void SupervisorDaemon::StartTimer() {
  timer_.expires_after(kTimerPeriod);
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) OnTimer();
  });
}

void SupervisorDaemon::NoteMemoryRefusals() {
  const std::uint64_t total = run_supervisor_.orders_without_memory();
  const TimePoint now = clock_.now();
  if (total == noted_memory_refusals_ || now < next_refusal_log_at_) return;
  const std::uint64_t refusals = total - std::exchange(noted_memory_refusals_, total);
  next_refusal_log_at_ = now + kRefusalLogPeriod;
  log_.Write(
      LogLevel::kWarning, "work_refused",
      {{"refusals", {{"no_memory", refusals}}}, {"work_bytes", run_supervisor_.run_bytes()}});
}

void SupervisorDaemon::OnTimer() {
  input_guard_.OnTimer();
  NoteMemoryRefusals();
  run_supervisor_.OnTimer();
  RunActions();
  for (auto& [id, link] : links_) link->OnTimer();
  RequestConfiguration();
  if (!reading_dispatchers_ && clock_.now() >= next_dispatcher_read_at_) ReadDispatchers();
  if (CanExit()) return loop_.stop();
  StartTimer();
}

void SupervisorDaemon::AwaitSignal() {
  signals_.async_wait([this](const asio::error_code& error, int signal) {
    if (error) return;
    OnSignal(signal);
    AwaitSignal();
  });
}

void SupervisorDaemon::OnSignal(int signal) {
  if (signal == SIGHUP) {
    // SIGHUP only validates the file: a running process keeps its addresses and bounds.
    const auto settings = adapters::LoadSettings(settings_file_);
    log_.Write(settings ? LogLevel::kInfo : LogLevel::kError, "settings_checked",
               {{"error", settings ? "" : settings.error().message}});
    return;
  }
  if (shutdown_started_at_ != TimePoint()) return;
  shutdown_started_at_ = clock_.now();
  log_.Write(LogLevel::kInfo, "stopping", {{"runs", run_supervisor_.run_count()}});
  run_supervisor_.StopAccepting();
  RunActions();
}

bool SupervisorDaemon::CanExit() const {
  if (shutdown_started_at_ == TimePoint()) return false;
  if (clock_.now() - shutdown_started_at_ >= settings_.bounds.grace - kExitMargin) return true;
  // The last updates are sent in the same event in which their runs end, so none is left to send.
  return run_supervisor_.run_count() == 0 &&
         clock_.now() - shutdown_started_at_ >= kTimerPeriod * 2;
}

void SupervisorDaemon::UpdateGauges() {
  input_guard_.UpdateGauges();
  metrics_.Set("work_refused_total", static_cast<double>(run_supervisor_.orders_without_memory()),
               {{"cause", "no_memory"}});
  metrics_.Set("work_bytes", static_cast<double>(run_supervisor_.run_bytes()));
  metrics_.Set("runs", static_cast<double>(run_supervisor_.run_count()));
  metrics_.Set("waiting_orders", static_cast<double>(run_supervisor_.waiting_count()));
  metrics_.Set("free_cpu_milli", static_cast<double>(run_supervisor_.free_room().cpu_milli));
  metrics_.Set("accepting", run_supervisor_.accepting() ? 1 : 0);
  metrics_.Set("pace", run_supervisor_.pace());
  metrics_.Set("steady_pace", run_supervisor_.steady_pace());
  metrics_.Set("dispatchers_connected", static_cast<double>(std::count_if(
                                            links_.begin(), links_.end(), [](const auto& item) {
                                              return item.second->connected();
                                            })));
  metrics_.Set("store_answers", store_available_ ? 1 : 0);
  metrics_.Set("zones_evacuated", static_cast<double>(run_supervisor_.evacuation().zones.size()));
  metrics_.Set("log_lines_dropped_total", static_cast<double>(log_.dropped()));
}

}  // namespace zinniamux::daemon
