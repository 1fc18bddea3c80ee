// HTTP, announcements and the passing of time of a leased executor.
#include "support/leased_executor.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "platform/names.h"

namespace zinniamux::testing {
namespace {

using adapters::HttpRequest;
using adapters::HttpResponder;
using adapters::HttpResponse;
using core::StartAnswer;
using core::TimePoint;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kWrongInstance = 421;
constexpr int kServiceUnavailable = 503;

// Leases and ends are kept to this precision.
constexpr milliseconds kStep{1};
constexpr milliseconds kTimerPeriod{2};
constexpr milliseconds kAnnouncePeriod{300};
constexpr milliseconds kAnnounceTimeout{1000};

std::string TaskName(const core::TaskId& task) {
  return task.job_id + '.' + std::to_string(task.occurrence) + '.' + std::to_string(task.step) +
         '.' + std::to_string(task.index);
}

core::TaskId ParseTaskName(const std::string& name) {
  core::TaskId task;
  std::string rest = name;
  for (std::uint32_t* number : {&task.index, &task.step, &task.occurrence}) {
    const std::size_t dot = rest.rfind('.');
    if (dot == std::string::npos) throw std::invalid_argument("a task name has too few numbers");
    *number = static_cast<std::uint32_t>(std::stoul(rest.substr(dot + 1)));
    rest.resize(dot);
  }
  task.job_id = rest;
  return task;
}

core::RunId ParseRun(const json& body) {
  return {.task = ParseTaskName(body.at("task").get<std::string>()),
          .run = body.at("run").get<std::uint32_t>()};
}

const char* RefusalReason(StartAnswer answer) {
  switch (answer) {
    case StartAnswer::kOutdated:
      return "old";
    case StartAnswer::kLeaseExpired:
      return "late";
    case StartAnswer::kNoRoom:
      return "room";
    default:
      return "fence";
  }
}

}  // namespace

LeasedExecutor::LeasedExecutor(asio::io_context& loop, Options options,
                               adapters::HttpClient& client, const core::Clock& clock,
                               RunRecords& records)
    : options_(std::move(options)),
      client_(client),
      clock_(clock),
      records_(records),
      now_(clock.now()),
      executor_(MakeExecutor()),
      timer_(loop) {
  auto server = adapters::LoopHttpServer::Start(
      loop, {.address = options_.address,
             .handler = [this](adapters::LoopHttpServer::ConnectionId, const HttpRequest& request,
                               const HttpResponder& respond) { OnRequest(request, respond); }});
  if (!server) throw std::runtime_error(server.error().message);
  server_ = *std::move(server);
  OnTimer();
}

SimulatedExecutor LeasedExecutor::MakeExecutor() {
  return SimulatedExecutor(
      {.id = options_.id, .capacity = options_.capacity},
      {.run_time = [this](const core::TaskId& task) { return run_times_.at(task); },
       .need = [this](const core::TaskId& /*task*/) { return options_.task_need; },
       .on_start = [this](const core::RunId& id) { records_.Start(options_.id, id, now_); },
       .on_end =
           [this](const core::RunId& id, core::RunOutcome outcome) {
             records_.End(options_.id, id, now_, NameOf(outcome));
           }},
      now_);
}

void LeasedExecutor::Advance() {
  const TimePoint target = clock_.now();
  while (now_ < target) {
    now_ = std::min(now_ + kStep, target);
    executor_.Advance(now_);
  }
}

void LeasedExecutor::OnRequest(const HttpRequest& request, const HttpResponder& respond) {
  Advance();
  const std::string instance =
      adapters::HeaderValue(request.headers, std::string(platform::kExpectInstanceHeader));
  if (!instance.empty() && instance != options_.id) {
    return respond({.status = kWrongInstance, .body = "{}"});
  }
  try {
    const json body = json::parse(request.body);
    const std::uint64_t fence = body.value("fence", std::uint64_t{0});
    if (fence < fence_) return respond(Refuse("fence"));
    fence_ = fence;
    if (request.path == platform::kRunStartPath) return respond(Start(body));
    if (request.path == platform::kRunStopPath) return respond(Stop(body));
    if (request.path == platform::kHoldPath) return Hold(body, respond);
    respond({.status = kNotFound, .body = "{}"});
  } catch (const std::exception& error) {
    respond({.status = kBadRequest, .body = json{{"error", error.what()}}.dump()});
  }
}

HttpResponse LeasedExecutor::Refuse(const std::string& reason) const {
  return {.status = kConflict,
          .body = json{{"clock_ms", executor_.clock().count()}, {"reason", reason}}.dump()};
}

HttpResponse LeasedExecutor::Start(const json& body) {
  const core::RunId id = ParseRun(body);
  if (options_.refuses_second_copies && !started_.insert(id).second) {
    return {.status = kServiceUnavailable, .body = "{}"};
  }
  run_times_[id.task] = milliseconds(std::stoll(body.at("spec").get<std::string>()));
  const StartAnswer answer =
      executor_.Start({.id = id,
                       .executor_id = options_.id,
                       .lease_until = core::ExecutorTime(body.at("until_ms").get<std::int64_t>()),
                       .fencing_token = fence_});
  if (answer != StartAnswer::kStarted) return Refuse(RefusalReason(answer));
  return {.body = json{{"clock_ms", executor_.clock().count()}}.dump()};
}

HttpResponse LeasedExecutor::Stop(const json& body) {
  executor_.Stop({.id = ParseRun(body), .executor_id = options_.id, .fencing_token = fence_});
  return {.body = json{{"clock_ms", executor_.clock().count()}}.dump()};
}

void LeasedExecutor::Hold(const json& body, const HttpResponder& respond) {
  core::CallHold call{.executor_id = options_.id, .fencing_token = fence_};
  call.last_seen = body.value("last_seen", std::uint64_t{0});
  if (body.contains("until_ms")) {
    call.lease_until = core::ExecutorTime(body.at("until_ms").get<std::int64_t>());
  }
  const core::HoldAnswer answer = executor_.Hold(call);
  const milliseconds wait(body.value("wait_ms", std::int64_t{0}));
  if (wait == milliseconds(0) || !answer.ended.empty()) return respond(ComposeHoldAnswer(answer));
  // The lease was renewed when the call came, not when it is answered.
  call.lease_until.reset();
  waiting_.push_back({.until = now_ + wait, .call = call, .respond = respond});
}

HttpResponse LeasedExecutor::ComposeHoldAnswer(const core::HoldAnswer& answer) const {
  json running = json::array();
  for (const core::RunningRun& run : answer.running) {
    running.push_back({TaskName(run.id.task), run.id.run, "", run.percent});
  }
  json ended = json::array();
  for (const core::EndedRun& end : answer.ended) {
    ended.push_back(
        {end.number, TaskName(end.id.task), end.id.run, std::string(NameOf(end.outcome)), ""});
  }
  return {.body = json{{"clock_ms", answer.clock.count()},
                       {"born", answer.born_ms},
                       {"running", std::move(running)},
                       {"ended", std::move(ended)}}
                      .dump()};
}

void LeasedExecutor::OnTimer() {
  Advance();
  std::vector<WaitingHold> due;
  for (auto hold = waiting_.begin(); hold != waiting_.end();) {
    if (!executor_.has_unseen_ends() && now_ < hold->until) {
      ++hold;
      continue;
    }
    due.push_back(std::move(*hold));
    hold = waiting_.erase(hold);
  }
  for (const WaitingHold& hold : due) {
    core::CallHold call = hold.call;
    // A supervisor that was restarted meanwhile has fenced this call off; its lists are still true.
    call.fencing_token = fence_;
    call.last_seen = 0;
    hold.respond(ComposeHoldAnswer(executor_.Hold(call)));
  }
  if (now_ >= next_announcement_) {
    next_announcement_ = now_ + kAnnouncePeriod;
    Announce();
  }
  timer_.expires_after(kTimerPeriod);
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) OnTimer();
  });
}

void LeasedExecutor::Announce() {
  const core::LeasedExecutor status = executor_.Status();
  const json body{{"service", options_.service},
                  {"address", options_.announced_address},
                  {"zone", options_.zone},
                  {"version", "v1"},
                  {"slots", options_.capacity.cpu_milli / options_.task_need.cpu_milli},
                  {"state", "ready"},
                  {"cold_left_ms", 0},
                  {"capacity",
                   {{"cpu", options_.capacity.cpu_milli},
                    {"mem_mb", options_.capacity.memory_mb},
                    {"gpu", options_.capacity.gpus}}},
                  {"labels", json::array()},
                  {"clock_ms", status.clock.count()},
                  {"born", status.born_ms},
                  {"seq", status.sequence}};
  client_.Send({.method = "PUT",
                .url = "http://" + options_.supervisor +
                       std::string(platform::kInstancePathPrefix) + options_.id,
                .headers = {{"Content-Type", "application/json"}},
                .body = body.dump(),
                .timeout = kAnnounceTimeout},
               // The next announcement follows whatever becomes of this one.
               [](const adapters::HttpResult& /*result*/) {});
}

}  // namespace zinniamux::testing
