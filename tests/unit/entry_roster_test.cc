// EntryRoster: which entries count as live.
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

// The roster of entry "a" on simulated table rows.
struct Fixture {
  ManualClock clock;
  EntryRoster roster{{.self = Entry("a")}, clock};
  std::vector<VersionedEntryRow> rows;
  bool store_up = true;
  // Entry "b" keeps writing its row.
  bool b_alive = true;
  std::uint64_t b_counter = 1;
  std::vector<DeleteEntryRow> deletes;
  std::size_t writes = 0;

  void Run(int seconds) {
    for (; seconds > 0; --seconds) {
      clock.Advance(std::chrono::seconds(1));
      if (b_alive && store_up) ++b_counter;
      roster.OnTimer();
      PerformActions();
    }
  }

  void PerformActions() {
    for (auto actions = roster.TakeActions(); !actions.empty(); actions = roster.TakeActions()) {
      for (const RosterAction& action : actions) PerformActions(action);
    }
  }

  void PerformActions(const RosterAction& action) {
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

// Guards against a dead entry that stays in the roster, which would stop agents from starting
// tasks, and against the removal of a row that was written again.
Test(entry_roster, removes_a_row_that_stays_unchanged_for_15_s) {
  Fixture f;
  f.Run(6);
  f.b_alive = false;
  const std::uint64_t version = f.b_counter;
  f.Run(13);
  cr_assert_eq(f.Ids(), "ab");
  f.Run(8);
  cr_assert_eq(f.Ids(), "a");
  cr_assert_eq(f.deletes.size(), 1U);
  cr_assert_eq(f.deletes[0].version, version);
}

// Guards against the removal of entries because none could write its row during an outage.
Test(entry_roster, table_outage_removes_no_entry) {
  Fixture f;
  f.Run(6);
  f.store_up = false;
  f.Run(60);
  cr_assert_eq(f.Ids(), "ab");
  f.store_up = true;
  f.b_alive = false;
  f.Run(7);
  // After the outage, the other entry writes its row later than this one.
  f.b_alive = true;
  f.Run(30);
  cr_assert_eq(f.Ids(), "ab");
  cr_assert(f.deletes.empty());
}

// Guards against the removal of entries because this process itself was paused.
Test(entry_roster, own_pause_removes_no_entry) {
  Fixture f;
  f.Run(6);
  const std::uint64_t counter = f.b_counter;
  f.clock.Advance(std::chrono::seconds(60));
  // The first read after the pause may still return the counter from before it.
  f.b_counter = counter - 1;
  f.Run(4);
  cr_assert_eq(f.Ids(), "ab");
}

// Guards against a removed entry that returns through outdated rosters of peers, and against one
// that cannot return by a message of its own.
Test(entry_roster, removed_entry_returns_only_by_its_own_message) {
  Fixture f;
  f.Run(6);
  f.b_alive = false;
  f.Run(25);
  cr_assert_eq(f.Ids(), "a");
  f.roster.OnPeerRoster(std::vector{Entry("b")});
  cr_assert_eq(f.Ids(), "a");
  f.roster.OnEntryHeard(Entry("b"));
  cr_assert_eq(f.Ids(), "ab");
}

// Guards against an outdated roster of a peer that replaces the incarnation which the restarted
// entry itself announced.
Test(entry_roster, restarted_entry_replaces_its_previous_incarnation) {
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
