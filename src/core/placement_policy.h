// The choice of an executor for a task.
#ifndef ZINNIAMUX_CORE_PLACEMENT_POLICY_H_
#define ZINNIAMUX_CORE_PLACEMENT_POLICY_H_

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>

#include "core/dispatch_config.h"
#include "core/executor_health.h"

namespace zinniamux::core {

// What a placement policy knows about one executor.
struct PlacementTarget {
  std::uint32_t index = 0;
  std::string agent_id;
  std::string executor_id;
  // Number of the rack within the shard; racks of different zones have different numbers.
  std::uint32_t rack = 0;
  bool same_zone = false;
  // The owner may send dispatches to the agent.
  bool usable = false;
  // The executor accepts tasks, as it last reported.
  bool available = false;
  ExecutorHealth::Standing standing = ExecutorHealth::Standing::kHealthy;
  std::uint32_t slots = 0;
  std::uint32_t used_slots = 0;
  // Used slots when the executor last reported.
  std::uint32_t reported_slots = 0;
  std::uint32_t memory_mb = 0;

  // Usable slots: none unless the executor accepts tasks and is usable, at most one on probation.
  std::uint32_t open_slots() const;
  std::uint32_t free_slots() const;
  // An executor that reports no memory size fits every task.
  bool Fits(std::uint32_t task_memory_mb) const;
};

// Number of tasks of one job that were placed on each rack.
class JobSpread {
 public:
  std::uint32_t Count(std::uint32_t rack) const;
  void Add(std::uint32_t rack) { ++counts_[rack]; }

 private:
  std::unordered_map<std::uint32_t, std::uint32_t> counts_;
};

struct PlacementRequest {
  std::uint32_t memory_mb = 0;
  // May be null if the spread of the job does not matter.
  const JobSpread* spread = nullptr;
  // Agents that have revoked the task and would refuse it.
  std::span<const std::string> excluded_agents;

  bool CanRunOn(const PlacementTarget& target) const;
};

// A choice and the scores on which it is based.
struct Placement {
  static constexpr std::size_t kMaxCandidates = 8;

  struct Candidate {
    std::uint32_t index = 0;
    // Lower is better; the unit depends on the policy.
    double score = 0;
  };

  // Index of the chosen executor; empty if no executor with a free slot can run the task.
  std::optional<std::uint32_t> index;
  // The first executors that were examined; not necessarily all.
  std::array<Candidate, kMaxCandidates> candidates;
  std::size_t candidate_count = 0;

  void AddCandidate(std::uint32_t candidate, double score);
};

// Chooses among executors with a free slot. A choice and an update cost O(log n) in the number of
// executors; only a task that does not fit most executors may cost more.
class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;

  // The executor is new or has changed. `target` stays valid as long as the policy, and its index
  // is at most the number of targets seen before.
  virtual void Update(const PlacementTarget& target) = 0;
  // Does not take the slot: the caller reports its use through Update.
  virtual Placement Choose(const PlacementRequest& request) = 0;
};

// The policy that the configuration names. `seed` determines random choices.
std::unique_ptr<PlacementPolicy> MakePlacementPolicy(PlacementPolicyKind kind, std::uint64_t seed);

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_PLACEMENT_POLICY_H_
