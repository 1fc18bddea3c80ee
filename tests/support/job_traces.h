// Arrivals of jobs that replay the load patterns which the decisions answer.
#ifndef ZINNIAMUX_TESTS_SUPPORT_JOB_TRACES_H_
#define ZINNIAMUX_TESTS_SUPPORT_JOB_TRACES_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "support/lease_world.h"

namespace zinniamux::testing {

// Three kinds of job as at a shop counter: short and wide urgent ones ("stock"), long ones
// ("layout"), and frequent ones ("price"). At load 1 the three need 245 cores on average.
struct TraceOptions {
  std::uint64_t seed = 1;
  core::Duration begin{0};
  core::Duration length{0};
  double load = 1;
  std::size_t dispatchers = 3;
  // Processor need of one task; the need at load 1 grows with it.
  std::int64_t task_cpu_milli = 3100;
};

std::vector<SimulatedJob> CounterTrace(const TraceOptions& options);

// Adds a trace to the world. The ids end with the time at which it begins, so that several traces
// can follow each other.
void AddTrace(LeaseWorld& world, const TraceOptions& options);

// Processor capacities of executors, of which every third is larger.
std::vector<std::int64_t> MixedExecutorSizes(std::size_t count);

// What became of the jobs of one kind.
struct KindCount {
  std::size_t asked = 0;
  std::size_t in_time = 0;
  // Complete after the objective, and of these within three times the objective.
  std::size_t late = 0;
  std::size_t late_within_limit = 0;
  std::size_t refused = 0;
  std::size_t unanswered = 0;
  double in_time_share() const {
    return asked == 0 ? 1 : static_cast<double>(in_time) / static_cast<double>(asked);
  }
};

// Counts jobs whose id begins with `kind`.
KindCount CountKind(const LeaseWorld& world, const std::string& kind);
// Only those that were first sent to one of these dispatchers.
KindCount CountKind(const LeaseWorld& world, const std::string& kind,
                    const std::function<bool(std::size_t dispatcher)>& includes);

}  // namespace zinniamux::testing

#endif  // ZINNIAMUX_TESTS_SUPPORT_JOB_TRACES_H_
