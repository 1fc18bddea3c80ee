// One shard as seen by this entry: who owns it, and its OwnedShard while this entry is the owner.
#ifndef ZINNIAMUX_ZINNIAMUXD_SHARD_HOST_H_
#define ZINNIAMUX_ZINNIAMUXD_SHARD_HOST_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "core/shard_ownership.h"
#include "core/table_store.h"
#include "zinniamuxd/action_runner.h"
#include "zinniamuxd/owned_shard.h"

namespace zinniamux::daemon {

// The current destination of requests for a shard.
struct ShardRoute {
  // The owner under the highest epoch known.
  std::optional<core::ShardRow> owner;
  // Set if this entry owns the shard and accepts requests for it.
  std::shared_ptr<OwnedShard> local;
  // The owner is this entry, whether or not it accepts requests yet.
  bool owner_is_self = false;
  bool owner_missing = true;
  bool store_answers = false;
};

// Runs ShardOwnership on the table store, and creates and closes the OwnedShard of an epoch.
// Thread-safe. Create with std::make_shared, because store callbacks may run after its
// creator has released it.
class ShardHost : public std::enable_shared_from_this<ShardHost> {
 public:
  // Hooks run without a lock of this class.
  struct Hooks {
    std::function<std::shared_ptr<OwnedShard>(const core::StartOwning&)> make_owned_shard;
    // The owner changed, or the shard in this process started or stopped accepting requests.
    std::function<void()> on_route_changed;
    // Gets the unanswered jobs of an epoch that has ended in this process.
    std::function<void(std::vector<core::Submission>)> on_unfinished_jobs;
    // Gets a message for the log.
    std::function<void(const std::string&)> on_problem;
  };

  ShardHost(core::ShardOwnership::Options options, core::TableStore& store,
            const core::Clock& clock, Hooks hooks);

  // Called every few milliseconds.
  void OnTimer();
  // Passes an event to ShardOwnership and carries out the resulting actions.
  void Apply(const std::function<void(core::ShardOwnership&)>& event);
  // The OwnedShard accepts requests from now on.
  void OnOwnedShardRunning();

  ShardRoute route() const;
  std::uint64_t owned_epoch() const;
  bool handing_over() const;
  // Null if this entry does not own the shard. The shard may not be running yet.
  std::shared_ptr<OwnedShard> owned_shard() const;
  std::uint32_t shard() const { return shard_; }
  // Closes the owned shard, if any. No action runs after this call.
  void Close();

 private:
  using Runner = ActionRunner<core::ShardOwnership, core::OwnershipAction>;

  void CarryOut(const core::OwnershipAction& action);
  void ReadRow();
  void WriteRow(const core::WriteShardRow& write);
  void StartOwning(const core::StartOwning& start);
  void StopOwning();

  const std::uint32_t shard_;
  const core::EntryAddress self_;
  core::TableStore& store_;
  const core::Clock& clock_;
  const Hooks hooks_;
  Runner runner_;
  mutable std::mutex mutex_;
  // Guarded by mutex_.
  std::shared_ptr<OwnedShard> owned_shard_;
};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_SHARD_HOST_H_
