// Simulated table, peers and faults.
#include "property/ownership_world.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace zinniamux::tests {
namespace {

constexpr std::chrono::milliseconds kStep{50};
constexpr std::chrono::milliseconds kHeartbeat{1000};
constexpr std::chrono::milliseconds kLongestLateWrite{3000};
constexpr std::chrono::milliseconds kStoreDeadline{2000};

}  // namespace

OwnershipWorld::OwnershipWorld(std::size_t entries, std::uint32_t seed,
                               std::chrono::milliseconds longest_answer)
    : longest_answer_(longest_answer), random_(seed) {
  entries_.resize(entries);
  for (std::size_t index = 0; index < entries; ++index) {
    entries_[index].address.entry_id = "entry-" + std::to_string(index);
    entries_[index].address.rpc_address = "10.0.0." + std::to_string(index) + ":1";
    Start(entries_[index]);
  }
}

core::Duration OwnershipWorld::Delay(std::chrono::milliseconds longest) {
  return std::chrono::milliseconds(
      std::uniform_int_distribution<std::int64_t>(0, longest.count())(random_));
}

void OwnershipWorld::Start(Entry& entry) {
  entry.address.incarnation = next_incarnation_++;
  entry.answers.clear();
  entry.paused = false;
  entry.next_heartbeat = clock_.now() + Delay(kHeartbeat);
  entry.ownership = std::make_unique<core::ShardOwnership>(
      core::ShardOwnership::Options{.self = entry.address, .seed = random_()}, clock_);
  entry.ownership->SetMayTakeOver(true);
  std::vector<std::string> ids;
  for (const Entry& candidate : entries_) ids.push_back(candidate.address.entry_id);
  entry.ownership->SetCandidates(std::move(ids));
}

void OwnershipWorld::Step() {
  clock_.Advance(kStep);
  for (auto write = late_writes_.begin(); write != late_writes_.end();) {
    if (write->first > clock_.now()) {
      ++write;
      continue;
    }
    Commit(write->second);
    write = late_writes_.erase(write);
  }
  for (Entry& entry : entries_) {
    if (entry.ownership != nullptr && !entry.paused) Run(entry);
  }
}

void OwnershipWorld::Run(Entry& entry) {
  while (!entry.answers.empty() && entry.answers.front().due <= clock_.now()) {
    const Answer answer = std::move(entry.answers.front());
    entry.answers.pop_front();
    answer.deliver(*entry.ownership);
    CarryOut(entry);
  }
  entry.ownership->OnTimer();
  CarryOut(entry);
  if (clock_.now() < entry.next_heartbeat) return;
  entry.next_heartbeat = clock_.now() + kHeartbeat;
  ExchangeHeartbeats(entry);
}

void OwnershipWorld::ExchangeHeartbeats(Entry& from) {
  for (Entry& to : entries_) {
    if (&to == &from || from.cut_off || to.cut_off) continue;
    if (to.ownership == nullptr) {
      from.ownership->OnConnectionRefused(to.address.rpc_address);
    } else if (!to.paused) {
      to.ownership->OnEntryHeard(from.address);
      if (from.ownership->owner()) to.ownership->OnOwnerReported(*from.ownership->owner());
      from.ownership->OnEntryHeard(to.address);
      if (to.ownership->owner()) from.ownership->OnOwnerReported(*to.ownership->owner());
      CarryOut(to);
    }
    CarryOut(from);
  }
}

void OwnershipWorld::CarryOut(Entry& entry) {
  for (const core::OwnershipAction& action : entry.ownership->TakeActions()) {
    if (std::holds_alternative<core::ReadShardRow>(action)) {
      Read(entry);
    } else if (const auto* write = std::get_if<core::WriteShardRow>(&action)) {
      Write(entry, *write);
    } else if (const auto* start = std::get_if<core::StartOwning>(&action)) {
      const auto [owner, first] = owner_of_epoch_.try_emplace(start->epoch, entry.address);
      if (!first) {
        violation_ += "epoch " + std::to_string(start->epoch) + " started by " +
                      owner->second.entry_id + " and " + entry.address.entry_id + "; ";
      }
    }
  }
}

