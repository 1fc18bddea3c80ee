// Heartbeats between this entry and the others.
#ifndef ZINNIAMUX_ZINNIAMUXD_PEER_EXCHANGE_H_
#define ZINNIAMUX_ZINNIAMUXD_PEER_EXCHANGE_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/entry_address.h"
#include "zinniamux.pb.h"
#include "zinniamuxd/peer_client.h"

namespace zinniamux::daemon {

// Sends a heartbeat to every other entry once per second and keeps a client for each of them.
// Thread-safe. Create with std::make_shared.
class PeerExchange : public std::enable_shared_from_this<PeerExchange> {
 public:
  struct Options {
    core::EntryAddress self;
    // RPC addresses from the settings.
    std::vector<std::string> seeds;
  };

  // Hooks run without a lock of this class.
  struct Hooks {
    // Returns this entry's status for a peer that has this configuration version.
    std::function<v1::PeerStatus(std::uint64_t peer_config_version)> make_status;
    // Gets a peer's status from its heartbeat or its response to one.
    std::function<void(const v1::PeerStatus&)> on_status;
    std::function<void(const std::string& address)> on_connection_refused;
    // Returns all live entries, this one included.
    std::function<std::vector<core::EntryAddress>()> live_entries;
  };

  PeerExchange(Options options, const core::Clock& clock, Hooks hooks);

  // Called every few milliseconds.
  void OnTimer();
  // Sends heartbeats at once, to report a change that peers should learn soon.
  void SendHeartbeatsNow();
  // Handles a peer's heartbeat and returns the response.
  v1::PeerStatus OnHeartbeat(const v1::PeerStatus& status);

  // Ends all calls; no hook runs after this call, unless OnHeartbeat is called.
  void Close();

  std::shared_ptr<PeerClient> ClientFor(const std::string& address);
  // The entry heard from last among those that are not stopping and were heard from within the
  // silence limit.
  std::optional<core::EntryAddress> HandoverTarget() const;

 private:
  struct Peer {
    std::shared_ptr<PeerClient> client;
    core::TimePoint next_heartbeat_at;
    bool heartbeat_pending = false;
    std::uint64_t config_version = 0;
  };
  struct HeardPeer {
    core::EntryAddress entry;
    bool stopping = false;
    core::TimePoint heard_at;
  };

  void RecordStatus(const v1::PeerStatus& status);
  void SendHeartbeat(const std::string& address, const std::shared_ptr<PeerClient>& client,
                     std::uint64_t config_version);
  std::vector<std::string> PeerAddresses() const;

  const Options options_;
  const core::Clock& clock_;
  const Hooks hooks_;
  mutable std::mutex mutex_;
  // Guarded by mutex_. By RPC address.
  std::map<std::string, Peer> peers_;
  // By entry id.
  std::map<std::string, HeardPeer> heard_peers_;
  bool closed_ = false;
};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_PEER_EXCHANGE_H_
