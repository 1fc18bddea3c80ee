// First-come service of all tasks by one pool of slots.
#include "load/central_queue.h"

#include <algorithm>
#include <functional>
#include <queue>

namespace zinniamux::bench {

std::vector<Milliseconds> CentralQueueResponses(std::span<const TraceJob> trace,
                                                std::size_t slots) {
  std::priority_queue<double, std::vector<double>, std::greater<>> free_at;
  for (std::size_t slot = 0; slot < slots; ++slot) free_at.push(0);
  std::vector<Milliseconds> responses;
  responses.reserve(trace.size());
  for (const TraceJob& job : trace) {
    double end = job.arrival.count();
    for (const TraceTask& task : job.tasks) {
      const double start = std::max(free_at.top(), job.arrival.count());
      free_at.pop();
      const double done = start + static_cast<double>(task.length.count());
      free_at.push(done);
      end = std::max(end, done);
    }
    responses.push_back(Milliseconds(end) - job.arrival);
  }
  return responses;
}

}  // namespace zinniamux::bench
