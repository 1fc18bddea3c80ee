// Membership of entries, based on their rows in the table.
#include "core/entry_roster.h"

#include <algorithm>

namespace zinniamux::core {
namespace {

// When more removed incarnations than this are remembered, the set is cleared; a few hundred
// restarts occur per day.
constexpr std::size_t kMaxRemovedIncarnations = 1024;

}  // namespace

EntryRoster::EntryRoster(Options options, const Clock& clock)
    : options_(std::move(options)), clock_(clock), next_write_at_(clock.now()) {}

void EntryRoster::OnTimer() {
  const TimePoint now = clock_.now();
  if (update_in_progress_ || now < next_write_at_) return;
  if (now - next_write_at_ > options_.write_period) {
    // This process was paused, so its information about other entries is out of date.
    ResetSilenceTimers();
  }
  next_write_at_ = now + options_.write_period;
  update_in_progress_ = true;
  actions_.emplace_back(WriteEntryRow{{.entry = options_.self, .counter = ++counter_}});
}

void EntryRoster::OnWriteDone(CommitOutcome outcome) {
  write_succeeded_ = outcome == CommitOutcome::kCommitted;
  actions_.emplace_back(ReadEntryRows{});
}

void EntryRoster::OnRowsRead(const Result<std::vector<VersionedEntryRow>>& rows) {
  update_in_progress_ = false;
  const bool was_available = std::exchange(table_available_, rows.has_value() && write_succeeded_);
  if (!rows.has_value()) return;
  table_was_read_ = true;
  if (!was_available) ResetSilenceTimers();
  std::set<std::string> ids;
  for (const VersionedEntryRow& read : *rows) ids.insert(read.row.entry.entry_id);
  for (auto& [id, member] : members_) {
    if (!ids.contains(id)) member.counter.reset();
  }
  for (const VersionedEntryRow& read : *rows) ProcessRow(read);
  if (!table_available_) return;
  for (auto member = members_.begin(); member != members_.end();) {
    const auto next = std::next(member);
    const Duration silence = clock_.now() - member->second.last_alive_at;
    if (!member->second.counter && silence >= options_.removal_limit) RemoveMember(member);
    member = next;
  }
}

void EntryRoster::ProcessRow(const VersionedEntryRow& read) {
  const EntryAddress& entry = read.row.entry;
  if (entry.entry_id == options_.self.entry_id) return;
  const auto known = members_.find(entry.entry_id);
  const bool changed = known == members_.end() || known->second.counter != read.row.counter ||
                       known->second.entry.incarnation != entry.incarnation;
  if (changed) {
    UpsertMember(entry, clock_.now());
    members_.at(entry.entry_id).counter = read.row.counter;
    return;
  }
  if (!table_available_) return;
  if (clock_.now() - known->second.last_alive_at < options_.removal_limit) return;
  actions_.emplace_back(DeleteEntryRow{.entry_id = entry.entry_id, .version = read.version});
  RemoveMember(known);
}

void EntryRoster::UpsertMember(const EntryAddress& entry, TimePoint last_alive_at) {
  removed_incarnations_.erase({entry.entry_id, entry.incarnation});
  const auto [found, added] = members_.try_emplace(entry.entry_id, Member{.entry = entry});
  found->second.last_alive_at = last_alive_at;
  if (!added && found->second.entry == entry) return;
  found->second.entry = entry;
  actions_.emplace_back(RosterChanged{});
}

void EntryRoster::RemoveMember(std::map<std::string, Member>::iterator member) {
  if (removed_incarnations_.size() >= kMaxRemovedIncarnations) removed_incarnations_.clear();
  removed_incarnations_.emplace(member->second.entry.entry_id, member->second.entry.incarnation);
  members_.erase(member);
  actions_.emplace_back(RosterChanged{});
}

void EntryRoster::ResetSilenceTimers() {
  for (auto& [id, member] : members_) member.last_alive_at = clock_.now();
}

bool EntryRoster::IsRemoved(const EntryAddress& entry) const {
  return removed_incarnations_.contains({entry.entry_id, entry.incarnation});
}

void EntryRoster::OnEntryHeard(const EntryAddress& entry) {
  if (entry.entry_id == options_.self.entry_id) return;
  UpsertMember(entry, clock_.now());
}

void EntryRoster::OnPeerRoster(std::span<const EntryAddress> entries) {
  for (const EntryAddress& entry : entries) {
    if (entry.entry_id == options_.self.entry_id || IsRemoved(entry)) continue;
    if (members_.contains(entry.entry_id)) continue;
    UpsertMember(entry, clock_.now());
  }
}

std::vector<EntryAddress> EntryRoster::members() const {
  std::vector<EntryAddress> entries{options_.self};
  for (const auto& [id, member] : members_) entries.push_back(member.entry);
  std::sort(entries.begin(), entries.end(),
            [](const auto& a, const auto& b) { return a.entry_id < b.entry_id; });
  return entries;
}

std::vector<RosterAction> EntryRoster::TakeActions() { return std::exchange(actions_, {}); }

}  // namespace zinniamux::core
