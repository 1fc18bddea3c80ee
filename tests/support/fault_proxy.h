// A TCP proxy that injects faults between two processes of a test.
#ifndef ZINNIAMUX_TESTS_SUPPORT_FAULT_PROXY_H_
#define ZINNIAMUX_TESTS_SUPPORT_FAULT_PROXY_H_

#include <chrono>
#include <cstdint>
#include <memory>

namespace zinniamux::testing {

// Forwards connections from a port of its own to a target on loopback. Thread-safe.
class FaultProxy {
 public:
  struct Options {
    std::uint16_t listen_port = 0;
    std::uint16_t target_port = 0;
    // One-way delay that is added in each direction.
    std::chrono::microseconds delay{0};
  };

  // Listens from construction on. All proxies of a process share one thread.
  explicit FaultProxy(const Options& options);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  std::uint16_t port() const;
  void SetDelay(std::chrono::microseconds delay);
  // Open connections forward nothing from now on and are never closed; new ones work.
  void SilenceOpenConnections();
  // While set, new connections are accepted and stay silent for good; open ones become silent.
  void SetBlackhole(bool blackhole);
  // Each open connection is reset in place of what the target sends on it next. New ones work.
  void ResetOpenConnectionsAtAnswer();
  // Ends open connections with a reset.
  void ResetOpenConnections();
  // While set, new connections are reset at once.
  void SetRefuse(bool refuse);

 private:
  class Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace zinniamux::testing

#endif  // ZINNIAMUX_TESTS_SUPPORT_FAULT_PROXY_H_
