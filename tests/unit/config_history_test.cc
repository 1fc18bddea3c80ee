// ConfigHistory: each version has one winning publish, and versions only increase.
#include "core/config_history.h"

#include <criterion/criterion.h>

#include <map>

#include "support/simulated_store.h"

namespace {

using namespace std::chrono_literals;
using zinniamux::core::AnswerPublish;
using zinniamux::core::ConfigAction;
using zinniamux::core::ConfigHistory;
using zinniamux::core::ConfigKnowledge;
using zinniamux::core::ErrorKind;
using zinniamux::core::ManualClock;
using zinniamux::core::ParseConfigHistory;
using zinniamux::core::PutInForce;
using zinniamux::core::Result;
using zinniamux::standins::PlatformState;

// The history of one entry, on a store that several entries may share.
class Entry {
 public:
  explicit Entry(PlatformState& platform)
      : history_({}, clock_),
        store_(platform, history_, [this](const ConfigAction& action) { RecordAction(action); }) {}

  ConfigHistory& history() { return history_; }
  auto& store() { return store_; }
  const std::vector<std::uint64_t>& versions() const { return versions_; }
  // The answer to a publish; throws if there is none.
  const Result<std::uint64_t>& answer(std::uint64_t id) const { return answers_.at(id); }
  bool answered(std::uint64_t id) const { return answers_.contains(id); }

  void Publish(std::uint64_t id, std::uint64_t base, const std::string& token,
               const std::string& body = "body") {
    history_.Publish({.id = id, .base_version = base, .token = token, .body = body});
    store_.Collect();
  }

  void Rollback(std::uint64_t id, std::uint64_t base, std::uint64_t target) {
    history_.Rollback({.id = id, .base_version = base, .target_version = target, .token = "back"});
    store_.Collect();
  }

  // Advances the clock and runs the timer. Store calls made by the timer stay pending.
  void Advance(std::chrono::milliseconds time) {
    clock_.Advance(time);
    history_.OnTimer();
    store_.Collect();
  }

  void Settle() {
    for (int i = 0; i < 3; ++i) {
      Advance(2s);
      store_.ServeAll();
    }
  }

 private:
  void RecordAction(const ConfigAction& action) {
    if (const auto* answer = std::get_if<AnswerPublish>(&action)) {
      answers_.emplace(answer->id, answer->result);
    }
    if (const auto* put = std::get_if<PutInForce>(&action)) {
      versions_.push_back(put->config.version);
    }
  }

  ManualClock clock_;
  ConfigHistory history_;
  zinniamux::testing::SimulatedStore<ConfigHistory, ConfigAction> store_;
  std::map<std::uint64_t, Result<std::uint64_t>> answers_;
  std::vector<std::uint64_t> versions_;
};

}  // namespace

// Guards against two publishes on one base version that both succeed or both fail, for every
// interleaving of their store calls.
Test(config_history, lets_exactly_one_of_two_racing_publishes_win) {
  for (std::uint32_t order = 0; order < 256; ++order) {
    PlatformState platform;
    Entry first(platform);
    Entry second(platform);
    first.Publish(1, 0, "first", "one");
    second.Publish(1, 0, "second", "two");
    for (std::uint32_t bits = order; first.store().pending() + second.store().pending() > 0;
         bits >>= 1U) {
      const bool take_first =
          second.store().pending() == 0 || ((bits & 1U) != 0 && first.store().pending() > 0);
      (take_first ? first : second).store().Serve();
    }
    cr_assert(first.answer(1).has_value() != second.answer(1).has_value());
    const Entry& loser = first.answer(1).has_value() ? second : first;
    cr_assert(loser.answer(1).error().kind == ErrorKind::kVersionConflict);
    first.Settle();
    second.Settle();
    cr_assert(first.history().in_force().body == second.history().in_force().body);
  }
}

// Guards against a publish that took effect and is reported as a conflict, or that takes effect
// twice.
Test(config_history, recognises_its_own_publish_after_a_lost_answer) {
  PlatformState platform;
  Entry entry(platform);
  entry.Publish(1, 0, "token");
  entry.store().Serve();       // body
  entry.store().Serve();       // config/current
  entry.store().LoseAnswer();  // transaction
  entry.store().ServeAll();
  cr_assert(entry.answer(1) == 1U);
  // The caller retries after another publish.
  Entry other(platform);
  other.Publish(1, 1, "other");
  other.store().ServeAll();
  entry.Publish(2, 0, "token");
  entry.store().ServeAll();
  cr_assert(entry.answer(2) == 1U);
  entry.Publish(3, 0, "token", "another body");
  entry.store().ServeAll();
  cr_assert(entry.answer(3).error().kind == ErrorKind::kVersionConflict);
  cr_assert(ParseConfigHistory(platform.Rows("config/version/")).size() == 2);
}

