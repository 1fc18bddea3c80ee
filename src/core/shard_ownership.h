// Ownership of one shard: takeover, release and handover by this entry.
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

// Write the shard's row if it still has this version; answered by ShardOwnership::OnWriteDone.
struct WriteShardRow {
  std::uint64_t expected_version = 0;
  ShardRow row;
};

// This entry now owns the shard. `row_version` is the version of the row that names it as owner.
struct StartOwning {
  std::uint64_t epoch = 0;
  std::uint64_t row_version = 0;
};

// This entry no longer owns the shard, which it owned under `epoch`.
struct StopOwning {
  std::uint64_t epoch = 0;
};

// The known owner has changed; see ShardOwnership::owner.
struct OwnerChanged {};

using OwnershipAction =
    std::variant<ReadShardRow, WriteShardRow, StartOwning, StopOwning, OwnerChanged>;

// The ownership of one shard as one entry sees it. The shard's row in the table is authoritative:
// an entry owns an epoch if and only if the row with that epoch named it and its incarnation. At
// most one read or write is in progress at a time. Not thread-safe.
class ShardOwnership {
 public:
  struct Options {
    std::uint32_t shard = 0;
    EntryAddress self;
    std::chrono::milliseconds owner_silence_limit{3000};
    // Period of reads of the row while the store answers.
    std::chrono::milliseconds check_period{1000};
    // Delay of the next read after a read or write without an answer.
    std::chrono::milliseconds retry_period{500};
    // Each candidate waits this long for every candidate that ranks before it, so that few write at
    // once.
    std::chrono::milliseconds rank_delay{150};
    std::uint64_t seed = 1;
  };

  ShardOwnership(Options options, const Clock& clock);

  // Called every few milliseconds.
  void OnTimer();
  // `row` is an error if the table did not answer.
  void OnRowRead(const Result<VersionedShardRow>& row);
  void OnWriteDone(CommitOutcome outcome);
  // A message arrived from this entry.
  void OnEntryHeard(const EntryAddress& entry);
  // A connection to this address was refused, so no process listens there.
  void OnConnectionRefused(std::string_view rpc_address);
  // A peer reported `row` as the current shard row.
  void OnOwnerReported(const ShardRow& row);
  // An agent has seen this epoch.
  void OnEpochSeen(std::uint64_t epoch);
  // The table refused a write that was conditional on the row version of the owned epoch.
  void OnRowVersionOutdated();
  // The live entries that may take over. This entry's rank among them determines its delay.
  void SetCandidates(std::vector<std::string> entry_ids);
  // Whether this entry may take over; initially false. It may not while it does not know the
  // configuration in force or while it shuts down. A write already sent may still make it the
  // owner.
  void SetMayTakeOver(bool may_take_over);
  // Makes `target` the owner of the next epoch, if this entry owns the shard.
  void HandOver(const EntryAddress& target);

  std::vector<OwnershipAction> TakeActions();

  // The owner with the highest epoch known.
  const std::optional<ShardRow>& owner() const { return owner_; }
  // Zero if this entry does not own the shard.
  std::uint64_t owned_epoch() const { return owned_epoch_; }
  // The owner is silent, unreachable or restarted, or none is known.
  bool owner_missing() const;
  // The last read or write was answered.
  bool store_answers() const { return store_answers_; }
  bool handing_over() const { return handover_target_.has_value(); }

 private:
  enum class Operation { kNone, kRead, kWrite };

  bool IsSelf(const EntryAddress& entry) const;
  void AdoptOwner(const ShardRow& row);
  void BecomeOwner(std::uint64_t epoch, std::uint64_t row_version);
  void ReleaseOwnership();
  void ScheduleTakeover();
  void StartRead();
  void StartWrite(std::uint64_t expected_version, EntryAddress owner);
  // Starts a takeover or a handover, if one is due, on the row just read.
  void WriteRowIfNeeded(const VersionedShardRow& read);
  Duration TakeoverDelay();

  const Options options_;
  const Clock& clock_;
  std::minstd_rand random_;
  std::vector<std::string> candidates_;
  std::optional<ShardRow> owner_;
  // When a message or row last showed the owner alive. A pause of this process does not count as
  // silence of the owner.
  TimePoint owner_last_heard_at_;
  // The owner's address refused a connection, or its process was restarted.
  bool owner_lost_ = false;
  // When this entry tries to take over; set while the owner is missing.
  std::optional<TimePoint> takeover_at_;
  std::uint64_t owned_epoch_ = 0;
  // The highest epoch seen. Invariant: never decreases; this entry owns no epoch below it.
  std::uint64_t highest_epoch_ = 0;
  Operation operation_ = Operation::kNone;
  // The row of the write in progress, and the version that it replaces.
  ShardRow pending_row_;
  std::uint64_t pending_row_version_ = 0;
  std::optional<EntryAddress> handover_target_;
  TimePoint next_read_at_;
  TimePoint last_timer_at_;
  bool store_answers_ = false;
  bool may_take_over_ = false;
  std::vector<OwnershipAction> actions_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_SHARD_OWNERSHIP_H_
