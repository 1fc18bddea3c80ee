// Placement at the size of hundreds of VMs, in simulated time.
#include <algorithm>
#include <string>
#include <vector>

#include "property/property.h"
#include "support/job_traces.h"
#include "support/lease_world.h"

namespace {

using std::chrono::seconds;
using zinniamux::testing::AddTrace;
using zinniamux::testing::CountKind;
using zinniamux::testing::KindCount;
using zinniamux::testing::LeaseWorld;
using zinniamux::testing::MixedExecutorSizes;

// Executors announce themselves within this time.
constexpr seconds kWarmUp{4};

constexpr std::size_t kDispatchers = 35;
constexpr std::size_t kExecutors = 160;
constexpr std::int64_t kTaskCpuMilli = 5000;
// The three kinds of job use 0.8 of the executors' room.
constexpr double kCalmLoad = 9.7;

LeaseWorld::Options LargeDeployment(std::uint64_t seed) {
  LeaseWorld::Options options{.seed = seed, .dispatchers = kDispatchers, .zones = 5};
  options.executor_cpu_milli = MixedExecutorSizes(kExecutors);
  return options;
}

// The least share of jobs in time, over the kinds.
double LeastInTime(const LeaseWorld& world) {
  double least = 1;
  for (const char* kind : {"stock", "layout", "price"}) {
    const KindCount count = CountKind(world, kind);
    cr_log_info("%s: %f in time, %zu of %zu refused", kind, count.in_time_share(), count.refused,
                count.asked);
    least = std::min(least, count.in_time_share());
  }
  return least;
}

}  // namespace

// Load pattern of a calm day at this size. Guards against dispatchers that order on the same
// executors from old views: with every change reported to every dispatcher, at the rate that a
// supervisor can afford, 42 % of the jobs of the shortest kind were in time.
Test(size, serves_a_calm_load_with_many_dispatchers) {
  LeaseWorld world(LargeDeployment(17));
  AddTrace(world, {.seed = 17,
                   .begin = kWarmUp,
                   .length = seconds(4),
                   .load = kCalmLoad,
                   .dispatchers = kDispatchers,
                   .task_cpu_milli = kTaskCpuMilli});
  world.Run(seconds(14));
  cr_assert(world.violations().empty());
  cr_assert_geq(LeastInTime(world), 0.99);
}
