// Reads and writes the shard row; starts and stops the owned shard.
#include "zinniamuxd/shard_host.h"

#include <utility>
#include <variant>

#include "adapters/row_codec.h"

namespace zinniamux::daemon {

using core::ShardOwnership;

ShardHost::ShardHost(ShardOwnership::Options options, core::TableStore& store,
                     const core::Clock& clock, Hooks hooks)
    : shard_(options.shard),
      self_(options.self),
      store_(store),
      clock_(clock),
      hooks_(std::move(hooks)),
      runner_(ShardOwnership(std::move(options), clock),
              [this](const core::OwnershipAction& action) { CarryOut(action); }) {}

void ShardHost::OnTimer() {
  Apply([](ShardOwnership& ownership) { ownership.OnTimer(); });
  if (const auto shard = owned_shard()) shard->OnTimer();
}

void ShardHost::Apply(const std::function<void(ShardOwnership&)>& event) { runner_.Apply(event); }

void ShardHost::OnOwnedShardRunning() { hooks_.on_route_changed(); }

void ShardHost::CarryOut(const core::OwnershipAction& action) {
  if (std::holds_alternative<core::ReadShardRow>(action)) {
    ReadRow();
  } else if (const auto* write = std::get_if<core::WriteShardRow>(&action)) {
    WriteRow(*write);
  } else if (const auto* start = std::get_if<core::StartOwning>(&action)) {
    StartOwning(*start);
  } else if (std::holds_alternative<core::StopOwning>(action)) {
    StopOwning();
  } else {
    hooks_.on_route_changed();
  }
}

void ShardHost::ReadRow() {
  store_.ReadRow(adapters::ShardRowKey(shard_),
                 [weak = weak_from_this(), started_at = clock_.now()](
                     const core::Result<std::optional<core::TableRow>>& read) {
                   const auto self = weak.lock();
                   if (self == nullptr) return;
                   core::Result<core::VersionedShardRow> row;
                   if (!read) {
                     row = tl::unexpected(read.error());
                   } else if (*read) {
                     core::Result<core::ShardRow> parsed = adapters::ParseShardRow((*read)->value);
                     if (parsed) {
                       row->row = *std::move(parsed);
                       row->version = (*read)->version;
                     } else {
                       row = tl::unexpected(std::move(parsed).error());
                       self->hooks_.on_problem(row.error().message);
                     }
                   }
                   self->Apply([&](ShardOwnership& ownership) { ownership.OnRowRead(row); });
                   const auto owned = self->owned_shard();
                   if (owned == nullptr || !row || !row->row) return;
                   if (row->row->epoch == owned->epoch()) owned->OnOwnershipConfirmed(started_at);
                 });
}

void ShardHost::WriteRow(const core::WriteShardRow& write) {
  const std::string key = adapters::ShardRowKey(shard_);
  store_.Commit({.conditions = {{.key = key, .version = write.expected_version}},
                 .puts = {{.key = key, .value = adapters::ToJson(write.row)}}},
                [weak = weak_from_this()](core::CommitOutcome outcome) {
                  const auto self = weak.lock();
                  if (self == nullptr) return;
                  self->Apply([&](ShardOwnership& ownership) { ownership.OnWriteDone(outcome); });
                });
}

void ShardHost::StartOwning(const core::StartOwning& start) {
  const auto shard = hooks_.make_owned_shard(start);
  {
    const std::lock_guard lock(mutex_);
    owned_shard_ = shard;
  }
  hooks_.on_route_changed();
  shard->Start();
}

void ShardHost::StopOwning() {
  std::shared_ptr<OwnedShard> shard;
  {
    const std::lock_guard lock(mutex_);
    shard = std::move(owned_shard_);
  }
  if (shard == nullptr) return;
  hooks_.on_unfinished_jobs(shard->Close());
  hooks_.on_route_changed();
}

ShardRoute ShardHost::route() const {
  ShardRoute route = runner_.Read([](const ShardOwnership& ownership) {
    return ShardRoute{.owner = ownership.owner(),
                      .owner_missing = ownership.owner_missing(),
                      .store_answers = ownership.store_answers()};
  });
  route.owner_is_self = route.owner && route.owner->owner == self_;
  const auto shard = owned_shard();
  if (shard != nullptr && shard->running()) route.local = shard;
  return route;
}

std::uint64_t ShardHost::owned_epoch() const {
  return runner_.Read([](const ShardOwnership& ownership) { return ownership.owned_epoch(); });
}

bool ShardHost::handing_over() const {
  return runner_.Read([](const ShardOwnership& ownership) { return ownership.handing_over(); });
}

std::shared_ptr<OwnedShard> ShardHost::owned_shard() const {
  const std::lock_guard lock(mutex_);
  return owned_shard_;
}

void ShardHost::Close() {
  runner_.Close();
  std::shared_ptr<OwnedShard> shard;
  {
    const std::lock_guard lock(mutex_);
    shard = std::move(owned_shard_);
  }
  if (shard != nullptr) shard->Close();
}

}  // namespace zinniamux::daemon
