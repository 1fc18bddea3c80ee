// The store's rows, and the lifetimes, leases and runs of an executor.
#include "platform.h"

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>

namespace zinniamux::review {

using nlohmann::json;

namespace {

constexpr int kConflict = 409;
constexpr int kNotFound = 404;
constexpr int kPreconditionFailed = 412;
constexpr int kWrongInstance = 421;
constexpr std::string_view kAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string EncodeBase64(const std::string& text) {
  std::string result;
  unsigned bits = 0;
  int count = 0;
  for (const unsigned char byte : text) {
    bits = (bits << 8U) | byte;
    for (count += 8; count >= 6; count -= 6) {
      result.push_back(kAlphabet[(bits >> static_cast<unsigned>(count - 6)) & 63U]);
    }
  }
  if (count > 0) result.push_back(kAlphabet[(bits << static_cast<unsigned>(6 - count)) & 63U]);
  while (result.size() % 4 != 0) result.push_back('=');
  return result;
}

std::string DecodeBase64(const std::string& text) {
  std::string result;
  unsigned bits = 0;
  int count = 0;
  for (const char character : text) {
    const std::size_t value = kAlphabet.find(character);
    if (value == std::string_view::npos) break;
    bits = (bits << 6U) | static_cast<unsigned>(value);
    count += 6;
    if (count < 8) continue;
    count -= 8;
    result.push_back(static_cast<char>((bits >> static_cast<unsigned>(count)) & 255U));
  }
  return result;
}

std::int64_t SteadyMs() {
  return std::chrono::duration_cast<milliseconds>(Clock::now().time_since_epoch()).count();
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

// --- Store

Store::Store(std::uint16_t port)
    : server_(port, [this](const HttpRequest& request) { return Handle(request, {}); }) {}

void Store::ServeAt(std::uint16_t port, Addresses addresses) {
  more_servers_.push_back(std::make_unique<HttpServer>(
      port, [this, addresses = std::move(addresses)](const HttpRequest& request) {
        return Handle(request, addresses);
      }));
}

void Store::Put(const std::string& table, const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  rows_[{table, key}] = {.value = value, .version = ++version_};
  changed_.notify_all();
}

json Store::RowJson(const Key& key, const Row& row) const {
  return {{"table", key.first},
          {"part", ""},
          {"key", key.second},
          {"value", EncodeBase64(row.value)},
          {"ver", row.version}};
}

HttpResponse Store::Handle(const HttpRequest& request, const Addresses& addresses) {
  if (request.target.starts_with("/zinniamux/rows-get")) return Read(request, addresses);
  if (request.target.starts_with("/zinniamux/rows-tx")) return Commit(request);
  if (request.target.starts_with("/zinniamux/rows-feed")) return Feed(request);
  return {.status = kNotFound};
}

HttpResponse Store::Read(const HttpRequest& request, const Addresses& addresses) {
  const std::lock_guard lock(mutex_);
  const std::string table = QueryValue(request.target, "table");
  const std::string from = QueryValue(request.target, "from");
  const std::string target = QueryValue(request.target, "target");
  json rows = json::array();
  for (const auto& [key, row] : rows_) {
    if (key.first != table || key.second < from || (!target.empty() && key.second >= target)) {
      continue;
    }
    Row read = row;
    for (const auto& [address, other] : addresses) {
      const std::size_t place = read.value.find('"' + address + '"');
      if (place != std::string::npos) read.value.replace(place + 1, address.size(), other);
    }
    rows.push_back(RowJson(key, read));
  }
  const json body{{"rows", rows}, {"has_more", false}, {"ver", version_}, {"now_ms", SteadyMs()}};
  return {.body = body.dump()};
}

HttpResponse Store::Commit(const HttpRequest& request) {
  const std::lock_guard lock(mutex_);
  const json root = json::parse(request.body);
  json current = json::array();
  bool holds = true;
  for (const json& item : root.value("expected", json::array())) {
    const Key key{item.at("table"), item.at("key")};
    const auto found = rows_.find(key);
    const std::uint64_t version = found == rows_.end() ? 0 : found->second.version;
    holds = holds && version == item.at("ver").get<std::uint64_t>();
    if (found != rows_.end()) current.push_back(RowJson(key, found->second));
  }
  json body{{"ver", version_}, {"now_ms", SteadyMs()}};
  if (!holds) {
    body["rows"] = current;
    return {.status = kPreconditionFailed, .body = body.dump()};
  }
  body["ver"] = ++version_;
  for (const json& item : root.value("upserts", json::array())) {
    rows_[{item.at("table"), item.at("key")}] = {.value = DecodeBase64(item.at("value")),
                                                 .version = version_};
  }
  for (const json& item : root.value("deletes", json::array())) {
    rows_.erase({item.at("table"), item.at("key")});
  }
  changed_.notify_all();
  return {.body = body.dump()};
}

HttpResponse Store::Feed(const HttpRequest& request) {
  const std::string table = QueryValue(request.target, "table");
  const std::uint64_t after = std::stoull(QueryValue(request.target, "after"));
  const milliseconds wait(std::stoll(QueryValue(request.target, "wait_ms")));
  const auto changes = [&] {
    json rows = json::array();
    for (const auto& [key, row] : rows_) {
      if (key.first == table && row.version > after) rows.push_back(RowJson(key, row));
    }
    return rows;
  };
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, wait, [&] { return !changes().empty(); });
  const json body{{"rows", changes()}, {"ver", version_}, {"now_ms", SteadyMs()}};
  return {.body = body.dump()};
}

// --- Executor

Executor::Executor(const Options& options, Record& record) : options_(options), record_(record) {
  Begin();
  ticker_ = std::thread([this] { Tick(); });
  announcer_ = std::thread([this] {
    std::unique_lock lock(mutex_);
    while (!stopping_) {
      const bool due = up_ && Clock::now() >= next_announcement_;
      if (due) {
        next_announcement_ = Clock::now() + options_.heartbeat;
        lock.unlock();
        const bool arrived = Announce();
        lock.lock();
        if (!arrived && lifetime_ == 1 && sequence_ < 50) {
          next_announcement_ = Clock::now() + milliseconds(100);
        }
      }
      changed_.wait_for(lock, milliseconds(2));
    }
  });
}

Executor::~Executor() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    up_ = false;
  }
  changed_.notify_all();
  ticker_.join();
  announcer_.join();
  server_.reset();
}