void OwnershipWorld::Read(Entry& entry) {
  core::Result<core::VersionedShardRow> result = row_;
  core::Duration delay = Delay(longest_answer_);
  if (!store_up_) {
    result = tl::unexpected(core::Error{core::ErrorKind::kStoreUnavailable, "down", {}});
    delay = kStoreDeadline;
  }
  entry.answers.push_back({clock_.now() + delay, [result](core::ShardOwnership& ownership) {
                             ownership.OnRowRead(result);
                           }});
}

void OwnershipWorld::Write(Entry& entry, const core::WriteShardRow& write) {
  ++writes_;
  core::CommitOutcome outcome = core::CommitOutcome::kUnknown;
  core::Duration delay = kStoreDeadline;
  if (std::exchange(delay_next_write_, false)) {
    late_writes_.emplace_back(clock_.now() + Delay(kLongestLateWrite), write);
  } else if (store_up_ && !std::exchange(lose_next_write_, false)) {
    const bool committed = Commit(write);
    if (!std::exchange(lose_next_answer_, false)) {
      outcome = committed ? core::CommitOutcome::kCommitted : core::CommitOutcome::kConflict;
      delay = Delay(longest_answer_);
    }
  }
  entry.answers.push_back({clock_.now() + delay, [outcome](core::ShardOwnership& ownership) {
                             ownership.OnWriteDone(outcome);
                           }});
}

bool OwnershipWorld::Commit(const core::WriteShardRow& write) {
  if (write.expected_version != row_.version) return false;
  if (row_.row && write.row.epoch <= row_.row->epoch) {
    violation_ += "epoch " + std::to_string(write.row.epoch) + " written over " +
                  std::to_string(row_.row->epoch) + "; ";
  }
  row_.row = write.row;
  ++row_.version;
  return true;
}

void OwnershipWorld::Apply(const Fault& fault) {
  Entry& entry = entries_[fault.entry % entries_.size()];
  switch (fault.kind) {
    case Fault::Kind::kStoreDown:
    case Fault::Kind::kStoreUp:
      store_up_ = fault.kind == Fault::Kind::kStoreUp;
      break;
    case Fault::Kind::kLoseNextAnswer:
      lose_next_answer_ = true;
      break;
    case Fault::Kind::kLoseNextWrite:
      lose_next_write_ = true;
      break;
    case Fault::Kind::kDelayNextWrite:
      delay_next_write_ = true;
      break;
    case Fault::Kind::kPause:
    case Fault::Kind::kResume:
      entry.paused = fault.kind == Fault::Kind::kPause;
      break;
    case Fault::Kind::kKill:
      entry.ownership.reset();
      // The worst case for races: all others notice at the same time.
      for (Entry& other : entries_) {
        if (other.ownership == nullptr || other.paused) continue;
        other.ownership->OnConnectionRefused(entry.address.rpc_address);
      }
      break;
    case Fault::Kind::kRestart:
      Start(entry);
      break;
    case Fault::Kind::kCutPeers:
    case Fault::Kind::kJoinPeers:
      entry.cut_off = fault.kind == Fault::Kind::kCutPeers;
      break;
    case Fault::Kind::kHandOver:
      for (Entry& owner : entries_) {
        if (owner.ownership == nullptr || owner.paused) continue;
        owner.ownership->HandOver(entry.address);
      }
      break;
  }
}

void OwnershipWorld::Heal() {
  store_up_ = true;
  lose_next_answer_ = false;
  lose_next_write_ = false;
  delay_next_write_ = false;
  for (Entry& entry : entries_) {
    entry.paused = false;
    entry.cut_off = false;
  }
  const bool all_dead = std::all_of(entries_.begin(), entries_.end(),
                                    [](const Entry& entry) { return entry.ownership == nullptr; });
  if (all_dead) Start(entries_.front());
}

std::vector<std::string> OwnershipWorld::Owners() const {
  std::vector<std::string> owners;
  for (const Entry& entry : entries_) {
    if (entry.ownership == nullptr || entry.ownership->owned_epoch() == 0) continue;
    owners.push_back(entry.address.entry_id + "/" + std::to_string(entry.ownership->owned_epoch()));
  }
  return owners;
}

bool OwnershipWorld::IsOwner(std::size_t entry) const {
  return entries_[entry].ownership != nullptr && entries_[entry].ownership->owned_epoch() != 0;
}

std::string OwnershipWorld::RowOwner() const {
  if (!row_.row) return "";
  return row_.row->owner.entry_id + "/" + std::to_string(row_.row->epoch);
}

}  // namespace zinniamux::tests
