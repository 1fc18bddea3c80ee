// Time to place all tasks of one 500-task job.
#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "core/executor_pool.h"

namespace {

using namespace zinniamux::core;  // NOLINT(google-build-using-namespace)

constexpr int kTasks = 500;
constexpr int kExecutorsPerRack = 3;
constexpr int kZones = 5;

void AttachExecutors(ExecutorPool& pool, int executors, std::uint32_t slots) {
  for (int index = 0; index < executors; ++index) {
    const int rack = index / kExecutorsPerRack;
    AgentHello hello{.agent_id = "agent-" + std::to_string(index),
                     .availability_zone = "zone-" + std::to_string(rack % kZones),
                     .rack = "rack-" + std::to_string(rack)};
    hello.executor = {
        .executor_id = hello.agent_id, .available = true, .slots = slots, .memory_mb = 64'000};
    pool.Attach(hello);
  }
}

// Arguments: placement policy, number of executors. Each iteration places and ends one job.
void PlaceJob(benchmark::State& state) {
  const auto kind = static_cast<PlacementPolicyKind>(state.range(0));
  const auto executors = static_cast<int>(state.range(1));
  ExecutorPool pool("zone-0", MakePlacementPolicy(kind, 1));
  // All tasks of the job fit.
  AttachExecutors(pool, executors, kTasks / executors + 8);
  std::vector<std::uint32_t> used;
  for (auto _ : state) {
    JobSpread spread;
    used.clear();
    for (int task = 0; task < kTasks; ++task) {
      const Placement placement = pool.Choose({.memory_mb = 100, .spread = &spread});
      const PlacementTarget& target = pool.target(*placement.index);
      spread.Add(target.rack);
      pool.TakeSlot(target.agent_id);
      used.push_back(target.index);
    }
    for (const std::uint32_t index : used) pool.ReleaseSlot(pool.target(index).agent_id);
  }
  state.SetItemsProcessed(state.iterations() * kTasks);
}

void AllPolicies(benchmark::internal::Benchmark* benchmark) {
  benchmark->ArgNames({"policy", "executors"});
  for (const auto kind : {PlacementPolicyKind::kLateBinding, PlacementPolicyKind::kRandom,
                          PlacementPolicyKind::kRoundRobin, PlacementPolicyKind::kLeastLoaded}) {
    for (const int executors : {11, 840}) {
      benchmark->Args({static_cast<std::int64_t>(kind), executors});
    }
  }
}

BENCHMARK(PlaceJob)->Apply(AllPolicies)->Unit(benchmark::kMicrosecond);

}  // namespace
