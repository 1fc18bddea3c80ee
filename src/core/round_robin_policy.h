// Placement on each executor in turn.
#ifndef ZINNIAMUX_CORE_ROUND_ROBIN_POLICY_H_
#define ZINNIAMUX_CORE_ROUND_ROBIN_POLICY_H_

#include <cstdint>
#include <map>

#include "core/placement_policy.h"

namespace zinniamux::core {

// Goes round the executors by their index and skips those without a free slot. O(log n).
class RoundRobinPolicy : public PlacementPolicy {
 public:
  void Update(const PlacementTarget& target) override;
  Placement Choose(const PlacementRequest& request) override;

 private:
  std::map<std::uint32_t, const PlacementTarget*> free_;
  // Index of the executor that the next choice starts from.
  std::uint32_t next_ = 0;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_ROUND_ROBIN_POLICY_H_
