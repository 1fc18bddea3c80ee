// The default placement: spread over racks, least used first.
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
// longest. Load comes before the zone, because a crossing costs about 1 ms and a task at least
// 50 ms. Of each memory class only the best racks are examined, so the spread is nearly but not
// always exactly even.
class LateBindingPolicy : public PlacementPolicy {
 public:
  void Update(const PlacementTarget& target) override;
  Placement Choose(const PlacementRequest& request) override;

 private:
  // Used slots and index; the least used executor comes first.
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
    // The rank in its zone's order; set if and only if there are executors.
    std::optional<RackRank> rank;
  };

  // Executors whose memory lies between two powers of two. A larger class fits every task of a
  // smaller one, so that only the lowest class needs a look at each executor.
  struct MemoryClass {
    std::map<std::uint32_t, Rack> racks;
    // The zones are ordered separately, or the racks of the own zone would hide the others.
    std::set<RackRank> own_zone;
    std::set<RackRank> other_zones;

    std::set<RackRank>& OrderOf(const Rack& rack) {
      return rack.other_zone ? other_zones : own_zone;
    }
  };

  // What the indexes hold for one executor.
  struct Entry {
    const PlacementTarget* target = nullptr;
    enum class Place { kNone, kRack, kProbation } place = Place::kNone;
    std::uint32_t memory_class = 0;
    std::uint32_t rack = 0;
    std::uint32_t used_slots = 0;
  };

  static std::uint32_t MemoryClassOf(const PlacementTarget& target);
  void RemoveFromIndexes(Entry& entry);
  void AddToRack(const Entry& entry, bool used);
  static void Reorder(MemoryClass& memory_class, std::uint32_t rack_number);
  const PlacementTarget* FirstFit(const Rack& rack, const PlacementRequest& request) const;
  // Examines the first racks of one order and keeps the best choice so far.
  void ChooseInOrder(const PlacementRequest& request, const MemoryClass& memory_class,
                     const std::set<RackRank>& order, Placement& placement,
                     double& best_score) const;
  void ChooseOnProbation(const PlacementRequest& request, Placement& placement) const;

  std::vector<Entry> entries_;
  std::map<std::uint32_t, MemoryClass> classes_;
  std::set<std::uint32_t> probation_;
  std::uint64_t uses_ = 0;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_LATE_BINDING_POLICY_H_