// Guards against a transaction that takes effect late and is then taken for another publisher's.
Test(config_history, recognises_its_own_publish_after_a_delayed_transaction) {
  PlatformState platform;
  Entry entry(platform);
  entry.Publish(1, 0, "token");
  entry.store().Serve();
  entry.store().Serve();
  entry.store().Delay();
  entry.store().Serve();  // its row does not exist yet
  entry.Advance(300ms);
  entry.store().ApplyDelayed();
  entry.store().ServeAll();
  cr_assert(entry.answer(1) == 1U);
}

// Guards against a publish that is never answered while the store is down.
Test(config_history, answers_a_publish_while_the_store_is_down) {
  PlatformState platform;
  Entry entry(platform);
  entry.Publish(1, 0, "token");
  for (int i = 0; i < 100 && !entry.answered(1); ++i) {
    while (entry.store().pending() > 0) entry.store().LoseCall();
    entry.Advance(100ms);
  }
  cr_assert(entry.answer(1).error().kind == ErrorKind::kStoreUnavailable);
}

// Guards against a version that decreases because of an outdated peer or a late answer to a read.
Test(config_history, never_reverts_to_a_lower_version) {
  PlatformState platform;
  Entry publisher(platform);
  publisher.Publish(1, 0, "a", "one");
  publisher.store().ServeAll();
  Entry reader(platform);
  reader.Advance(2s);
  reader.store().ServeAndHold(0);  // reads version 1, answered below
  publisher.Publish(2, 1, "b", "two");
  publisher.store().ServeAll();
  reader.history().OnPeerConfig({.version = 2, .body = "two"});
  reader.store().ServeAll();
  reader.history().OnPeerConfig({.version = 1, .body = "one"});
  reader.store().Collect();
  cr_assert(reader.history().in_force().version == 2);
  reader.Settle();
  cr_assert(reader.versions() == std::vector<std::uint64_t>{2});
}

// Guards against an entry that restarts during a store outage and assumes that a peer's version is
// the one in the table.
Test(config_history, requires_a_table_read_after_a_restart) {
  PlatformState platform;
  Entry publisher(platform);
  publisher.Publish(1, 0, "a", "one");
  publisher.store().ServeAll();
  publisher.Publish(2, 1, "b", "two");
  publisher.store().ServeAll();
  Entry restarted(platform);
  restarted.Advance(2s);
  restarted.store().LoseCall();
  cr_assert(restarted.history().knowledge() == ConfigKnowledge::kNone);
  restarted.history().OnPeerConfig({.version = 1, .body = "one"});
  cr_assert(restarted.history().knowledge() == ConfigKnowledge::kFromPeers);
  restarted.Advance(2s);
  restarted.store().Serve();  // the row names version 2, whose body is still to be read
  cr_assert(restarted.history().knowledge() == ConfigKnowledge::kFromPeers);
  restarted.store().ServeAll();
  cr_assert(restarted.history().knowledge() == ConfigKnowledge::kFromTable);
  cr_assert(restarted.history().in_force().body == "two");
}

// Guards against a rollback that lowers the version, or that succeeds for a version which does not
// exist.
Test(config_history, rolls_back_with_a_new_version) {
  PlatformState platform;
  Entry entry(platform);
  entry.Publish(1, 0, "a", "one");
  entry.store().ServeAll();
  entry.Publish(2, 1, "b", "two");
  entry.store().ServeAll();
  entry.Rollback(3, 2, 1);
  entry.store().ServeAll();
  cr_assert(entry.answer(3) == 3U);
  entry.Settle();
  cr_assert(entry.versions() == std::vector<std::uint64_t>({1, 2, 3}));
  cr_assert(entry.history().in_force().body == "one");
  entry.Rollback(4, 3, 9);
  entry.store().ServeAll();
  cr_assert(entry.answer(4).error().kind == ErrorKind::kNotFound);
}
