// Placement on each executor in turn.
#ifndef ZINNIAMUX_CORE_ROUND_ROBIN_POLICY_H_
#define ZINNIAMUX_CORE_ROUND_ROBIN_POLICY_H_

#include <cstdint>
#include <map>

#include "core/placement_policy.h"

namespace zinniamux::core {

// Chooses executors in the order of their index, starting over after the last one, and skips those
// without a free slot. O(log n).
class RoundRobinPolicy : public PlacementPolicy {
 public:
  void Update(const PlacementTarget& target) override;
  Placement Choose(const PlacementRequest& request) override;

 private:
  std::map<std::uint32_t, const PlacementTarget*> free_executors_;
  // Index from which the next choice starts.
  std::uint32_t next_index_ = 0;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_ROUND_ROBIN_POLICY_H_
