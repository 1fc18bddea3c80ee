// Slot accounting of a shard.
#include "core/executor_pool.h"

#include <algorithm>
#include <utility>

namespace zinniamux::core {

ExecutorPool::ExecutorPool(std::string zone, std::unique_ptr<PlacementPolicy> policy)
    : zone_(std::move(zone)), policy_(std::move(policy)) {}

void ExecutorPool::SetPolicy(std::unique_ptr<PlacementPolicy> policy) {
  policy_ = std::move(policy);
  for (const PlacementTarget& target : targets_) policy_->Update(target);
}

void ExecutorPool::Attach(const AgentHello& hello) {
  auto found = index_by_agent_id_.find(hello.agent_id);
  if (found == index_by_agent_id_.end()) {
    const auto index = static_cast<std::uint32_t>(targets_.size());
    found = index_by_agent_id_.emplace(hello.agent_id, index).first;
    targets_.push_back({.index = index, .agent_id = hello.agent_id});
  }
  UpdateTarget(targets_[found->second], [&](PlacementTarget& target) {
    target.usable = true;
    target.rack = RackNumber(hello.availability_zone, hello.rack);
    target.same_zone = hello.availability_zone == zone_;
    CopyStatus(target, hello.executor);
  });
}

void ExecutorPool::SetUsable(std::string_view agent_id, bool usable) {
  PlacementTarget* target = FindMutable(agent_id);
  if (target == nullptr || target->usable == usable) return;
  UpdateTarget(*target, [&](PlacementTarget& changed) { changed.usable = usable; });
}

void ExecutorPool::UpdateStatus(std::string_view agent_id, const ExecutorStatus& status) {
  PlacementTarget* target = FindMutable(agent_id);
  if (target == nullptr) return;
  UpdateTarget(*target, [&](PlacementTarget& changed) { CopyStatus(changed, status); });
}

void ExecutorPool::SetStanding(std::string_view agent_id, ExecutorHealth::Standing standing) {
  PlacementTarget* target = FindMutable(agent_id);
  if (target == nullptr) return;
  UpdateTarget(*target, [&](PlacementTarget& changed) { changed.standing = standing; });
}

void ExecutorPool::TakeSlot(std::string_view agent_id) {
  PlacementTarget* target = FindMutable(agent_id);
  if (target == nullptr) return;
  UpdateTarget(*target, [](PlacementTarget& changed) { ++changed.used_slots; });
}

void ExecutorPool::ReleaseSlot(std::string_view agent_id) {
  PlacementTarget* target = FindMutable(agent_id);
  if (target == nullptr || target->used_slots == 0) return;
  UpdateTarget(*target, [](PlacementTarget& changed) { --changed.used_slots; });
}

const PlacementTarget* ExecutorPool::Find(std::string_view agent_id) const {
  const auto found = index_by_agent_id_.find(agent_id);
  return found == index_by_agent_id_.end() ? nullptr : &targets_[found->second];
}

PlacementTarget* ExecutorPool::FindMutable(std::string_view agent_id) {
  const auto found = index_by_agent_id_.find(agent_id);
  return found == index_by_agent_id_.end() ? nullptr : &targets_[found->second];
}

void ExecutorPool::CopyStatus(PlacementTarget& target, const ExecutorStatus& status) {
  target.executor_id = status.executor_id;
  target.available = status.available && !status.leaving;
  target.slots = status.slots;
  target.memory_mb = status.memory_mb;
  target.reported_slots = target.used_slots;
  largest_memory_mb_ = std::max(largest_memory_mb_, status.memory_mb);
}

std::uint32_t ExecutorPool::RackNumber(const std::string& zone, const std::string& rack) {
  const auto number = static_cast<std::uint32_t>(rack_numbers_.size());
  return rack_numbers_.try_emplace(zone + '/' + rack, number).first->second;
}

template <typename Change>
void ExecutorPool::UpdateTarget(PlacementTarget& target, Change change) {
  open_slots_ -= target.open_slots();
  free_slots_ -= target.free_slots();
  change(target);
  open_slots_ += target.open_slots();
  free_slots_ += target.free_slots();
  policy_->Update(target);
}

}  // namespace zinniamux::core
