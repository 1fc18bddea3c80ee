// Connects the scheduler to callers, supervisors, the store and the timers.
#include "zinniamuxd/dispatcher_daemon.h"

#include <algorithm>
#include <asio/post.hpp>
#include <chrono>
#include <csignal>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>
#include <variant>

#include "platform/configuration_codec.h"
#include "platform/names.h"
#include "zinniamuxd/evacuation_log.h"
#include "zinniamuxd/incarnation.h"
#include "zinniamuxd/placement_api.h"

namespace zinniamux::daemon {
namespace {

using adapters::HttpRequest;
using adapters::HttpResponder;
using adapters::HttpResponse;
using adapters::LogLevel;
using adapters::LoopHttpServer;
using core::TimePoint;
using std::chrono::milliseconds;

// While there are jobs. Bounds the delay of refusals and expiries.
constexpr milliseconds kTimerPeriodWithJobs{20};
// Without jobs; heartbeats are due every 300 ms.
constexpr milliseconds kTimerPeriodWithoutJobs{100};
// How often the roster's timer runs. The dispatchers' rows in the store change slowly.
constexpr milliseconds kRosterPeriod{500};
// How often the state of jobs and executors is logged.
constexpr milliseconds kStatusLogPeriod{2000};
// Least time between the withdrawal of readiness and the exit. The load balancer checks readiness
// every second and acts on the second failed check.
constexpr milliseconds kDrainNotice{2500};
// Before the end of the grace period: when the process answers all remaining jobs, and when it
// exits.
constexpr milliseconds kAnswerMargin{800};
constexpr milliseconds kExitMargin{500};
constexpr long kMaxStoreConnections = 8;
// A closed connection of a caller is posted to the loop by the HTTP server, and again by its
// handler. Posting as often as that comes after it.
constexpr int kInputHops = 3;

double ToMilliseconds(core::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

core::JobScheduler::Options SchedulerOptions(const adapters::DispatcherSettings& settings,
                                             std::function<std::size_t()> unsent_order_bytes) {
  core::JobScheduler::Options options;
  options.availability_zone = settings.availability_zone;
  options.placement_seed = static_cast<std::uint32_t>(std::hash<std::string>()(settings.id));
  options.budget = settings.bounds.run_ends;
  options.late = settings.admission.late;
  options.displacement = settings.admission.displacement;
  options.locality.spread_factor = settings.bounds.spread_factor;
  options.work = adapters::WorkOptions(settings.limits);
  options.unsent_order_bytes = std::move(unsent_order_bytes);
  return options;
}

}  // namespace

DispatcherDaemon::DispatcherDaemon(const adapters::DispatcherSettings& settings,
                                   std::string settings_file, const core::Clock& clock,
                                   adapters::JsonLog& log)
    : settings_(settings),
      settings_file_(std::move(settings_file)),
      clock_(clock),
      log_(log),
      incarnation_(TimestampIncarnation()),
      metrics_(clock),
      input_guard_({.budget = adapters::BudgetOptions(settings.limits),
                    .connection = settings.limits.connection},
                   clock, log, metrics_),
      unreadable_rows_(log),
      store_client_({.max_connections_per_host = kMaxStoreConnections}),
      store_({.url = settings.store_url, .deadline = milliseconds(1000)}, store_client_, clock,
             [this](const core::UnreadableRow& row) { unreadable_rows_.Write(row); }),
      scheduler_(SchedulerOptions(settings, [this] { return registry_.unsent_order_bytes(); }),
                 clock),
      gateway_(scheduler_, clock, log, metrics_),
      registry_(
          loop_, {.address = settings.rpc, .entry_id = settings.id, .incarnation = incarnation_},
          clock,
          {.on_attached =
               [this](const std::string& supervisor, const std::string& zone,
                      std::uint64_t incarnation, const std::vector<core::RunId>& held) {
                 log_.Write(LogLevel::kInfo, "supervisor_attached",
                            {{"agent", supervisor}, {"zone", zone}, {"held_runs", held.size()}});
                 scheduler_.OnAgentAttached(supervisor, zone, incarnation, held);
               },
           .on_detached =
               [this](const std::string& supervisor, const std::string& reason) {
                 log_.Write(LogLevel::kWarning, "supervisor_detached",
                            {{"agent", supervisor}, {"reason", reason}});
                 scheduler_.OnAgentDetached(supervisor);
               },
           .on_hello_outdated =
               [this](const SupervisorRegistry::OutdatedHello& hello) {
                 log_.Write(LogLevel::kWarning, "supervisor_hello_outdated",
                            {{"agent", hello.supervisor_id},
                             {"incarnation", hello.incarnation},
                             {"newer_incarnation", hello.newer_incarnation},
                             {"age_ms", hello.age.count()}});
               },
           .on_report =
               [this](const std::string& supervisor, core::ExecutorReport report) {
                 scheduler_.OnReport(supervisor, std::move(report));
               },
           .on_update =
               [this](const std::string& supervisor, const core::RunId& id,
                      core::RunOutcome outcome, core::Duration elapsed) {
                 metrics_.Add("runs_ended_total", 1, {{"outcome", NameOf(outcome)}});
                 if (outcome != core::RunOutcome::kDone) {
                   log_.Write(LogLevel::kInfo, "run_ended",
                              {{"job", id.task.job_id},
                               {"step", id.task.step},
                               {"task", id.task.index},
                               {"run", id.run},
                               {"agent", supervisor},
                               {"outcome", NameOf(outcome)}});
                 }
                 scheduler_.OnRunUpdate(supervisor, id, outcome, elapsed);
               },
           .on_evacuation =
               [this](const core::EvacuationState& state) { OnEvacuation(state, "supervisor"); },
           .on_configuration =
               [this](std::uint64_t /*version*/, const std::string& body) {
                 OnConfiguration(body, "supervisor");
               },
           .on_message_delay =
               [this](const std::string& supervisor, core::Duration delay) {
                 ++messages_handled_;
                 message_delays_.Record(delay);
                 backlog_.OnMessage(supervisor, delay, clock_.now());
               },
           .input_handled = [this] { return scheduler_.InputHandled(); },
           .on_frame_handled =
               [this] {
                 DetectStall();
                 scheduler_.Place();
                 RunActions();
               }}),
      signals_(loop_, SIGTERM, SIGINT, SIGHUP),
      timer_(loop_),
      stall_detector_(settings.bounds.run_ends.stall_limit()),
      timer_started_at_(clock.now()) {}

DispatcherDaemon::~DispatcherDaemon() {
  if (roster_) roster_->Close();
}

core::Result<void> DispatcherDaemon::Listen() {
  auto callers = LoopHttpServer::Start(
      loop_, {.address = settings_.caller,
              .input_guard = &input_guard_,
              .name = "caller",
              .handler =
                  [this](LoopHttpServer::ConnectionId connection, const HttpRequest& request,
                         HttpResponder responder) {
                    const TimePoint now = clock_.now();
                    gateway_.OnRequest(connection, request, std::move(responder),
                                       now - backlog_.delay(now));
                    SchedulePlacement();
                  },
              .on_closed =
                  [this](LoopHttpServer::ConnectionId connection) {
                    // Posted because the server calls this handler in the middle of its own work.
                    asio::post(loop_, [this, connection] {
                      gateway_.OnClosed(connection);
                      RunActions();
                    });
                  }});
  if (!callers) return tl::unexpected(callers.error());
  caller_server_ = *std::move(callers);
  auto readiness = LoopHttpServer::Start(
      loop_, {.address = settings_.readiness,
              .input_guard = &input_guard_,
              .name = "readiness",
              .handler = [this](LoopHttpServer::ConnectionId, const HttpRequest& request,
                                const HttpResponder& responder) {
                constexpr int kOk = 200;
                constexpr int kNotFound = 404;
                constexpr int kServiceUnavailable = 503;
                int status = IsReady() ? kOk : kServiceUnavailable;
                if (request.path != platform::kReadyPath) status = kNotFound;
                metrics_.Add("readiness_checks_total", 1, {{"status", std::to_string(status)}});
                responder({.status = status, .body = "{}"});
              }});
  if (!readiness) return tl::unexpected(readiness.error());
  readiness_server_ = *std::move(readiness);
  auto metrics = LoopHttpServer::Start(
      loop_, {.address = settings_.metrics,
              .input_guard = &input_guard_,
              .name = "metrics",
              .handler = [this](LoopHttpServer::ConnectionId, const HttpRequest& request,
                                const HttpResponder& responder) {
                if (request.path == kPlacementPath) {
                  return responder(
                      AnswerPlacement(request, scheduler_, gateway_.configuration(), clock_.now()));
                }
                UpdateGauges();
                responder({.body = metrics_.Text(), .content_type = "text/plain; version=0.0.4"});
              }});
  if (!metrics) return tl::unexpected(metrics.error());
  metrics_server_ = *std::move(metrics);
  registry_.LimitInput(input_guard_);
  return registry_.Listen();
}

core::Result<void> DispatcherDaemon::Run() {
  if (auto listening = Listen(); !listening) return listening;
  roster_ = std::make_shared<RosterService>(
      core::EntryRoster::Options{.self = {.entry_id = settings_.id,
                                          .incarnation = incarnation_,
                                          .rpc_address = AddressText(settings_.rpc)}},
      store_, clock_, [] {},
      [this](const core::UnreadableRow& row) { unreadable_rows_.Write(row); });
  configuration_watch_ = std::make_shared<ConfigurationWatch>(
      loop_, store_,
      ConfigurationWatch::Options{.reads_evacuation = settings_.bounds.evacuate.has_value()},
      ConfigurationWatch::Handlers{
          .on_configuration = [this](const std::string& body) { OnConfiguration(body, "store"); },
          .on_evacuation =
              [this](const core::EvacuationState& state) { OnEvacuation(state, "store"); },
          .on_store_status = [this](
                                 bool answered,
                                 const std::string& reason) { OnStoreStatus(answered, reason); }});
  log_.Write(LogLevel::kInfo, "started",
             {{"role", "dispatcher"},
              {"zone", settings_.availability_zone},
              {"incarnation", incarnation_},
              {"lost_after_ms", settings_.bounds.run_ends.lost_after().count()},
              {"isolation_limit_ms", settings_.bounds.run_ends.isolation_limit().count()}});
  configuration_watch_->Start();
  AwaitSignal();
  StartTimer();
  loop_.run();
  log_.Write(LogLevel::kInfo, "stopped", {{"waiting_callers", gateway_.waiting_caller_count()}});
  return {};
}

void DispatcherDaemon::StartTimer() {
  timer_.expires_after(scheduler_.job_count() > 0 ? kTimerPeriodWithJobs : kTimerPeriodWithoutJobs);
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) OnTimer();
  });
}

