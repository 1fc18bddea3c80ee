// The set of live entries. Announces this entry and removes entries that stopped writing their
// rows.
#ifndef ZINNIAMUX_CORE_ENTRY_ROSTER_H_
#define ZINNIAMUX_CORE_ENTRY_ROSTER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/clock.h"
#include "core/entry_address.h"
#include "core/error_kind.h"
#include "core/table_store.h"

namespace zinniamux::core {

// The content of an `entry/<id>` row. A live entry increments the counter with every write.
struct EntryRow {
  EntryAddress entry;
  std::uint64_t counter = 0;
};

struct VersionedEntryRow {
  EntryRow row;
  std::uint64_t version = 0;
};

// Write this entry's row unconditionally; answered by EntryRoster::OnWriteDone.
struct WriteEntryRow {
  EntryRow row;
};

// Read all entry rows; answered by EntryRoster::OnRowsRead.
struct ReadEntryRows {};

// Delete the row if it still has this version. A lost answer needs no handling, because the rows
// are read again.
struct DeleteEntryRow {
  std::string entry_id;
  std::uint64_t version = 0;
};

// A member was added, removed or replaced.
struct RosterChanged {};

using RosterAction = std::variant<WriteEntryRow, ReadEntryRows, DeleteEntryRow, RosterChanged>;

// The roster as one entry sees it. While the table answers, it consists of the entries with live
// rows and those that sent messages. While the table does not answer, no member is removed. Not
// thread-safe.
class EntryRoster {
 public:
  struct Options {
    EntryAddress self;
    std::chrono::milliseconds write_period{5000};
    // A row whose counter did not change for this long is removed.
    std::chrono::milliseconds removal_limit{15'000};
  };

  EntryRoster(Options options, const Clock& clock);

  // Called every few milliseconds.
  void OnTimer();
  void OnWriteDone(CommitOutcome outcome);
  // `rows` is an error if the table did not answer.
  void OnRowsRead(const Result<std::vector<VersionedEntryRow>>& rows);
  // A message arrived from this entry itself.
  void OnEntryHeard(const EntryAddress& entry);
  // Adds the entries of a peer's roster. Neither replaces nor removes members.
  void OnPeerRoster(std::span<const EntryAddress> entries);

  std::vector<RosterAction> TakeActions();

  // All members, including this entry, ordered by id.
  std::vector<EntryAddress> members() const;
  // The table was read at least once.
  bool table_was_read() const { return table_was_read_; }

 private:
  struct Member {
    EntryAddress entry;
    // The counter at the last read of the member's row; unset if the table has no such row.
    std::optional<std::uint64_t> counter;
    // When the member was last known to be alive: its counter changed, or it sent a message.
    TimePoint last_alive_at;
  };

  bool IsRemoved(const EntryAddress& entry) const;
  void UpsertMember(const EntryAddress& entry, TimePoint last_alive_at);
  void ProcessRow(const VersionedEntryRow& read);
  void RemoveMember(std::map<std::string, Member>::iterator member);
  // Treats every member as alive now, so that none is removed because it could not write its row
  // during an outage of the table, or because this process was paused.
  void ResetSilenceTimers();

  const Options options_;
  const Clock& clock_;
  std::map<std::string, Member> members_;
  // Removed entries by id and incarnation, which peers may still list in their rosters. An entry is
  // added again when it writes its row or sends a message.
  std::set<std::pair<std::string, std::uint64_t>> removed_incarnations_;
  std::uint64_t counter_ = 0;
  TimePoint next_write_at_;
  // From the write of this entry's row until the rows are read.
  bool update_in_progress_ = false;
  bool table_was_read_ = false;
  // Both the last write and the last read succeeded.
  bool table_available_ = false;
  bool write_succeeded_ = false;
  std::vector<RosterAction> actions_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_ENTRY_ROSTER_H_
