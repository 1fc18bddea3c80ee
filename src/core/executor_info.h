// What an agent reports about itself and its executor.
#ifndef ZINNIAMUX_CORE_EXECUTOR_INFO_H_
#define ZINNIAMUX_CORE_EXECUTOR_INFO_H_

#include <cstdint>
#include <string>

#include "core/clock.h"

namespace zinniamux::core {

// The executor behind an agent, as last reported.
struct ExecutorStatus {
  std::string executor_id;
  bool available = false;
  bool leaving = false;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  std::uint32_t memory_mb = 0;

  bool operator==(const ExecutorStatus&) const = default;
};

// Sent by an agent when it attaches. A new incarnation means that the agent has restarted without
// its records.
struct AgentHello {
  std::string agent_id;
  std::uint64_t incarnation = 0;
  std::uint32_t shard = 0;
  std::string availability_zone;
  std::string rack;
  ExecutorStatus executor;
  // The agent's own monotonic clock when it sent the message.
  std::chrono::milliseconds agent_time{0};
  // The highest epoch that the agent has seen for its shard.
  std::uint64_t epoch = 0;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_EXECUTOR_INFO_H_
