// Priorities and longest-prefix lookup of queues.
#include "core/queue_configuration.h"

#include <algorithm>

namespace zinniamux::core {

bool QueueConfiguration::IsUrgent(const QueueRule& queue) const {
  const auto shares_service = [&queue](const QueueRule& other) {
    return other.service == queue.service;
  };
  const bool is_first = std::none_of(queues.begin(), queues.end(), [&](const QueueRule& other) {
    return shares_service(other) && other.priority < queue.priority;
  });
  return is_first && std::any_of(queues.begin(), queues.end(), [&](const QueueRule& other) {
           return shares_service(other) && other.priority > queue.priority;
         });
}

const QueueRule* QueueConfiguration::Find(std::string_view host, std::string_view path) const {
  const std::string_view name = host.substr(0, host.rfind(':'));
  const QueueRule* best = nullptr;
  for (const QueueRule& queue : queues) {
    if (queue.host != name && queue.host != host) continue;
    if (!path.starts_with(queue.prefix)) continue;
    if (best == nullptr || queue.prefix.size() > best->prefix.size()) best = &queue;
  }
  return best;
}

}  // namespace zinniamux::core