void DispatcherDaemon::OnTimer() {
  DetectStall();
  const TimePoint now = clock_.now();
  // What had arrived when the timer was started is read before the timer is handled.
  PostInputHandled(std::exchange(timer_started_at_, now), kInputHops);
  input_guard_.OnTimer();
  gateway_.OnTimer();
  scheduler_.OnTimer();
  if (shutdown_started_at_ != TimePoint() &&
      now >= shutdown_started_at_ + settings_.bounds.grace - kAnswerMargin) {
    scheduler_.AbandonAll();
  }
  RunActions();
  registry_.OnTimer();
  if (now >= next_roster_at_) {
    next_roster_at_ = now + kRosterPeriod;
    roster_->OnTimer();
  }
  if (now >= next_status_at_) {
    next_status_at_ = now + kStatusLogPeriod;
    LogStatus();
  }
  if (CanExit()) {
    configuration_watch_->Stop();
    return loop_.stop();
  }
  StartTimer();
}

void DispatcherDaemon::PostInputHandled(TimePoint arrived, int hops) {
  if (hops == 0) return scheduler_.OnInputHandled(arrived);
  asio::post(loop_, [this, arrived, hops] { PostInputHandled(arrived, hops - 1); });
}

void DispatcherDaemon::DetectStall() {
  const std::optional<core::Duration> pause = stall_detector_.OnTurn(clock_.now());
  if (!pause) return;
  metrics_.Add("stalls_total");
  log_.Write(LogLevel::kWarning, "stalled", {{"pause_ms", ToMilliseconds(*pause)}});
  scheduler_.OnStall();
}

