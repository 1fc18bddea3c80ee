// Placement by the load that executors last reported.
#ifndef ZINNIAMUX_CORE_LEAST_LOADED_POLICY_H_
#define ZINNIAMUX_CORE_LEAST_LOADED_POLICY_H_

#include <cstdint>
#include <set>
#include <utility>
#include <vector>

#include "core/placement_policy.h"

namespace zinniamux::core {

// Chooses the executor with the fewest used slots in its last report, among those with a free slot.
// Between reports many tasks go to the same executor; late binding avoids that. O(log n).
class LeastLoadedPolicy : public PlacementPolicy {
 public:
  void Update(const PlacementTarget& target) override;
  Placement Choose(const PlacementRequest& request) override;

 private:
  // Reported slots and index.
  using Rank = std::pair<std::uint32_t, std::uint32_t>;

  struct IndexedExecutor {
    const PlacementTarget* target = nullptr;
    // Set if and only if `rank` is in order_.
    bool ordered = false;
    Rank rank;
  };

  std::vector<IndexedExecutor> executors_;
  std::set<Rank> order_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_LEAST_LOADED_POLICY_H_
