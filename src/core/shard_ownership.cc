// Takeover, fencing of a former owner, and handover, based on the shard's row.
#include "core/shard_ownership.h"

#include <algorithm>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace zinniamux::core {
namespace {

// A longer gap between two timer calls counts as a pause of this process.
constexpr std::chrono::milliseconds kPauseLimit{1000};
// Upper limit of the rank in TakeoverDelay: candidates that rank lower wait no longer than this
// one.
constexpr std::size_t kMaxRank = 5;

}  // namespace

ShardOwnership::ShardOwnership(Options options, const Clock& clock)
    : options_(std::move(options)),
      clock_(clock),
      random_(static_cast<std::minstd_rand::result_type>(options_.seed)),
      candidates_{options_.self.entry_id},
      owner_last_heard_at_(clock.now()),
      next_read_at_(clock.now()),
      last_timer_at_(clock.now()) {}

void ShardOwnership::OnTimer() {
  const TimePoint now = clock_.now();
  if (now - last_timer_at_ > kPauseLimit) {
    // Messages from the owner may still be unread, and the row may have changed during the pause.
    owner_last_heard_at_ = now;
    next_read_at_ = now;
    takeover_at_.reset();
  }
  last_timer_at_ = now;
  if (operation_ != Operation::kNone) return;
  ScheduleTakeover();
  const bool takeover_due = takeover_at_ && now >= *takeover_at_;
  if (now < next_read_at_ && !(takeover_due && store_answers_)) return;
  StartRead();
}

void ShardOwnership::ScheduleTakeover() {
  if (!owner_missing()) {
    takeover_at_.reset();
    return;
  }
  if (takeover_at_ || !may_take_over_) return;
  takeover_at_ = clock_.now() + TakeoverDelay();
}

bool ShardOwnership::owner_missing() const {
  if (owned_epoch_ != 0) return false;
  // A row that names an earlier incarnation of this entry also needs a new owner.
  if (!owner_ || owner_->epoch < highest_epoch_ || owner_lost_) return true;
  if (owner_->owner.entry_id == options_.self.entry_id && !IsSelf(owner_->owner)) return true;
  return clock_.now() - owner_last_heard_at_ > options_.owner_silence_limit;
}

Duration ShardOwnership::TakeoverDelay() {
  // Each shard ranks the candidates differently (rendezvous hashing), so that shards spread over
  // the entries.
  const auto weight = [this](const std::string& id) {
    return XXH64(id.data(), id.size(), options_.shard);
  };
  const std::uint64_t own_weight = weight(options_.self.entry_id);
  const auto rank = static_cast<std::size_t>(
      std::count_if(candidates_.begin(), candidates_.end(),
                    [&](const auto& id) { return weight(id) > own_weight; }));
  // Entries that know different candidates may compute the same rank; the jitter separates them.
  std::uniform_int_distribution<Duration::rep> jitter(
      0, std::chrono::duration_cast<Duration>(options_.rank_delay).count() / 2);
  return options_.rank_delay * static_cast<int>(std::min(rank, kMaxRank)) +
         Duration(jitter(random_));
}

void ShardOwnership::StartRead() {
  operation_ = Operation::kRead;
  actions_.emplace_back(ReadShardRow{});
}

void ShardOwnership::OnRowRead(const Result<VersionedShardRow>& row) {
  if (operation_ != Operation::kRead) return;
  operation_ = Operation::kNone;
  store_answers_ = row.has_value();
  next_read_at_ = clock_.now() + (store_answers_ ? options_.check_period : options_.retry_period);
  if (!store_answers_) return;
  if (row->row) {
    AdoptOwner(*row->row);
    if (IsSelf(row->row->owner) && row->row->epoch >= highest_epoch_) {
      BecomeOwner(row->row->epoch, row->version);
    }
  }
  WriteRowIfNeeded(*row);
}

void ShardOwnership::WriteRowIfNeeded(const VersionedShardRow& read) {
  if (owned_epoch_ != 0) {
    const bool is_current = read.row && read.row->epoch == owned_epoch_;
    if (handover_target_ && is_current) StartWrite(read.version, *handover_target_);
    return;
  }
  if (!may_take_over_ || !owner_missing() || !takeover_at_ || clock_.now() < *takeover_at_) return;
  StartWrite(read.version, options_.self);
}

