// Indexes of free slots by memory class and rack.
#include "core/late_binding_policy.h"

#include <bit>
#include <tuple>

namespace zinniamux::core {
namespace {

// Racks examined per memory class and zone. With the rack used longest ago first among equals,
// racks without a task of the job are found among the first ones.
constexpr std::size_t kMaxRacks = 4;

// One task of the job in the same rack counts more than any number of used slots.
constexpr double kSpreadScore = 1e4;
constexpr double kOtherZoneScore = 0.5;

// Class of an executor that reports no memory: it takes every task.
constexpr std::uint32_t kUnknownMemoryClass = 32;

}  // namespace

bool LateBindingPolicy::RackRank::operator<(const RackRank& other) const {
  return std::tie(used_slots, last_use, rack) <
         std::tie(other.used_slots, other.last_use, other.rack);
}

void LateBindingPolicy::Update(const PlacementTarget& target) {
  if (target.index >= entries_.size()) entries_.resize(target.index + 1);
  Entry& entry = entries_[target.index];
  const bool used = entry.target != nullptr && target.used_slots > entry.used_slots;
  RemoveFromIndexes(entry);
  entry.target = &target;
  entry.memory_class = MemoryClassOf(target);
  entry.rack = target.rack;
  entry.used_slots = target.used_slots;
  if (target.free_slots() == 0) return;
  if (target.standing == ExecutorHealth::Standing::kProbation) {
    entry.place = Entry::Place::kProbation;
    probation_.insert(target.index);
    return;
  }
  entry.place = Entry::Place::kRack;
  AddToRack(entry, used);
}

Placement LateBindingPolicy::Choose(const PlacementRequest& request) {
  Placement placement;
  double best_score = 0;
  const auto lowest = static_cast<std::uint32_t>(std::bit_width(request.memory_mb));
  for (auto it = classes_.lower_bound(lowest); it != classes_.end(); ++it) {
    const MemoryClass& memory_class = it->second;
    ChooseInOrder(request, memory_class, memory_class.own_zone, placement, best_score);
    ChooseInOrder(request, memory_class, memory_class.other_zones, placement, best_score);
  }
  if (!placement.index) ChooseOnProbation(request, placement);
  return placement;
}

void LateBindingPolicy::ChooseInOrder(const PlacementRequest& request,
                                      const MemoryClass& memory_class,
                                      const std::set<RackRank>& order, Placement& placement,
                                      double& best_score) const {
  std::size_t examined = 0;
  for (const RackRank& rank : order) {
    const Rack& rack = memory_class.racks.at(rank.rack);
    const PlacementTarget* target = FirstFit(rack, request);
    if (target == nullptr) continue;
    const std::uint32_t spread = request.spread ? request.spread->Count(rank.rack) : 0;
    const double score =
        spread * kSpreadScore + target->used_slots + (rack.other_zone ? kOtherZoneScore : 0);
    if (!placement.index || score < best_score) {
      placement.index = target->index;
      best_score = score;
    }
    placement.AddCandidate(target->index, score);
    // The order is that of the score but for the spread, so the first rack without a task of the
    // job is the best.
    if (spread == 0 || ++examined == kMaxRacks) return;
  }
}

std::uint32_t LateBindingPolicy::MemoryClassOf(const PlacementTarget& target) {
  if (target.memory_mb == 0) return kUnknownMemoryClass;
  return static_cast<std::uint32_t>(std::bit_width(target.memory_mb));
}

void LateBindingPolicy::RemoveFromIndexes(Entry& entry) {
  if (entry.place == Entry::Place::kProbation) probation_.erase(entry.target->index);
  if (entry.place == Entry::Place::kRack) {
    MemoryClass& memory_class = classes_[entry.memory_class];
    memory_class.racks[entry.rack].executors.erase({entry.used_slots, entry.target->index});
    Reorder(memory_class, entry.rack);
  }
  entry.place = Entry::Place::kNone;
}

void LateBindingPolicy::AddToRack(const Entry& entry, bool used) {
  MemoryClass& memory_class = classes_[entry.memory_class];
  Rack& rack = memory_class.racks[entry.rack];
  rack.executors.insert({entry.used_slots, entry.target->index});
  rack.other_zone = !entry.target->same_zone;
  if (used) rack.last_use = ++uses_;
  Reorder(memory_class, entry.rack);
}

void LateBindingPolicy::Reorder(MemoryClass& memory_class, std::uint32_t rack_number) {
  Rack& rack = memory_class.racks[rack_number];
  std::set<RackRank>& order = memory_class.OrderOf(rack);
  if (rack.rank) order.erase(*rack.rank);
  rack.rank.reset();
  if (rack.executors.empty()) return;
  rack.rank = RackRank{
      .used_slots = rack.executors.begin()->first, .last_use = rack.last_use, .rack = rack_number};
  order.insert(*rack.rank);
}

const PlacementTarget* LateBindingPolicy::FirstFit(const Rack& rack,
                                                   const PlacementRequest& request) const {
  for (const auto& [used_slots, index] : rack.executors) {
    const PlacementTarget* target = entries_[index].target;
    if (request.Allows(*target)) return target;
  }
  return nullptr;
}

void LateBindingPolicy::ChooseOnProbation(const PlacementRequest& request,
                                          Placement& placement) const {
  for (const std::uint32_t index : probation_) {
    if (!request.Allows(*entries_[index].target)) continue;
    placement.index = index;
    placement.AddCandidate(index, 0);
    return;
  }
}

}  // namespace zinniamux::core
