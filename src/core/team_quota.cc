// Quota checks of one team.
#include "core/team_quota.h"

#include <algorithm>

namespace zinniamux::core {

double TeamQuota::weight() const {
  constexpr double kMinWeight = 1e-3;
  return std::max(config_.weight, kMinWeight);
}

bool TeamQuota::CanQueue(std::uint32_t tasks) const {
  if (config_.max_queued_tasks == 0) return true;
  return std::uint64_t{queued_} + tasks <= config_.max_queued_tasks;
}

bool TeamQuota::CanStartTask() const {
  return config_.max_running_tasks == 0 || running_ < config_.max_running_tasks;
}

void TeamQuota::RemoveQueued(std::uint32_t tasks) { queued_ -= std::min(queued_, tasks); }

void TeamQuota::RemoveRunning() {
  if (running_ > 0) --running_;
}

}  // namespace zinniamux::core
