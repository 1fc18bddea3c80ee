// Reference for the overload tool: one queue in front of all executors, with full knowledge.
#ifndef ZINNIAMUX_BENCH_OVERLOAD_SHARED_QUEUE_H_
#define ZINNIAMUX_BENCH_OVERLOAD_SHARED_QUEUE_H_

#include <cstdint>
#include <map>
#include <span>
#include <string>

#include "support/job_traces.h"
#include "support/lease_world.h"

namespace zinniamux::bench {

// An executor and the factor by which tasks take longer on it.
struct SharedExecutor {
  std::int64_t cpu_milli = 0;
  double slowness = 1;
};

// Serves the jobs from a single queue that sees the free room of every executor at any moment and
// knows all run times. Tasks start where most room is left, of the executors on which they end
// within the objective. Urgent jobs come first, then the job
// that must start soonest; a job that cannot end within its objective any more is refused. Nothing
// is delayed by messages, so dispatchers that share executors can hardly serve more.
// Returns the counts by kind of job.
std::map<std::string, testing::KindCount> ServeFromSharedQueue(
    std::span<const testing::SimulatedJob> jobs, std::span<const SharedExecutor> executors);

}  // namespace zinniamux::bench

#endif  // ZINNIAMUX_BENCH_OVERLOAD_SHARED_QUEUE_H_
