// The message by which a shard's owner dispatches tasks of one job to an agent.
#ifndef ZINNIAMUX_CORE_DISPATCH_ORDER_H_
#define ZINNIAMUX_CORE_DISPATCH_ORDER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/task_record.h"

namespace zinniamux::core {

struct DispatchTask {
  std::uint32_t task_index = 0;
  std::chrono::milliseconds run_time{0};
  // The agent abandons the request to the executor after this time; the outcome is then unknown.
  std::chrono::milliseconds time_limit{0};
  std::string payload;
};

// Tasks of one job for one agent. The agent accepts or refuses all of them together.
struct DispatchOrder {
  std::uint32_t shard = 0;
  std::uint64_t epoch = 0;
  std::uint64_t config_version = 0;
  std::string submission_id;
  std::string team;
  std::string job;
  JobFacts facts;
  // In the agent's own monotonic clock; a dispatch that arrives later is refused.
  std::chrono::milliseconds start_by{0};
  // How long the agent may delay a result to send it together with others of the same job.
  std::chrono::milliseconds result_hold{0};
  // The agent keeps records this long after a task's end.
  std::chrono::milliseconds retention{0};
  std::vector<DispatchTask> tasks;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_DISPATCH_ORDER_H_
