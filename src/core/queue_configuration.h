// The operator's configuration of queues and services, and the lookup of a request's queue.
#ifndef ZINNIAMUX_CORE_QUEUE_CONFIGURATION_H_
#define ZINNIAMUX_CORE_QUEUE_CONFIGURATION_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinniamux::core {

// One queue: which requests belong to it, and how its jobs are run.
struct QueueRule {
  std::string name;
  // A request belongs to the queue with its host and the longest prefix of its path.
  std::string host;
  std::string prefix;
  std::string service;
  // 0 is the most urgent.
  std::uint32_t priority = 0;
  std::uint32_t attempts = 1;
  double stretch = 1;
  std::chrono::milliseconds slack{0};
  // Deadline of requests that do not give one, from their arrival.
  std::chrono::milliseconds timeout{0};
};

struct QueueConfiguration {
  // Increases with each change.
  std::uint64_t version = 0;
  std::vector<QueueRule> queues;

  // True if no queue of the service has a more urgent priority, and some have a less urgent one.
  bool IsUrgent(const QueueRule& queue) const;
  // The queue of a request, or null. `host` may include a port.
  const QueueRule* Find(std::string_view host, std::string_view path) const;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_QUEUE_CONFIGURATION_H_