void DispatcherDaemon::AwaitSignal() {
  signals_.async_wait([this](const asio::error_code& error, int signal) {
    if (error) return;
    OnSignal(signal);
    AwaitSignal();
  });
}

void DispatcherDaemon::OnSignal(int signal) {
  if (signal != SIGHUP) return StartShutdown();
  // SIGHUP only validates the file: a running process keeps its addresses and bounds.
  const auto settings = adapters::LoadSettings(settings_file_);
  log_.Write(settings ? LogLevel::kInfo : LogLevel::kError, "settings_checked",
             {{"error", settings ? "" : settings.error().message}});
}

void DispatcherDaemon::StartShutdown() {
  if (shutdown_started_at_ != TimePoint()) return;
  log_.Write(LogLevel::kInfo, "stopping", {{"jobs", scheduler_.job_count()}});
  shutdown_started_at_ = clock_.now();
  gateway_.StartShutdown();
  scheduler_.StopAt(shutdown_started_at_ + settings_.bounds.grace - kAnswerMargin);
}

bool DispatcherDaemon::CanExit() const {
  if (shutdown_started_at_ == TimePoint()) return false;
  const core::Duration elapsed = clock_.now() - shutdown_started_at_;
  if (elapsed >= settings_.bounds.grace - kExitMargin) return true;
  return elapsed >= kDrainNotice && gateway_.waiting_caller_count() == 0;
}

