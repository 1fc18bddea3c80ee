// Publishing, polling and adoption of configuration versions.
#include "core/config_history.h"

#include <utility>

namespace zinniamux::core {
namespace {

Error StoreUnavailable() {
  return {ErrorKind::kStoreUnavailable,
          "the outcome of the publish is not known; publish again with the same token and base "
          "version",
          {}};
}

std::string BaseConflictMessage(std::uint64_t base_version) {
  return "version " + std::to_string(base_version) +
         " is not the one in force; merge the changes made since and publish again";
}

}  // namespace

ConfigHistory::ConfigHistory(const Options& options, const Clock& clock)
    : options_(options), clock_(clock), next_poll_at_(clock.now()) {}

void ConfigHistory::Publish(PublishRequest request) {
  Publication publication{.id = request.id, .base_version = request.base_version};
  publication.record = {.version = request.base_version + 1,
                        .token = std::move(request.token),
                        .author = std::move(request.author),
                        .published_at = request.published_at,
                        .object_key = ConfigObjectKey(request.body)};
  publication.body = std::move(request.body);
  publication.stage = Stage::kWriteBody;
  StartPublication(std::move(publication));
}

void ConfigHistory::Rollback(RollbackRequest request) {
  Publication publication{.id = request.id,
                          .base_version = request.base_version,
                          .target_version = request.target_version};
  publication.record = {.version = request.base_version + 1,
                        .token = std::move(request.token),
                        .author = std::move(request.author),
                        .published_at = request.published_at};
  publication.stage = Stage::kReadTarget;
  StartPublication(std::move(publication));
}

void ConfigHistory::OnPeerVersion(std::uint64_t version) {
  if (version > in_force_.version) next_poll_at_ = std::min(next_poll_at_, clock_.now());
}

void ConfigHistory::OnPeerConfig(ConfigVersion config) {
  if (config.version <= in_force_.version) return;
  if (knowledge_ == ConfigKnowledge::kNone) knowledge_ = ConfigKnowledge::kFromPeers;
  AdoptVersion(std::move(config));
}

void ConfigHistory::OnRow(StoreCall call, const Result<std::optional<TableRow>>& row) {
  if (call == pending_poll_call_) return OnPollRead(row);
  Publication* const publication = FindPublication(call);
  if (publication == nullptr) return;
  if (!row) return ScheduleRetry(*publication);
  switch (publication->stage) {
    case Stage::kReadTarget:
      return OnTargetRead(*publication, *row);
    case Stage::kReadCurrent:
      return OnCurrentRead(*publication, *row);
    case Stage::kReadOwnVersion:
      return OnOwnVersionRead(*publication, *row);
    case Stage::kWriteBody:
    case Stage::kCommit:
      return;
  }
}

void ConfigHistory::OnCommit(StoreCall call, CommitOutcome outcome) {
  Publication* const publication = FindPublication(call);
  if (publication == nullptr) return;
  if (outcome == CommitOutcome::kCommitted) return CompletePublication(*publication);
  // Even after a conflict the row may be this publication's: an earlier attempt whose answer was
  // lost may have taken effect.
  EnterStage(*publication, Stage::kReadOwnVersion);
}

void ConfigHistory::OnObject(StoreCall call, Result<std::string> body) {
  if (call != pending_body_call_) return;
  pending_body_call_ = 0;
  if (body) {
    knowledge_ = ConfigKnowledge::kFromTable;
    return AdoptVersion({.version = pending_body_version_, .body = std::move(*body)});
  }
  // The next poll reads the body again.
  if (body.error().kind != ErrorKind::kNotFound) return;
  actions_.emplace_back(ReportConfigProblem{"the body of configuration version " +
                                            std::to_string(pending_body_version_) +
                                            " does not exist"});
}

void ConfigHistory::OnObjectWritten(StoreCall call, const Result<void>& done) {
  Publication* const publication = FindPublication(call);
  if (publication == nullptr) return;
  if (!done) return ScheduleRetry(*publication);
  EnterStage(*publication, Stage::kReadCurrent);
}

void ConfigHistory::OnTimer() {
  const TimePoint now = clock_.now();
  if (now >= next_poll_at_ && pending_poll_call_ == 0) PollCurrentVersion();
  for (auto next = publications_.begin(); next != publications_.end();) {
    // Answering removes the publication.
    Publication& publication = (next++)->second;
    if (now >= publication.deadline) {
      AnswerPublication(publication, tl::unexpected(StoreUnavailable()));
      continue;
    }
    if (publication.call == 0 && now >= publication.retry_at) {
      EnterStage(publication, publication.stage);
    }
  }
}

std::vector<ConfigAction> ConfigHistory::TakeActions() { return std::exchange(actions_, {}); }

void ConfigHistory::StartPublication(Publication publication) {
  publication.deadline = clock_.now() + options_.publish_time_limit;
  const auto [position, inserted] =
      publications_.insert_or_assign(publication.id, std::move(publication));
  EnterStage(position->second, position->second.stage);
}

void ConfigHistory::EnterStage(Publication& publication, Stage stage) {
  publication.stage = stage;
  publication.call = NextCall();
  switch (stage) {
    case Stage::kWriteBody:
      actions_.emplace_back(WriteStoreObject{.call = publication.call,
                                             .key = publication.record.object_key,
                                             .body = publication.body});
      return;
    case Stage::kReadTarget:
      actions_.emplace_back(ReadStoreRow{.call = publication.call,
                                         .key = ConfigVersionKey(publication.target_version)});
      return;
    case Stage::kReadCurrent:
      actions_.emplace_back(
          ReadStoreRow{.call = publication.call, .key = std::string(kCurrentConfigKey)});
      return;
    case Stage::kCommit:
      return CommitPublication(publication);
    case Stage::kReadOwnVersion:
      actions_.emplace_back(ReadStoreRow{.call = publication.call,
                                         .key = ConfigVersionKey(publication.record.version)});
      return;
  }
}

void ConfigHistory::ScheduleRetry(Publication& publication) {
  publication.call = 0;
  publication.retry_at = clock_.now() + options_.retry_delay;
}

void ConfigHistory::CommitPublication(Publication& publication) {
  const std::string current_key(kCurrentConfigKey);
  const std::string version_key = ConfigVersionKey(publication.record.version);
  const std::string value = FormatConfigRecord(publication.record);
  TableTransaction transaction;
  transaction.conditions = {{current_key, publication.current_row_version}, {version_key, 0}};
  transaction.puts = {{current_key, value}, {version_key, value}};
  if (publication.record.version > options_.history_limit) {
    transaction.deletes = {ConfigVersionKey(publication.record.version - options_.history_limit)};
  }
  actions_.emplace_back(
      CommitToStore{.call = publication.call, .transaction = std::move(transaction)});
}

void ConfigHistory::OnTargetRead(Publication& publication, const std::optional<TableRow>& row) {
  const auto record = row ? ParseConfigRecord(row->value) : std::nullopt;
  if (!record) {
    return FailPublication(
        publication, ErrorKind::kNotFound,
        "version " + std::to_string(publication.target_version) + " is not in the history");
  }
  publication.record.object_key = record->object_key;
  EnterStage(publication, Stage::kReadCurrent);
}

void ConfigHistory::OnCurrentRead(Publication& publication, const std::optional<TableRow>& row) {
  std::uint64_t current_version = 0;
  if (row) {
    const auto record = ParseConfigRecord(row->value);
    if (!record) {
      return FailPublication(publication, ErrorKind::kInternal, "config/current is malformed");
    }
    current_version = record->version;
  }
  publication.current_row_version = row ? row->version : 0;
  publication.base_is_not_current = current_version != publication.base_version;
  EnterStage(publication,
             publication.base_is_not_current ? Stage::kReadOwnVersion : Stage::kCommit);
}

void ConfigHistory::OnOwnVersionRead(Publication& publication, const std::optional<TableRow>& row) {
  const auto record = row ? ParseConfigRecord(row->value) : std::nullopt;
  // Reusing a token with another body is not a retry.
  const bool is_own = record && record->token == publication.record.token &&
                      record->object_key == publication.record.object_key;
  if (is_own) return CompletePublication(publication);
  if (record || publication.base_is_not_current) {
    return FailPublication(publication, ErrorKind::kVersionConflict,
                           BaseConflictMessage(publication.base_version));
  }
  // No publish on the base version has taken effect yet.
  publication.stage = Stage::kReadCurrent;
  ScheduleRetry(publication);
}

void ConfigHistory::CompletePublication(Publication& publication) {
  const std::uint64_t version = publication.record.version;
  if (publication.target_version == 0 && !publication.base_is_not_current) {
    AdoptVersion({.version = version, .body = std::move(publication.body)});
  }
  next_poll_at_ = clock_.now();
  AnswerPublication(publication, version);
}

void ConfigHistory::FailPublication(Publication& publication, ErrorKind kind, std::string message) {
  AnswerPublication(publication, tl::unexpected(Error{kind, std::move(message), {}}));
}

void ConfigHistory::AnswerPublication(Publication& publication, Result<std::uint64_t> result) {
  const PublishId id = publication.id;
  actions_.emplace_back(AnswerPublish{.id = id, .result = std::move(result)});
  publications_.erase(id);
}

ConfigHistory::Publication* ConfigHistory::FindPublication(StoreCall call) {
  for (auto& [id, publication] : publications_) {
    if (publication.call == call) return &publication;
  }
  return nullptr;
}

void ConfigHistory::PollCurrentVersion() {
  next_poll_at_ = clock_.now() + options_.poll_period;
  pending_poll_call_ = NextCall();
  actions_.emplace_back(
      ReadStoreRow{.call = pending_poll_call_, .key = std::string(kCurrentConfigKey)});
}

void ConfigHistory::OnPollRead(const Result<std::optional<TableRow>>& row) {
  pending_poll_call_ = 0;
  if (!row || !row->has_value()) return;
  const auto record = ParseConfigRecord((*row)->value);
  if (!record) {
    actions_.emplace_back(ReportConfigProblem{"config/current is malformed"});
    return;
  }
  if (record->version <= in_force_.version) {
    // The version in force here is at least the version that the table held when it was read.
    knowledge_ = ConfigKnowledge::kFromTable;
    return;
  }
  // A read in progress is not replaced: with a slow store, replacing it each time would keep any
  // read from completing.
  if (pending_body_call_ != 0) return;
  pending_body_call_ = NextCall();
  pending_body_version_ = record->version;
  actions_.emplace_back(ReadStoreObject{.call = pending_body_call_, .key = record->object_key});
}

void ConfigHistory::AdoptVersion(ConfigVersion config) {
  if (config.version <= in_force_.version) return;
  in_force_ = std::move(config);
  actions_.emplace_back(PutInForce{in_force_});
}

}  // namespace zinniamux::core
