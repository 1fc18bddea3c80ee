// Code that all placement policies share.
#include "core/placement_policy.h"

#include <algorithm>

#include "core/late_binding_policy.h"
#include "core/least_loaded_policy.h"
#include "core/random_policy.h"
#include "core/round_robin_policy.h"

namespace zinniamux::core {

std::uint32_t PlacementTarget::open_slots() const {
  if (!usable || !available) return 0;
  switch (standing) {
    case ExecutorHealth::Standing::kHealthy:
      return slots;
    case ExecutorHealth::Standing::kProbation:
      return std::min(slots, 1U);
    case ExecutorHealth::Standing::kEjected:
      return 0;
  }
  return 0;
}

std::uint32_t PlacementTarget::free_slots() const {
  const std::uint32_t open = open_slots();
  return open > used_slots ? open - used_slots : 0;
}

bool PlacementTarget::Fits(std::uint32_t task_memory_mb) const {
  return memory_mb == 0 || task_memory_mb <= memory_mb;
}

bool PlacementRequest::CanRunOn(const PlacementTarget& target) const {
  const bool excluded = std::find(excluded_agents.begin(), excluded_agents.end(),
                                  target.agent_id) != excluded_agents.end();
  return !excluded && target.Fits(memory_mb);
}

std::uint32_t JobSpread::Count(std::uint32_t rack) const {
  const auto found = counts_.find(rack);
  return found == counts_.end() ? 0 : found->second;
}

void Placement::AddCandidate(std::uint32_t candidate, double score) {
  if (candidate_count < kMaxCandidates) candidates[candidate_count++] = {candidate, score};
}

std::unique_ptr<PlacementPolicy> MakePlacementPolicy(PlacementPolicyKind kind, std::uint64_t seed) {
  switch (kind) {
    case PlacementPolicyKind::kRandom:
      return std::make_unique<RandomPolicy>(seed);
    case PlacementPolicyKind::kRoundRobin:
      return std::make_unique<RoundRobinPolicy>();
    case PlacementPolicyKind::kLeastLoaded:
      return std::make_unique<LeastLoadedPolicy>();
    case PlacementPolicyKind::kLateBinding:
      break;
  }
  return std::make_unique<LateBindingPolicy>();
}

}  // namespace zinniamux::core
