// The configuration in a running entry: ConfigHistory over the table store.
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
// any member function but the accessors, without a lock of this class; they may call back.
class ConfigService {
 public:
  using PublishCallback = std::function<void(core::Result<std::uint64_t>)>;
  using HistoryCallback = std::function<void(core::Result<std::vector<core::ConfigRecord>>)>;

  struct Hooks {
    // Whether a body can be used. Bodies that fail are refused at publish.
    std::function<core::Result<void>(std::string_view body)> check;
    // A higher version is in force; sent to peers from here. Versions come in increasing order.
    std::function<void(const core::ConfigVersion&)> on_in_force;
    // A line for the log.
    std::function<void(const std::string&)> on_problem;
  };

  // Without an id, token and time, which this class fills in; an empty token gets a random one.
  struct Change {
    std::uint64_t base_version = 0;
    std::string token;
    std::string author;
  };

  // `store` and `clock` outlive this object.
  ConfigService(core::TableStore& store, const core::Clock& clock, Hooks hooks);
  // Waits for hooks that are running; none runs later. Publishes without an answer get none.
  ~ConfigService();
  ConfigService(const ConfigService&) = delete;
  ConfigService& operator=(const ConfigService&) = delete;

  // `callback` gets the new version, or kInvalidRequest, kVersionConflict or kStoreUnavailable.
  void Publish(Change change, std::string body, PublishCallback callback);
  // `callback` can also get kNotFound: `target_version` is not in the history.
  void Rollback(Change change, std::uint64_t target_version, PublishCallback callback);
  // The versions of the table, newest first.
  void ReadHistory(HistoryCallback callback);

  // From a peer's heartbeat.
  void OnPeerVersion(std::uint64_t version);
  // From a peer that sent the body as well.
  void OnPeerConfig(core::ConfigVersion config);
  // Called every few milliseconds.
  void OnTimer();

  // An entry may own a shard only with kFromTable, and is ready with it; with less it is ready if
  // it can forward to a live owner.
  core::ConfigKnowledge knowledge() const;
  // Version 0 while nothing is known.
  core::ConfigVersion in_force() const;

 private:
  class Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_CONFIG_SERVICE_H_
