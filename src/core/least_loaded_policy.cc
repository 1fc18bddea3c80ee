// Placement by reported load.
#include "core/least_loaded_policy.h"

namespace zinniamux::core {

void LeastLoadedPolicy::Update(const PlacementTarget& target) {
  if (target.index >= executors_.size()) executors_.resize(target.index + 1);
  IndexedExecutor& executor = executors_[target.index];
  if (executor.ordered) order_.erase(executor.rank);
  executor.target = &target;
  executor.ordered = target.free_slots() > 0;
  executor.rank = {target.reported_slots, target.index};
  if (executor.ordered) order_.insert(executor.rank);
}

Placement LeastLoadedPolicy::Choose(const PlacementRequest& request) {
  constexpr std::size_t kMaxListedCandidates = 3;
  Placement placement;
  for (const auto& [reported, index] : order_) {
    if (!request.CanRunOn(*executors_[index].target)) continue;
    if (!placement.index) placement.index = index;
    placement.AddCandidate(index, reported);
    if (placement.candidate_count == kMaxListedCandidates) break;
  }
  return placement;
}

}  // namespace zinniamux::core
