// Fetches the configuration from peers that hold a newer one, for when the store cannot be read.
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
// of processes start at once. Every peer says which version it holds; bodies are sent on request
// only, and a process asks one peer at a time. If each dispatcher sent the body to each supervisor,
// 35 of them would send 5,600 copies of a version, seconds of the link of a small VM.
//
// The first peer to have a version would be asked by all, so a process waits until others have it,
// and asks the one with the highest hash of both names. Not thread-safe.
class ConfigurationExchange {
 public:
  struct Options {
    // From the first word of a newer version until a peer is asked: a heartbeat, within which most
    // peers have read it.
    std::chrono::milliseconds delay{300};
    // Between two requests.
    std::chrono::milliseconds pause{300};
  };

  ConfigurationExchange(const Options& options, std::string_view self);

  std::uint64_t version() const { return version_; }
  const std::string& body() const { return body_; }
  // False if the version is not newer.
  bool Take(std::uint64_t version, std::string body);

  void OnPeerVersion(const std::string& peer, std::uint64_t version, TimePoint now);
  void OnPeerGone(const std::string& peer) { peers_.erase(peer); }
  // The peer to ask now, if any; counts as asked.
  std::optional<std::string> PeerToAsk(TimePoint now);

 private:
  const Options options_;
  const std::uint64_t seed_;
  std::uint64_t version_ = 0;
  std::string body_;
  // What each connected peer holds.
  std::map<std::string, std::uint64_t> peers_;
  // Unset while no peer has a newer version.
  std::optional<TimePoint> ask_at_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_CONFIGURATION_EXCHANGE_H_