bool DispatcherDaemon::IsReady() const {
  // While all zones are evacuated, it refuses jobs itself, and serves again as soon as one is
  // restored.
  return shutdown_started_at_ == TimePoint() && gateway_.config_version() > 0 &&
         (scheduler_.agents_accepting() > 0 || scheduler_.has_evacuated_executors());
}

void DispatcherDaemon::OnEvacuation(const core::EvacuationState& state, const std::string& source) {
  // Without the setting, states that others tell have no effect either.
  if (!settings_.bounds.evacuate) return;
  const std::set<std::string> before = scheduler_.evacuation().zones;
  if (!scheduler_.OnEvacuation(state)) return;
  const std::vector<const core::ExecutorView*> views = scheduler_.executors();
  LogEvacuation(log_, before, state, source, [&views](const std::string& zone) {
    return static_cast<std::size_t>(std::count_if(
        views.begin(), views.end(),
        [&zone](const core::ExecutorView* view) { return view->executor_zone() == zone; }));
  });
  registry_.ShareEvacuation(state);
  if (held_configuration_) {
    OnConfiguration(*std::exchange(held_configuration_, std::nullopt), "supervisor");
  }
  SchedulePlacement();
}

void DispatcherDaemon::OnConfiguration(const std::string& body, const char* source) {
  if (settings_.bounds.evacuate && scheduler_.evacuation().version == 0) {
    held_configuration_ = body;
    return;
  }
  core::Result<core::QueueConfiguration> configuration = platform::ParseConfiguration(body);
  if (!configuration) {
    log_.Write(LogLevel::kError, "configuration_refused",
               {{"source", source}, {"error", configuration.error().message}});
    return;
  }
  const std::uint64_t version = configuration->version;
  const std::size_t queues = configuration->queues.size();
  if (!gateway_.SetConfiguration(*std::move(configuration))) return;
  SchedulePlacement();
  registry_.ShareConfiguration(version, body);
  log_.Write(LogLevel::kInfo, "configuration_taken",
             {{"source", source}, {"config_version", version}, {"queues", queues}});
}

