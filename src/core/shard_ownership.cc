// Takeover, fencing of a former owner, and handover, decided on the shard's row.
#include "core/shard_ownership.h"

#include <algorithm>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace zinniamux::core {
namespace {

// A gap between two timer calls that is longer than this counts as a pause of this process.
constexpr std::chrono::milliseconds kPauseLimit{1000};
// Later candidates do not wait longer than for this many others.
constexpr std::size_t kMaxRank = 5;

}  // namespace

ShardOwnership::ShardOwnership(Options options, const Clock& clock)
    : options_(std::move(options)),
      clock_(clock),
      random_(static_cast<std::minstd_rand::result_type>(options_.seed)),
      candidates_{options_.self.entry_id},
      owner_heard_at_(clock.now()),
      next_read_at_(clock.now()),
      last_timer_at_(clock.now()) {}

void ShardOwnership::OnTimer() {
  const TimePoint now = clock_.now();
  if (now - last_timer_at_ > kPauseLimit) {
    // Messages of the owner may wait to be read, and the row may have changed meanwhile.
    owner_heard_at_ = now;
    next_read_at_ = now;
    turn_at_.reset();
  }
  last_timer_at_ = now;
  if (operation_ != Operation::kNone) return;
  NoteMissingOwner();
  const bool turn = turn_at_ && now >= *turn_at_;
  if (now < next_read_at_ && !(turn && store_answers_)) return;
  StartRead();
}

void ShardOwnership::NoteMissingOwner() {
  if (!owner_missing()) {
    turn_at_.reset();
    return;
  }
  if (turn_at_ || !may_take_over_) return;
  turn_at_ = clock_.now() + TurnDelay();
}

bool ShardOwnership::owner_missing() const {
  if (owned_epoch_ != 0) return false;
  // A row that names this process under an epoch that it does not own needs a new owner too.
  if (!owner_ || owner_->epoch < highest_epoch_ || owner_refused_) return true;
  if (owner_->owner.entry_id == options_.self.entry_id && !IsSelf(owner_->owner)) return true;
  return clock_.now() - owner_heard_at_ > options_.owner_silence_limit;
}

Duration ShardOwnership::TurnDelay() {
  // Each shard has an order of its own, so that several shards spread over the entries.
  const auto weight = [this](const std::string& id) {
    return XXH64(id.data(), id.size(), options_.shard);
  };
  const std::uint64_t own = weight(options_.self.entry_id);
  const auto rank = static_cast<std::size_t>(std::count_if(
      candidates_.begin(), candidates_.end(), [&](const auto& id) { return weight(id) > own; }));
  // Entries that know different candidates may have the same rank; the random part separates them.
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
    Adopt(*row->row);
    if (IsSelf(row->row->owner) && row->row->epoch >= highest_epoch_) {
      Own(row->row->epoch, row->version);
    }
  }
  DecideWrite(*row);
}

void ShardOwnership::DecideWrite(const VersionedShardRow& read) {
  if (owned_epoch_ != 0) {
    const bool current = read.row && read.row->epoch == owned_epoch_;
    if (handover_target_ && current) StartWrite(read.version, *handover_target_);
    return;
  }
  if (!may_take_over_ || !owner_missing() || !turn_at_ || clock_.now() < *turn_at_) return;
  StartWrite(read.version, options_.self);
}

void ShardOwnership::StartWrite(std::uint64_t expected_version, EntryAddress owner) {
  operation_ = Operation::kWrite;
  written_ = {.epoch = highest_epoch_ + 1, .owner = std::move(owner)};
  written_version_ = expected_version;
  actions_.emplace_back(WriteShardRow{.expected_version = expected_version, .row = written_});
}

void ShardOwnership::OnWriteDone(CommitOutcome outcome) {
  if (operation_ != Operation::kWrite) return;
  operation_ = Operation::kNone;
  store_answers_ = outcome != CommitOutcome::kUnknown;
  // The row tells who won, or whether a write without an answer took effect, and it gives the
  // version on which the owner's further writes are conditional.
  next_read_at_ = clock_.now();
  if (outcome == CommitOutcome::kUnknown) {
    next_read_at_ += options_.retry_period;
    return;
  }
  if (outcome == CommitOutcome::kCommitted && handover_target_) Adopt(written_);
  StartRead();
}

void ShardOwnership::Adopt(const ShardRow& row) {
  if (row.epoch > highest_epoch_) {
    highest_epoch_ = row.epoch;
    if (owned_epoch_ != 0) GiveUp();
  }
  if (owner_ && row.epoch <= owner_->epoch) return;
  owner_ = row;
  owner_heard_at_ = clock_.now();
  owner_refused_ = false;
  turn_at_.reset();
  actions_.emplace_back(OwnerChanged{});
}

void ShardOwnership::Own(std::uint64_t epoch, std::uint64_t row_version) {
  if (owned_epoch_ == epoch) return;
  owned_epoch_ = epoch;
  turn_at_.reset();
  actions_.emplace_back(StartOwning{.epoch = epoch, .row_version = row_version});
}

void ShardOwnership::GiveUp() {
  handover_target_.reset();
  actions_.emplace_back(StopOwning{std::exchange(owned_epoch_, 0)});
}

bool ShardOwnership::IsSelf(const EntryAddress& entry) const {
  return entry.entry_id == options_.self.entry_id && entry.incarnation == options_.self.incarnation;
}

void ShardOwnership::OnEntryHeard(const EntryAddress& entry) {
  if (!owner_ || entry.entry_id != owner_->owner.entry_id) return;
  if (entry.incarnation != owner_->owner.incarnation) {
    // The owner was restarted and has lost its state.
    if (!IsSelf(owner_->owner)) owner_refused_ = true;
    return;
  }
  owner_heard_at_ = clock_.now();
  owner_refused_ = false;
}

void ShardOwnership::OnConnectionRefused(std::string_view rpc_address) {
  if (!owner_ || owned_epoch_ != 0 || owner_->owner.rpc_address != rpc_address) return;
  owner_refused_ = true;
}

void ShardOwnership::OnOwnerReported(const ShardRow& row) {
  if (row.epoch <= highest_epoch_ && owner_ && owner_->epoch >= row.epoch) return;
  Adopt(row);
  // A handover to this entry counts only as the table states it.
  if (IsSelf(row.owner)) next_read_at_ = clock_.now();
}

void ShardOwnership::OnEpochSeen(std::uint64_t epoch) {
  if (epoch <= highest_epoch_) return;
  highest_epoch_ = epoch;
  if (owned_epoch_ != 0) GiveUp();
  next_read_at_ = clock_.now();
}

void ShardOwnership::OnRowVersionOutdated() { next_read_at_ = clock_.now(); }

void ShardOwnership::SetCandidates(std::vector<std::string> entry_ids) {
  candidates_ = std::move(entry_ids);
}

void ShardOwnership::SetMayTakeOver(bool may_take_over) {
  may_take_over_ = may_take_over;
  if (!may_take_over_) turn_at_.reset();
}

void ShardOwnership::HandOver(const EntryAddress& target) {
  if (owned_epoch_ == 0 || handover_target_) return;
  handover_target_ = target;
  next_read_at_ = clock_.now();
}

std::vector<OwnershipAction> ShardOwnership::TakeActions() { return std::exchange(actions_, {}); }

}  // namespace zinniamux::core
