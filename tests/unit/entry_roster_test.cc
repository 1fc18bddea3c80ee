// EntryRoster: who counts as a live entry.
#include "core/entry_roster.h"

#include <criterion/criterion.h>

#include <string>
#include <variant>
#include <vector>

namespace {

using zinniamux::core::CommitOutcome;
using zinniamux::core::DeleteEntryRow;
using zinniamux::core::EntryAddress;
using zinniamux::core::EntryRoster;
using zinniamux::core::Error;
using zinniamux::core::ErrorKind;
using zinniamux::core::ManualClock;
using zinniamux::core::ReadEntryRows;
using zinniamux::core::RosterAction;
using zinniamux::core::VersionedEntryRow;
using zinniamux::core::WriteEntryRow;

EntryAddress Entry(const std::string& id, std::uint64_t incarnation = 1) {
  return {.entry_id = id, .incarnation = incarnation, .rpc_address = id + ":1"};
}

// The roster of entry "a" over rows that the test holds.
struct Fixture {
  ManualClock clock;
  EntryRoster roster{{.self = Entry("a")}, clock};
  std::vector<VersionedEntryRow> rows;
  bool store_up = true;
  // Entry "b" writes its row as a live entry does.
  bool b_lives = true;
  std::uint64_t b_counter = 1;
  std::vector<DeleteEntryRow> deletes;
  std::size_t writes = 0;

  void Run(int seconds) {
    for (; seconds > 0; --seconds) {
      clock.Advance(std::chrono::seconds(1));
      if (b_lives && store_up) ++b_counter;
      roster.OnTimer();
      CarryOut();
    }
  }

  void CarryOut() {
    for (auto actions = roster.TakeActions(); !actions.empty(); actions = roster.TakeActions()) {
      for (const RosterAction& action : actions) CarryOut(action);
    }
  }

  void CarryOut(const RosterAction& action) {
    if (std::holds_alternative<WriteEntryRow>(action)) {
      ++writes;
      roster.OnWriteDone(store_up ? CommitOutcome::kCommitted : CommitOutcome::kUnknown);
    } else if (std::holds_alternative<ReadEntryRows>(action)) {
      if (!store_up) {
        roster.OnRowsRead(tl::unexpected(Error{ErrorKind::kStoreUnavailable, "down", {}}));
        return;
      }
      std::vector<VersionedEntryRow> answer = rows;
      if (b_counter > 0) {
        answer.push_back(
            {.row = {.entry = Entry("b"), .counter = b_counter}, .version = b_counter});
      }
      roster.OnRowsRead(answer);
    } else if (const auto* removal = std::get_if<DeleteEntryRow>(&action)) {
      deletes.push_back(*removal);
      b_counter = 0;
    }
  }

  std::string Ids() const {
    std::string ids;
    for (const EntryAddress& entry : roster.members()) ids += entry.entry_id;
    return ids;
  }
};

}  // namespace

// Guards against an entry that does not announce itself or does not see others.
Test(entry_roster, writes_its_row_and_lists_rows_of_others) {
  Fixture f;
  f.Run(11);
  cr_assert_eq(f.writes, 3U);
  cr_assert_eq(f.Ids(), "ab");
}

// Guards against a dead entry that stays, which would stop agents from starting tasks, and against
// a removal that hits a row that was written again.
Test(entry_roster, removes_a_row_that_stays_unchanged_for_15_s) {
  Fixture f;
  f.Run(6);
  f.b_lives = false;
  const std::uint64_t version = f.b_counter;
  f.Run(13);
  cr_assert_eq(f.Ids(), "ab");
  f.Run(8);
  cr_assert_eq(f.Ids(), "a");
  cr_assert_eq(f.deletes.size(), 1U);
  cr_assert_eq(f.deletes[0].version, version);
}

// Guards against removing entries because nobody could write during an outage.
Test(entry_roster, an_outage_of_the_table_removes_nobody) {
  Fixture f;
  f.Run(6);
  f.store_up = false;
  f.Run(60);
  cr_assert_eq(f.Ids(), "ab");
  f.store_up = true;
  f.b_lives = false;
  f.Run(7);
  // The other entry writes its first row after the outage later than this one.
  f.b_lives = true;
  f.Run(30);
  cr_assert_eq(f.Ids(), "ab");
  cr_assert(f.deletes.empty());
}

// Guards against removing entries because this process itself was paused.
Test(entry_roster, its_own_pause_removes_nobody) {
  Fixture f;
  f.Run(6);
  const std::uint64_t counter = f.b_counter;
  f.clock.Advance(std::chrono::seconds(60));
  // The first read after the pause may still see the counter of before.
  f.b_counter = counter - 1;
  f.Run(4);
  cr_assert_eq(f.Ids(), "ab");
}

// Guards against a removed entry that comes back through the rosters of peers that have not
// noticed, and against one that cannot come back by itself.
Test(entry_roster, a_removed_entry_returns_only_by_its_own_sign_of_life) {
  Fixture f;
  f.Run(6);
  f.b_lives = false;
  f.Run(25);
  cr_assert_eq(f.Ids(), "a");
  f.roster.OnPeerRoster(std::vector{Entry("b")});
  cr_assert_eq(f.Ids(), "a");
  f.roster.OnEntryHeard(Entry("b"));
  cr_assert_eq(f.Ids(), "ab");
}

// Guards against a peer's old roster that undoes what the restarted entry itself said.
Test(entry_roster, a_restarted_entry_replaces_its_former_life) {
  Fixture f;
  f.Run(6);
  f.roster.OnEntryHeard(Entry("b", 2));
  f.roster.OnPeerRoster(std::vector{Entry("b", 1)});
  const std::vector<EntryAddress> members = f.roster.members();
  cr_assert_eq(members.size(), 2U);
  cr_assert_eq(members[1].incarnation, 2U);
}

// Guards against an entry that cannot learn of others while the table is down.
Test(entry_roster, learns_entries_from_peers_while_the_table_is_down) {
  Fixture f;
  f.store_up = false;
  f.Run(6);
  f.roster.OnPeerRoster(std::vector{Entry("c"), Entry("d")});
  cr_assert_eq(f.Ids(), "acd");
}
