// Processor time and resident memory of a running process, from /proc.
#ifndef ZINNIAMUX_BENCH_LOAD_PROCESS_USAGE_H_
#define ZINNIAMUX_BENCH_LOAD_PROCESS_USAGE_H_

#include <sys/types.h>

#include <chrono>

namespace zinniamux::bench {

struct ProcessUsage {
  std::chrono::duration<double> processor_time{0};
  double resident_mb = 0;
};

// Zeros if the process has ended.
ProcessUsage UsageOf(pid_t process);

}  // namespace zinniamux::bench

#endif  // ZINNIAMUX_BENCH_LOAD_PROCESS_USAGE_H_
