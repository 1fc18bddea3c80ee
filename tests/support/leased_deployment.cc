// Start and settings of a deployment with leased execution.
#include "support/leased_deployment.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <future>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "platform/names.h"
#include "support/deployment.h"

namespace zinniamux::testing {
namespace {

using nlohmann::json;

const std::string kBinaryDir = ZINNIAMUX_BINARY_DIR;
constexpr const char* kService = "workers";

std::string Bounds() {
  return "  bounds:\n    lease_ms: 1000\n    stop_ms: 50\n    retransmit_ms: 1300\n    grace_s: 6\n"
         "    evacuate_ms: " +
         std::to_string(LeasedDeployment::kEvacuate.count()) + '\n';
}

std::string Loopback(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

std::string Configuration() {
  const json route{{"name", "jobs"},
                   {"host", LeasedDeployment::kHost},
                   {"prefix", LeasedDeployment::kPrefix},
                   {"service", kService},
                   {"priority", 0},
                   {"attempts", 3},
                   {"stretch", 3},
                   {"slo_ms", 4000},
                   {"timeout_ms", 10'000}};
  return json{{"version", 1}, {"routes", json::array({route})}}.dump();
}

}  // namespace

LeasedDeployment::LeasedDeployment(Options options)
    : options_(std::move(options)),
      store_port_(ports_.Next()),
      supervisors_store_port_(ports_.Next()),
      rows_(loop_),
      store_server_(ServeStore(store_port_, PlatformRows::Reader::kAsWritten)),
      supervisors_store_server_(
          ServeStore(supervisors_store_port_, PlatformRows::Reader::kThroughProxies)),
      dispatchers_(options_.dispatchers),
      supervisors_(options_.supervisors) {
  std::string pattern = std::filesystem::temp_directory_path() / "zinniamux-leased-XXXXXX";
  directory_ = mkdtemp(pattern.data());
  rows_.Put(std::string(platform::kOperatorTable), std::string(platform::kConfigurationKey),
            Configuration());
  for (std::size_t index = 0; index < dispatchers_.size(); ++index) {
    Dispatcher& dispatcher = dispatchers_[index];
    dispatcher.id = "dispatcher-" + std::to_string(index + 1);
    for (std::uint16_t* port : {&dispatcher.caller_port, &dispatcher.readiness_port,
                                &dispatcher.rpc_port, &dispatcher.metrics_port}) {
      *port = ports_.Next();
    }
    dispatcher.rpc_proxy = std::make_unique<FaultProxy>(
        FaultProxy::Options{.listen_port = ports_.Next(), .target_port = dispatcher.rpc_port});
    dispatcher.caller_proxy = std::make_unique<FaultProxy>(
        FaultProxy::Options{.listen_port = ports_.Next(), .target_port = dispatcher.caller_port});
    rows_.AddProxy(Loopback(dispatcher.rpc_port), Loopback(dispatcher.rpc_proxy->port()));
  }
  for (std::size_t index = 0; index < supervisors_.size(); ++index) {
    Supervisor& supervisor = supervisors_[index];
    supervisor.id = "supervisor-" + std::to_string(index + 1);
    for (std::uint16_t* port :
         {&supervisor.local_port, &supervisor.metrics_port, &supervisor.executor_port}) {
      *port = ports_.Next();
    }
    supervisor.executor_proxy = std::make_unique<FaultProxy>(
        FaultProxy::Options{.listen_port = ports_.Next(), .target_port = supervisor.executor_port});
    StartExecutor(index);
  }
  loop_thread_ = std::jthread([this](const std::stop_token& stop) {
    const std::stop_callback on_stop(stop, [this] { loop_.stop(); });
    loop_.run();
  });
  for (std::size_t index = 0; index < dispatchers_.size(); ++index) StartDispatcher(index);
  for (std::size_t index = 0; index < supervisors_.size(); ++index) StartSupervisor(index);
  const bool ready = WaitFor([this] {
    return std::all_of(dispatchers_.begin(), dispatchers_.end(),
                       [this](const Dispatcher& dispatcher) { return IsReady(dispatcher); });
  });
  if (!ready) {
    throw std::runtime_error("the deployment did not become ready: " + directory_.string());
  }
}

LeasedDeployment::~LeasedDeployment() {
  for (Supervisor& supervisor : supervisors_) supervisor.process.reset();
  for (Dispatcher& dispatcher : dispatchers_) dispatcher.process.reset();
  if (!keep_directory_ && std::getenv("ZINNIAMUX_KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(directory_);
  }
}

std::unique_ptr<adapters::LoopHttpServer> LeasedDeployment::ServeStore(
    std::uint16_t port, PlatformRows::Reader reader) {
  auto server = adapters::LoopHttpServer::Start(
      loop_, {.address = {.port = port},
              .handler = [this, reader](adapters::LoopHttpServer::ConnectionId,
                                        const adapters::HttpRequest& request,
                                        const adapters::HttpResponder& respond) {
                rows_.Handle(request, respond, reader);
              }});
  if (!server) throw std::runtime_error(server.error().message);
  return *std::move(server);
}

std::unique_ptr<ChildProcess> LeasedDeployment::StartDaemon(const std::string& id) const {
  const std::string daemon =
      options_.daemon.empty() ? kBinaryDir + "/src/zinniamuxd" : options_.daemon;
  return std::make_unique<ChildProcess>(
      std::vector<std::string>{daemon, "--settings", directory_ / (id + ".yaml")},
      directory_ / (id + ".out"));
}

void LeasedDeployment::StartDispatcher(std::size_t index) {
  Dispatcher& dispatcher = dispatchers_[index];
  std::ofstream(directory_ / (dispatcher.id + ".yaml"))
      << "version: 1\ndispatcher:\n  id: " << dispatcher.id
      << "\n  availability_zone: " << ZoneName(0)
      << "\n  caller: " << Loopback(dispatcher.caller_port)
      << "\n  readiness: " << Loopback(dispatcher.readiness_port)
      << "\n  rpc: " << Loopback(dispatcher.rpc_port)
      << "\n  metrics: " << Loopback(dispatcher.metrics_port) << "\n  store: http://"
      << Loopback(store_port_) << '\n'
      << Bounds() << options_.limits
      << "log:\n  file: " << (directory_ / (dispatcher.id + ".log")).string() << '\n';
  dispatcher.process = StartDaemon(dispatcher.id);
}

void LeasedDeployment::StartSupervisor(std::size_t index) {
  Supervisor& supervisor = supervisors_[index];
  std::ofstream(directory_ / (supervisor.id + ".yaml"))
      << "version: 1\nsupervisor:\n  id: " << supervisor.id
      << "\n  availability_zone: " << ZoneName(index % kZones)
      << "\n  local: " << Loopback(supervisor.local_port)
      << "\n  metrics: " << Loopback(supervisor.metrics_port)
      << "\n  executor: " << Loopback(supervisor.executor_proxy->port())
      << "\n  service: " << kService << "\n  store: http://" << Loopback(supervisors_store_port_)
      << '\n'
      << Bounds() << options_.limits
      << "log:\n  file: " << (directory_ / (supervisor.id + ".log")).string() << '\n';
  supervisor.process = StartDaemon(supervisor.id);
}

void LeasedDeployment::StartExecutor(std::size_t index) {
  const Supervisor& supervisor = supervisors_[index];
  executors_.push_back(std::make_unique<LeasedExecutor>(
      loop_,
      LeasedExecutor::Options{.id = ExecutorId(index),
                              .service = kService,
                              .zone = ZoneName(index % kZones),
                              .address = {.port = supervisor.executor_port},
                              .announced_address = Loopback(supervisor.executor_proxy->port()),
                              .refuses_second_copies = options_.refuses_second_copies,
                              .supervisor = Loopback(supervisor.local_port),
                              .capacity = kCapacity,
                              .task_need = kTaskNeed},
      client_, clock_, records_));
}

bool LeasedDeployment::IsReady(const Dispatcher& dispatcher) {
  const adapters::HttpResult readiness = client_.SendAndWait(
      {.url = "http://" + Loopback(dispatcher.readiness_port) + std::string(platform::kReadyPath)});
  if (readiness.status != adapters::HttpResponse().status) return false;
  const adapters::HttpResult metrics =
      client_.SendAndWait({.url = "http://" + Loopback(dispatcher.metrics_port) + "/metrics"});
  const std::string gauge =
      "\nzinniamux_executors_accepting " + std::to_string(supervisors_.size()) + "\n";
  return metrics.body.find(gauge) != std::string::npos;
}

void LeasedDeployment::SetEvacuated(std::size_t zone, bool evacuated) {
  std::promise<void> done;
  asio::post(loop_, [&] {
    const std::string table(platform::kOperatorTable);
    const std::string key = std::string(platform::kEvacuationKeyPrefix) + ZoneName(zone);
    if (evacuated) {
      rows_.Put(table, key, "");
    } else {
      rows_.Remove(table, key);
    }
    done.set_value();
  });
  done.get_future().wait();
}

std::vector<std::uint16_t> LeasedDeployment::caller_ports() const {
  std::vector<std::uint16_t> ports;
  for (const Dispatcher& dispatcher : dispatchers_) {
    ports.push_back(dispatcher.caller_proxy->port());
  }
  return ports;
}

}  // namespace zinniamux::testing