void DispatcherDaemon::OnStoreStatus(bool answered, const std::string& reason) {
  if (answered == store_available_) return;
  store_available_ = answered;
  log_.Write(answered ? LogLevel::kInfo : LogLevel::kWarning,
             answered ? "store_regained" : "store_lost", {{"reason", reason}});
}

void DispatcherDaemon::SchedulePlacement() {
  if (placement_scheduled_) return;
  placement_scheduled_ = true;
  asio::post(loop_, [this] {
    placement_scheduled_ = false;
    DetectStall();
    scheduler_.Place();
    RunActions();
  });
}

void DispatcherDaemon::RunActions() {
  for (core::SchedulerAction& action : scheduler_.TakeActions()) {
    if (const auto* start = std::get_if<core::StartTasks>(&action)) {
      metrics_.Add("runs_ordered_total", static_cast<double>(start->starts.size()));
      log_.Write(LogLevel::kInfo, "placed",
                 {{"job", start->job_id},
                  {"step", start->step},
                  {"agent", start->agent_id},
                  {"tasks", start->starts.size()},
                  {"first_run", start->starts.front().run},
                  {"order", start->order}});
      registry_.QueueStart(*start);
    } else if (const auto* stop = std::get_if<core::StopTask>(&action)) {
      registry_.QueueStop(*stop);
    } else if (const auto* superseded = std::get_if<core::SupersedeJob>(&action)) {
      metrics_.Add("jobs_superseded_total");
      log_.Write(LogLevel::kInfo, "job_superseded",
                 {{"job", superseded->job_id}, {"agents", superseded->agent_ids.size()}});
      registry_.QueueSupersede(*superseded);
    } else if (const auto* answer = std::get_if<core::AnswerJob>(&action)) {
      gateway_.OnJobAnswered(*answer);
    } else if (const auto* isolation = std::get_if<core::IsolationEnded>(&action)) {
      metrics_.Add("isolations_total");
      log_.Write(LogLevel::kWarning, "isolation_ended",
                 {{"length_ms", ToMilliseconds(isolation->length)}});
    } else if (const auto* health = std::get_if<core::ExecutorJudged>(&action)) {
      log_.Write(LogLevel::kWarning, "executor_judged",
                 {{"agent", health->change.executor_id},
                  {"standing", static_cast<int>(health->change.standing)},
                  {"excess_failures", health->change.excess}});
    }
  }
  registry_.Flush();
}

