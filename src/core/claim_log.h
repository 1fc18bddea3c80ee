// Durable claims of request keys by submission ids, committed in groups.
#ifndef ZINNIAMUX_CORE_CLAIM_LOG_H_
#define ZINNIAMUX_CORE_CLAIM_LOG_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "core/claim_decision.h"
#include "core/claim_row.h"
#include "core/clock.h"
#include "core/store_action.h"

namespace zinniamux::core {

struct AnswerClaim {
  std::string submission_id;
  ClaimDecision decision = ClaimDecision::kUnavailable;
};

// Another process has written the shard row: this owner has lost the shard and stops writing.
struct ReportSuperseded {
  std::uint64_t epoch = 0;
};

// A claim row is malformed, so no claim is granted; `message` goes to the log.
struct ReportClaimProblem {
  std::string message;
};

using ClaimAction = std::variant<ReadStoreRow, ReadStoreRows, CommitToStore, AnswerClaim,
                                 ReportSuperseded, ReportClaimProblem>;

// Group commit of the claims of one shard. At most one transaction is in flight; each writes one
// row `claim/<shard>/<epoch>/<sequence>` on the condition that the shard row is unchanged and the
// claim row does not exist. Hence no owner writes after its successor took the shard, and a
// transaction without an answer can be retried without taking effect twice.
//
// A batch is retried until its outcome is certain, even if all its claims were answered
// kUnavailable in the meantime: until then its keys are neither free nor claimed.
//
// Not thread-safe.
class ClaimLog {
 public:
  struct Options {
    std::uint32_t shard = 0;
    // Distinguishes this process's rows from those of every other owner: the incarnation.
    std::string token;
    // A claim that is not decided after this time is answered kUnavailable.
    Duration max_wait = std::chrono::seconds(1);
    // Wait before a failed store call is made again.
    Duration retry_delay = std::chrono::milliseconds(100);
    // Claims are deleted at this age.
    std::chrono::milliseconds retention = std::chrono::hours(24);
    // With ids of 128 bytes each, a row stays below 160 KiB.
    std::size_t max_batch = 500;
    std::size_t max_pending_claims = 10'000;
    std::size_t max_deletes = 100;
  };

  ClaimLog(Options options, const Clock& clock);

  // This process now owns the shard. `shard_row_version` is the table version of the row that it
  // wrote. No claim is granted until the claims of earlier owners are loaded.
  void StartEpoch(std::uint64_t epoch, std::uint64_t shard_row_version);
  // Gives up the shard. Waiting claims are answered kUnavailable.
  void Resign();

  // Answered exactly once by AnswerClaim.
  void AddClaim(std::string submission_id, std::string request_key);

  void OnRow(StoreCall call, const Result<std::optional<TableRow>>& row);
  void OnRows(StoreCall call, const Result<std::vector<TableRow>>& rows);
  void OnCommit(StoreCall call, CommitOutcome outcome);
  // Commits pending claims, answers those past max_wait, and deletes old rows. Called every few
  // milliseconds; claims that arrive between two calls are committed together.
  void OnTimer(WallTime wall_now);

  // The actions since the last call, in order.
  std::vector<ClaimAction> TakeActions();

  bool loaded() const { return state_ == State::kServing; }
  std::size_t claims() const { return claims_.size(); }

 private:
  enum class State { kIdle, kLoading, kServing };

  // The submission that holds a request key.
  struct Holder {
    std::string submission_id;
    // The claim is known to be in the table.
    bool committed = false;
  };
  struct PendingClaim {
    std::string submission_id;
    std::string request_key;
    TimePoint deadline;
  };
  // The transaction in flight, until its outcome is certain.
  struct Batch {
    ClaimRow row;
    std::string row_key;
    TableTransaction transaction;
    // If true, the next store call reads the row to learn the outcome; otherwise it sends the
    // transaction.
    bool read_row_next = false;
    // The store reported a conflict: the claim row exists, or the shard row has changed
    // permanently.
    bool conflicted = false;
    TimePoint started_at;
  };
  struct StoredRow {
    std::string key;
    WallTime claimed_at;
    std::vector<std::string> request_keys;
  };

  void RequestRows();
  bool IsStoreUnresponsive() const;
  void StartNextTransaction();
  bool StartDeletes(std::size_t minimum);
  void StartBatch();
  void SendBatchCall();
  void FinishBatch();
  void FinishDeletes();
  void AddStoredRow(const std::string& row_key, const ClaimRow& row);
  void ScheduleRetry(Duration delay);
  void AnswerDecidedClaims();
  void AnswerExpiredClaims();
  void ReportLostShard();
  // Answers the pending claims with kUnavailable and returns to kIdle.
  void Reset();
  void Answer(const std::string& submission_id, ClaimDecision decision);
  std::optional<ClaimDecision> DecisionFor(const PendingClaim& claim) const;
  TableTransaction OwnerTransaction() const;
  StoreCall BeginCall() { return pending_call_ = ++last_call_number_; }

  const Options options_;
  const Clock& clock_;
  State state_ = State::kIdle;
  std::uint64_t epoch_ = 0;
  std::uint64_t shard_row_version_ = 0;
  // Never reset, not even by a new epoch: if a row key were reused, the earlier row could be
  // mistaken for the new write.
  std::uint64_t last_sequence_ = 0;
  // By request key. Invariant: an entry is removed only after its row was deleted for certain.
  std::unordered_map<std::string, Holder> claims_;
  // In key order, hence oldest first.
  std::deque<StoredRow> rows_;
  // In order of arrival, hence of deadline.
  std::deque<PendingClaim> pending_claims_;
  std::optional<Batch> batch_;
  // Number of rows at the front of rows_ whose deletion is in flight.
  std::size_t pending_deletes_ = 0;
  // The outstanding store call, or 0.
  StoreCall pending_call_ = 0;
  StoreCall last_call_number_ = 0;
  TimePoint retry_at_;
  TimePoint loading_started_at_;
  // As of the last OnTimer.
  WallTime wall_now_;
  std::vector<ClaimAction> actions_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_CLAIM_LOG_H_
