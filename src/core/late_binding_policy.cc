// Indexes of free slots by memory class and rack.
#include "core/late_binding_policy.h"

#include <bit>
#include <tuple>

namespace zinniamux::core {
namespace {

// Racks examined per memory class and zone. Among equally loaded racks the least recently used one
// comes first, so racks without a task of the job are found among the first ones.
constexpr std::size_t kMaxExaminedRacks = 4;

// One task of the job in the same rack counts more than any number of used slots.
constexpr double kSameRackScore = 1e4;
constexpr double kOtherZoneScore = 0.5;

// Class of an executor that reports no memory size: it fits every task.
constexpr std::uint32_t kUnknownMemoryClass = 32;

}  // namespace

bool LateBindingPolicy::RackRank::operator<(const RackRank& other) const {
  return std::tie(used_slots, last_use, rack) <
         std::tie(other.used_slots, other.last_use, other.rack);
}

void LateBindingPolicy::Update(const PlacementTarget& target) {
  if (target.index >= executors_.size()) executors_.resize(target.index + 1);
  IndexedExecutor& executor = executors_[target.index];
  const bool slot_taken = executor.target != nullptr && target.used_slots > executor.used_slots;
  RemoveFromIndexes(executor);
  executor.target = &target;
  executor.memory_class = MemoryClassOf(target);
  executor.rack = target.rack;
  executor.used_slots = target.used_slots;
  if (target.free_slots() == 0) return;
  if (target.standing == ExecutorHealth::Standing::kProbation) {
    executor.index_kind = IndexedExecutor::IndexKind::kProbation;
    probation_.insert(target.index);
    return;
  }
  executor.index_kind = IndexedExecutor::IndexKind::kRack;
  AddToRack(executor, slot_taken);
}

Placement LateBindingPolicy::Choose(const PlacementRequest& request) {
  Placement placement;
  double best_score = 0;
  const auto lowest_class = static_cast<std::uint32_t>(std::bit_width(request.memory_mb));
  for (auto it = memory_classes_.lower_bound(lowest_class); it != memory_classes_.end(); ++it) {
    const MemoryClass& memory_class = it->second;
    ExamineRacks(request, memory_class, memory_class.own_zone, placement, best_score);
    ExamineRacks(request, memory_class, memory_class.other_zones, placement, best_score);
  }
  if (!placement.index) ChooseOnProbation(request, placement);
  return placement;
}

void LateBindingPolicy::ExamineRacks(const PlacementRequest& request,
                                     const MemoryClass& memory_class,
                                     const std::set<RackRank>& rack_order, Placement& placement,
                                     double& best_score) const {
  std::size_t examined = 0;
  for (const RackRank& rank : rack_order) {
    const Rack& rack = memory_class.racks.at(rank.rack);
    const PlacementTarget* target = FindSuitableExecutor(rack, request);
    if (target == nullptr) continue;
    const std::uint32_t spread = request.spread ? request.spread->Count(rank.rack) : 0;
    const double score =
        spread * kSameRackScore + target->used_slots + (rack.other_zone ? kOtherZoneScore : 0);
    if (!placement.index || score < best_score) {
      placement.index = target->index;
      best_score = score;
    }
    placement.AddCandidate(target->index, score);
    // Apart from the spread, racks are ordered by score, so the first rack without a task of the
    // job is the best.
    if (spread == 0 || ++examined == kMaxExaminedRacks) return;
  }
}

std::uint32_t LateBindingPolicy::MemoryClassOf(const PlacementTarget& target) {
  if (target.memory_mb == 0) return kUnknownMemoryClass;
  return static_cast<std::uint32_t>(std::bit_width(target.memory_mb));
}

void LateBindingPolicy::RemoveFromIndexes(IndexedExecutor& executor) {
  if (executor.index_kind == IndexedExecutor::IndexKind::kProbation) {
    probation_.erase(executor.target->index);
  }
  if (executor.index_kind == IndexedExecutor::IndexKind::kRack) {
    MemoryClass& memory_class = memory_classes_[executor.memory_class];
    memory_class.racks[executor.rack].executors.erase(
        {executor.used_slots, executor.target->index});
    UpdateRackRank(memory_class, executor.rack);
  }
  executor.index_kind = IndexedExecutor::IndexKind::kNone;
}

void LateBindingPolicy::AddToRack(const IndexedExecutor& executor, bool slot_taken) {
  MemoryClass& memory_class = memory_classes_[executor.memory_class];
  Rack& rack = memory_class.racks[executor.rack];
  rack.executors.insert({executor.used_slots, executor.target->index});
  rack.other_zone = !executor.target->same_zone;
  if (slot_taken) rack.last_use = ++use_counter_;
  UpdateRackRank(memory_class, executor.rack);
}

void LateBindingPolicy::UpdateRackRank(MemoryClass& memory_class, std::uint32_t rack_number) {
  Rack& rack = memory_class.racks[rack_number];
  std::set<RackRank>& rack_order = memory_class.OrderOf(rack);
  if (rack.rank) rack_order.erase(*rack.rank);
  rack.rank.reset();
  if (rack.executors.empty()) return;
  rack.rank = RackRank{
      .used_slots = rack.executors.begin()->first, .last_use = rack.last_use, .rack = rack_number};
  rack_order.insert(*rack.rank);
}

const PlacementTarget* LateBindingPolicy::FindSuitableExecutor(
    const Rack& rack, const PlacementRequest& request) const {
  for (const auto& [used_slots, index] : rack.executors) {
    const PlacementTarget* target = executors_[index].target;
    if (request.CanRunOn(*target)) return target;
  }
  return nullptr;
}

void LateBindingPolicy::ChooseOnProbation(const PlacementRequest& request,
                                          Placement& placement) const {
  for (const std::uint32_t index : probation_) {
    if (!request.CanRunOn(*executors_[index].target)) continue;
    placement.index = index;
    placement.AddCandidate(index, 0);
    return;
  }
}

}  // namespace zinniamux::core
