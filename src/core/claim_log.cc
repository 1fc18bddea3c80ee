// Group commit of claims, and deletion of old ones.
#include "core/claim_log.h"

#include <algorithm>
#include <utility>

namespace zinniamux::core {
namespace {

// A malformed row must be repaired by an operator, so frequent reads are of no use.
constexpr std::chrono::seconds kMalformedRowDelay{5};

std::string ShardRowKey(std::uint32_t shard) { return "shard/" + std::to_string(shard); }

}  // namespace

ClaimLog::ClaimLog(Options options, const Clock& clock)
    : options_(std::move(options)), clock_(clock) {}

void ClaimLog::StartEpoch(std::uint64_t epoch, std::uint64_t shard_row_version) {
  Reset();
  state_ = State::kLoading;
  epoch_ = epoch;
  shard_row_version_ = shard_row_version;
  loading_started_at_ = clock_.now();
  retry_at_ = clock_.now();
}

void ClaimLog::Resign() { Reset(); }

void ClaimLog::AddClaim(std::string submission_id, std::string request_key) {
  PendingClaim claim{.submission_id = std::move(submission_id),
                     .request_key = std::move(request_key),
                     .deadline = clock_.now() + options_.max_wait};
  const auto decision = DecisionFor(claim);
  if (decision) return Answer(claim.submission_id, *decision);
  const bool unavailable = state_ == State::kIdle || IsStoreUnresponsive() ||
                           pending_claims_.size() >= options_.max_pending_claims;
  if (unavailable) return Answer(claim.submission_id, ClaimDecision::kUnavailable);
  pending_claims_.push_back(std::move(claim));
}

void ClaimLog::OnRow(StoreCall call, const Result<std::optional<TableRow>>& row) {
  if (call != pending_call_ || !batch_) return;
  pending_call_ = 0;
  if (!row) return ScheduleRetry(options_.retry_delay);
  if (!row->has_value()) {
    // The shard row has changed, so no attempt can take effect any longer.
    if (batch_->conflicted) return ReportLostShard();
    // The attempt may still take effect. Retrying is safe, because one of the two will conflict.
    batch_->read_row_next = false;
    return ScheduleRetry(options_.retry_delay);
  }
  const auto stored = ParseClaimRow((*row)->value);
  if (!stored || stored->token != options_.token) return ReportLostShard();
  FinishBatch();
}

void ClaimLog::OnRows(StoreCall call, const Result<std::vector<TableRow>>& rows) {
  if (call != pending_call_ || state_ != State::kLoading) return;
  pending_call_ = 0;
  if (!rows) return ScheduleRetry(options_.retry_delay);
  for (const TableRow& row : *rows) {
    const auto parsed = ParseClaimRow(row.value);
    if (!parsed) {
      claims_.clear();
      rows_.clear();
      actions_.emplace_back(ReportClaimProblem{"row " + row.key + " is malformed"});
      return ScheduleRetry(kMalformedRowDelay);
    }
    AddStoredRow(row.key, *parsed);
  }
  state_ = State::kServing;
  AnswerDecidedClaims();
  StartNextTransaction();
}

void ClaimLog::OnCommit(StoreCall call, CommitOutcome outcome) {
  if (call != pending_call_) return;
  pending_call_ = 0;
  if (pending_deletes_ > 0) {
    if (outcome == CommitOutcome::kCommitted) return FinishDeletes();
    // The only condition of deletes is the shard row.
    if (outcome == CommitOutcome::kConflict) return ReportLostShard();
    pending_deletes_ = 0;
    return ScheduleRetry(options_.retry_delay);
  }
  if (outcome == CommitOutcome::kCommitted) return FinishBatch();
  batch_->conflicted = outcome == CommitOutcome::kConflict;
  batch_->read_row_next = true;
  SendBatchCall();
}

void ClaimLog::OnTimer(WallTime wall_now) {
  wall_now_ = wall_now;
  AnswerExpiredClaims();
  if (state_ == State::kIdle || pending_call_ != 0 || clock_.now() < retry_at_) return;
  if (state_ == State::kLoading) return RequestRows();
  if (batch_) return SendBatchCall();
  StartNextTransaction();
}

std::vector<ClaimAction> ClaimLog::TakeActions() { return std::exchange(actions_, {}); }

void ClaimLog::RequestRows() {
  actions_.emplace_back(
      ReadStoreRows{.call = BeginCall(), .prefix = ClaimRowPrefix(options_.shard)});
}

bool ClaimLog::IsStoreUnresponsive() const {
  const TimePoint limit = clock_.now() - options_.max_wait;
  if (state_ == State::kLoading) return loading_started_at_ < limit;
  return batch_ && batch_->started_at < limit;
}

void ClaimLog::StartNextTransaction() {
  // Deletes wait until no claim is pending or until they fill a transaction.
  if (StartDeletes(options_.max_deletes)) return;
  StartBatch();
  if (!batch_) StartDeletes(1);
}

bool ClaimLog::StartDeletes(std::size_t minimum) {
  TableTransaction transaction = OwnerTransaction();
  for (const StoredRow& row : rows_) {
    if (row.claimed_at + options_.retention > wall_now_) break;
    if (transaction.deletes.size() == options_.max_deletes) break;
    transaction.deletes.push_back(row.key);
  }
  if (transaction.deletes.size() < minimum) return false;
  pending_deletes_ = transaction.deletes.size();
  actions_.emplace_back(CommitToStore{.call = BeginCall(), .transaction = std::move(transaction)});
  return true;
}

void ClaimLog::StartBatch() {
  Batch batch;
  for (const PendingClaim& claim : pending_claims_) {
    if (batch.row.claims.size() == options_.max_batch) break;
    const auto [position, added] =
        claims_.try_emplace(claim.request_key, Holder{.submission_id = claim.submission_id});
    if (!added) continue;
    batch.row.claims.push_back({claim.request_key, claim.submission_id});
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
  SendBatchCall();
}

void ClaimLog::SendBatchCall() {
  if (batch_->read_row_next) {
    actions_.emplace_back(ReadStoreRow{.call = BeginCall(), .key = batch_->row_key});
    return;
  }
  actions_.emplace_back(CommitToStore{.call = BeginCall(), .transaction = batch_->transaction});
}

void ClaimLog::FinishBatch() {
  AddStoredRow(batch_->row_key, batch_->row);
  batch_.reset();
  AnswerDecidedClaims();
  StartNextTransaction();
}

void ClaimLog::FinishDeletes() {
  for (; pending_deletes_ > 0; --pending_deletes_) {
    for (const std::string& request_key : rows_.front().request_keys) claims_.erase(request_key);
    rows_.pop_front();
  }
  StartNextTransaction();
}

void ClaimLog::AddStoredRow(const std::string& row_key, const ClaimRow& row) {
  StoredRow stored{.key = row_key, .claimed_at = row.claimed_at};
  for (const ClaimRow::Claim& claim : row.claims) {
    // Rows arrive in key order: if two rows claim the same request key, the later one counts.
    claims_[claim.request_key] = {.submission_id = claim.submission_id, .committed = true};
    stored.request_keys.push_back(claim.request_key);
  }
  rows_.push_back(std::move(stored));
}

void ClaimLog::ScheduleRetry(Duration delay) { retry_at_ = clock_.now() + delay; }

void ClaimLog::AnswerDecidedClaims() {
  std::erase_if(pending_claims_, [this](const PendingClaim& claim) {
    const auto decision = DecisionFor(claim);
    if (decision) Answer(claim.submission_id, *decision);
    return decision.has_value();
  });
}

void ClaimLog::AnswerExpiredClaims() {
  while (!pending_claims_.empty() && pending_claims_.front().deadline <= clock_.now()) {
    Answer(pending_claims_.front().submission_id, ClaimDecision::kUnavailable);
    pending_claims_.pop_front();
  }
}

void ClaimLog::ReportLostShard() {
  Reset();
  actions_.emplace_back(ReportSuperseded{epoch_});
}

void ClaimLog::Reset() {
  for (const PendingClaim& claim : pending_claims_) {
    Answer(claim.submission_id, ClaimDecision::kUnavailable);
  }
  pending_claims_.clear();
  claims_.clear();
  rows_.clear();
  batch_.reset();
  pending_deletes_ = 0;
  pending_call_ = 0;
  state_ = State::kIdle;
}

void ClaimLog::Answer(const std::string& submission_id, ClaimDecision decision) {
  actions_.emplace_back(AnswerClaim{.submission_id = submission_id, .decision = decision});
}

std::optional<ClaimDecision> ClaimLog::DecisionFor(const PendingClaim& claim) const {
  if (state_ != State::kServing) return std::nullopt;
  const auto found = claims_.find(claim.request_key);
  if (found == claims_.end() || !found->second.committed) return std::nullopt;
  if (found->second.submission_id == claim.submission_id) return ClaimDecision::kGranted;
  return ClaimDecision::kDuplicate;
}

TableTransaction ClaimLog::OwnerTransaction() const {
  return {.conditions = {{ShardRowKey(options_.shard), shard_row_version_}}};
}

}  // namespace zinniamux::core
