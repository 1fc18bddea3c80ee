// Drawn arrivals of three kinds of job.
#include "support/job_traces.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace zinniamux::testing {
namespace {

using core::Duration;
using std::chrono::milliseconds;

struct Kind {
  const char* name;
  bool urgent;
  double per_second;
  double mean_ms;
  double mean_tasks;
  std::uint32_t max_tasks;
};

constexpr Kind kKinds[] = {{"stock", true, 34.4, 60, 8, 32},
                           {"layout", false, 6.25, 900, 4, 16},
                           {"price", false, 100, 200, 2, 8}};
constexpr std::int64_t kMemoryMb = 64;
constexpr double kStretch = 1.6;
constexpr milliseconds kSlack{60};
constexpr std::uint32_t kAttempts = 3;

SimulatedJob DrawJob(const Kind& kind, std::int64_t cpu_milli, std::mt19937_64& random) {
  // The logarithms of sizes, times and estimates spread by 0.4, those of a job's tasks by 0.15.
  std::lognormal_distribution<> spread(0, 0.4);
  std::lognormal_distribution<> uneven(0, 0.15);
  SimulatedJob job;
  const double tasks = std::round(kind.mean_tasks * spread(random));
  const auto count =
      static_cast<std::uint32_t>(std::clamp<double>(tasks, 1, static_cast<double>(kind.max_tasks)));
  const double job_ms = kind.mean_ms * spread(random);
  for (std::uint32_t i = 0; i < count; ++i) {
    job.run_times.emplace_back(static_cast<std::int64_t>(job_ms * uneven(random) * 1000));
  }
  const milliseconds estimate(static_cast<std::int64_t>(job_ms * spread(random)) + 1);
  job.request = {.queue = kind.name,
                 .service = "service",
                 .steps = {{.count = count,
                            .need = {.cpu_milli = cpu_milli, .memory_mb = kMemoryMb},
                            .estimate = estimate}},
                 .urgent = kind.urgent,
                 .attempts = kAttempts,
                 .stretch = kStretch,
                 .slack = kSlack};
  // Relative to the arrival; see LeaseWorld::Add.
  job.request.deadline = core::TimePoint(std::chrono::seconds(8));
  return job;
}

}  // namespace

std::vector<SimulatedJob> CounterTrace(const TraceOptions& options) {
  std::mt19937_64 random(options.seed);
  std::vector<SimulatedJob> trace;
  for (const Kind& kind : kKinds) {
    std::exponential_distribution<> gap(kind.per_second * options.load);
    double seconds = gap(random);
    while (seconds < std::chrono::duration<double>(options.length).count()) {
      SimulatedJob job = DrawJob(kind, options.task_cpu_milli, random);
      job.request.id = kind.name + std::to_string(trace.size());
      job.arrives = options.begin + Duration(static_cast<std::int64_t>(seconds * 1e6));
      job.dispatcher = random() % options.dispatchers;
      trace.push_back(std::move(job));
      seconds += gap(random);
    }
  }
  return trace;
}

void AddTrace(LeaseWorld& world, const TraceOptions& options) {
  for (SimulatedJob& job : CounterTrace(options)) {
    job.request.id += "-" + std::to_string(options.begin.count());
    world.Add(std::move(job));
  }
}

std::vector<std::int64_t> MixedExecutorSizes(std::size_t count) {
  constexpr std::int64_t kCpuMilli = 32'000;
  constexpr std::int64_t kLargeCpuMilli = 48'000;
  std::vector<std::int64_t> sizes;
  for (std::size_t i = 0; i < count; ++i) sizes.push_back(i % 3 == 2 ? kLargeCpuMilli : kCpuMilli);
  return sizes;
}

KindCount CountKind(const LeaseWorld& world, const std::string& kind) {
  return CountKind(world, kind, [](std::size_t) { return true; });
}

KindCount CountKind(const LeaseWorld& world, const std::string& kind,
                    const std::function<bool(std::size_t dispatcher)>& includes) {
  KindCount count;
  for (const auto& [id, record] : world.jobs()) {
    if (!id.starts_with(kind) || !includes(record.dispatcher)) continue;
    ++count.asked;
    if (!record.reply) {
      ++count.unanswered;
    } else if (record.reply->result == core::JobResult::kRefused) {
      ++count.refused;
    } else if (record.reply->result == core::JobResult::kComplete) {
      if (record.took <= record.objective) {
        ++count.in_time;
      } else {
        ++count.late;
        if (record.took <= record.objective * 3) ++count.late_within_limit;
      }
    }
  }
  return count;
}

}  // namespace zinniamux::testing
