// ShardOwnership: takeover, release and handover of a shard.
#include "core/shard_ownership.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace {

using zinniamux::core::CommitOutcome;
using zinniamux::core::EntryAddress;
using zinniamux::core::Error;
using zinniamux::core::ErrorKind;
using zinniamux::core::ManualClock;
using zinniamux::core::OwnershipAction;
using zinniamux::core::ReadShardRow;
using zinniamux::core::ShardOwnership;
using zinniamux::core::ShardRow;
using zinniamux::core::StartOwning;
using zinniamux::core::StopOwning;
using zinniamux::core::VersionedShardRow;
using zinniamux::core::WriteShardRow;

const EntryAddress kSelf{.entry_id = "a", .incarnation = 7, .rpc_address = "10.0.0.1:1"};
const EntryAddress kPeer{.entry_id = "b", .incarnation = 9, .rpc_address = "10.0.0.2:1"};

// A ShardOwnership on a simulated shard row.
struct Fixture {
  ManualClock clock;
  ShardOwnership ownership{{.self = kSelf}, clock};
  VersionedShardRow row;
  bool store_up = true;
  bool lose_write_answers = false;
  std::size_t reads = 0;
  std::vector<ShardRow> writes;
  std::vector<std::uint64_t> started;
  std::vector<std::uint64_t> stopped;

  Fixture() { ownership.SetMayTakeOver(true); }

  void Run(std::chrono::milliseconds time) {
    constexpr std::chrono::milliseconds kStep{10};
    for (; time.count() > 0; time -= kStep) {
      clock.Advance(kStep);
      ownership.OnTimer();
      PerformActions();
    }
  }

  void PerformActions() {
    for (auto actions = ownership.TakeActions(); !actions.empty();
         actions = ownership.TakeActions()) {
      for (const OwnershipAction& action : actions) PerformActions(action);
    }
  }

  void PerformActions(const OwnershipAction& action) {
    if (std::holds_alternative<ReadShardRow>(action)) {
      ++reads;
      if (store_up) return ownership.OnRowRead(row);
      ownership.OnRowRead(tl::unexpected(Error{ErrorKind::kStoreUnavailable, "down", {}}));
    } else if (const auto* write = std::get_if<WriteShardRow>(&action)) {
      writes.push_back(write->row);
      if (!store_up) return ownership.OnWriteDone(CommitOutcome::kUnknown);
      if (write->expected_version != row.version) {
        return ownership.OnWriteDone(CommitOutcome::kConflict);
      }
      row = {.row = write->row, .version = row.version + 1};
      ownership.OnWriteDone(lose_write_answers ? CommitOutcome::kUnknown
                                               : CommitOutcome::kCommitted);
    } else if (const auto* start = std::get_if<StartOwning>(&action)) {
      started.push_back(start->epoch);
    } else if (const auto* stop = std::get_if<StopOwning>(&action)) {
      stopped.push_back(stop->epoch);
    }
  }

  void SetPeerAsOwner(std::uint64_t epoch) {
    row = {.row = ShardRow{.epoch = epoch, .owner = kPeer}, .version = row.version + 1};
  }
};

using Epochs = std::vector<std::uint64_t>;

}  // namespace

// Guards against a deployment whose empty table never gets a first owner.
Test(shard_ownership, takes_a_shard_without_a_row) {
  Fixture f;
  f.Run(std::chrono::milliseconds(1000));
  cr_assert(f.started == Epochs{1});
  cr_assert(f.row.row->owner == kSelf);
}

// Guards against an entry that writes the row, does not get the answer, and then leaves the shard
// without an owner or takes another epoch.
Test(shard_ownership, recognises_its_own_write_after_a_lost_answer) {
  Fixture f;
  f.lose_write_answers = true;
  f.Run(std::chrono::milliseconds(3000));
  cr_assert(f.started == Epochs{1});
  cr_assert_eq(f.writes.size(), 1U);
}

// Guards against a restarted process that continues as its previous incarnation, whose state is
// lost.
Test(shard_ownership, a_restarted_owner_takes_a_new_epoch) {
  Fixture f;
  EntryAddress earlier_incarnation = kSelf;
  earlier_incarnation.incarnation = 3;
  f.row = {.row = ShardRow{.epoch = 4, .owner = earlier_incarnation}, .version = 8};
  f.Run(std::chrono::milliseconds(1000));
  cr_assert(f.started == Epochs{5});
}

// Guards against a takeover from an owner that is alive.
Test(shard_ownership, does_not_take_over_from_a_live_owner) {
  Fixture f;
  f.SetPeerAsOwner(2);
  for (int second = 0; second < 20; ++second) {
    f.Run(std::chrono::milliseconds(1000));
    f.ownership.OnEntryHeard(kPeer);
  }
  cr_assert(f.writes.empty());
}

// Guards against a shard that stays with a silent owner, and against a takeover before 3 s.
Test(shard_ownership, takes_over_after_silence) {
  Fixture f;
  f.SetPeerAsOwner(2);
  f.Run(std::chrono::milliseconds(2900));
  cr_assert(f.started.empty());
  f.Run(std::chrono::milliseconds(1500));
  cr_assert(f.started == Epochs{3});
}

