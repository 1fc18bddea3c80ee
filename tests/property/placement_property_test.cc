// Placement policies against an exhaustive search.
#include <algorithm>
#include <map>
#include <string>

#include "core/executor_pool.h"
#include "property/property.h"

namespace {

using zinniamux::core::AgentHello;
using zinniamux::core::ExecutorHealth;
using zinniamux::core::ExecutorPool;
using zinniamux::core::JobSpread;
using zinniamux::core::MakePlacementPolicy;
using zinniamux::core::Placement;
using zinniamux::core::PlacementPolicyKind;
using zinniamux::core::PlacementTarget;
using zinniamux::tests::CheckProperty;

AgentHello Hello(int index, std::uint32_t slots, std::uint32_t memory_mb) {
  AgentHello hello{.agent_id = "agent-" + std::to_string(index),
                   .availability_zone = (index / 3) % 2 == 0 ? "oslo" : "hamar",
                   .rack = "rack-" + std::to_string(index / 3)};
  hello.executor = {.executor_id = "executor-" + std::to_string(index),
                    .available = true,
                    .slots = slots,
                    .memory_mb = memory_mb};
  return hello;
}

bool Usable(const PlacementTarget& target, std::uint32_t memory_mb) {
  return target.free_slots() > 0 && target.Fits(memory_mb);
}

void ChangeOne(ExecutorPool& pool, int index) {
  const std::string id = "agent-" + std::to_string(index);
  switch (*rc::gen::inRange(0, 6)) {
    case 0:
      pool.SetUsable(id, false);
      break;
    case 1:
      pool.Attach(Hello(index, *rc::gen::inRange(0, 4), *rc::gen::inRange(0, 5000)));
      break;
    case 2:
      pool.SetStanding(id, *rc::gen::element(ExecutorHealth::Standing::kHealthy,
                                             ExecutorHealth::Standing::kEjected,
                                             ExecutorHealth::Standing::kProbation));
      break;
    case 3:
      pool.UpdateStatus(id, Hello(index, *rc::gen::inRange(0, 4), 1000).executor);
      break;
    default:
      pool.ReleaseSlot(id);
  }
}

}  // namespace

// Guards against indexes that drift from the executors' state: a task placed on a full, ejected,
// detached or too small executor, or one that waits although an executor could take it.
Test(placement_property, finds_a_usable_executor_if_there_is_one) {
  CheckProperty(7101, "a usable executor is found if there is one", [] {
    const auto kind =
        *rc::gen::element(PlacementPolicyKind::kLateBinding, PlacementPolicyKind::kRandom,
                          PlacementPolicyKind::kRoundRobin, PlacementPolicyKind::kLeastLoaded);
    ExecutorPool pool("oslo", MakePlacementPolicy(kind, 1));
    const int executors = *rc::gen::inRange(1, 12);
    for (int index = 0; index < executors; ++index) {
      pool.Attach(Hello(index, *rc::gen::inRange(0, 4), *rc::gen::inRange(0, 5000)));
    }
    const int steps = *rc::gen::inRange(1, 100);
    for (int step = 0; step < steps; ++step) {
      if (*rc::gen::inRange(0, 2) == 0) ChangeOne(pool, *rc::gen::inRange(0, executors));
      const std::uint32_t memory_mb = *rc::gen::inRange(0, 5000);
      bool usable = false;
      bool healthy = false;
      std::uint32_t free_slots = 0;
      for (std::uint32_t index = 0; index < pool.size(); ++index) {
        const PlacementTarget& target = pool.target(index);
        free_slots += target.free_slots();
        if (!Usable(target, memory_mb)) continue;
        usable = true;
        healthy = healthy || target.standing == ExecutorHealth::Standing::kHealthy;
      }
      RC_ASSERT(pool.free_slots() == free_slots);
      const Placement placement = pool.Choose({.memory_mb = memory_mb});
      RC_ASSERT(placement.index.has_value() == usable);
      if (!placement.index) continue;
      const PlacementTarget& chosen = pool.target(*placement.index);
      RC_ASSERT(Usable(chosen, memory_mb));
      if (kind == PlacementPolicyKind::kLateBinding && healthy) {
        RC_ASSERT(chosen.standing == ExecutorHealth::Standing::kHealthy);
      }
      pool.TakeSlot(chosen.agent_id);
    }
  });
}

// Guards against a job that sits in few racks, so that the loss of one takes most of its tasks, and
// against unequal use of equal executors.
Test(placement_property, late_binding_spreads_a_job_evenly) {
  CheckProperty(7102, "a job is spread evenly over equal racks", [] {
    ExecutorPool pool("oslo", MakePlacementPolicy(PlacementPolicyKind::kLateBinding, 1));
    const int racks = *rc::gen::inRange(1, 12);
    for (int index = 0; index < racks * 3; ++index) pool.Attach(Hello(index, 8, 64'000));
    const int tasks = *rc::gen::inRange(1, racks * 24);
    JobSpread spread;
    std::map<std::uint32_t, int> per_rack;
    for (int task = 0; task < tasks; ++task) {
      const Placement placement = pool.Choose({.memory_mb = 100, .spread = &spread});
      const PlacementTarget& target = pool.target(*placement.index);
      spread.Add(target.rack);
      ++per_rack[target.rack];
      pool.TakeSlot(target.agent_id);
    }
    const int fair = (tasks + racks - 1) / racks;
    for (const auto& [rack, count] : per_rack) RC_ASSERT(count <= fair);
    std::uint32_t most = 0;
    std::uint32_t least = 8;
    for (std::uint32_t index = 0; index < pool.size(); ++index) {
      most = std::max(most, pool.target(index).used_slots);
      least = std::min(least, pool.target(index).used_slots);
    }
    RC_ASSERT(most <= least + 1);
  });
}
