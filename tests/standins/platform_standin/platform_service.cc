// Requests, faults and delays of the platform stand-in.
#include "standins/platform_standin/platform_service.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "adapters/percent_encoding.h"

namespace zinniamux::standins {
namespace {

using adapters::HttpRequest;
using adapters::HttpResponder;
using adapters::HttpResponse;
using nlohmann::json;

constexpr std::size_t kPageBytes = 1U << 20U;
constexpr std::string_view kObjectPath = "/objects/";

json RowJson(const core::TableRow& row) {
  return {{"key", row.key}, {"value", row.value}, {"version", row.version}};
}

core::TableTransaction ParseTransaction(const std::string& body) {
  const json root = json::parse(body);
  core::TableTransaction transaction;
  for (const json& item : root.value("conditions", json::array())) {
    transaction.conditions.push_back({.key = item.at("key"), .version = item.at("version")});
  }
  for (const json& item : root.value("puts", json::array())) {
    transaction.puts.push_back({.key = item.at("key"), .value = item.at("value")});
  }
  for (const json& item : root.value("deletes", json::array())) {
    transaction.deletes.push_back(item);
  }
  return transaction;
}

Faults ParseFaults(const std::string& body) {
  static const std::map<std::string, FaultMode> modes = {
      {"ok", FaultMode::kOk},
      {"down", FaultMode::kDown},
      {"silent", FaultMode::kSilent},
      {"slow", FaultMode::kSlow},
      {"lose_answers", FaultMode::kLoseAnswers},
      {"lose_writes", FaultMode::kLoseWrites},
  };
  const json root = json::parse(body);
  Faults faults;
  faults.mode = modes.at(root.at("mode"));
  faults.delay = std::chrono::milliseconds(root.value("delay_ms", 0));
  faults.every = std::max<std::uint64_t>(1, root.value("every", 1U));
  return faults;
}

bool IsWrite(const HttpRequest& request) { return request.method != "GET"; }

HttpResponse NotFound() { return {.status = 404, .body = R"({"error":"not found"})"}; }

}  // namespace

PlatformService::PlatformService(const Options& options)
    : options_(options), timer_thread_([this] { RunTimers(); }) {}

PlatformService::~PlatformService() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  timers_changed_.notify_all();
  timer_thread_.join();
}

void PlatformService::Handle(HttpRequest request, HttpResponder respond) {
  if (request.path == "/faults") return HandleFaults(request, respond);
  if (request.path == "/stats") {
    const PlatformStats stats = Stats();
    const json body = {{"reads", stats.reads},
                       {"writes", stats.writes},
                       {"conflicts", stats.conflicts},
                       {"lost", stats.lost}};
    return respond({.body = body.dump()});
  }
  Faults faults;
  {
    const std::lock_guard lock(mutex_);
    faults = faults_;
  }
  if (faults.mode == FaultMode::kSilent) return;
  if (faults.mode == FaultMode::kDown) return respond({.status = 503});
  Clock::duration delay{0};
  if (IsWrite(request)) delay += WaitForWriteSlot() + options_.write_delay;
  if (faults.mode == FaultMode::kSlow) delay += faults.delay;
  HandleLater(delay, std::move(request), std::move(respond));
}

void PlatformService::SetFaults(const Faults& faults) {
  const std::lock_guard lock(mutex_);
  faults_ = faults;
  writes_since_fault_ = 0;
}

PlatformStats PlatformService::Stats() const {
  const std::lock_guard lock(mutex_);
  return stats_;
}

std::optional<core::TableRow> PlatformService::Row(const std::string& key) const {
  const std::lock_guard lock(mutex_);
  return state_.Row(key);
}

bool PlatformService::Commit(const core::TableTransaction& transaction) {
  const std::lock_guard lock(mutex_);
  return state_.Commit(transaction);
}

void PlatformService::HandleFaults(const HttpRequest& request, const HttpResponder& respond) {
  try {
    SetFaults(ParseFaults(request.body));
    respond({.body = "{}"});
  } catch (const std::exception& error) {
    respond({.status = 400, .body = error.what(), .content_type = "text/plain"});
  }
}

