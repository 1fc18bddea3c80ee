// Longest-prefix lookup.
#include "core/queue_configuration.h"

namespace zinniamux::core {

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
