// Drawing of a trace.
#include "load/trace.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace zinniamux::bench {
namespace {

constexpr int kMaxTasksPerJob = 60;
constexpr double kShortestMs = 50;
constexpr double kLongestMs = 1000;
constexpr double kTailShare = 0.02;
constexpr double kTailShortestMs = 2000;
constexpr double kTailLongestMs = 5000;
constexpr double kDeclarationError = 4;
constexpr double kBurstShare = 0.1;
constexpr int kBurstJobs = 4;

class TraceDrawer {
 public:
  explicit TraceDrawer(std::uint64_t seed) : random_(seed) {}

  TraceJob Job() {
    TraceJob job;
    const bool first_team = std::bernoulli_distribution(0.5)(random_);
    job.team = first_team ? "shops" : "makers";
    job.job = first_team ? "stock-lookup" : "certificate";
    const int count = std::uniform_int_distribution<int>(1, kMaxTasksPerJob)(random_);
    for (int index = 0; index < count; ++index) job.tasks.push_back(Task());
    return job;
  }

  bool Burst() { return std::bernoulli_distribution(kBurstShare)(random_); }
  double Exponential(double mean) {
    return std::exponential_distribution<double>(1 / mean)(random_);
  }

 private:
  TraceTask Task() {
    const bool tail = std::bernoulli_distribution(kTailShare)(random_);
    const double length =
        tail ? std::uniform_real_distribution<>(kTailShortestMs, kTailLongestMs)(random_)
             : LogUniform(kShortestMs, kLongestMs);
    const double declared = length * LogUniform(1 / kDeclarationError, kDeclarationError);
    return {.length = std::chrono::milliseconds(std::lround(length)),
            .declared = std::chrono::milliseconds(std::max(1L, std::lround(declared)))};
  }

  double LogUniform(double low, double high) {
    return std::exp(std::uniform_real_distribution<>(std::log(low), std::log(high))(random_));
  }

  std::mt19937_64 random_;
};

double MeanJobWorkMs() {
  const double body = (kLongestMs - kShortestMs) / std::log(kLongestMs / kShortestMs);
  const double tail = (kTailShortestMs + kTailLongestMs) / 2;
  const double task = (1 - kTailShare) * body + kTailShare * tail;
  return task * (1 + kMaxTasksPerJob) / 2.0;
}

}  // namespace

std::chrono::milliseconds TraceJob::longest() const {
  std::chrono::milliseconds longest{0};
  for (const TraceTask& task : tasks) longest = std::max(longest, task.length);
  return longest;
}

std::vector<TraceJob> MakeTrace(const TraceOptions& options) {
  TraceDrawer drawer(options.seed);
  const double mean_jobs_per_arrival = 1 + kBurstShare * (kBurstJobs - 1);
  const double mean_gap_ms =
      MeanJobWorkMs() * mean_jobs_per_arrival / (options.load * static_cast<double>(options.slots));
  const double end_ms = Milliseconds(options.duration).count();
  std::vector<TraceJob> trace;
  for (double now = drawer.Exponential(mean_gap_ms); now < end_ms;
       now += drawer.Exponential(mean_gap_ms)) {
    const int jobs = drawer.Burst() ? kBurstJobs : 1;
    for (int index = 0; index < jobs; ++index) {
      TraceJob job = drawer.Job();
      job.id = options.id_prefix + std::to_string(trace.size());
      job.arrival = Milliseconds(now);
      trace.push_back(std::move(job));
    }
  }
  return trace;
}

}  // namespace zinniamux::bench
