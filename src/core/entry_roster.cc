// Membership of entries by their rows in the table.
#include "core/entry_roster.h"

#include <algorithm>

namespace zinniamux::core {
namespace {

// More removed incarnations than this are not remembered; a day brings a few hundred restarts.
constexpr std::size_t kMaxRemoved = 1024;

}  // namespace

EntryRoster::EntryRoster(Options options, const Clock& clock)
    : options_(std::move(options)), clock_(clock), next_write_at_(clock.now()) {}

void EntryRoster::OnTimer() {
  const TimePoint now = clock_.now();
  if (busy_ || now < next_write_at_) return;
  if (now - next_write_at_ > options_.write_period) {
    // This process was paused: what it knows of others is old.
    RestartSilence();
  }
  next_write_at_ = now + options_.write_period;
  busy_ = true;
  actions_.emplace_back(WriteEntryRow{{.entry = options_.self, .counter = ++counter_}});
}

void EntryRoster::OnWriteDone(CommitOutcome outcome) {
  write_answered_ = outcome == CommitOutcome::kCommitted;
  actions_.emplace_back(ReadEntryRows{});
}

void EntryRoster::OnRowsRead(const Result<std::vector<VersionedEntryRow>>& rows) {
  busy_ = false;
  const bool answered_before = std::exchange(table_answers_, rows.has_value() && write_answered_);
  if (!rows.has_value()) return;
  table_known_ = true;
  if (!answered_before) RestartSilence();
  std::set<std::string> ids;
  for (const VersionedEntryRow& read : *rows) ids.insert(read.row.entry.entry_id);
  for (auto& [id, member] : members_) {
    if (!ids.contains(id)) member.counter.reset();
  }
  for (const VersionedEntryRow& read : *rows) ReadRow(read);
  if (!table_answers_) return;
  for (auto member = members_.begin(); member != members_.end();) {
    const auto next = std::next(member);
    const Duration silence = clock_.now() - member->second.alive_at;
    if (!member->second.counter && silence >= options_.removal_limit) Remove(member);
    member = next;
  }
}

void EntryRoster::ReadRow(const VersionedEntryRow& read) {
  const EntryAddress& entry = read.row.entry;
  if (entry.entry_id == options_.self.entry_id) return;
  const auto known = members_.find(entry.entry_id);
  const bool changed = known == members_.end() || known->second.counter != read.row.counter ||
                       known->second.entry.incarnation != entry.incarnation;
  if (changed) {
    Put(entry, clock_.now());
    members_.at(entry.entry_id).counter = read.row.counter;
    return;
  }
  if (!table_answers_) return;
  if (clock_.now() - known->second.alive_at < options_.removal_limit) return;
  actions_.emplace_back(DeleteEntryRow{.entry_id = entry.entry_id, .version = read.version});
  Remove(known);
}

void EntryRoster::Put(const EntryAddress& entry, TimePoint alive_at) {
  removed_.erase({entry.entry_id, entry.incarnation});
  const auto [found, added] = members_.try_emplace(entry.entry_id, Member{.entry = entry});
  found->second.alive_at = alive_at;
  if (!added && found->second.entry == entry) return;
  found->second.entry = entry;
  actions_.emplace_back(RosterChanged{});
}

void EntryRoster::Remove(std::map<std::string, Member>::iterator member) {
  if (removed_.size() >= kMaxRemoved) removed_.clear();
  removed_.emplace(member->second.entry.entry_id, member->second.entry.incarnation);
  members_.erase(member);
  actions_.emplace_back(RosterChanged{});
}

void EntryRoster::RestartSilence() {
  for (auto& [id, member] : members_) member.alive_at = clock_.now();
}

bool EntryRoster::IsRemoved(const EntryAddress& entry) const {
  return removed_.contains({entry.entry_id, entry.incarnation});
}

void EntryRoster::OnEntryHeard(const EntryAddress& entry) {
  if (entry.entry_id == options_.self.entry_id) return;
  Put(entry, clock_.now());
}

void EntryRoster::OnPeerRoster(std::span<const EntryAddress> entries) {
  for (const EntryAddress& entry : entries) {
    if (entry.entry_id == options_.self.entry_id || IsRemoved(entry)) continue;
    if (members_.contains(entry.entry_id)) continue;
    Put(entry, clock_.now());
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
