// Shapes that a load takes over time and zones: swings, callers that move, bursts, and tails.
#ifndef ZINNIAMUX_BENCH_OVERLOAD_LOAD_SHAPE_H_
#define ZINNIAMUX_BENCH_OVERLOAD_LOAD_SHAPE_H_

#include <cstdint>
#include <vector>

#include "support/lease_world.h"

namespace zinniamux::bench {

struct LoadShape {
  std::uint64_t seed = 1;
  core::Duration begin{0};
  core::Duration length{0};
  // Share of the executors' room that the mean load needs.
  double load = 1;
  // Room of the executors in milli-cores, times their speed.
  double cpu_milli = 0;
  std::size_t dispatchers = 4;
  std::size_t zones = 3;
  // The load of a zone varies by this part of the mean; the zones are out of phase.
  double swing = 0;
  // In the middle third, this many times as many jobs arrive.
  double burst = 1;
  // Part of a zone's callers that use another zone for a while.
  double moving = 0;
  // This part of the tasks takes `tail_factor` times as long. Estimates do not tell.
  double tail_share = 0;
  double tail_factor = 7;
};

std::vector<testing::SimulatedJob> DrawJobs(const LoadShape& shape);

// Processor need of a task.
constexpr std::int64_t kTaskCpuMilli = 6200;

}  // namespace zinniamux::bench

#endif  // ZINNIAMUX_BENCH_OVERLOAD_LOAD_SHAPE_H_
