// The set of live entries: announcement of this entry, and removal of entries that stopped writing.
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

// The content of an `entry/<id>` row. An entry that lives raises the counter with every write.
struct EntryRow {
  EntryAddress entry;
  std::uint64_t counter = 0;
};

struct VersionedEntryRow {
  EntryRow row;
  std::uint64_t version = 0;
};

// Write this entry's row, whatever it holds; answered by EntryRoster::OnWriteDone.
struct WriteEntryRow {
  EntryRow row;
};

// Read all entry rows; answered by EntryRoster::OnRowsRead.
struct ReadEntryRows {};

// Delete the row if it still has this version. A lost answer needs no care: the rows are read
// again.
struct DeleteEntryRow {
  std::string entry_id;
  std::uint64_t version = 0;
};

// The set of members is another one than before.
struct RosterChanged {};

using RosterAction = std::variant<WriteEntryRow, ReadEntryRows, DeleteEntryRow, RosterChanged>;

// The roster as one entry sees it. While the table answers, the roster is what its rows say, plus
// entries heard from directly. While it does not answer, no member is removed. Not thread-safe.
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
  // A message came from this entry itself.
  void OnEntryHeard(const EntryAddress& entry);
  // A peer's roster. It adds entries, and neither replaces nor removes any.
  void OnPeerRoster(std::span<const EntryAddress> entries);

  std::vector<RosterAction> TakeActions();

  // All members with this entry, ordered by id.
  std::vector<EntryAddress> members() const;
  // The table was read at least once.
  bool table_known() const { return table_known_; }

 private:
  struct Member {
    EntryAddress entry;
    // The counter of its row when it was read last; unset if the table has no row of it.
    std::optional<std::uint64_t> counter;
    // When the member was last known to live: its counter changed, or a message of it came.
    TimePoint alive_at;
  };

  bool IsRemoved(const EntryAddress& entry) const;
  void Put(const EntryAddress& entry, TimePoint alive_at);
  void ReadRow(const VersionedEntryRow& read);
  void Remove(std::map<std::string, Member>::iterator member);
  // Starts all silence anew: an entry that could not write its row is not held to be gone.
  void RestartSilence();

  const Options options_;
  const Clock& clock_;
  std::map<std::string, Member> members_;
  // Removed incarnations; peers that have not noticed yet keep naming them. An entry is taken up
  // again when it writes its row or sends a message.
  std::set<std::pair<std::string, std::uint64_t>> removed_;
  std::uint64_t counter_ = 0;
  TimePoint next_write_at_;
  bool busy_ = false;
  bool table_known_ = false;
  // Both the last write and the last read were answered.
  bool table_answers_ = false;
  bool write_answered_ = false;
  std::vector<RosterAction> actions_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_ENTRY_ROSTER_H_
