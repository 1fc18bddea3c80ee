// Placement on a random executor with a free slot.
#ifndef ZINNIAMUX_CORE_RANDOM_POLICY_H_
#define ZINNIAMUX_CORE_RANDOM_POLICY_H_

#include <cstdint>
#include <random>
#include <vector>

#include "core/placement_policy.h"

namespace zinniamux::core {

// Chooses among the executors with a free slot with equal probability. O(1).
class RandomPolicy : public PlacementPolicy {
 public:
  explicit RandomPolicy(std::uint64_t seed) : random_(seed) {}

  void Update(const PlacementTarget& target) override;
  Placement Choose(const PlacementRequest& request) override;

 private:
  static constexpr std::uint32_t kNotFree = UINT32_MAX;

  void AddFree(const PlacementTarget& target);
  void RemoveFree(std::uint32_t index);

  std::mt19937_64 random_;
  std::vector<const PlacementTarget*> free_executors_;
  // By executor index: the position in free_executors_, or kNotFree.
  std::vector<std::uint32_t> positions_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_RANDOM_POLICY_H_
