// ConfigurationWatch against a store whose answers a test gives.
#include "zinniamuxd/configuration_watch.h"

#include <criterion/criterion.h>

#include <asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace {

using zinniamux::core::ConfigurationSource;
using zinniamux::core::Error;
using zinniamux::core::ErrorKind;
using zinniamux::core::EvacuationState;
using zinniamux::core::Result;
using zinniamux::daemon::ConfigurationWatch;

// Answers reads at once, and holds back the answer about changes.
class FakeSource : public ConfigurationSource {
 public:
  void ReadConfiguration(ReadCallback callback) override {
    calls.emplace_back("configuration");
    if (is_down) return callback(Down());
    callback(Document{.body = "{}", .position = position});
  }
  void ReadEvacuation(EvacuationCallback callback) override {
    calls.emplace_back("evacuation");
    if (is_down) return callback(Down());
    callback(EvacuationState{.version = position, .zones = zones});
    if (changes_after_read) ++position;
  }
  void AwaitChange(std::uint64_t from, std::chrono::milliseconds /*wait*/,
                   ChangeCallback callback) override {
    calls.push_back("change after " + std::to_string(from));
    change = std::move(callback);
  }

  static tl::unexpected<Error> Down() {
    return tl::unexpected(Error{ErrorKind::kStoreUnavailable, "down", {}});
  }

  std::vector<std::string> calls;
  std::uint64_t position = 5;
  std::set<std::string> zones;
  bool is_down = false;
  // Something is written between the two reads.
  bool changes_after_read = false;
  ChangeCallback change;
};

struct Fixture {
  explicit Fixture(bool reads_evacuation) {
    watch = std::make_shared<ConfigurationWatch>(
        loop, source,
        ConfigurationWatch::Options{.retry_delay = std::chrono::milliseconds(1),
                                    .reads_evacuation = reads_evacuation},
        ConfigurationWatch::Handlers{
            .on_configuration = [this](const auto&) { events.emplace_back("configuration"); },
            .on_evacuation =
                [this](const EvacuationState& state) {
                  events.push_back("evacuation " + std::to_string(state.version));
                  evacuated = state.zones;
                },
            .on_store_status = [](const auto&...) {}});
  }
  ~Fixture() { watch->Stop(); }

  void Start() {
    watch->Start();
    loop.poll();
  }
  void AnswerChange(const Result<std::uint64_t>& result) {
    std::exchange(source.change, nullptr)(result);
    loop.restart();
    loop.poll();
  }

  asio::io_context loop;
  FakeSource source;
  std::vector<std::string> events;
  std::set<std::string> evacuated;
  std::shared_ptr<ConfigurationWatch> watch;
};

using Calls = std::vector<std::string>;

}  // namespace

// Guards against calls to the store by deployments that evacuate no zones.
Test(configuration_watch, makes_no_further_call_without_the_setting) {
  Fixture fixture(false);
  fixture.Start();
  fixture.source.position = 6;
  fixture.AnswerChange(6);
  cr_assert_eq(fixture.source.calls,
               (Calls{"configuration", "change after 5", "configuration", "change after 6"}));
}

// Guards against a dispatcher that has a configuration, and so serves, before it knows the
// evacuated zones, and against a row that is added or removed without being read.
Test(configuration_watch, reads_evacuated_zones_before_the_configuration) {
  Fixture fixture(true);
  fixture.source.zones = {"zone-a"};
  fixture.Start();
  cr_assert_eq(fixture.events, (Calls{"evacuation 5", "configuration"}));
  cr_assert(fixture.evacuated.contains("zone-a"));
  fixture.source.zones.clear();
  fixture.source.position = 6;
  fixture.AnswerChange(6);
  cr_assert(fixture.evacuated.empty());
  // No change: nothing is read.
  const std::size_t calls = fixture.source.calls.size();
  fixture.AnswerChange(6);
  cr_assert_eq(fixture.source.calls.size(), calls + 1);
}

// Guards against a row that is written between the two reads and never noticed.
Test(configuration_watch, awaits_changes_since_the_read_of_the_zones) {
  Fixture fixture(true);
  fixture.source.changes_after_read = true;
  fixture.Start();
  cr_assert_eq(fixture.source.calls.back(), "change after 5");
}

// Guards against rows that are not read again after the feed or the store was lost.
Test(configuration_watch, reads_again_after_a_lost_feed) {
  for (const ErrorKind kind : {ErrorKind::kNotFound, ErrorKind::kStoreUnavailable}) {
    Fixture fixture(true);
    fixture.Start();
    fixture.source.zones = {"zone-a"};
    fixture.source.position = 9;
    fixture.source.is_down = kind == ErrorKind::kStoreUnavailable;
    fixture.AnswerChange(tl::unexpected(Error{kind, "lost", {}}));
    if (fixture.source.is_down) {
      // A failed read keeps what is known.
      fixture.loop.restart();
      fixture.loop.run_for(std::chrono::milliseconds(20));
      cr_assert_eq(fixture.events.size(), 2);
      fixture.source.is_down = false;
    }
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (!fixture.evacuated.contains("zone-a") && std::chrono::steady_clock::now() < deadline) {
      fixture.loop.restart();
      fixture.loop.run_for(std::chrono::milliseconds(5));
    }
    cr_assert(fixture.evacuated.contains("zone-a"));
  }
}
