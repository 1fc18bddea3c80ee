// Random placement.
#include "core/random_policy.h"

namespace zinniamux::core {

void RandomPolicy::Update(const PlacementTarget& target) {
  if (target.index >= positions_.size()) positions_.resize(target.index + 1, kNone);
  const bool present = positions_[target.index] != kNone;
  const bool free = target.free_slots() > 0;
  if (free && !present) Insert(target);
  if (!free && present) Erase(target.index);
}

Placement RandomPolicy::Choose(const PlacementRequest& request) {
  Placement placement;
  if (free_.empty()) return placement;
  std::uniform_int_distribution<std::size_t> position(0, free_.size() - 1);
  const std::size_t first = position(random_);
  // The first position fits unless the task needs more memory than some executors have.
  for (std::size_t step = 0; step < free_.size(); ++step) {
    const PlacementTarget& target = *free_[(first + step) % free_.size()];
    if (!request.Allows(target)) continue;
    placement.index = target.index;
    placement.AddCandidate(target.index, 0);
    break;
  }
  return placement;
}

void RandomPolicy::Insert(const PlacementTarget& target) {
  positions_[target.index] = static_cast<std::uint32_t>(free_.size());
  free_.push_back(&target);
}

void RandomPolicy::Erase(std::uint32_t index) {
  const std::uint32_t position = positions_[index];
  free_[position] = free_.back();
  positions_[free_[position]->index] = position;
  free_.pop_back();
  positions_[index] = kNone;
}

}  // namespace zinniamux::core