std::int64_t Executor::ClockMs() const {
  return 1000 + std::chrono::duration_cast<milliseconds>(Clock::now() - born_).count();
}

void Executor::Begin() {
  {
    const std::lock_guard lock(mutex_);
    up_ = true;
    draining_ = false;
    ++lifetime_;
    born_ms_ = UnixMs();
    born_ = Clock::now();
    next_announcement_ = Clock::now() + options_.heartbeat;
    sequence_ = 0;
    fence_ = 0;
    lease_until_ms_ = 0;
    closed_.clear();
    ended_.clear();
    next_end_ = 1;
    record_.Note(options_.id + " begins lifetime " + std::to_string(lifetime_) + ", born " +
                 std::to_string(born_ms_));
  }
  // Its supervisor may not be up yet at the first start; the next announcement comes soon then.
  if (!Announce()) {
    const std::lock_guard lock(mutex_);
    next_announcement_ = Clock::now() + milliseconds(100);
  }
  server_ = std::make_unique<HttpServer>(
      options_.port, [this](const HttpRequest& request) { return Handle(request); });
}

void Executor::End() {
  {
    const std::lock_guard lock(mutex_);
    up_ = false;
    while (!runs_.empty()) EndRun(runs_.begin()->first, "ended with its executor");
    record_.Note(options_.id + " ends lifetime " + std::to_string(lifetime_));
  }
  changed_.notify_all();
  server_.reset();
}

Call Executor::LeaveCall() const {
  return {.port = options_.control_port,
          .method = "DELETE",
          .target = "/zinniamux/instances/" + options_.id,
          .headers = {{"Host", "control"}}};
}

bool Executor::Drain() {
  {
    const std::lock_guard lock(mutex_);
    draining_ = true;
    record_.Note(options_.id + " drains");
  }
  return Announce();
}

std::size_t Executor::running() {
  const std::lock_guard lock(mutex_);
  return runs_.size();
}

bool Executor::Announce() {
  Call call{.port = options_.control_port,
            .method = "PUT",
            .target = "/zinniamux/instances/" + options_.id,
            .headers = {{"Host", "control"}}};
  {
    const std::lock_guard lock(mutex_);
    json body{{"service", options_.service},
              {"address", "127.0.0.1:" + std::to_string(options_.port)},
              {"zone", options_.zone},
              {"version", "v1"},
              {"slots", 8},
              {"state", draining_ ? "draining" : "ready"},
              {"cold_left_ms", 0},
              {"capacity",
               {{"cpu", options_.capacity_milli}, {"mem_mb", options_.memory_mb}, {"gpu", 0}}},
              {"labels", {"a", "r1-1"}},
              {"clock_ms", ClockMs()},
              {"born", born_ms_},
              {"seq", ++sequence_}};
    if (draining_) body["remaining_ms"] = 2000;
    call.body = body.dump();
  }
  const CallResult result = SendCall(call);
  return result.end == CallEnd::kAnswered && result.status / 100 == 2;
}

