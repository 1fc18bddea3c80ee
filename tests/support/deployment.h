// A whole deployment of real processes on loopback, with fault-injecting proxies between them.
#ifndef ZINNIAMUX_TESTS_SUPPORT_DEPLOYMENT_H_
#define ZINNIAMUX_TESTS_SUPPORT_DEPLOYMENT_H_

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "adapters/http_client.h"
#include "support/child_process.h"
#include "support/fault_proxy.h"
#include "support/port_block.h"

namespace zinniamux::testing {

// The platform stand-in, entries, and agents with their executors. Everything that one process says
// to an entry's rpc port, and every task that an agent sends to its executor, passes a proxy.
class Deployment {
 public:
  struct Options {
    std::size_t entries = 2;
    std::size_t agents = 3;
    std::size_t slots = 8;
    std::size_t connections = 64;
    std::vector<std::string> availability_zones = {"zone-a", "zone-b", "zone-c"};
    std::size_t agents_per_rack = 3;
    // One-way delay between processes in different availability zones.
    std::chrono::microseconds zone_delay{0};
    // One-way delay between callers and entries.
    std::chrono::microseconds caller_delay{0};
    // JSON of the configuration that is published at start.
    std::string config_body;
  };

  struct Entry {
    std::string id;
    std::uint16_t caller_port = 0;
    std::uint16_t admin_port = 0;
    std::uint16_t rpc_port = 0;
    std::unique_ptr<FaultProxy> rpc_proxy;
    std::unique_ptr<FaultProxy> caller_proxy;
    std::unique_ptr<ChildProcess> process;
  };

  struct Agent {
    std::string id;
    std::uint16_t local_port = 0;
    std::uint16_t executor_port = 0;
    std::unique_ptr<FaultProxy> executor_proxy;
    std::unique_ptr<ChildProcess> process;
    std::unique_ptr<ChildProcess> executor;
  };

  // Starts everything, publishes the configuration, and waits until jobs can run.
  explicit Deployment(Options options);
  ~Deployment();

  Entry& entry(std::size_t index) { return entries_[index]; }
  Agent& agent(std::size_t index) { return agents_[index]; }
  std::size_t entry_count() const { return entries_.size(); }
  std::size_t agent_count() const { return agents_.size(); }
  const std::filesystem::path& directory() const { return directory_; }
  ChildProcess& platform() { return *platform_; }
  // Where callers reach the entries: through proxies if there is a delay. A proxy accepts
  // connections while its entry is down, which a caller cannot tell from a lost answer.
  std::vector<std::uint16_t> caller_ports() const;
  std::vector<std::uint16_t> admin_ports() const;

  void StartEntry(std::size_t index);
  void StartAgent(std::size_t index);
  void StartExecutor(std::size_t index);
  // The entry that owns shard 0 in the view of a live entry, if any.
  std::optional<std::size_t> Owner();
  // Sets the platform's fault mode; see tests/standins/platform_standin.
  void SetPlatformFault(const std::string& json_body);

  // Requests that the platform has served.
  std::size_t PlatformRequests();
  adapters::HttpResult Admin(std::size_t entry, const std::string& method, const std::string& path,
                             const std::string& body = "");
  bool Ready(std::size_t entry);
  // Stops all processes with SIGTERM; returns false if one did not exit with code 0 in time.
  bool StopGracefully();

 private:
  void WriteEntrySettings(std::size_t index);
  void WriteAgentSettings(std::size_t index);
  void Publish();
  std::string Zone(std::size_t index) const;

  const Options options_;
  PortBlock ports_;
  std::filesystem::path directory_;
  std::uint16_t platform_port_ = 0;
  std::unique_ptr<ChildProcess> platform_;
  std::vector<Entry> entries_;
  std::vector<Agent> agents_;
  adapters::HttpClient client_;
};

// Polls `condition` until it holds or the time is over. The limit is generous: a verdict must not
// depend on the speed of the machine.
bool WaitFor(const std::function<bool()>& condition,
             std::chrono::milliseconds limit = std::chrono::seconds(60));

}  // namespace zinniamux::testing

#endif  // ZINNIAMUX_TESTS_SUPPORT_DEPLOYMENT_H_