void ShardOwnership::StartWrite(std::uint64_t expected_version, EntryAddress owner) {
  operation_ = Operation::kWrite;
  pending_row_ = {.epoch = highest_epoch_ + 1, .owner = std::move(owner)};
  pending_row_version_ = expected_version;
  actions_.emplace_back(WriteShardRow{.expected_version = expected_version, .row = pending_row_});
}

void ShardOwnership::OnWriteDone(CommitOutcome outcome) {
  if (operation_ != Operation::kWrite) return;
  operation_ = Operation::kNone;
  store_answers_ = outcome != CommitOutcome::kUnknown;
  // The row shows which entry won, or whether a write without an answer took effect, and it has the
  // version on which the owner's further writes are conditional.
  next_read_at_ = clock_.now();
  if (outcome == CommitOutcome::kUnknown) {
    next_read_at_ += options_.retry_period;
    return;
  }
  if (outcome == CommitOutcome::kCommitted && handover_target_) AdoptOwner(pending_row_);
  StartRead();
}

void ShardOwnership::AdoptOwner(const ShardRow& row) {
  if (row.epoch > highest_epoch_) {
    highest_epoch_ = row.epoch;
    if (owned_epoch_ != 0) ReleaseOwnership();
  }
  if (owner_ && row.epoch <= owner_->epoch) return;
  owner_ = row;
  owner_last_heard_at_ = clock_.now();
  owner_lost_ = false;
  takeover_at_.reset();
  actions_.emplace_back(OwnerChanged{});
}

void ShardOwnership::BecomeOwner(std::uint64_t epoch, std::uint64_t row_version) {
  if (owned_epoch_ == epoch) return;
  owned_epoch_ = epoch;
  takeover_at_.reset();
  actions_.emplace_back(StartOwning{.epoch = epoch, .row_version = row_version});
}

void ShardOwnership::ReleaseOwnership() {
  handover_target_.reset();
  actions_.emplace_back(StopOwning{std::exchange(owned_epoch_, 0)});
}

bool ShardOwnership::IsSelf(const EntryAddress& entry) const {
  return entry.entry_id == options_.self.entry_id && entry.incarnation == options_.self.incarnation;
}

void ShardOwnership::OnEntryHeard(const EntryAddress& entry) {
  if (!owner_ || entry.entry_id != owner_->owner.entry_id) return;
  if (entry.incarnation != owner_->owner.incarnation) {
    // The owner's process was restarted and has lost its state.
    if (!IsSelf(owner_->owner)) owner_lost_ = true;
    return;
  }
  owner_last_heard_at_ = clock_.now();
  owner_lost_ = false;
}

void ShardOwnership::OnConnectionRefused(std::string_view rpc_address) {
  if (!owner_ || owned_epoch_ != 0 || owner_->owner.rpc_address != rpc_address) return;
  owner_lost_ = true;
}

void ShardOwnership::OnOwnerReported(const ShardRow& row) {
  if (row.epoch <= highest_epoch_ && owner_ && owner_->epoch >= row.epoch) return;
  AdoptOwner(row);
  // A handover to this entry takes effect only when the table confirms it.
  if (IsSelf(row.owner)) next_read_at_ = clock_.now();
}

void ShardOwnership::OnEpochSeen(std::uint64_t epoch) {
  if (epoch <= highest_epoch_) return;
  highest_epoch_ = epoch;
  if (owned_epoch_ != 0) ReleaseOwnership();
  next_read_at_ = clock_.now();
}

void ShardOwnership::OnRowVersionOutdated() { next_read_at_ = clock_.now(); }

void ShardOwnership::SetCandidates(std::vector<std::string> entry_ids) {
  candidates_ = std::move(entry_ids);
}

void ShardOwnership::SetMayTakeOver(bool may_take_over) {
  may_take_over_ = may_take_over;
  if (!may_take_over_) takeover_at_.reset();
}

void ShardOwnership::HandOver(const EntryAddress& target) {
  if (owned_epoch_ == 0 || handover_target_) return;
  handover_target_ = target;
  next_read_at_ = clock_.now();
}

std::vector<OwnershipAction> ShardOwnership::TakeActions() { return std::exchange(actions_, {}); }

}  // namespace zinniamux::core
