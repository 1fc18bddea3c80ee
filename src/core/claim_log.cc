// Group commit of claims.
#include "core/claim_log.h"

#include <algorithm>
#include <utility>

namespace zinniamux::core {
namespace {

// A malformed row needs a person; there is no use in reading it again quickly.
constexpr std::chrono::seconds kMalformedRowDelay{5};

std::string ShardRowKey(std::uint32_t shard) { return "shard/" + std::to_string(shard); }

}  // namespace

ClaimLog::ClaimLog(Options options, const Clock& clock)
    : options_(std::move(options)), clock_(clock) {}

void ClaimLog::StartEpoch(std::uint64_t epoch, std::uint64_t shard_row_version) {
  Stop();
  state_ = State::kLoading;
  epoch_ = epoch;
  shard_row_version_ = shard_row_version;
  loading_since_ = clock_.now();
  retry_at_ = clock_.now();
}

void ClaimLog::Resign() { Stop(); }

void ClaimLog::AddClaim(std::string submission_id, std::string request_key) {
  Waiter waiter{.submission_id = std::move(submission_id),
                .request_key = std::move(request_key),
                .give_up_at = clock_.now() + options_.max_wait};
  const auto decision = DecisionFor(waiter);
  if (decision) return Answer(waiter.submission_id, *decision);
  const bool refused =
      state_ == State::kIdle || StoreIsSilent() || waiting_.size() >= options_.max_waiting;
  if (refused) return Answer(waiter.submission_id, ClaimDecision::kUnavailable);
  waiting_.push_back(std::move(waiter));
}

void ClaimLog::OnRow(StoreCall call, const Result<std::optional<TableRow>>& row) {
  if (call != call_ || !batch_) return;
  call_ = 0;
  if (!row) return RetryAfter(options_.retry_delay);
  if (!row->has_value()) {
    // The shard row has changed, so no attempt can take effect any more.
    if (batch_->conflicted) return Supersede();
    // The attempt may still take effect. Sending it again is safe: one of the two will conflict.
    batch_->read_next = false;
    return RetryAfter(options_.retry_delay);
  }
  const auto stored = ParseClaimRow((*row)->value);
  if (!stored || stored->token != options_.token) return Supersede();
  FinishBatch();
}

void ClaimLog::OnRows(StoreCall call, const Result<std::vector<TableRow>>& rows) {
  if (call != call_ || state_ != State::kLoading) return;
  call_ = 0;
  if (!rows) return RetryAfter(options_.retry_delay);
  for (const TableRow& row : *rows) {
    const auto parsed = ParseClaimRow(row.value);
    if (!parsed) {
      claims_.clear();
      rows_.clear();
      actions_.emplace_back(ReportClaimProblem{"row " + row.key + " is malformed"});
      return RetryAfter(kMalformedRowDelay);
    }
    Insert(row.key, *parsed);
  }
  state_ = State::kServing;
  AnswerDecided();
  StartNext();
}

void ClaimLog::OnCommit(StoreCall call, CommitOutcome outcome) {
  if (call != call_) return;
  call_ = 0;
  if (deleting_ > 0) {
    if (outcome == CommitOutcome::kCommitted) return FinishDeletes();
    // Deletes have no other condition than the shard row.
    if (outcome == CommitOutcome::kConflict) return Supersede();
    deleting_ = 0;
    return RetryAfter(options_.retry_delay);
  }
  if (outcome == CommitOutcome::kCommitted) return FinishBatch();
  batch_->conflicted = outcome == CommitOutcome::kConflict;
  batch_->read_next = true;
  StepBatch();
}

void ClaimLog::OnTimer(WallTime wall_now) {
  wall_now_ = wall_now;
  AnswerExpired();
  if (state_ == State::kIdle || call_ != 0 || clock_.now() < retry_at_) return;
  if (state_ == State::kLoading) return Load();
  if (batch_) return StepBatch();
  StartNext();
}

std::vector<ClaimAction> ClaimLog::TakeActions() { return std::exchange(actions_, {}); }

void ClaimLog::Load() {
  actions_.emplace_back(
      ReadStoreRows{.call = NextCall(), .prefix = ClaimRowPrefix(options_.shard)});
}

bool ClaimLog::StoreIsSilent() const {
  const TimePoint limit = clock_.now() - options_.max_wait;
  if (state_ == State::kLoading) return loading_since_ < limit;
  return batch_ && batch_->started_at < limit;
}

void ClaimLog::StartNext() {
  // Deletes wait until nothing else does or there are enough of them for one transaction.
  if (StartDeletes(options_.max_deletes)) return;
  StartBatch();
  if (!batch_) StartDeletes(1);
}

bool ClaimLog::StartDeletes(std::size_t minimum) {
  TableTransaction transaction = OwnerTransaction();
  for (const StoredRow& row : rows_) {
    if (row.claimed_at + options_.keep > wall_now_) break;
    if (transaction.deletes.size() == options_.max_deletes) break;
    transaction.deletes.push_back(row.key);
  }
  if (transaction.deletes.size() < minimum) return false;
  deleting_ = transaction.deletes.size();
  actions_.emplace_back(CommitToStore{.call = NextCall(), .transaction = std::move(transaction)});
  return true;
}

void ClaimLog::StartBatch() {
  Batch batch;
  for (const Waiter& waiter : waiting_) {
    if (batch.row.claims.size() == options_.max_batch) break;
    const auto [position, added] =
        claims_.try_emplace(waiter.request_key, Holder{.submission_id = waiter.submission_id});
    if (!added) continue;
    batch.row.claims.push_back({waiter.request_key, waiter.submission_id});
  }
  if (batch.row.claims.empty()) return;
  batch.row.token = options_.token;
  batch.row.claimed_at = wall_now_;
  batch.row_key = ClaimRowKey(options_.shard, epoch_, ++last_sequence_);
  batch.transaction = OwnerTransaction();
  batch.transaction.conditions.push_back({batch.row_key, 0});
  batch.transaction.puts.push_back({batch.row_key, FormatClaimRow(batch.row)});
  batch.started_at = clock_.now();
  batch_ = std::move(batch);
  StepBatch();
}

void ClaimLog::StepBatch() {
  if (batch_->read_next) {
    actions_.emplace_back(ReadStoreRow{.call = NextCall(), .key = batch_->row_key});
    return;
  }
  actions_.emplace_back(CommitToStore{.call = NextCall(), .transaction = batch_->transaction});
}

void ClaimLog::FinishBatch() {
  Insert(batch_->row_key, batch_->row);
  batch_.reset();
  AnswerDecided();
  StartNext();
}

void ClaimLog::FinishDeletes() {
  for (; deleting_ > 0; --deleting_) {
    for (const std::string& request_key : rows_.front().request_keys) claims_.erase(request_key);
    rows_.pop_front();
  }
  StartNext();
}

void ClaimLog::Insert(const std::string& row_key, const ClaimRow& row) {
  StoredRow stored{.key = row_key, .claimed_at = row.claimed_at};
  for (const ClaimRow::Claim& claim : row.claims) {
    // Rows come in the order of their keys: of two that hold one key, the later one counts.
    claims_[claim.request_key] = {.submission_id = claim.submission_id, .written = true};
    stored.request_keys.push_back(claim.request_key);
  }
  rows_.push_back(std::move(stored));
}

void ClaimLog::RetryAfter(Duration delay) { retry_at_ = clock_.now() + delay; }

void ClaimLog::AnswerDecided() {
  std::erase_if(waiting_, [this](const Waiter& waiter) {
    const auto decision = DecisionFor(waiter);
    if (decision) Answer(waiter.submission_id, *decision);
    return decision.has_value();
  });
}

void ClaimLog::AnswerExpired() {
  while (!waiting_.empty() && waiting_.front().give_up_at <= clock_.now()) {
    Answer(waiting_.front().submission_id, ClaimDecision::kUnavailable);
    waiting_.pop_front();
  }
}

void ClaimLog::Supersede() {
  Stop();
  actions_.emplace_back(ReportSuperseded{epoch_});
}

void ClaimLog::Stop() {
  for (const Waiter& waiter : waiting_) {
    Answer(waiter.submission_id, ClaimDecision::kUnavailable);
  }
  waiting_.clear();
  claims_.clear();
  rows_.clear();
  batch_.reset();
  deleting_ = 0;
  call_ = 0;
  state_ = State::kIdle;
}

void ClaimLog::Answer(const std::string& submission_id, ClaimDecision decision) {
  actions_.emplace_back(AnswerClaim{.submission_id = submission_id, .decision = decision});
}

std::optional<ClaimDecision> ClaimLog::DecisionFor(const Waiter& waiter) const {
  if (state_ != State::kServing) return std::nullopt;
  const auto found = claims_.find(waiter.request_key);
  if (found == claims_.end() || !found->second.written) return std::nullopt;
  if (found->second.submission_id == waiter.submission_id) return ClaimDecision::kGranted;
  return ClaimDecision::kDuplicate;
}

TableTransaction ClaimLog::OwnerTransaction() const {
  return {.conditions = {{ShardRowKey(options_.shard), shard_row_version_}}};
}

}  // namespace zinniamux::core