void Executor::EndRun(const RunKey& key, const std::string& how) {
  const auto found = runs_.find(key);
  record_.RunEnded(found->second.record, how);
  runs_.erase(found);
  closed_[key.first] = std::max(closed_[key.first], key.second);
  ended_.push_back({.number = next_end_++, .key = key, .how = how});
  changed_.notify_all();
}

void Executor::Tick() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    const auto now = Clock::now();
    std::vector<std::pair<RunKey, std::string>> over;
    for (const auto& [key, run] : runs_) {
      if (run.done_at <= now) {
        over.emplace_back(key, "done");
      } else if (run.stopped_at <= now) {
        over.emplace_back(key, "stopped");
      } else if (ClockMs() >= lease_until_ms_) {
        over.emplace_back(key, "lapsed");
      }
    }
    for (const auto& [key, how] : over) EndRun(key, how);
    lock.unlock();
    std::this_thread::sleep_for(milliseconds(1));
    lock.lock();
  }
}

HttpResponse Executor::Handle(const HttpRequest& request) {
  std::unique_lock lock(mutex_);
  if (!up_) return {.status = 0};
  const auto instance = request.headers.find("x-expect-instance");
  if (instance != request.headers.end() && instance->second != options_.id) {
    return {.status = kWrongInstance};
  }
  const json body = json::parse(request.body);
  const std::uint64_t fence = body.value("fence", std::uint64_t{0});
  if (fence < fence_) return Refuse("fence");
  fence_ = fence;
  if (request.target == "/zinniamux/run-start") return Start(body);
  if (request.target == "/zinniamux/run-stop") return Stop(body);
  if (request.target == "/zinniamux/hold") return Hold(body, lock);
  return {.status = kNotFound};
}

HttpResponse Executor::Refuse(const std::string& reason) const {
  return {.status = kConflict, .body = json{{"clock_ms", ClockMs()}, {"reason", reason}}.dump()};
}

void Executor::Lease(std::int64_t until_ms) {
  lease_until_ms_ = std::max(lease_until_ms_, std::min(until_ms, ClockMs() + options_.max_hold_ms));
}

HttpResponse Executor::Start(const json& body) {
  const RunKey key{body.at("task"), body.at("run")};
  const std::int64_t until_ms = body.at("until_ms");
  if (!runs_.contains(key)) {
    if (until_ms <= ClockMs()) return Refuse("late");
    Lease(until_ms);
    const auto closed = closed_.find(key.first);
    if (closed != closed_.end() && key.second <= closed->second) return Refuse("old");
    const std::int64_t used = static_cast<std::int64_t>(runs_.size()) * options_.task_milli;
    if (used + options_.task_milli > options_.capacity_milli) return Refuse("room");
    const milliseconds work(std::strtoll(body.at("spec").get<std::string>().c_str(), nullptr, 10));
    runs_[key] = {.record = record_.RunBegan(options_.id, key.first, key.second),
                  .done_at = Clock::now() + work};
    if (unhealthy_) {
      EndRun(key, "failed");
      return {.status = 0, .reset = true};
    }
  }
  Lease(until_ms);
  return {.body = json{{"clock_ms", ClockMs()}}.dump()};
}

HttpResponse Executor::Stop(const json& body) {
  const RunKey key{body.at("task"), body.at("run")};
  const auto found = runs_.find(key);
  if (found == runs_.end()) {
    closed_[key.first] = std::max(closed_[key.first], key.second);
  } else {
    found->second.stopped_at =
        std::min(found->second.stopped_at, Clock::now() + options_.stop_time);
  }
  return {.body = json{{"clock_ms", ClockMs()}}.dump()};
}

HttpResponse Executor::Hold(const json& body, std::unique_lock<std::mutex>& lock) {
  if (body.contains("until_ms")) Lease(body.at("until_ms"));
  const std::uint64_t last_seen = body.value("last_seen", std::uint64_t{0});
  std::erase_if(ended_, [&](const EndedRun& end) { return end.number <= last_seen; });
  const std::uint64_t lifetime = lifetime_;
  changed_.wait_for(lock, milliseconds(body.value("wait_ms", 0)),
                    [&] { return !ended_.empty() || lifetime != lifetime_ || !up_; });
  // That lifetime is over.
  if (lifetime != lifetime_ || !up_) return {.status = 0};
  json running = json::array();
  const auto now = Clock::now();
  for (const auto& [key, run] : runs_) {
    const bool is_new = run.done_at - now > milliseconds(100);
    running.push_back({key.first, key.second, "", is_new ? 10 : 90, options_.task_milli});
  }
  json ended = json::array();
  for (const EndedRun& end : ended_) {
    ended.push_back({end.number, end.key.first, end.key.second, end.how, ""});
  }
  const json answer{
      {"clock_ms", ClockMs()}, {"born", born_ms_}, {"running", running}, {"ended", ended}};
  return {.body = answer.dump()};
}

}  // namespace zinniamux::review
