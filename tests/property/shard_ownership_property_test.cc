// ShardOwnership of several entries over one table row, under random faults.
#include <algorithm>
#include <string>
#include <vector>

#include "property/ownership_world.h"
#include "property/property.h"

namespace {

using zinniamux::tests::CheckProperty;
using zinniamux::tests::Fault;
using zinniamux::tests::OwnershipWorld;

constexpr std::uint64_t kSeed = 20'260'411;
// 30 s with faults, then 40 s without: store deadlines, late writes, silence and a takeover that
// starts again once fit in.
constexpr int kFaultSteps = 600;
constexpr int kHealedSteps = 800;

template <typename T>
rc::Gen<T> AnyBelow(T end) {
  // Without this, RapidCheck draws only from the low end of the range in its first cases.
  return rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(0, end));
}

std::vector<Fault> RandomFaults() {
  constexpr int kKinds = static_cast<int>(Fault::Kind::kHandOver) + 1;
  const auto fault = rc::gen::build<Fault>(
      rc::gen::set(&Fault::step, AnyBelow(kFaultSteps)),
      rc::gen::set(
          &Fault::kind,
          rc::gen::map(AnyBelow(kKinds), [](int kind) { return static_cast<Fault::Kind>(kind); })),
      rc::gen::set(&Fault::entry, AnyBelow<std::size_t>(4)));
  return *rc::gen::container<std::vector<Fault>>(*AnyBelow<std::size_t>(150), fault);
}

void RunSteps(OwnershipWorld& world, const std::vector<Fault>& faults, int steps) {
  for (int step = 0; step < steps; ++step) {
    for (const Fault& fault : faults) {
      if (fault.step == step) world.Apply(fault);
    }
    world.Step();
  }
}

}  // namespace

// Guards against two owners of one epoch, an epoch that goes back, a shard without an owner after
// the faults have ended, and a former owner that does not give up.
Test(shard_ownership_property, one_owner_per_epoch_and_an_owner_in_the_end) {
  CheckProperty(kSeed, "ownership under faults", [] {
    const auto entries = 1 + *AnyBelow<std::size_t>(4);
    OwnershipWorld world(entries, *rc::gen::arbitrary<std::uint32_t>());
    RunSteps(world, RandomFaults(), kFaultSteps);
    world.Heal();
    RunSteps(world, {}, kHealedSteps);
    RC_ASSERT(world.violation() == "");
    RC_ASSERT(world.Owners() == std::vector<std::string>{world.RowOwner()});
  });
}

// Guards against a stampede on the table: of many entries that miss the owner at once, most must
// see the winner before their own turn.
Test(shard_ownership_property, few_entries_race_for_a_shard) {
  CheckProperty(kSeed + 1, "writes at a takeover", [] {
    constexpr std::size_t kEntries = 6;
    // A store that answers within a step, as a live one does: the order of turns, not chance, has
    // to keep the writes apart.
    OwnershipWorld world(kEntries, *rc::gen::arbitrary<std::uint32_t>(),
                         std::chrono::milliseconds(50));
    RunSteps(world, {}, 100);
    const auto epoch = world.row_epoch();
    const std::size_t writes_before = world.writes();
    RC_ASSERT(world.Owners().size() == 1U);
    for (std::size_t entry = 0; entry < kEntries; ++entry) {
      if (world.IsOwner(entry)) world.Apply({.kind = Fault::Kind::kKill, .entry = entry});
    }
    RunSteps(world, {}, 200);
    RC_ASSERT(world.row_epoch() == epoch + 1);
    RC_ASSERT(world.writes() - writes_before <= 2U);
  });
}
