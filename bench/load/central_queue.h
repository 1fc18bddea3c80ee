// The reference that a run is compared with: one omniscient first-come queue in front of all slots.
#ifndef ZINNIAMUX_BENCH_LOAD_CENTRAL_QUEUE_H_
#define ZINNIAMUX_BENCH_LOAD_CENTRAL_QUEUE_H_

#include <span>
#include <vector>

#include "load/trace.h"

namespace zinniamux::bench {

// The response time of each job, in the order of the trace, without any delays.
std::vector<Milliseconds> CentralQueueResponses(std::span<const TraceJob> trace, std::size_t slots);

}  // namespace zinniamux::bench

#endif  // ZINNIAMUX_BENCH_LOAD_CENTRAL_QUEUE_H_
