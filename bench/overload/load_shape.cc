// Thins, moves and lengthens the jobs of a trace.
#include "overload/load_shape.h"

#include <cmath>
#include <numbers>
#include <random>
#include <utility>

#include "support/job_traces.h"

namespace zinniamux::bench {
namespace {

using core::Duration;
using testing::SimulatedJob;

// Processor need of CounterTrace at load 1 with these tasks.
constexpr double kTraceCpuMilli = 490'000;
// The swing repeats this often within the length of the load.
constexpr double kSwings = 2;
// Callers stay in another zone for this time.
constexpr double kStaySeconds = 2;

double SecondsAfter(const SimulatedJob& job, const LoadShape& shape) {
  return std::chrono::duration<double>(job.arrives - shape.begin).count();
}

// Keeps a job with a probability that swings with the time, out of phase between zones.
bool IsKept(const SimulatedJob& job, const LoadShape& shape, double chance) {
  const auto zone = static_cast<double>(job.dispatcher % shape.zones);
  const double time =
      SecondsAfter(job, shape) / std::chrono::duration<double>(shape.length).count();
  const double phase = kSwings * time + zone / static_cast<double>(shape.zones);
  const double rate = 1 + shape.swing * std::sin(2 * std::numbers::pi * phase);
  return chance * (1 + shape.swing) < rate;
}

// The dispatcher that takes the place of the caller's own while the caller is in the next zone.
std::size_t Moved(const SimulatedJob& job, const LoadShape& shape) {
  const auto stay = static_cast<std::size_t>(SecondsAfter(job, shape) / kStaySeconds);
  return (job.dispatcher + 1 + stay % 2) % shape.dispatchers;
}

}  // namespace

std::vector<SimulatedJob> DrawJobs(const LoadShape& shape) {
  const double mean_length = 1 + shape.tail_share * (shape.tail_factor - 1);
  const double load = shape.load * shape.cpu_milli / kTraceCpuMilli / mean_length;
  std::vector<SimulatedJob> jobs = testing::CounterTrace({.seed = shape.seed,
                                                          .begin = shape.begin,
                                                          .length = shape.length,
                                                          .load = load * (1 + shape.swing),
                                                          .dispatchers = shape.dispatchers,
                                                          .task_cpu_milli = kTaskCpuMilli});
  if (shape.burst > 1) {
    for (auto& job : testing::CounterTrace({.seed = shape.seed + 1000,
                     .begin = shape.begin + shape.length / 3,
                     .length = shape.length / 3,
                     .load = load * (shape.burst - 1) * (1 + shape.swing),
                     .dispatchers = shape.dispatchers,
                     .task_cpu_milli = kTaskCpuMilli})) {
      job.request.id += "-burst";
      jobs.push_back(std::move(job));
    }
  }
  std::mt19937_64 random(shape.seed + 2000);
  std::uniform_real_distribution<> chance(0, 1);
  std::vector<SimulatedJob> shaped;
  for (SimulatedJob& job : jobs) {
    if (shape.swing > 0 && !IsKept(job, shape, chance(random))) continue;
    if (chance(random) < shape.moving) job.dispatcher = Moved(job, shape);
    for (Duration& run_time : job.run_times) {
      if (chance(random) >= shape.tail_share) continue;
      run_time = std::chrono::duration_cast<Duration>(run_time * shape.tail_factor);
    }
    shaped.push_back(std::move(job));
  }
  return shaped;
}

}  // namespace zinniamux::bench
