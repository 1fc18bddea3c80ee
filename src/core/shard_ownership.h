// Which entry owns one shard, and when this entry takes it over, gives it up or hands it over.
#ifndef ZINNIAMUX_CORE_SHARD_OWNERSHIP_H_
#define ZINNIAMUX_CORE_SHARD_OWNERSHIP_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/clock.h"
#include "core/entry_address.h"
#include "core/error_kind.h"
#include "core/table_store.h"

namespace zinniamux::core {

// The content of a `shard/<n>` row.
struct ShardRow {
  std::uint64_t epoch = 0;
  EntryAddress owner;

  bool operator==(const ShardRow&) const = default;
};

// A shard row as it was read. `version` is 0, and `row` is empty, if the table has no such row.
struct VersionedShardRow {
  std::optional<ShardRow> row;
  std::uint64_t version = 0;
};

// Read the shard's row; answered by ShardOwnership::OnRowRead.
struct ReadShardRow {};

// Write the shard's row if it has this version; answered by ShardOwnership::OnWriteDone.
struct WriteShardRow {
  std::uint64_t expected_version = 0;
  ShardRow row;
};

// This entry owns the shard from now on. `row_version` is the version of the row that says so.
struct StartOwning {
  std::uint64_t epoch = 0;
  std::uint64_t row_version = 0;
};

// This entry owned the shard under `epoch` and does so no longer.
struct StopOwning {
  std::uint64_t epoch = 0;
};

// The known owner is another one than before; see ShardOwnership::owner.
struct OwnerChanged {};

using OwnershipAction =
    std::variant<ReadShardRow, WriteShardRow, StartOwning, StopOwning, OwnerChanged>;

// The ownership of one shard as one entry sees it. The shard's row in the table decides: an entry
// owns an epoch if and only if the row named it with its incarnation. At most one read or write is
// under way at a time. Not thread-safe.
class ShardOwnership {
 public:
  struct Options {
    std::uint32_t shard = 0;
    EntryAddress self;
    std::chrono::milliseconds owner_silence_limit{3000};
    // How often the row is read while an owner is known and alive.
    std::chrono::milliseconds check_period{1000};
    // How soon a read follows one that failed.
    std::chrono::milliseconds retry_period{500};
    // Wait of each candidate for each one that comes before it, so that few write at once.
    std::chrono::milliseconds rank_delay{150};
    std::uint64_t seed = 1;
  };

  ShardOwnership(Options options, const Clock& clock);

  // Called every few milliseconds.
  void OnTimer();
  // `row` is an error if the table did not answer.
  void OnRowRead(const Result<VersionedShardRow>& row);
  void OnWriteDone(CommitOutcome outcome);
  // A message came from this entry.
  void OnEntryHeard(const EntryAddress& entry);
  // A connection to this address was refused, so no process listens there.
  void OnConnectionRefused(std::string_view rpc_address);
  // A peer says that `row` is in force.
  void OnOwnerReported(const ShardRow& row);
  // An agent has seen this epoch.
  void OnEpochSeen(std::uint64_t epoch);
  // The table refused a write that was conditional on the row version of the owned epoch.
  void OnRowVersionOutdated();
  // Live entries that may take over; decides this entry's turn among them.
  void SetCandidates(std::vector<std::string> entry_ids);
  // Whether this entry takes over, false at first: it may not while it does not know the
  // configuration in force, or stops. An earlier write may still make it the owner.
  void SetMayTakeOver(bool may_take_over);
  // Makes `target` the owner with the next epoch, if this entry owns the shard.
  void HandOver(const EntryAddress& target);

  std::vector<OwnershipAction> TakeActions();

  // The owner with the highest epoch known.
  const std::optional<ShardRow>& owner() const { return owner_; }
  // Zero if this entry does not own the shard.
  std::uint64_t owned_epoch() const { return owned_epoch_; }
  // The owner is silent or unreachable, or none is known.
  bool owner_missing() const;
  // The last read or write was answered.
  bool store_answers() const { return store_answers_; }
  bool handing_over() const { return handover_target_.has_value(); }

 private:
  enum class Operation { kNone, kRead, kWrite };

  bool IsSelf(const EntryAddress& entry) const;
  void Adopt(const ShardRow& row);
  void Own(std::uint64_t epoch, std::uint64_t row_version);
  void GiveUp();
  void NoteMissingOwner();
  void StartRead();
  void StartWrite(std::uint64_t expected_version, EntryAddress owner);
  // Decides, on a row just read, whether to write it.
  void DecideWrite(const VersionedShardRow& read);
  Duration TurnDelay();

  const Options options_;
  const Clock& clock_;
  std::minstd_rand random_;
  std::vector<std::string> candidates_;
  std::optional<ShardRow> owner_;
  // When the owner was heard of last. A pause of this process does not count as silence.
  TimePoint owner_heard_at_;
  bool owner_refused_ = false;
  // When this entry may try to take over; set while the owner is missing.
  std::optional<TimePoint> turn_at_;
  std::uint64_t owned_epoch_ = 0;
  // The highest epoch seen. Invariant: never decreases; this entry owns no epoch below it.
  std::uint64_t highest_epoch_ = 0;
  Operation operation_ = Operation::kNone;
  // The row of the write under way.
  ShardRow written_;
  std::uint64_t written_version_ = 0;
  std::optional<EntryAddress> handover_target_;
  TimePoint next_read_at_;
  TimePoint last_timer_at_;
  bool store_answers_ = false;
  bool may_take_over_ = false;
  std::vector<OwnershipAction> actions_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_SHARD_OWNERSHIP_H_
