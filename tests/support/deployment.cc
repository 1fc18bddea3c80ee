// Start, settings and control of a deployment under test.
#include "support/deployment.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>
#include <utility>

namespace zinniamux::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kPollPeriod{20};
constexpr milliseconds kStopLimit{60'000};

const std::string kBinaryDir = ZINNIAMUX_BINARY_DIR;

constexpr const char* kDefaultConfig = R"({
  "teams": {"shops": {"weight": 1.0}, "makers": {"weight": 1.0}},
  "jobs": {
    "stock-lookup": {"team": "shops", "idempotent": true},
    "price-confirmation": {"team": "shops", "idempotent": true},
    "certificate": {"team": "makers", "idempotent": true},
    "reservation-hold": {"team": "makers", "idempotent": false}
  }
})";

std::string Loopback(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

}  // namespace

bool WaitFor(const std::function<bool()>& condition, milliseconds limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end) return false;
    std::this_thread::sleep_for(kPollPeriod);
  }
  return true;
}

Deployment::Deployment(Options options)
    : options_(std::move(options)), entries_(options_.entries), agents_(options_.agents) {
  std::string pattern = std::filesystem::temp_directory_path() / "zinniamux-XXXXXX";
  directory_ = mkdtemp(pattern.data());
  platform_port_ = ports_.Next();
  platform_ = std::make_unique<ChildProcess>(
      std::vector<std::string>{kBinaryDir + "/tests/platform_standin", "--port",
                               std::to_string(platform_port_)},
      directory_ / "platform.log");
  for (std::size_t index = 0; index < entries_.size(); ++index) {
    Entry& entry = entries_[index];
    entry.id = "entry-" + std::to_string(index + 1);
    entry.caller_port = ports_.Next();
    entry.admin_port = ports_.Next();
    entry.rpc_port = ports_.Next();
    entry.rpc_proxy = std::make_unique<FaultProxy>(FaultProxy::Options{
        .listen_port = ports_.Next(), .target_port = entry.rpc_port, .delay = options_.zone_delay});
    entry.caller_proxy =
        std::make_unique<FaultProxy>(FaultProxy::Options{.listen_port = ports_.Next(),
                                                         .target_port = entry.caller_port,
                                                         .delay = options_.caller_delay});
  }
  for (std::size_t index = 0; index < agents_.size(); ++index) {
    Agent& agent = agents_[index];
    agent.id = "agent-" + std::to_string(index + 1);
    agent.local_port = ports_.Next();
    agent.executor_port = ports_.Next();
    agent.executor_proxy = std::make_unique<FaultProxy>(
        FaultProxy::Options{.listen_port = ports_.Next(), .target_port = agent.executor_port});
  }
  for (std::size_t index = 0; index < entries_.size(); ++index) StartEntry(index);
  for (std::size_t index = 0; index < agents_.size(); ++index) {
    StartAgent(index);
    StartExecutor(index);
  }
  Publish();
}

Deployment::~Deployment() {
  for (Entry& entry : entries_) entry.process.reset();
  for (Agent& agent : agents_) {
    agent.executor.reset();
    agent.process.reset();
  }
  platform_.reset();
  if (std::getenv("ZINNIAMUX_KEEP_LOGS") == nullptr) std::filesystem::remove_all(directory_);
}

std::string Deployment::Zone(std::size_t index) const {
  return options_.availability_zones[index % options_.availability_zones.size()];
}

std::vector<std::uint16_t> Deployment::caller_ports() const {
  std::vector<std::uint16_t> ports;
  const bool direct = options_.caller_delay.count() == 0;
  for (const Entry& entry : entries_) {
    ports.push_back(direct ? entry.caller_port : entry.caller_proxy->port());
  }
  return ports;
}

std::vector<std::uint16_t> Deployment::admin_ports() const {
  std::vector<std::uint16_t> ports;
  for (const Entry& entry : entries_) ports.push_back(entry.admin_port);
  return ports;
}

void Deployment::WriteEntrySettings(std::size_t index) {
  const Entry& entry = entries_[index];
  std::ofstream file(directory_ / (entry.id + ".yaml"));
  file << "version: 1\nentry:\n  id: " << entry.id << "\n  availability_zone: " << Zone(index)
       << "\n  caller: " << Loopback(entry.caller_port)
       << "\n  admin: " << Loopback(entry.admin_port) << "\n  rpc: " << Loopback(entry.rpc_port)
       << "\n  rpc_advertised: " << Loopback(entry.rpc_proxy->port()) << "\n  store: http://"
       << Loopback(platform_port_) << "\n  peers:";
  for (const Entry& peer : entries_) {
    if (peer.id != entry.id) file << "\n    - " << Loopback(peer.rpc_proxy->port());
  }
  file << (entries_.size() == 1 ? " []" : "")
       << "\nlog:\n  file: " << (directory_ / (entry.id + ".log")).string() << "\n";
}

void Deployment::WriteAgentSettings(std::size_t index) {
  const Agent& agent = agents_[index];
  std::ofstream file(directory_ / (agent.id + ".yaml"));
  file << "version: 1\nagent:\n  id: " << agent.id << "\n  availability_zone: " << Zone(index)
       << "\n  rack: rack-" << index / options_.agents_per_rack
       << "\n  local: " << Loopback(agent.local_port) << "\n  store: http://"
       << Loopback(platform_port_) << "\n  entries:";
  for (const Entry& entry : entries_) file << "\n    - " << Loopback(entry.rpc_proxy->port());
  file << "\nlog:\n  file: " << (directory_ / (agent.id + ".log")).string() << "\n";
}

