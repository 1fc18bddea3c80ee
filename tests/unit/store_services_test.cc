// Tests ConfigService and ClaimService over HTTP with the platform stand-in in this process.
#include <criterion/criterion.h>

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

#include "support/store_fixture.h"
#include "zinniamuxd/claim_service.h"
#include "zinniamuxd/config_service.h"

namespace {

using namespace std::chrono_literals;
using zinniamux::core::ClaimDecision;
using zinniamux::core::ConfigKnowledge;
using zinniamux::core::ConfigVersion;
using zinniamux::core::Error;
using zinniamux::core::ErrorKind;
using zinniamux::core::Result;
using zinniamux::daemon::ClaimService;
using zinniamux::daemon::ConfigService;
using zinniamux::standins::FaultMode;
using zinniamux::testing::StoreFixture;

constexpr std::chrono::milliseconds kTickPeriod{1};
constexpr std::chrono::seconds kTestTimeout{60};

// Calls `tick` until `done` returns true; fails the test after kTestTimeout.
void WaitUntil(const std::function<bool()>& done, const std::function<void()>& tick) {
  const auto deadline = std::chrono::steady_clock::now() + kTestTimeout;
  while (!done()) {
    cr_assert(std::chrono::steady_clock::now() < deadline);
    tick();
    std::this_thread::sleep_for(kTickPeriod);
  }
}

Result<void> ValidateBody(std::string_view body) {
  if (body == "bad") return tl::unexpected(Error{ErrorKind::kInvalidRequest, "bad", {}});
  return {};
}

}  // namespace

// Guards against a published configuration that other entries do not adopt, and against publishing
// a body that cannot be used.
Test(store_services, apply_a_published_configuration_on_other_entries) {
  StoreFixture fixture;
  std::atomic<std::uint64_t> adopted_version{0};
  ConfigService publisher(fixture.store(), fixture.clock(),
                          {.validate = ValidateBody,
                           .on_in_force = [](const ConfigVersion&) {},
                           .on_problem = [](const std::string&) {}});
  ConfigService reader(
      fixture.store(), fixture.clock(),
      {.validate = ValidateBody,
       .on_in_force = [&](const ConfigVersion& config) { adopted_version = config.version; },
       .on_problem = [](const std::string&) {}});
  std::atomic<bool> refused{false};
  publisher.Publish({.author = "ops"}, "bad", [&](const Result<std::uint64_t>& result) {
    refused = result.error().kind == ErrorKind::kInvalidRequest;
  });
  cr_assert(refused);
  std::atomic<std::uint64_t> published{0};
  publisher.Publish({.author = "ops"}, "good",
                    [&](const Result<std::uint64_t>& result) { published = result.value(); });
  const auto tick = [&] {
    publisher.OnTimer();
    reader.OnTimer();
  };
  WaitUntil([&] { return published == 1; }, tick);
  reader.OnPeerVersion(1);
  WaitUntil([&] { return adopted_version == 1; }, tick);
  cr_assert(reader.knowledge() == ConfigKnowledge::kFromTable);
  cr_assert(reader.in_force().body == "good");
  std::promise<std::string> author;
  reader.ReadHistory([&](const auto& history) { author.set_value(history->front().author); });
  cr_assert(author.get_future().get() == "ops");
}

// Guards against a hook or a callback that runs after its service has been destroyed.
Test(store_services, call_no_hook_after_destruction) {
  StoreFixture fixture(200ms);
  fixture.service().SetFaults({.mode = FaultMode::kSilent});
  bool services_destroyed = false;
  const auto check_not_destroyed = [&](const auto&...) { cr_assert(!services_destroyed); };
  {
    ConfigService config(fixture.store(), fixture.clock(),
                         {.validate = ValidateBody,
                          .on_in_force = check_not_destroyed,
                          .on_problem = check_not_destroyed});
    ClaimService claims({.token = "a"}, fixture.store(), fixture.clock(),
                        {.on_decided = check_not_destroyed,
                         .on_superseded = check_not_destroyed,
                         .on_problem = check_not_destroyed});
    claims.StartEpoch(1, 1);
    claims.AddClaim("s1", "k1");
    config.Publish({.token = "t"}, "good", check_not_destroyed);
    claims.OnTimer();
    config.OnTimer();
  }
  services_destroyed = true;
  // This read is answered after the calls of the services, which were sent before it.
  cr_assert(!fixture.ReadRow("a"));
}

// Guards against a deadlock between the shard's lock and the lock of the claim log, and against
// claims that are answered twice, never answered, or granted to two submissions with the same key.
Test(store_services, decide_claims_added_under_the_shard_lock, .timeout = 120) {
  constexpr int kThreads = 4;
  constexpr int kClaims = 250;
  StoreFixture fixture;
  fixture.Commit({.puts = {{"shard/0", "1"}}});
  const std::uint64_t row_version = (*fixture.ReadRow("shard/0"))->version;
  fixture.service().SetFaults({.mode = FaultMode::kLoseAnswers, .every = 3});
  std::mutex shard_mutex;
  std::map<std::string, int> answers;
  std::atomic<int> granted{0};
  std::atomic<int> answered{0};
  ClaimService claims({.token = "a", .max_wait = kTestTimeout}, fixture.store(), fixture.clock(),
                      {.on_decided =
                           [&](const std::string& submission_id, ClaimDecision decision) {
                             const std::lock_guard lock(shard_mutex);
                             ++answers[submission_id];
                             if (decision == ClaimDecision::kGranted) ++granted;
                             ++answered;
                           },
                       .on_superseded = [](std::uint64_t) { cr_assert(false); },
                       .on_problem = [](const std::string&) { cr_assert(false); }});
  claims.StartEpoch(1, row_version);
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([&, thread] {
      for (int i = 0; i < kClaims; ++i) {
        const std::lock_guard lock(shard_mutex);
        claims.AddClaim("s" + std::to_string(thread) + "-" + std::to_string(i),
                        "k" + std::to_string(i));
      }
    });
  }
  WaitUntil([&] { return answered == kThreads * kClaims; }, [&] { claims.OnTimer(); });
  for (std::thread& thread : threads) thread.join();
  cr_assert(granted == kClaims);
  cr_assert(answers.size() == std::size_t{kThreads} * kClaims);
}
