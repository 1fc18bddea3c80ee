// One shard in this entry: ownership by the table's row, and the owned epoch, if there is one.
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

// Where requests of a shard go now.
struct ShardRoute {
  // The owner with the highest epoch known.
  std::optional<core::ShardRow> owner;
  // Set if this entry owns the shard and takes requests.
  std::shared_ptr<OwnedShard> local;
  // The owner is this entry, whether or not it takes requests yet.
  bool is_self = false;
  bool owner_missing = true;
  bool store_answers = false;
};

// Runs ShardOwnership over the table store, and makes and drops the OwnedShard of an epoch.
// Thread-safe. Create with std::make_shared: answers of the store may come after its end.
class ShardHost : public std::enable_shared_from_this<ShardHost> {
 public:
  // Hooks run without a lock of this class.
  struct Hooks {
    std::function<std::shared_ptr<OwnedShard>(const core::StartOwning&)> make_owned;
    // The owner changed, or the shard in this process began or ceased to take requests.
    std::function<void()> on_route_changed;
    // The jobs without an answer of an epoch that ended here.
    std::function<void(std::vector<core::Submission>)> on_unfinished;
    std::function<void(const std::string&)> on_problem;
  };

  ShardHost(core::ShardOwnership::Options options, core::TableStore& store,
            const core::Clock& clock, Hooks hooks);

  // Called every few milliseconds.
  void OnTimer();
  // Passes an event to the ownership decisions.
  void Apply(const std::function<void(core::ShardOwnership&)>& event);
  // The OwnedShard takes requests from now on.
  void OnOwnedRunning();

  ShardRoute route() const;
  std::uint64_t owned_epoch() const;
  bool handing_over() const;
  // The owned epoch, running or not.
  std::shared_ptr<OwnedShard> owned() const;
  std::uint32_t shard() const { return shard_; }
  // Ends the owned epoch in this process; no action runs after this call.
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
  std::shared_ptr<OwnedShard> owned_;
};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_SHARD_HOST_H_
