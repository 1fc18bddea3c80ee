// The default placement: spreads jobs over racks and prefers executors with few used slots.
#ifndef ZINNIAMUX_CORE_LATE_BINDING_POLICY_H_
#define ZINNIAMUX_CORE_LATE_BINDING_POLICY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "core/placement_policy.h"

namespace zinniamux::core {

// Prefers, in this order: executors that are not on probation, racks with few tasks of the same
// job, executors with few used slots, the own availability zone, and the rack that was unused for
// longest. Load comes before the zone, because traffic to another zone adds about 1 ms and a task
// takes at least 50 ms. Only the best racks of each memory class are examined, so the spread is
// nearly but not always exactly even.
class LateBindingPolicy : public PlacementPolicy {
 public:
  void Update(const PlacementTarget& target) override;
  Placement Choose(const PlacementRequest& request) override;

 private:
  // Used slots and index; the executor with the fewest used slots comes first.
  using ExecutorRank = std::pair<std::uint32_t, std::uint32_t>;

  struct RackRank {
    std::uint32_t used_slots = 0;
    std::uint64_t last_use = 0;
    std::uint32_t rack = 0;
    bool operator<(const RackRank& other) const;
  };

  // The healthy executors of one rack and memory class that have a free slot.
  struct Rack {
    std::set<ExecutorRank> executors;
    bool other_zone = false;
    std::uint64_t last_use = 0;
    // The rank in own_zone or other_zones; set if and only if there are executors.
    std::optional<RackRank> rank;
  };

  // Executors whose memory lies between two powers of two. A larger class fits every task of a
  // smaller one, so executors without enough memory occur only in the lowest class.
  struct MemoryClass {
    std::map<std::uint32_t, Rack> racks;
    // Ordered separately, because only the first racks of an order are examined: racks of the own
    // zone would exclude those of other zones.
    std::set<RackRank> own_zone;
    std::set<RackRank> other_zones;

    std::set<RackRank>& OrderOf(const Rack& rack) {
      return rack.other_zone ? other_zones : own_zone;
    }
  };

  // The position of one executor in the indexes.
  struct IndexedExecutor {
    const PlacementTarget* target = nullptr;
    enum class IndexKind { kNone, kRack, kProbation } index_kind = IndexKind::kNone;
    std::uint32_t memory_class = 0;
    std::uint32_t rack = 0;
    std::uint32_t used_slots = 0;
  };

  static std::uint32_t MemoryClassOf(const PlacementTarget& target);
  void RemoveFromIndexes(IndexedExecutor& executor);
  void AddToRack(const IndexedExecutor& executor, bool slot_taken);
  static void UpdateRackRank(MemoryClass& memory_class, std::uint32_t rack_number);
  const PlacementTarget* FindSuitableExecutor(const Rack& rack,
                                              const PlacementRequest& request) const;
  // Examines the first racks of `rack_order` and updates `placement` if one of them is better.
  void ExamineRacks(const PlacementRequest& request, const MemoryClass& memory_class,
                    const std::set<RackRank>& rack_order, Placement& placement,
                    double& best_score) const;
  void ChooseOnProbation(const PlacementRequest& request, Placement& placement) const;

  std::vector<IndexedExecutor> executors_;
  std::map<std::uint32_t, MemoryClass> memory_classes_;
  std::set<std::uint32_t> probation_;
  std::uint64_t use_counter_ = 0;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_LATE_BINDING_POLICY_H_
