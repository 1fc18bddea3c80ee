// Fetches a newer configuration from a peer when the store cannot be read.
#ifndef ZINNIAMUX_CORE_CONFIGURATION_EXCHANGE_H_
#define ZINNIAMUX_CORE_CONFIGURATION_EXCHANGE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "core/clock.h"

namespace zinniamux::core {

// Load pattern: a configuration of up to 256 kB changes several times within seconds, or hundreds
// of processes start at once. Peers announce their version; bodies are sent only on request, and a
// process asks one peer at a time. If each dispatcher sent the body to each supervisor, 35 of them
// would send 5,600 copies of a version, which takes the network link of a small VM seconds.
//
// All processes would ask the first peer that has a new version. So a process waits until others
// have it, too, and asks the one with the highest hash of both names. Not thread-safe.
class ConfigurationExchange {
 public:
  struct Options {
    // Time from the first announcement of a newer version to the first request: one heartbeat,
    // within which most peers have read the new version.
    std::chrono::milliseconds delay{300};
    // Time between two requests.
    std::chrono::milliseconds pause{300};
  };

  ConfigurationExchange(const Options& options, std::string_view self);

  std::uint64_t version() const { return version_; }
  const std::string& body() const { return body_; }
  // Stores the configuration. Returns false if the version is not newer or the body is empty.
  bool Take(std::uint64_t version, std::string body);

  void OnPeerVersion(const std::string& peer, std::uint64_t version, TimePoint now);
  void OnPeerGone(const std::string& peer) { peers_.erase(peer); }
  // Returns the peer to ask now, if any, and records the request.
  std::optional<std::string> PeerToAsk(TimePoint now);

 private:
  const Options options_;
  const std::uint64_t seed_;
  std::uint64_t version_ = 0;
  std::string body_;
  // The version of each connected peer.
  std::map<std::string, std::uint64_t> peers_;
  // Unset while no peer has a newer version.
  std::optional<TimePoint> next_request_at_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_CONFIGURATION_EXCHANGE_H_
