// Round-robin placement.
#include "core/round_robin_policy.h"

namespace zinniamux::core {

void RoundRobinPolicy::Update(const PlacementTarget& target) {
  if (target.free_slots() > 0) {
    free_executors_.emplace(target.index, &target);
  } else {
    free_executors_.erase(target.index);
  }
}

Placement RoundRobinPolicy::Choose(const PlacementRequest& request) {
  Placement placement;
  auto it = free_executors_.lower_bound(next_index_);
  for (std::size_t step = 0; step < free_executors_.size(); ++step, ++it) {
    if (it == free_executors_.end()) it = free_executors_.begin();
    const auto& [index, target] = *it;
    if (!request.CanRunOn(*target)) continue;
    placement.index = index;
    placement.AddCandidate(index, 0);
    next_index_ = index + 1;
    break;
  }
  return placement;
}

}  // namespace zinniamux::core
