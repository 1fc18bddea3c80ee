// Timing of heartbeats, and the last known state of peers.
#include "zinniamuxd/peer_exchange.h"

#include <algorithm>
#include <utility>

#include "rpc/convert.h"
#include "zinniamuxd/stream_timing.h"

namespace zinniamux::daemon {
namespace {

// A peer that does not answer in time gets the next heartbeat on a new channel. With 1 s, two
// channels are tried before the peer counts as silent (3 s).
constexpr std::chrono::milliseconds kHeartbeatDeadline{1000};
// After a refused connection the peer gets heartbeats more often, to notice its restart.
constexpr std::chrono::milliseconds kRefusedHeartbeatPeriod{250};

}  // namespace

PeerExchange::PeerExchange(Options options, const core::Clock& clock, Hooks hooks)
    : options_(std::move(options)), clock_(clock), hooks_(std::move(hooks)) {}

std::vector<std::string> PeerExchange::PeerAddresses() const {
  std::vector<std::string> addresses = options_.seeds;
  for (const core::EntryAddress& entry : hooks_.live_entries()) {
    addresses.push_back(entry.rpc_address);
  }
  std::erase(addresses, options_.self.rpc_address);
  std::sort(addresses.begin(), addresses.end());
  addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
  return addresses;
}

void PeerExchange::OnTimer() {
  struct Due {
    std::string address;
    std::shared_ptr<PeerClient> client;
    std::uint64_t config_version;
  };
  {
    const std::lock_guard lock(mutex_);
    if (closed_) return;
  }
  const std::vector<std::string> addresses = PeerAddresses();
  const core::TimePoint now = clock_.now();
  std::vector<Due> due;
  std::vector<std::shared_ptr<PeerClient>> clients;
  {
    const std::lock_guard lock(mutex_);
    std::erase_if(peers_, [&](const auto& peer) {
      return !std::binary_search(addresses.begin(), addresses.end(), peer.first) &&
             peer.second.client->idle();
    });
    for (const std::string& address : addresses) {
      Peer& peer = peers_[address];
      if (peer.client == nullptr) peer.client = std::make_shared<PeerClient>(address, clock_);
      clients.push_back(peer.client);
      if (peer.heartbeat_pending || now < peer.next_heartbeat_at) continue;
      peer.heartbeat_pending = true;
      peer.next_heartbeat_at = now + kHeartbeatPeriod;
      due.push_back({address, peer.client, peer.config_version});
    }
  }
  for (const auto& client : clients) client->OnTimer();
  for (const Due& item : due) SendHeartbeat(item.address, item.client, item.config_version);
}

void PeerExchange::SendHeartbeatsNow() {
  {
    const std::lock_guard lock(mutex_);
    for (auto& [address, peer] : peers_) {
      peer.next_heartbeat_at = clock_.now();
      // A heartbeat that is still unanswered was composed before the change.
      peer.heartbeat_pending = false;
    }
  }
  OnTimer();
}

void PeerExchange::SendHeartbeat(const std::string& address,
                                 const std::shared_ptr<PeerClient>& client,
                                 std::uint64_t config_version) {
  client->Heartbeat(
      hooks_.make_status(config_version), kHeartbeatDeadline,
      [weak = weak_from_this(), address](const grpc::Status& result, const v1::PeerStatus& status) {
        const auto self = weak.lock();
        if (self == nullptr) return;
        const bool refused = IsConnectionRefused(result);
        {
          const std::lock_guard lock(self->mutex_);
          const auto found = self->peers_.find(address);
          if (found != self->peers_.end()) {
            Peer& peer = found->second;
            peer.heartbeat_pending = false;
            if (refused) peer.next_heartbeat_at = self->clock_.now() + kRefusedHeartbeatPeriod;
            if (result.ok()) peer.config_version = status.config_version();
          }
        }
        if (refused) self->hooks_.on_connection_refused(address);
        if (result.ok()) self->RecordStatus(status);
      });
}

v1::PeerStatus PeerExchange::OnHeartbeat(const v1::PeerStatus& status) {
  RecordStatus(status);
  return hooks_.make_status(status.config_version());
}

void PeerExchange::RecordStatus(const v1::PeerStatus& status) {
  if (status.sender().entry_id() == options_.self.entry_id) return;
  {
    const std::lock_guard lock(mutex_);
    heard_peers_[status.sender().entry_id()] = {.entry = rpc::FromProto(status.sender()),
                                                .stopping = status.stopping(),
                                                .heard_at = clock_.now()};
    const auto peer = peers_.find(status.sender().rpc_address());
    if (peer != peers_.end()) peer->second.config_version = status.config_version();
  }
  hooks_.on_status(status);
}

void PeerExchange::Close() {
  std::vector<std::shared_ptr<PeerClient>> clients;
  {
    const std::lock_guard lock(mutex_);
    closed_ = true;
    for (const auto& [address, peer] : peers_) clients.push_back(peer.client);
  }
  for (const auto& client : clients) client->Close();
}

std::shared_ptr<PeerClient> PeerExchange::ClientFor(const std::string& address) {
  const std::lock_guard lock(mutex_);
  Peer& peer = peers_[address];
  if (peer.client == nullptr) peer.client = std::make_shared<PeerClient>(address, clock_);
  return peer.client;
}

std::optional<core::EntryAddress> PeerExchange::HandoverTarget() const {
  const std::lock_guard lock(mutex_);
  const HeardPeer* latest = nullptr;
  for (const auto& [id, peer] : heard_peers_) {
    if (peer.stopping || clock_.now() - peer.heard_at > kSilenceLimit) continue;
    if (latest == nullptr || peer.heard_at > latest->heard_at) latest = &peer;
  }
  if (latest == nullptr) return std::nullopt;
  return latest->entry;
}

}  // namespace zinniamux::daemon
