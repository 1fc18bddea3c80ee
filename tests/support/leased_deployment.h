// Dispatchers and supervisors as real processes on loopback, with executors and a store beside
// them.
#ifndef ZINNIAMUX_TESTS_SUPPORT_LEASED_DEPLOYMENT_H_
#define ZINNIAMUX_TESTS_SUPPORT_LEASED_DEPLOYMENT_H_

#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "adapters/http_client.h"
#include "adapters/loop_http_server.h"
#include "adapters/steady_clock.h"
#include "support/child_process.h"
#include "support/fault_proxy.h"
#include "support/leased_executor.h"
#include "support/platform_rows.h"
#include "support/port_block.h"
#include "support/run_records.h"

namespace zinniamux::testing {

// The executors and the store run in this process. Everything that a supervisor or a caller says to
// a dispatcher passes a proxy, and so do the calls of a supervisor to its executor.
class LeasedDeployment {
 public:
  struct Options {
    std::size_t dispatchers = 2;
    std::size_t supervisors = 3;
    // See LeasedExecutor::Options; for all executors.
    bool refuses_second_copies = false;
    // The zinniamuxd to run; that of the build if it is empty.
    std::string daemon;
    // YAML of the key `limits` of every process; empty for the defaults.
    std::string limits;
  };

  // What each task takes, and what an executor has.
  static constexpr core::Resources kTaskNeed{.cpu_milli = 1000, .memory_mb = 100};
  static constexpr core::Resources kCapacity{.cpu_milli = 16'000, .memory_mb = 32'000};
  // Host and prefix of the only queue.
  static constexpr const char* kHost = "jobs.example";
  static constexpr const char* kPrefix = "/jobs/";
  // Supervisors and their executors are in these zones in turn; dispatchers are in the first one.
  static constexpr std::size_t kZones = 2;
  static std::string ZoneName(std::size_t zone) { return "zone-" + std::to_string(zone + 1); }
  static std::string ExecutorId(std::size_t supervisor) {
    return "executor-" + std::to_string(supervisor + 1);
  }
  // `evacuate_ms` of the settings.
  static constexpr std::chrono::milliseconds kEvacuate{5000};

  // Starts everything and waits until jobs can run.
  explicit LeasedDeployment(Options options);
  ~LeasedDeployment();
  LeasedDeployment(const LeasedDeployment&) = delete;
  LeasedDeployment& operator=(const LeasedDeployment&) = delete;

  ChildProcess& dispatcher(std::size_t index) { return *dispatchers_[index].process; }
  ChildProcess& supervisor(std::size_t index) { return *supervisors_[index].process; }
  // Between supervisors and the dispatcher, and between callers and it.
  FaultProxy& rpc_link(std::size_t dispatcher) { return *dispatchers_[dispatcher].rpc_proxy; }
  FaultProxy& caller_link(std::size_t dispatcher) { return *dispatchers_[dispatcher].caller_proxy; }
  // Between the supervisor and its executor.
  FaultProxy& executor_link(std::size_t supervisor) {
    return *supervisors_[supervisor].executor_proxy;
  }
  // Starts the process again after its end.
  void StartSupervisor(std::size_t index);
  // Writes or removes the operator's row. Returns when the store has it.
  void SetEvacuated(std::size_t zone, bool evacuated);
  std::vector<std::uint16_t> caller_ports() const;
  // Listeners of the processes themselves, without a proxy.
  std::uint16_t caller_port(std::size_t index) const { return dispatchers_[index].caller_port; }
  std::uint16_t readiness_port(std::size_t index) const {
    return dispatchers_[index].readiness_port;
  }
  std::uint16_t rpc_port(std::size_t index) const { return dispatchers_[index].rpc_port; }
  std::uint16_t metrics_port(std::size_t index) const { return dispatchers_[index].metrics_port; }
  std::uint16_t local_port(std::size_t index) const { return supervisors_[index].local_port; }
  std::uint16_t supervisor_metrics_port(std::size_t index) const {
    return supervisors_[index].metrics_port;
  }
  const RunRecords& records() const { return records_; }
  // Settings and logs of the processes.
  const std::filesystem::path& directory() const { return directory_; }
  // The directory outlives this object.
  void KeepDirectory() { keep_directory_ = true; }

 private:
  struct Dispatcher {
    std::string id;
    std::uint16_t caller_port = 0;
    std::uint16_t readiness_port = 0;
    std::uint16_t rpc_port = 0;
    std::uint16_t metrics_port = 0;
    std::unique_ptr<FaultProxy> rpc_proxy;
    std::unique_ptr<FaultProxy> caller_proxy;
    std::unique_ptr<ChildProcess> process;
  };
  struct Supervisor {
    std::string id;
    std::uint16_t local_port = 0;
    std::uint16_t metrics_port = 0;
    std::uint16_t executor_port = 0;
    std::unique_ptr<FaultProxy> executor_proxy;
    std::unique_ptr<ChildProcess> process;
  };

  std::unique_ptr<adapters::LoopHttpServer> ServeStore(std::uint16_t port,
                                                       PlatformRows::Reader reader);
  std::unique_ptr<ChildProcess> StartDaemon(const std::string& id) const;
  void StartDispatcher(std::size_t index);
  void StartExecutor(std::size_t index);
  bool IsReady(const Dispatcher& dispatcher);

  const Options options_;
  PortBlock ports_;
  std::filesystem::path directory_;
  bool keep_directory_ = false;
  // Supervisors read the store at a port of their own, where dispatchers have the addresses of
  // their proxies.
  const std::uint16_t store_port_;
  const std::uint16_t supervisors_store_port_;
  const adapters::SteadyClock clock_;
  RunRecords records_;
  asio::io_context loop_;
  PlatformRows rows_;
  std::unique_ptr<adapters::LoopHttpServer> store_server_;
  std::unique_ptr<adapters::LoopHttpServer> supervisors_store_server_;
  adapters::HttpClient client_;
  std::vector<std::unique_ptr<LeasedExecutor>> executors_;
  std::vector<Dispatcher> dispatchers_;
  std::vector<Supervisor> supervisors_;
  // Last, so that the loop has ended before what it uses is destroyed.
  std::jthread loop_thread_;
};

}  // namespace zinniamux::testing

#endif  // ZINNIAMUX_TESTS_SUPPORT_LEASED_DEPLOYMENT_H_
