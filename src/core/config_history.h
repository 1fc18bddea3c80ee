// Versions of the configuration: publishing, polling and adoption.
#ifndef ZINNIAMUX_CORE_CONFIG_HISTORY_H_
#define ZINNIAMUX_CORE_CONFIG_HISTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/clock.h"
#include "core/config_record.h"
#include "core/store_action.h"

namespace zinniamux::core {

// A version of the configuration. `body` is the published text.
struct ConfigVersion {
  std::uint64_t version = 0;
  std::string body;
};

// The source from which this process knows the version in force.
enum class ConfigKnowledge {
  kNone,
  // From peers only. Enough to forward jobs, but not to own a shard, because the table may hold a
  // higher version.
  kFromPeers,
  // The table was read since the process started, and held no higher version.
  kFromTable,
};

// Identifies a publish or rollback to its caller.
using PublishId = std::uint64_t;

struct PublishRequest {
  PublishId id = 0;
  // The version that the publisher saw in force; 0 for the first publish.
  std::uint64_t base_version = 0;
  std::string token;
  std::string author;
  WallTime published_at;
  std::string body;
};

// Publishes the body of an old version as a new version.
struct RollbackRequest {
  PublishId id = 0;
  std::uint64_t base_version = 0;
  std::uint64_t target_version = 0;
  std::string token;
  std::string author;
  WallTime published_at;
};

// `result` is the new version, or an error: kVersionConflict, kNotFound (no such target version),
// or kStoreUnavailable, after which the version may still come into force; publishing again with
// the same token and base version returns the outcome.
struct AnswerPublish {
  PublishId id = 0;
  Result<std::uint64_t> result;
};

// The version is in force in this process. Versions come in increasing order.
struct PutInForce {
  ConfigVersion config;
};

// A row or object of the configuration is malformed or missing; `message` goes to the log.
struct ReportConfigProblem {
  std::string message;
};

using ConfigAction = std::variant<ReadStoreRow, CommitToStore, ReadStoreObject, WriteStoreObject,
                                  AnswerPublish, PutInForce, ReportConfigProblem>;

// Decides which version is in force in this process, and writes published versions to the table.
//
// A publish on base version B writes the row of version B + 1 in one transaction with
// `config/current`, on the condition that the former does not exist and the latter is unchanged.
// Hence the row of version B + 1 permanently identifies the publish that won, and an attempt
// without an answer can be retried without taking effect twice.
//
// Not thread-safe.
class ConfigHistory {
 public:
  struct Options {
    Duration poll_period = std::chrono::seconds(2);
    // A publish without a certain outcome after this time is answered kStoreUnavailable.
    Duration publish_time_limit = std::chrono::seconds(8);
    // Wait before a failed store call of a publish is made again.
    Duration retry_delay = std::chrono::milliseconds(200);
    // Number of versions in the table; each publish deletes the version that exceeds it.
    std::uint64_t history_limit = 500;
  };

  ConfigHistory(const Options& options, const Clock& clock);

  void Publish(PublishRequest request);
  void Rollback(RollbackRequest request);

  // A peer reported its version in force. If it is higher, the table is polled at the next OnTimer.
  void OnPeerVersion(std::uint64_t version);
  // A peer sent its version in force, which originates from the table.
  void OnPeerConfig(ConfigVersion config);

  void OnRow(StoreCall call, const Result<std::optional<TableRow>>& row);
  void OnCommit(StoreCall call, CommitOutcome outcome);
  void OnObject(StoreCall call, Result<std::string> body);
  void OnObjectWritten(StoreCall call, const Result<void>& done);
  // Polls and retries. Called at least every few hundred milliseconds.
  void OnTimer();

  // The actions since the last call, in order.
  std::vector<ConfigAction> TakeActions();

  ConfigKnowledge knowledge() const { return knowledge_; }
  // Version 0 while none is known.
  const ConfigVersion& in_force() const { return in_force_; }

 private:
  enum class Stage { kWriteBody, kReadTarget, kReadCurrent, kCommit, kReadOwnVersion };

  // A publish that has not been answered.
  struct Publication {
    PublishId id = 0;
    std::uint64_t base_version = 0;
    // 0 unless this is a rollback.
    std::uint64_t target_version = 0;
    ConfigRecord record;
    // Empty for a rollback.
    std::string body;
    Stage stage = Stage::kWriteBody;
    TimePoint deadline;
    // The outstanding store call, or 0 while the publication waits for retry_at.
    StoreCall call = 0;
    TimePoint retry_at;
    // Table version of the row `config/current` at the last read.
    std::uint64_t current_row_version = 0;
    // `config/current` was read and holds another version than base_version.
    bool base_is_not_current = false;
  };

  void StartPublication(Publication publication);
  void EnterStage(Publication& publication, Stage stage);
  void ScheduleRetry(Publication& publication);
  void CommitPublication(Publication& publication);
  void OnCurrentRead(Publication& publication, const std::optional<TableRow>& row);
  void OnOwnVersionRead(Publication& publication, const std::optional<TableRow>& row);
  void OnTargetRead(Publication& publication, const std::optional<TableRow>& row);
  void CompletePublication(Publication& publication);
  void FailPublication(Publication& publication, ErrorKind kind, std::string message);
  void AnswerPublication(Publication& publication, Result<std::uint64_t> result);
  Publication* FindPublication(StoreCall call);

  void PollCurrentVersion();
  void OnPollRead(const Result<std::optional<TableRow>>& row);
  void AdoptVersion(ConfigVersion config);
  StoreCall NextCall() { return ++last_call_number_; }

  const Options options_;
  const Clock& clock_;
  // Invariant: its version never decreases.
  ConfigVersion in_force_;
  ConfigKnowledge knowledge_ = ConfigKnowledge::kNone;
  std::map<PublishId, Publication> publications_;
  StoreCall last_call_number_ = 0;
  TimePoint next_poll_at_;
  StoreCall pending_poll_call_ = 0;
  // The outstanding read of a body, or 0, and the version of that body.
  StoreCall pending_body_call_ = 0;
  std::uint64_t pending_body_version_ = 0;
  std::vector<ConfigAction> actions_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_CONFIG_HISTORY_H_
