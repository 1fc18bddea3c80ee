// Round-robin placement.
#include "core/round_robin_policy.h"

namespace zinniamux::core {

void RoundRobinPolicy::Update(const PlacementTarget& target) {
  if (target.free_slots() > 0) {
    free_.emplace(target.index, &target);
  } else {
    free_.erase(target.index);
  }
}

Placement RoundRobinPolicy::Choose(const PlacementRequest& request) {
  Placement placement;
  auto it = free_.lower_bound(next_);
  for (std::size_t step = 0; step < free_.size(); ++step, ++it) {
    if (it == free_.end()) it = free_.begin();
    const auto& [index, target] = *it;
    if (!request.Allows(*target)) continue;
    placement.index = index;
    placement.AddCandidate(index, 0);
    next_ = index + 1;
    break;
  }
  return placement;
}

}  // namespace zinniamux::core