void DispatcherDaemon::LogStatus() {
  // Sums over all executors, and details of the close ones only (those that report every change to
  // this dispatcher), so that the length of the line does not grow with the deployment.
  std::int64_t cpu_milli = 0;
  std::int64_t free_milli = 0;
  std::int64_t waiting_milli = 0;
  nlohmann::json close_executors = nlohmann::json::array();
  for (const core::ExecutorView* view : scheduler_.executors()) {
    if (view->takes_work()) {
      cpu_milli += view->report().capacity.cpu_milli;
      free_milli += view->free().cpu_milli;
      waiting_milli += view->report().waiting.all_cpu_milli;
    }
    if (!view->report().is_close) continue;
    close_executors.push_back({{"agent", view->agent_id()},
                               {"takes_work", view->takes_work()},
                               {"cpu_milli", view->report().capacity.cpu_milli},
                               {"free_milli", view->free().cpu_milli},
                               {"waiting_milli", view->report().waiting.all_cpu_milli},
                               {"kept_milli", view->report().kept_cpu_milli},
                               {"pace", view->report().pace},
                               {"steady_pace", view->report().steady_pace}});
  }
  const core::MessageDelayMeter::Interval delays = message_delays_.TakeInterval();
  const std::uint64_t placements = scheduler_.placements_tried();
  log_.Write(LogLevel::kInfo, "status",
             {{"jobs", scheduler_.job_count()},
              {"queued_jobs", scheduler_.queued_jobs()},
              {"executors", scheduler_.executors().size()},
              {"executors_accepting", scheduler_.agents_accepting()},
              {"executors_slow", scheduler_.speeds().slow()},
              {"executors_fast", scheduler_.speeds().fast()},
              {"cpu_milli", cpu_milli},
              {"free_milli", free_milli},
              {"waiting_milli", waiting_milli},
              {"trusts_close_views", scheduler_.trusts_close_views()},
              {"trusts_other_views", scheduler_.trusts_other_views()},
              {"order_wait_share", scheduler_.order_wait_share()},
              {"locality_waits_paid", scheduler_.locality_waits().paid},
              {"locality_waits_unpaid", scheduler_.locality_waits().unpaid},
              {"mean_locality_wait_ms", ToMilliseconds(scheduler_.locality_waits().mean_wait())},
              {"ready", IsReady()},
              {"placements_tried", placements - logged_placements_},
              {"messages", delays.messages},
              {"message_delay_ms", ToMilliseconds(delays.mean())},
              {"max_message_delay_ms", ToMilliseconds(delays.max)},
              {"report_pause_ms", registry_.report_pause().count()},
              {"backlog_ms", ToMilliseconds(backlog_.delay(clock_.now()))},
              {"close_executors", std::move(close_executors)}});
  logged_placements_ = placements;
}

void DispatcherDaemon::UpdateGauges() {
  input_guard_.UpdateGauges();
  metrics_.Set("jobs_open", static_cast<double>(scheduler_.job_count()));
  metrics_.Set("work_bytes", static_cast<double>(scheduler_.work_bytes()));
  metrics_.Set("unsent_order_bytes", static_cast<double>(registry_.unsent_order_bytes()));
  metrics_.Set("supervisors_attached", static_cast<double>(registry_.connection_count()));
  metrics_.Set("executors_accepting", static_cast<double>(scheduler_.agents_accepting()));
  const std::vector<const core::ExecutorView*> views = scheduler_.executors();
  metrics_.Set("executors_at_run_limit",
               static_cast<double>(std::count_if(
                   views.begin(), views.end(),
                   [](const core::ExecutorView* view) { return view->is_at_run_limit(); })));
  metrics_.Set("executors_slow", static_cast<double>(scheduler_.speeds().slow()));
  metrics_.Set("executors_fast", static_cast<double>(scheduler_.speeds().fast()));
  metrics_.Set("config_version", static_cast<double>(gateway_.config_version()));
  metrics_.Set("order_wait_share", scheduler_.order_wait_share());
  const core::LocalityWait::Counts& waits = scheduler_.locality_waits();
  metrics_.Set("locality_waits_paid_total", static_cast<double>(waits.paid));
  metrics_.Set("locality_waits_unpaid_total", static_cast<double>(waits.unpaid));
  metrics_.Set("mean_locality_wait_ms", ToMilliseconds(waits.mean_wait()));
  metrics_.Set("report_pause_ms", static_cast<double>(registry_.report_pause().count()));
  metrics_.Set("backlog_ms", ToMilliseconds(backlog_.delay(clock_.now())));
  metrics_.Set("placements_tried_total", static_cast<double>(scheduler_.placements_tried()));
  metrics_.Set("messages_handled_total", static_cast<double>(messages_handled_));
  metrics_.Set("store_answers", store_available_ ? 1 : 0);
  metrics_.Set("zones_evacuated", static_cast<double>(scheduler_.evacuation().zones.size()));
  metrics_.Set("log_lines_dropped_total", static_cast<double>(log_.dropped()));
}

}  // namespace zinniamux::daemon
