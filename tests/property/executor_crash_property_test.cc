// Tasks that crash the executors that run them, in simulated time.
#include <criterion/criterion.h>

#include <cstddef>
#include <cstdint>
#include <string>

#include "support/job_traces.h"
#include "support/lease_world.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using zinniamux::core::JobReason;
using zinniamux::core::JobResult;
using zinniamux::core::TimePoint;
using zinniamux::testing::AddTrace;
using zinniamux::testing::LeaseWorld;
using zinniamux::testing::SimulatedJob;

// Executors announce themselves within this time.
constexpr seconds kWarmUp{4};
constexpr std::size_t kCrashingJobs = 3;

// A job whose caller waits for long, and whose second task crashes executors.
SimulatedJob CrashingJob(std::size_t number) {
  return {.request = {.id = "crashing" + std::to_string(number),
                      .queue = "layout",
                      .service = "service",
                      .steps = {{.count = 3,
                                 .need = {.cpu_milli = 3100, .memory_mb = 64},
                                 .estimate = milliseconds(300)}},
                      .attempts = 2,
                      .stretch = 1.6,
                      .slack = milliseconds(60),
                      .deadline = TimePoint() + seconds(12)},
          .run_times = std::vector<zinniamux::core::Duration>(3, milliseconds(300)),
          .arrives = kWarmUp + milliseconds(500 + 2000 * number),
          .dispatcher = number,
          .crashing_task = 1};
}

}  // namespace

// Guards against a task that crashes one executor after the other for as long as its caller waits.
Test(executor_crash, three_crashes_under_a_task_fail_its_job) {
  for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
    LeaseWorld world({.seed = seed});
    AddTrace(world, {.seed = seed, .begin = kWarmUp, .length = seconds(8), .load = 0.4});
    for (std::size_t number = 0; number < kCrashingJobs; ++number) world.Add(CrashingJob(number));
    world.Run(seconds(40));
    cr_assert(world.violations().empty(), "seed %lu", seed);
    cr_assert_eq(world.most_crashes_of_a_task(), 3, "seed %lu: %zu", seed,
                 world.most_crashes_of_a_task());
    for (std::size_t number = 0; number < kCrashingJobs; ++number) {
      const auto& reply = world.jobs().at(CrashingJob(number).request.id).reply;
      cr_assert(reply.has_value(), "seed %lu", seed);
      cr_assert(reply->result == JobResult::kFailed, "seed %lu", seed);
      cr_assert(reply->reason == JobReason::kExecutorsCrashed, "seed %lu", seed);
    }
  }
}
