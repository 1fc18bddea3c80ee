// Dispatchers with little processor time beside others with more, in simulated time.
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
using zinniamux::core::Duration;
using zinniamux::testing::CounterTrace;
using zinniamux::testing::JobRecord;
using zinniamux::testing::LeaseWorld;

// Executors announce themselves within this time.
constexpr seconds kWarmUp{4};
constexpr std::size_t kExecutors = 53;
constexpr std::int64_t kTaskCpuMilli = 2500;
// The first dispatchers are the small ones.
constexpr std::size_t kSmall = 2;
constexpr double kSmallShare = 0.12;
const std::vector<double> kShares{kSmallShare, kSmallShare, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5};
// 0.75 and 1.2 of the executors' room.
constexpr double kCalmLoad = 7.3;
constexpr double kBurstLoad = 11.7;

LeaseWorld::Options UnequalDispatchers(std::uint64_t seed) {
  LeaseWorld::Options options{.seed = seed, .dispatchers = kShares.size()};
  options.executor_cpu_milli.clear();
  for (std::size_t i = 0; i < kExecutors; ++i) {
    options.executor_cpu_milli.push_back(i % 3 == 2 ? 48'000 : 32'000);
  }
  options.processor_shares = kShares;
  // As the daemon needs on one core of a server.
  options.message_cost = microseconds(35);
  options.placement_cost = microseconds(2);
  return options;
}

void AddTrace(LeaseWorld& world, std::uint64_t seed, double load, Duration begin, Duration length) {
  for (auto& job : CounterTrace({.seed = seed,
                   .begin = begin,
                   .length = length,
                   .load = load,
                   .dispatchers = kShares.size(),
                   .task_cpu_milli = kTaskCpuMilli})) {
    job.request.id += "-" + std::to_string(begin.count());
    world.Add(std::move(job));
  }
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

}  // namespace

// Guards against dispatchers whose work grows with their backlog: in a burst, those with the least
// processor time handled reports of executors seconds late and refused nearly all jobs, while
// others served theirs on the same executors.
Test(processor_shortage, callers_of_small_dispatchers_are_served_in_a_burst) {
  LeaseWorld world(UnequalDispatchers(26));
  AddTrace(world, 26, kCalmLoad, kWarmUp, seconds(3));
  AddTrace(world, 27, kBurstLoad, kWarmUp + seconds(3), seconds(3));
  AddTrace(world, 28, kCalmLoad, kWarmUp + seconds(6), seconds(4));
  world.Run(seconds(22));
  const double small = InTimeShare(world, 0, kSmall);
  const double others = InTimeShare(world, kSmall, kShares.size());
  cr_log_info("in time: %f at small dispatchers, %f at the others", small, others);
  cr_assert(world.violations().empty());
  cr_assert_geq(others, 0.7);
  cr_assert_geq(small, 0.9 * others);
}
