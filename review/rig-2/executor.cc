// An executor in real time.
#include <algorithm>

#include "rig.h"

namespace rig {
namespace {

constexpr Ms kMaxHold = 1000;
constexpr Ms kStopTime = 20;
constexpr const char* kInstances = "/zinniamux/instances/";

// "work N".
Ms WorkOf(const std::string& spec) { return std::stoll(spec.substr(spec.find(' ') + 1)); }

}  // namespace

std::size_t RunLog::Start(RunEntry entry) {
  entry.started = NowMs();
  record_.Write("run    " + entry.executor + " starts " + entry.task + " run " +
                std::to_string(entry.run));
  const std::lock_guard lock(mutex_);
  entries_.push_back(std::move(entry));
  return entries_.size() - 1;
}

void RunLog::End(std::size_t index, const std::string& how) {
  const std::lock_guard lock(mutex_);
  RunEntry& entry = entries_[index];
  entry.ended = NowMs();
  entry.how = how;
  record_.Write("run    " + entry.executor + " ends " + entry.task + " run " +
                std::to_string(entry.run) + ": " + how);
}

std::vector<RunEntry> RunLog::All() const {
  const std::lock_guard lock(mutex_);
  return entries_;
}

std::vector<std::pair<RunEntry, RunEntry>> RunLog::Overlaps(Ms min_ms) const {
  std::vector<std::pair<RunEntry, RunEntry>> pairs;
  const std::vector<RunEntry> all = All();
  const auto end_of = [](const RunEntry& entry) { return entry.ended < 0 ? NowMs() : entry.ended; };
  for (std::size_t i = 0; i < all.size(); ++i) {
    for (std::size_t j = i + 1; j < all.size(); ++j) {
      if (all[i].task != all[j].task) continue;
      const Ms from = std::max(all[i].started, all[j].started);
      const Ms to = std::min(end_of(all[i]), end_of(all[j]));
      if (to - from >= min_ms) pairs.emplace_back(all[i], all[j]);
    }
  }
  return pairs;
}

Executor::Executor(Options options, RunLog& runs, Record& record)
    : options_(std::move(options)), runs_(runs), record_(record) {
  worker_ = std::thread([this] { Work(); });
}

Executor::~Executor() {
  finished_ = true;
  worker_.join();
  Crash();
}

void Executor::Start(const Kind& kind, Ms first_ping, Ms clock_ahead) {
  {
    const std::lock_guard lock(mutex_);
    kind_ = kind;
    up_ = true;
    draining_ = false;
    born_ = UnixMs() + clock_ahead;
    sequence_ = 0;
    fence_ = 0;
    lease_until_ = 0;
    over_.clear();
    ended_.clear();
    next_end_ = 1;
    next_ping_ = NowMs() + first_ping;
    std::string labels;
    for (const std::string& label : kind.labels) labels += " " + label;
    record_.Write("server " + options_.id + " starts, born " + std::to_string(born_) + ", cpu " +
                  std::to_string(kind.cpu) + ", labels" + labels);
  }
  server_ = std::make_unique<HttpServer>(
      options_.ip, options_.port, [this](const Request& request) { return Handle(request); });
}

void Executor::Crash() {
  {
    const std::lock_guard lock(mutex_);
    if (!up_) return;
    up_ = false;
    while (!running_.empty()) End(running_.begin(), "gone");
    record_.Write("server " + options_.id + " is down");
    ended_changed_.notify_all();
  }
  server_.reset();
}

std::size_t Executor::running() const {
  const std::lock_guard lock(mutex_);
  return running_.size();
}

json Executor::PingBody() {
  const std::lock_guard lock(mutex_);
  return {{"service", options_.service},
          {"address", options_.ip + ":" + std::to_string(options_.port)},
          {"zone", options_.zone},
          {"version", "v1"},
          {"slots", 8},
          {"state", draining_ ? "draining" : "ready"},
          {"cold_left_ms", 0},
          {"capacity", {{"cpu", kind_.cpu}, {"mem_mb", kind_.mem_mb}, {"gpu", 0}}},
          {"labels", kind_.labels},
          {"clock_ms", NowMs()},
          {"born", born_},
          {"seq", ++sequence_}};
}

bool Executor::Ping() {
  const json body = PingBody();
  const Response response = Call(options_.control_ip, options_.control_port, "PUT",
                                 kInstances + options_.id, "control", body.dump(), 1000);
  record_.Write("ping   " + options_.id + " seq " + body.at("seq").dump() + " " +
                body.at("state").get<std::string>() + " born " + body.at("born").dump() + " -> " +
                std::to_string(response.status));
  return response.status / 100 == 2;
}

Ms Executor::Drain() {
  {
    const std::lock_guard lock(mutex_);
    draining_ = true;
  }
  return Ping() ? NowMs() : -1;
}

Response Executor::Answer(json body, int status) const {
  body["clock_ms"] = NowMs();
  body["born"] = born_;
  return {.status = status, .body = body.dump()};
}

Response Executor::Handle(const Request& request) {
  try {
    const auto expected = request.headers.find("x-expect-instance");
    if (expected != request.headers.end() && expected->second != options_.id) {
      return {.status = 421};
    }
    if (request.method != "POST") return {.status = 404};
    const json body = json::parse(request.body);
    if (request.path == "/zinniamux/run-start") return StartRun(body);
    if (request.path == "/zinniamux/run-stop") return StopRun(body);
    if (request.path == "/zinniamux/hold") return Hold(body);
    return {.status = 404};
  } catch (const std::exception&) {
    return {.status = 400};
  }
}

void Executor::TakeLease(const json& body) {
  if (!body.contains("until_ms")) return;
  const Ms until = std::min(body.at("until_ms").get<Ms>(), NowMs() + kMaxHold);
  lease_until_ = std::max(lease_until_, until);
}

Response Executor::StartRun(const json& body) {
  const std::lock_guard lock(mutex_);
  if (!up_) return {.status = 0};
  const std::string task = body.at("task");
  const int run = body.at("run");
  const std::uint64_t fence = body.value("fence", std::uint64_t{0});
  if (fence < fence_) return Refuse("fence");
  fence_ = fence;
  if (body.at("until_ms").get<Ms>() <= NowMs()) return Refuse("late");
  TakeLease(body);
  if (running_.contains({task, run})) return Answer(json::object());
  const auto over = over_.find(task);
  if (over != over_.end() && run <= over->second) return Refuse("old");
  // Each task takes the processor that the spec names last, 1000 without it.
  const std::string spec = body.at("spec");
  const std::size_t mark = spec.find(" cpu ");
  const std::int64_t cpu = mark == std::string::npos ? 1000 : std::stoll(spec.substr(mark + 5));
  std::int64_t used = cpu;
  for (const auto& [id, other] : running_) used += other.cpu;
  if (used > kind_.cpu) return Refuse("room");
  const std::size_t entry = runs_.Start({.executor = options_.id,
                                         .born = born_,
                                         .task = task,
                                         .run = run,
                                         .labels = kind_.labels,
                                         .draining = draining_});
  running_[{task, run}] = {
      .entry = entry, .started = NowMs(), .done_at = NowMs() + WorkOf(spec), .cpu = cpu};
  return Answer(json::object());
}

Response Executor::StopRun(const json& body) {
  const std::lock_guard lock(mutex_);
  if (!up_) return {.status = 0};
  const std::string task = body.at("task");
  const int run = body.at("run");
  const std::uint64_t fence = body.value("fence", std::uint64_t{0});
  if (fence < fence_) return Refuse("fence");
  fence_ = fence;
  const auto found = running_.find({task, run});
  if (found != running_.end() && found->second.stop_at < 0) {
    found->second.stop_at = NowMs() + kStopTime;
  }
  int& over = over_[task];
  over = std::max(over, run);
  return Answer(json::object());
}

Response Executor::Hold(const json& body) {
  std::unique_lock lock(mutex_);
  if (!up_) return {.status = 0};
  const std::uint64_t fence = body.value("fence", std::uint64_t{0});
  if (fence < fence_) return Refuse("fence");
  fence_ = fence;
  TakeLease(body);
  const std::uint64_t last_seen = body.at("last_seen");
  std::erase_if(ended_, [&](const Ended& end) { return end.number <= last_seen; });
  const Ms wait = std::min<Ms>(2000, body.value("wait_ms", Ms{0}));
  const Ms born = born_;
  ended_changed_.wait_for(lock, std::chrono::milliseconds(wait),
                          [&] { return !ended_.empty() || !up_ || born_ != born; });
  if (!up_ || born_ != born) return {.status = 0};
  json running = json::array();
  for (const auto& [id, run] : running_) {
    const Ms work = std::max<Ms>(1, run.done_at - run.started);
    running.push_back(
        {id.first, id.second, "", std::min<Ms>(99, 100 * (NowMs() - run.started) / work), run.cpu});
  }
  json ended = json::array();
  for (const Ended& end : ended_) {
    ended.push_back({end.number, end.task, end.run, end.how, ""});
    if (ended.size() >= 500) break;
  }
  return Answer({{"running", running}, {"ended", ended}});
}

void Executor::End(std::map<std::pair<std::string, int>, Running>::iterator run,
                   const std::string& how) {
  const auto& [task, number] = run->first;
  int& over = over_[task];
  over = std::max(over, number);
  ended_.push_back({.number = next_end_++, .task = task, .run = number, .how = how});
  runs_.End(run->second.entry, how);
  running_.erase(run);
  ended_changed_.notify_all();
}

void Executor::Work() {
  while (!finished_) {
    bool ping = false;
    {
      const std::lock_guard lock(mutex_);
      const Ms now = NowMs();
      for (auto run = running_.begin(); up_ && run != running_.end();) {
        const auto current = run++;
        if (now >= lease_until_) {
          End(current, "lapsed");
        } else if (now >= current->second.done_at) {
          End(current, "done");
        } else if (current->second.stop_at >= 0 && now >= current->second.stop_at) {
          End(current, "stopped");
        }
      }
      ping = up_ && now >= next_ping_;
      if (ping) next_ping_ = now + options_.heartbeat;
    }
    if (ping) Ping();
    SleepMs(2);
  }
}

}  // namespace rig