// Guards against waiting out the silence limit although the owner's port is closed.
Test(shard_ownership, does_not_wait_for_silence_after_a_refused_connection) {
  Fixture f;
  f.SetPeerAsOwner(2);
  f.Run(std::chrono::milliseconds(100));
  f.ownership.OnConnectionRefused(kPeer.rpc_address);
  f.Run(std::chrono::milliseconds(500));
  cr_assert(f.started == Epochs{3});
}

// Guards against ownership that the table did not confirm.
Test(shard_ownership, does_not_take_over_while_the_table_is_down) {
  Fixture f;
  f.SetPeerAsOwner(2);
  f.Run(std::chrono::milliseconds(100));
  f.store_up = false;
  f.Run(std::chrono::milliseconds(20'000));
  cr_assert(f.started.empty());
  cr_assert(f.ownership.owner_missing());
  cr_assert(!f.ownership.store_answers());
  f.store_up = true;
  f.Run(std::chrono::milliseconds(1500));
  cr_assert(f.started == Epochs{3});
}

// Guards against an owner that continues although an agent, a peer or the row shows a successor.
Test(shard_ownership, gives_up_when_a_higher_epoch_is_seen) {
  Fixture by_agent;
  by_agent.Run(std::chrono::milliseconds(1000));
  by_agent.ownership.OnEpochSeen(6);
  by_agent.PerformActions();
  cr_assert(by_agent.stopped == Epochs{1});
  by_agent.Run(std::chrono::milliseconds(1000));
  cr_assert(by_agent.started == (Epochs{1, 7}));

  Fixture by_peer;
  by_peer.Run(std::chrono::milliseconds(1000));
  by_peer.ownership.OnOwnerReported({.epoch = 2, .owner = kPeer});
  by_peer.PerformActions();
  cr_assert(by_peer.stopped == Epochs{1});
  cr_assert(by_peer.ownership.owner()->owner == kPeer);

  Fixture by_row;
  by_row.Run(std::chrono::milliseconds(1000));
  by_row.SetPeerAsOwner(2);
  by_row.Run(std::chrono::milliseconds(1100));
  cr_assert(by_row.stopped == Epochs{1});
}

// Guards against a new epoch that agents would refuse because they have seen a higher one.
Test(shard_ownership, never_owns_an_epoch_below_one_that_an_agent_has_seen) {
  Fixture f;
  f.ownership.OnEpochSeen(6);
  f.Run(std::chrono::milliseconds(1000));
  cr_assert(f.started == Epochs{7});
}

// Guards against a takeover because this process itself was paused and received no messages.
Test(shard_ownership, own_pause_does_not_count_as_owner_silence) {
  Fixture f;
  f.SetPeerAsOwner(2);
  f.Run(std::chrono::milliseconds(500));
  f.clock.Advance(std::chrono::seconds(20));
  f.Run(std::chrono::milliseconds(1000));
  f.ownership.OnEntryHeard(kPeer);
  f.Run(std::chrono::milliseconds(2500));
  cr_assert(f.writes.empty());
}

// Guards against a handover after which the old owner keeps the shard or no entry owns it.
Test(shard_ownership, hands_over_to_the_target) {
  Fixture f;
  f.Run(std::chrono::milliseconds(1000));
  f.ownership.HandOver(kPeer);
  f.Run(std::chrono::milliseconds(100));
  cr_assert(f.stopped == Epochs{1});
  cr_assert(f.row.row == (ShardRow{.epoch = 2, .owner = kPeer}));
}

// Guards against an owner that continues because the answer to its handover write was lost.
Test(shard_ownership, gives_up_after_a_handover_whose_answer_was_lost) {
  Fixture f;
  f.Run(std::chrono::milliseconds(1000));
  f.lose_write_answers = true;
  f.ownership.HandOver(kPeer);
  f.Run(std::chrono::milliseconds(1500));
  cr_assert(f.stopped == Epochs{1});
  cr_assert_eq(f.row.row->epoch, 2U);
}

// Guards against a handover target that becomes owner before the table names it, or never does.
Test(shard_ownership, handover_target_owns_the_shard_when_the_row_names_it) {
  Fixture f;
  f.SetPeerAsOwner(2);
  f.Run(std::chrono::milliseconds(100));
  f.ownership.SetMayTakeOver(false);
  f.ownership.OnOwnerReported({.epoch = 3, .owner = kSelf});
  f.Run(std::chrono::milliseconds(100));
  cr_assert(f.started.empty());
  f.row = {.row = ShardRow{.epoch = 3, .owner = kSelf}, .version = 2};
  f.ownership.OnOwnerReported({.epoch = 3, .owner = kSelf});
  f.Run(std::chrono::milliseconds(1100));
  cr_assert(f.started == Epochs{3});
}

// Guards against a takeover by an entry that is shutting down or has no configuration.
Test(shard_ownership, does_not_take_over_while_not_allowed) {
  Fixture f;
  f.ownership.SetMayTakeOver(false);
  f.Run(std::chrono::milliseconds(5000));
  cr_assert(f.writes.empty());
}
