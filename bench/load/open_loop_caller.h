// Submits a trace at its arrival times, whatever the answers.
#ifndef ZINNIAMUX_BENCH_LOAD_OPEN_LOOP_CALLER_H_
#define ZINNIAMUX_BENCH_LOAD_OPEN_LOOP_CALLER_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <span>
#include <string>
#include <vector>

#include "adapters/http_client.h"
#include "load/trace.h"

namespace zinniamux::bench {

struct JobOutcome {
  // Unset state: no answer came.
  std::string state;
  std::string error_kind;
  bool whole = false;
  Milliseconds response{0};
};

// Spreads jobs over the entries in turn and never resubmits.
class OpenLoopCaller {
 public:
  OpenLoopCaller(std::vector<std::uint16_t> entry_ports, std::chrono::milliseconds deadline);

  // Submits all jobs and waits for all outcomes; they are in the order of the trace.
  std::vector<JobOutcome> Run(std::span<const TraceJob> trace);

 private:
  void Submit(const TraceJob& job, std::uint16_t port, JobOutcome& outcome);

  const std::vector<std::uint16_t> entry_ports_;
  const std::chrono::milliseconds deadline_;
  std::mutex mutex_;
  std::condition_variable done_;
  // Guarded by mutex_.
  std::size_t open_ = 0;
  adapters::HttpClient client_{{.max_connections_per_host = 4096}};
};

}  // namespace zinniamux::bench

#endif  // ZINNIAMUX_BENCH_LOAD_OPEN_LOOP_CALLER_H_
