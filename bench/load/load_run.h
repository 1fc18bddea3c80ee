// One load run against real processes: open-loop arrivals, and the figures of one line of JSON.
#ifndef ZINNIAMUX_BENCH_LOAD_LOAD_RUN_H_
#define ZINNIAMUX_BENCH_LOAD_LOAD_RUN_H_

#include <chrono>
#include <cstdint>
#include <string>

namespace zinniamux::bench {

struct RunOptions {
  // "arkivhylse" or "tonewood".
  std::string deployment = "arkivhylse";
  std::string policy = "late_binding";
  double load = 0.8;
  std::uint64_t seed = 1;
  std::chrono::seconds duration{20};
};

// Runs one deployment under one load and returns the figures as one line of JSON.
std::string RunLoad(const RunOptions& options);

// One entry and `tasks_per_second` tasks of 1 ms a second, in jobs of 50; returns one line of JSON.
std::string RunThroughput(std::uint64_t seed, std::size_t tasks_per_second,
                          std::chrono::seconds duration);

// One entry and `agents` idle agents; returns their control cost as one line of JSON.
std::string RunIdle(std::size_t agents, std::chrono::seconds duration);

}  // namespace zinniamux::bench

#endif  // ZINNIAMUX_BENCH_LOAD_LOAD_RUN_H_
