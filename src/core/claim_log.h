// Durable claims of request keys by submission ids, written in groups.
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

// The shard row was written by someone else: this owner has lost the shard, and writes no more.
struct ReportSuperseded {
  std::uint64_t epoch = 0;
};

// A claim row cannot be read, so no claim is granted; `message` goes to the log.
struct ReportClaimProblem {
  std::string message;
};

using ClaimAction = std::variant<ReadStoreRow, ReadStoreRows, CommitToStore, AnswerClaim,
                                 ReportSuperseded, ReportClaimProblem>;

// Group commit of the claims of one shard. At most one transaction is in flight; each writes one
// row `claim/<shard>/<epoch>/<sequence>` on the condition that the shard row is unchanged and the
// claim row does not exist. Hence no owner writes after its successor took the shard, and a
// transaction that was not answered can be sent again without taking effect twice.
//
// A batch is sent until its outcome is certain, even if all its claims were answered kUnavailable
// in the meantime: until then its keys are neither free nor claimed.
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
    std::chrono::milliseconds keep = std::chrono::hours(24);
    // With ids of 128 bytes each, a row stays below 160 KiB.
    std::size_t max_batch = 500;
    std::size_t max_waiting = 10'000;
    std::size_t max_deletes = 100;
  };

  ClaimLog(Options options, const Clock& clock);

  // This process won the shard. `shard_row_version` is the table version of the row that it wrote.
  // The claims of earlier owners are loaded first; no claim is granted before.
  void StartEpoch(std::uint64_t epoch, std::uint64_t shard_row_version);
  // Gives up the shard. Waiting claims are answered kUnavailable.
  void Resign();

  // Answered exactly once by AnswerClaim.
  void AddClaim(std::string submission_id, std::string request_key);

  void OnRow(StoreCall call, const Result<std::optional<TableRow>>& row);
  void OnRows(StoreCall call, const Result<std::vector<TableRow>>& rows);
  void OnCommit(StoreCall call, CommitOutcome outcome);
  // Sends what waits, ends waits that are too long, deletes old claims. Called every few
  // milliseconds; the time between two calls is the time in which claims gather.
  void OnTimer(WallTime wall_now);

  // The actions since the last call, in order.
  std::vector<ClaimAction> TakeActions();

  bool loaded() const { return state_ == State::kServing; }
  std::size_t claims() const { return claims_.size(); }

 private:
  enum class State { kIdle, kLoading, kServing };

  struct Holder {
    std::string submission_id;
    // The claim is in the table for certain.
    bool written = false;
  };
  struct Waiter {
    std::string submission_id;
    std::string request_key;
    TimePoint give_up_at;
  };
  // A transaction whose outcome is not certain yet.
  struct Batch {
    ClaimRow row;
    std::string row_key;
    TableTransaction transaction;
    // Whether the next store call reads the row to learn the outcome, or sends the transaction.
    bool read_next = false;
    // A conflict was answered: the row exists, or the shard row has changed for good.
    bool conflicted = false;
    TimePoint started_at;
  };
  struct StoredRow {
    std::string key;
    WallTime claimed_at;
    std::vector<std::string> request_keys;
  };

  void Load();
  bool StoreIsSilent() const;
  void StartNext();
  bool StartDeletes(std::size_t minimum);
  void StartBatch();
  void StepBatch();
  void FinishBatch();
  void FinishDeletes();
  void Insert(const std::string& row_key, const ClaimRow& row);
  void RetryAfter(Duration delay);
  void AnswerDecided();
  void AnswerExpired();
  void Supersede();
  void Stop();
  void Answer(const std::string& submission_id, ClaimDecision decision);
  std::optional<ClaimDecision> DecisionFor(const Waiter& waiter) const;
  TableTransaction OwnerTransaction() const;
  StoreCall NextCall() { return call_ = ++last_call_; }

  const Options options_;
  const Clock& clock_;
  State state_ = State::kIdle;
  std::uint64_t epoch_ = 0;
  std::uint64_t shard_row_version_ = 0;
  // Never set back, not by a new epoch either: a row key that is used twice could be taken for a
  // write that took effect.
  std::uint64_t last_sequence_ = 0;
  // By request key. Invariant: an entry is removed only after its row was deleted for certain.
  std::unordered_map<std::string, Holder> claims_;
  // In order of their keys, hence oldest first.
  std::deque<StoredRow> rows_;
  // In order of arrival, hence of give_up_at.
  std::deque<Waiter> waiting_;
  std::optional<Batch> batch_;
  // Rows at the front of rows_ whose deletion was sent.
  std::size_t deleting_ = 0;
  // The outstanding store call, or 0.
  StoreCall call_ = 0;
  StoreCall last_call_ = 0;
  TimePoint retry_at_;
  TimePoint loading_since_;
  // As of the last OnTimer.
  WallTime wall_now_;
  std::vector<ClaimAction> actions_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_CLAIM_LOG_H_
