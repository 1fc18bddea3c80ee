// Evacuated and restored zones under load and faults in simulated time.
#include <random>
#include <set>
#include <string>

#include "property/property.h"
#include "support/job_traces.h"
#include "support/lease_world.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using zinniamux::core::Duration;
using zinniamux::testing::AddTrace;
using zinniamux::testing::LeaseWorld;
using zinniamux::tests::CheckProperty;

constexpr std::size_t kDispatchers = 3;
constexpr std::size_t kExecutors = 11;
constexpr std::size_t kZones = 3;
// Executors announce themselves within this time.
constexpr seconds kWarmUp{4};
constexpr seconds kLoadLength{14};

// A fault of a dispatcher, a supervisor, an executor or a link, while zones are evacuated.
void DrawFault(LeaseWorld& world, std::mt19937_64& random) {
  const auto draw = [&random](std::size_t below) {
    return static_cast<std::size_t>(random() % below);
  };
  const Duration at = kWarmUp + milliseconds(draw(10'000));
  const Duration length = milliseconds(50 + draw(2500));
  const std::size_t supervisor = draw(kExecutors);
  const std::size_t dispatcher = draw(kDispatchers);
  switch (draw(7)) {
    case 0:
      return world.CutLink(dispatcher, supervisor, at, length);
    case 1:
      return world.KillSupervisor(supervisor, at, length);
    case 2:
      return world.FreezeSupervisor(supervisor, at, length);
    case 3:
      return world.FreezeDispatcher(dispatcher, at, length);
    case 4:
      return world.KillDispatcher(dispatcher, at, length);
    case 5:
      return world.CutExecutor(supervisor, at, length, /*restarts=*/false);
    default:
      return world.SilenceLink(dispatcher, supervisor, at);
  }
}

// Rows are written up to six times: any set of zones, also none and all.
void DrawEvacuations(LeaseWorld& world, std::mt19937_64& random) {
  const std::size_t changes = 1 + random() % 6;
  for (std::size_t i = 0; i < changes; ++i) {
    std::set<std::size_t> zones;
    for (std::size_t zone = 0; zone < kZones; ++zone) {
      if (random() % 2 == 0) zones.insert(zone);
    }
    world.EvacuateZones(zones, kWarmUp + milliseconds(random() % 10'000));
  }
}

std::string ProblemsUnderDrawnEvacuations(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  LeaseWorld world({.seed = seed,
                    .dispatchers = kDispatchers,
                    .zones = kZones,
                    .earlier_dispatchers = random() % 2});
  AddTrace(world, {.seed = seed, .begin = kWarmUp, .length = kLoadLength, .load = 0.7});
  DrawEvacuations(world, random);
  const std::size_t faults = random() % 5;
  for (std::size_t i = 0; i < faults; ++i) DrawFault(world, random);
  // One dispatcher learns the zones from supervisors only.
  world.CutStore(random() % kDispatchers, kWarmUp, seconds(20));
  world.Run(seconds(40));
  std::string problems;
  for (const std::string& violation : world.violations()) problems += violation + "\n";
  for (const auto& [id, record] : world.jobs()) {
    if (!record.reply && !record.given_up) problems += id + " is not answered\n";
  }
  if (world.running_tasks() > 0) problems += "tasks still run\n";
  return problems;
}

}  // namespace

// Guards against tasks that start in an evacuated zone later than the bound, under rows that come
// and go, a dispatcher that cannot read the store, one of an earlier version, which knows no such
// rows, and up to four other faults. Guards as well
// against a zone change that breaks one of the other rules.
Test(zone_evacuation_world, starts_nothing_in_evacuated_zones_under_drawn_faults) {
  constexpr std::uint64_t kSeed = 20261206;
  CheckProperty(kSeed, "nothing starts in evacuated zones", [](std::uint64_t seed) {
    const std::string problems = ProblemsUnderDrawnEvacuations(seed);
    RC_LOG() << problems;
    RC_ASSERT(problems.empty());
  });
}

// Guards against a dispatcher that is cut off from the store and goes on starting tasks in an
// evacuated zone: supervisors refuse them, and tell it. Starts that were sent before the row was
// read may still come, so a second is left.
Test(zone_evacuation_world, dispatcher_without_store_starts_nothing_there) {
  LeaseWorld world({.seed = 3, .dispatchers = kDispatchers, .zones = kZones});
  AddTrace(world, {.seed = 3, .begin = kWarmUp, .length = kLoadLength, .load = 0.7});
  world.CutStore(0, kWarmUp, seconds(30));
  world.CutStore(1, kWarmUp, seconds(30));
  world.EvacuateZones({1}, kWarmUp + seconds(2));
  world.KillSupervisor(1, kWarmUp + seconds(4), milliseconds(500));
  world.KillDispatcher(0, kWarmUp + seconds(6), milliseconds(500));
  world.Run(seconds(35));
  cr_assert(world.violations().empty(), "%s", world.violations().front().c_str());
  cr_assert_gt(world.starts_in_evacuated_zones(seconds(0)), 0);
  cr_assert_eq(world.starts_in_evacuated_zones(milliseconds(1500)), 0);
}

// Guards against a restored zone that gets no work: without it, the load is more than the others
// can do.
Test(zone_evacuation_world, restored_zone_gets_work_again) {
  const auto served = [](bool restored) {
    LeaseWorld world({.seed = 4, .dispatchers = kDispatchers, .zones = kZones});
    AddTrace(world, {.seed = 4, .begin = kWarmUp, .length = kLoadLength, .load = 0.9});
    world.EvacuateZones({0, 1}, kWarmUp);
    if (restored) world.EvacuateZones({}, kWarmUp + seconds(3));
    world.Run(seconds(35));
    cr_assert(world.violations().empty(), "%s", world.violations().front().c_str());
    std::size_t complete = 0;
    for (const auto& [id, record] : world.jobs()) {
      if (record.reply && record.reply->result == zinniamux::core::JobResult::kComplete) ++complete;
    }
    return complete;
  };
  cr_assert_gt(served(true), served(false) * 3 / 2);
}
