// A seeded trace of jobs for load runs: arrival times, true and declared run times.
#ifndef ZINNIAMUX_BENCH_LOAD_TRACE_H_
#define ZINNIAMUX_BENCH_LOAD_TRACE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace zinniamux::bench {

using Milliseconds = std::chrono::duration<double, std::milli>;

struct TraceTask {
  std::chrono::milliseconds length{0};
  std::chrono::milliseconds declared{0};
};

struct TraceJob {
  std::string id;
  std::string team;
  std::string job;
  // From the start of the trace.
  Milliseconds arrival{0};
  std::vector<TraceTask> tasks;

  std::chrono::milliseconds longest() const;
};

struct TraceOptions {
  std::uint64_t seed = 1;
  std::size_t slots = 88;
  // Offered work over the capacity of all slots.
  double load = 0.8;
  std::chrono::seconds duration{20};
  std::string id_prefix;
};

// Jobs of 1 to 60 tasks of 50 ms to 1 s, 2 % of them several seconds long; declared times are wrong
// by up to four times either way; a tenth of the arrivals comes in bursts.
std::vector<TraceJob> MakeTrace(const TraceOptions& options);

}  // namespace zinniamux::bench

#endif  // ZINNIAMUX_BENCH_LOAD_TRACE_H_
