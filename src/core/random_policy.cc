// Random placement.
#include "core/random_policy.h"

namespace zinniamux::core {

void RandomPolicy::Update(const PlacementTarget& target) {
  if (target.index >= positions_.size()) positions_.resize(target.index + 1, kNotFree);
  const bool present = positions_[target.index] != kNotFree;
  const bool free = target.free_slots() > 0;
  if (free && !present) AddFree(target);
  if (!free && present) RemoveFree(target.index);
}

Placement RandomPolicy::Choose(const PlacementRequest& request) {
  Placement placement;
  if (free_executors_.empty()) return placement;
  std::uniform_int_distribution<std::size_t> position(0, free_executors_.size() - 1);
  const std::size_t first = position(random_);
  // The first position is suitable unless the task is excluded from some executors or needs more
  // memory than they have.
  for (std::size_t step = 0; step < free_executors_.size(); ++step) {
    const PlacementTarget& target = *free_executors_[(first + step) % free_executors_.size()];
    if (!request.CanRunOn(target)) continue;
    placement.index = target.index;
    placement.AddCandidate(target.index, 0);
    break;
  }
  return placement;
}

void RandomPolicy::AddFree(const PlacementTarget& target) {
  positions_[target.index] = static_cast<std::uint32_t>(free_executors_.size());
  free_executors_.push_back(&target);
}

void RandomPolicy::RemoveFree(std::uint32_t index) {
  const std::uint32_t position = positions_[index];
  free_executors_[position] = free_executors_.back();
  positions_[free_executors_[position]->index] = position;
  free_executors_.pop_back();
  positions_[index] = kNotFree;
}

}  // namespace zinniamux::core