void Deployment::StartEntry(std::size_t index) {
  WriteEntrySettings(index);
  Entry& entry = entries_[index];
  entry.process = std::make_unique<ChildProcess>(
      std::vector<std::string>{kBinaryDir + "/src/zinniamuxd", "--settings",
                               directory_ / (entry.id + ".yaml")},
      directory_ / (entry.id + ".out"));
}

void Deployment::StartAgent(std::size_t index) {
  WriteAgentSettings(index);
  Agent& agent = agents_[index];
  agent.process = std::make_unique<ChildProcess>(
      std::vector<std::string>{kBinaryDir + "/src/zinniamuxd", "--settings",
                               directory_ / (agent.id + ".yaml")},
      directory_ / (agent.id + ".out"));
}

void Deployment::StartExecutor(std::size_t index) {
  Agent& agent = agents_[index];
  agent.executor = std::make_unique<ChildProcess>(
      std::vector<std::string>{
          kBinaryDir + "/tests/executor_standin", "--id", "executor-" + std::to_string(index + 1),
          "--port", std::to_string(agent.executor_port), "--announce-port",
          std::to_string(agent.executor_proxy->port()), "--agent", Loopback(agent.local_port),
          "--record", directory_ / (agent.id + ".starts"), "--slots",
          std::to_string(options_.slots)},
      directory_ / (agent.id + ".executor.out"));
}

adapters::HttpResult Deployment::Admin(std::size_t entry, const std::string& method,
                                       const std::string& path, const std::string& body) {
  return client_.SendAndWait({.method = method,
                              .url = "http://" + Loopback(entries_[entry].admin_port) + path,
                              .headers = {{"Content-Type", "application/json"}},
                              .body = body,
                              .timeout = std::chrono::seconds(5),
                              .fresh_connection = true});
}

bool Deployment::Ready(std::size_t entry) { return Admin(entry, "GET", "/readyz").status == 200; }

void Deployment::SetPlatformFault(const std::string& json_body) {
  client_.SendAndWait({.method = "POST",
                       .url = "http://" + Loopback(platform_port_) + "/faults",
                       .headers = {{"Content-Type", "application/json"}},
                       .body = json_body,
                       .fresh_connection = true});
}

std::size_t Deployment::PlatformRequests() {
  const adapters::HttpResult result =
      client_.SendAndWait({.url = "http://" + Loopback(platform_port_) + "/stats"});
  const json body = json::parse(result.body, nullptr, false);
  if (!body.is_object()) return 0;
  return body.value("reads", std::size_t{0}) + body.value("writes", std::size_t{0});
}

std::optional<std::size_t> Deployment::Owner() {
  for (std::size_t index = 0; index < entries_.size(); ++index) {
    const adapters::HttpResult result = Admin(index, "GET", "/v1/shards");
    const json body = json::parse(result.body, nullptr, false);
    if (result.status != 200 || !body.is_object()) continue;
    for (const json& shard : body.value("shards", json::array())) {
      const std::string owner = shard.value("owner_id", std::string());
      for (std::size_t other = 0; other < entries_.size(); ++other) {
        if (entries_[other].id == owner) return other;
      }
    }
  }
  return std::nullopt;
}

void Deployment::Publish() {
  const std::string config = options_.config_body.empty() ? kDefaultConfig : options_.config_body;
  const std::string body = json{
      {"base_version", 0},
      {"token", "initial"},
      {"author", "test"},
      {"body",
       json::parse(config)}}.dump();
  if (!WaitFor([&] { return Admin(0, "POST", "/v1/config", body).status == 200; })) {
    throw std::runtime_error("the configuration could not be published");
  }
  const bool ready = WaitFor([&] {
    for (std::size_t index = 0; index < entries_.size(); ++index) {
      if (!Ready(index)) return false;
    }
    const std::optional<std::size_t> owner = Owner();
    if (!owner) return false;
    const json body_json = json::parse(Admin(*owner, "GET", "/v1/executors").body, nullptr, false);
    if (!body_json.is_object()) return false;
    std::size_t available = 0;
    for (const json& executor : body_json.value("executors", json::array())) {
      // An agent that is not recorded in the store yet gets no work if the store goes away now.
      const bool takes_work = executor.value("takes_work", json(false)) == true;
      if (takes_work && executor.value("slots", 0U) > 0) ++available;
    }
    return available == agents_.size();
  });
  if (!ready) throw std::runtime_error("the deployment did not become ready");
}

bool Deployment::StopGracefully() {
  bool clean = true;
  const auto stop = [&clean](std::unique_ptr<ChildProcess>& process) {
    if (process == nullptr) return;
    process->Signal(SIGTERM);
    clean = process->Wait(kStopLimit) == 0 && clean;
    process.reset();
  };
  for (Entry& entry : entries_) {
    if (entry.process != nullptr) entry.process->Signal(SIGTERM);
  }
  for (Entry& entry : entries_) stop(entry.process);
  for (Agent& agent : agents_) {
    if (agent.process != nullptr) agent.process->Signal(SIGTERM);
  }
  for (Agent& agent : agents_) {
    stop(agent.process);
    stop(agent.executor);
  }
  return clean;
}

}  // namespace zinniamux::testing
