// The configuration of a running entry: runs ConfigHistory on the table store.
#ifndef ZINNIAMUX_ZINNIAMUXD_CONFIG_SERVICE_H_
#define ZINNIAMUX_ZINNIAMUXD_CONFIG_SERVICE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/config_history.h"
#include "core/table_store.h"

namespace zinniamux::daemon {

// Thread-safe. Hooks and callbacks run one at a time, on a thread of the store or of the caller of
// any member function except the accessors, without a lock of this class; they may call its member
// functions.
class ConfigService {
 public:
  using PublishCallback = std::function<void(core::Result<std::uint64_t>)>;
  using HistoryCallback = std::function<void(core::Result<std::vector<core::ConfigRecord>>)>;

  struct Hooks {
    // Returns an error if a body cannot be used. Such bodies are not published.
    std::function<core::Result<void>(std::string_view body)> validate;
    // A higher version is in force and can be sent to peers. Versions arrive in increasing order.
    std::function<void(const core::ConfigVersion&)> on_in_force;
    // Gets a message for the log.
    std::function<void(const std::string&)> on_problem;
  };

  // A publish request without the id and time, which this class adds. An empty token is replaced by
  // a random one.
  struct Change {
    std::uint64_t base_version = 0;
    std::string token;
    std::string author;
  };

  // `store` and `clock` outlive this object.
  ConfigService(core::TableStore& store, const core::Clock& clock, Hooks hooks);
  // Waits for hooks that are running; none runs later. Pending publish calls are not answered.
  ~ConfigService();
  ConfigService(const ConfigService&) = delete;
  ConfigService& operator=(const ConfigService&) = delete;

  // `callback` gets the new version, or kInvalidRequest, kVersionConflict or kStoreUnavailable.
  void Publish(Change change, std::string body, PublishCallback callback);
  // `callback` can also get kNotFound: `target_version` is not in the history.
  void Rollback(Change change, std::uint64_t target_version, PublishCallback callback);
  // The versions of the table, newest first.
  void ReadHistory(HistoryCallback callback);

  // A peer's heartbeat contained this version.
  void OnPeerVersion(std::uint64_t version);
  // A peer's heartbeat contained this version and its body.
  void OnPeerConfig(core::ConfigVersion config);
  // Called every few milliseconds.
  void OnTimer();

  // With kFromTable the entry is ready and may own shards. Otherwise it may not own any, and is
  // ready only if it can forward requests to live owners.
  core::ConfigKnowledge knowledge() const;
  // Version 0 while no configuration is known.
  core::ConfigVersion in_force() const;

 private:
  class Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_CONFIG_SERVICE_H_
