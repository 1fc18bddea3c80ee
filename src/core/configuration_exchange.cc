// Choice of the peer to ask.
#include "core/configuration_exchange.h"

#include <algorithm>
#include <utility>

#include "core/name_hash.h"

namespace zinniamux::core {

ConfigurationExchange::ConfigurationExchange(const Options& options, std::string_view self)
    : options_(options), seed_(NameHash(self)) {}

bool ConfigurationExchange::Take(std::uint64_t version, std::string body) {
  if (version <= version_ || body.empty()) return false;
  version_ = version;
  body_ = std::move(body);
  next_request_at_.reset();
  return true;
}

void ConfigurationExchange::OnPeerVersion(const std::string& peer, std::uint64_t version,
                                          TimePoint now) {
  peers_[peer] = version;
  if (version > version_ && !next_request_at_) next_request_at_ = now + options_.delay;
}

std::optional<std::string> ConfigurationExchange::PeerToAsk(TimePoint now) {
  if (!next_request_at_ || now < *next_request_at_) return std::nullopt;
  next_request_at_.reset();
  std::uint64_t newest = version_;
  for (const auto& [peer, version] : peers_) newest = std::max(newest, version);
  if (newest == version_) return std::nullopt;
  const std::string* chosen = nullptr;
  std::uint64_t highest = 0;
  for (const auto& [peer, version] : peers_) {
    if (version < newest) continue;
    const std::uint64_t hash = NameHash(peer, seed_);
    if (chosen != nullptr && hash <= highest) continue;
    chosen = &peer;
    highest = hash;
  }
  next_request_at_ = now + options_.pause;
  return *chosen;
}

}  // namespace zinniamux::core
