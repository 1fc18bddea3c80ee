// Placement by reported load.
#include "core/least_loaded_policy.h"

namespace zinniamux::core {

void LeastLoadedPolicy::Update(const PlacementTarget& target) {
  if (target.index >= entries_.size()) entries_.resize(target.index + 1);
  Entry& entry = entries_[target.index];
  if (entry.ordered) order_.erase(entry.rank);
  entry.target = &target;
  entry.ordered = target.free_slots() > 0;
  entry.rank = {target.reported_slots, target.index};
  if (entry.ordered) order_.insert(entry.rank);
}

Placement LeastLoadedPolicy::Choose(const PlacementRequest& request) {
  constexpr std::size_t kListed = 3;
  Placement placement;
  for (const auto& [reported, index] : order_) {
    if (!request.Allows(*entries_[index].target)) continue;
    if (!placement.index) placement.index = index;
    placement.AddCandidate(index, reported);
    if (placement.candidate_count == kListed) break;
  }
  return placement;
}

}  // namespace zinniamux::core
