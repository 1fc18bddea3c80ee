// Dispatchers with little processor time beside others with more, in simulated time.
#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "property/property.h"
#include "support/job_traces.h"
#include "support/lease_world.h"

namespace {

using std::chrono::microseconds;
using std::chrono::seconds;
using zinniamux::testing::AddTrace;
using zinniamux::testing::LeaseWorld;
using zinniamux::testing::MixedExecutorSizes;
using zinniamux::testing::TraceOptions;

// Executors announce themselves within this time.
constexpr seconds kWarmUp{4};
constexpr std::size_t kExecutors = 53;
constexpr std::int64_t kTaskCpuMilli = 2500;
// The first dispatchers are the small ones.
constexpr std::size_t kSmall = 2;
constexpr std::size_t kDispatchers = 8;
constexpr double kLargeShare = 0.5;
// 0.75 and 1.2 of the executors' room.
constexpr double kCalmLoad = 7.3;
constexpr double kBurstLoad = 11.7;
// The highest floor that a deployment states for the callers of one availability zone.
constexpr double kZoneFloor = 0.5;

LeaseWorld::Options UnequalDispatchers(std::uint64_t seed, double small_share) {
  LeaseWorld::Options options{.seed = seed, .dispatchers = kDispatchers};
  options.executor_cpu_milli = MixedExecutorSizes(kExecutors);
  options.processor_shares.assign(kDispatchers, kLargeShare);
  std::fill_n(options.processor_shares.begin(), kSmall, small_share);
  // As the daemon needs on one core of a server.
  options.message_cost = microseconds(35);
  options.placement_cost = microseconds(2);
  return options;
}

double InTimeShare(const LeaseWorld& world, std::size_t begin, std::size_t end) {
  double asked = 0;
  double in_time = 0;
  for (const auto& [id, record] : world.jobs()) {
    if (record.dispatcher < begin || record.dispatcher >= end) continue;
    ++asked;
    const bool complete =
        record.reply && record.reply->result == zinniamux::core::JobResult::kComplete;
    if (complete && record.took <= record.objective) ++in_time;
  }
  return in_time / asked;
}

struct InTime {
  double small = 0;
  double others = 0;
};

// Plays a burst between calm seconds, and returns the shares of jobs that are done in time at the
// small dispatchers and at the others.
InTime PlayBurst(std::uint64_t seed, double small_share) {
  LeaseWorld world(UnequalDispatchers(seed, small_share));
  TraceOptions trace{.seed = seed,
                     .begin = kWarmUp,
                     .length = seconds(3),
                     .load = kCalmLoad,
                     .dispatchers = kDispatchers,
                     .task_cpu_milli = kTaskCpuMilli};
  AddTrace(world, trace);
  trace.seed = seed + 1;
  trace.begin += seconds(3);
  trace.load = kBurstLoad;
  AddTrace(world, trace);
  trace.seed = seed + 2;
  trace.begin += seconds(3);
  trace.length = seconds(4);
  trace.load = kCalmLoad;
  AddTrace(world, trace);
  world.Run(seconds(22));
  cr_assert(world.violations().empty());
  const InTime in_time{.small = InTimeShare(world, 0, kSmall),
                       .others = InTimeShare(world, kSmall, kDispatchers)};
  cr_log_info("in time: %f at small dispatchers, %f at the others", in_time.small, in_time.others);
  return in_time;
}

}  // namespace

// Guards against dispatchers whose work grows with their backlog: in a burst, those with the least
// processor time handled reports of executors seconds late and refused nearly all jobs, while
// others served theirs on the same executors.
Test(processor_shortage, callers_of_small_dispatchers_are_served_in_a_burst) {
  const InTime in_time = PlayBurst(26, 0.12);
  cr_assert_geq(in_time.others, 0.7);
  cr_assert_geq(in_time.small, 0.9 * in_time.others);
}

// Guards against reports that take up most of the processor time of a dispatcher: it then handles
// them in order and late, and the older its views are the more jobs it refuses.
Test(processor_shortage, reports_leave_processor_time_for_jobs) {
  const InTime in_time = PlayBurst(26, 0.08);
  cr_assert_geq(in_time.others, 0.7);
  cr_assert_geq(in_time.small, kZoneFloor);
}

// Guards against processor time and room for jobs that are read too late: they were placed as if
// they had just arrived, so that those behind them were late, too.
Test(processor_shortage, jobs_that_are_read_too_late_do_not_delay_others) {
  const InTime in_time = PlayBurst(26, 0.06);
  cr_assert_geq(in_time.others, 0.7);
  cr_assert_geq(in_time.small, kZoneFloor);
}