PlatformService::Clock::duration PlatformService::WaitForWriteSlot() {
  if (options_.writes_per_second == 0) return {};
  const std::lock_guard lock(mutex_);
  const Clock::time_point now = Clock::now();
  const Clock::time_point slot = std::max(now, next_write_slot_);
  next_write_slot_ = slot + Clock::duration(std::chrono::seconds(1)) / options_.writes_per_second;
  return slot - now;
}

void PlatformService::HandleLater(Clock::duration delay, HttpRequest request,
                                  HttpResponder respond) {
  if (delay.count() == 0) return HandleNow(request, respond);
  {
    const std::lock_guard lock(mutex_);
    timers_.emplace(Clock::now() + delay,
                    [this, request = std::move(request), respond = std::move(respond)] {
                      HandleNow(request, respond);
                    });
  }
  timers_changed_.notify_all();
}

void PlatformService::HandleNow(const HttpRequest& request, const HttpResponder& respond) {
  HttpResponse response;
  try {
    const std::lock_guard lock(mutex_);
    response = IsWrite(request) ? Write(request) : Read(request);
  } catch (const std::exception& error) {
    response = {.status = 400, .body = error.what(), .content_type = "text/plain"};
  }
  respond(std::move(response));
}

HttpResponse PlatformService::Read(const HttpRequest& request) {
  ++stats_.reads;
  if (request.path == "/table/row") {
    const auto row =
        state_.Row(adapters::PercentDecode(adapters::QueryValue(request.query, "key")));
    const json body = {{"row", row ? RowJson(*row) : json()}};
    return {.body = body.dump()};
  }
  if (request.path == "/table/rows") {
    json rows = json::array();
    const std::string prefix =
        adapters::PercentDecode(adapters::QueryValue(request.query, "prefix"));
    const std::string after = adapters::PercentDecode(adapters::QueryValue(request.query, "after"));
    const PlatformState::Page page = state_.RowsAfter(prefix, after, kPageBytes);
    for (const core::TableRow& row : page.rows) rows.push_back(RowJson(row));
    const json body = {{"rows", std::move(rows)}, {"more", page.more}};
    return {.body = body.dump()};
  }
  if (request.path.starts_with(kObjectPath)) {
    auto body = state_.Object(adapters::PercentDecode(request.path.substr(kObjectPath.size())));
    if (!body) return NotFound();
    return {.body = std::move(*body), .content_type = "application/octet-stream"};
  }
  return NotFound();
}

HttpResponse PlatformService::Write(const HttpRequest& request) {
  ++stats_.writes;
  const bool lost = LosesThisWrite();
  if (lost) ++stats_.lost;
  if (lost && faults_.mode == FaultMode::kLoseWrites) return {.cut_off = true};
  if (request.method == "POST" && request.path == "/table/transaction") {
    const bool committed = state_.Commit(ParseTransaction(request.body));
    if (!committed) ++stats_.conflicts;
    return {.status = committed ? 200 : 409, .body = "{}", .cut_off = lost};
  }
  if (request.method == "PUT" && request.path.starts_with(kObjectPath)) {
    state_.PutObject(adapters::PercentDecode(request.path.substr(kObjectPath.size())),
                     request.body);
    return {.body = "{}", .cut_off = lost};
  }
  return NotFound();
}

bool PlatformService::LosesThisWrite() {
  if (faults_.mode != FaultMode::kLoseAnswers && faults_.mode != FaultMode::kLoseWrites) {
    return false;
  }
  return ++writes_since_fault_ % faults_.every == 0;
}

void PlatformService::RunTimers() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    if (timers_.empty()) {
      timers_changed_.wait(lock);
      continue;
    }
    const Clock::time_point due = timers_.begin()->first;
    if (Clock::now() < due) {
      timers_changed_.wait_until(lock, due);
      continue;
    }
    const std::function<void()> run = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    lock.unlock();
    run();
    lock.lock();
  }
}

}  // namespace zinniamux::standins
