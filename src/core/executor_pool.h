// The executors of one shard and the use of their slots.
#ifndef ZINNIAMUX_CORE_EXECUTOR_POOL_H_
#define ZINNIAMUX_CORE_EXECUTOR_POOL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "core/executor_health.h"
#include "core/executor_info.h"
#include "core/placement_policy.h"

namespace zinniamux::core {

// The owner's view of every slot. Reports each change to the placement policy, so that a choice
// needs no search. Executors are numbered without gaps; a number is never reused for another agent.
class ExecutorPool {
 public:
  // `zone` is the availability zone of this process.
  ExecutorPool(std::string zone, std::unique_ptr<PlacementPolicy> policy);

  // Replaces the policy and passes all executors to the new one.
  void SetPolicy(std::unique_ptr<PlacementPolicy> policy);

  // Adds the agent as usable, or updates it after it reattached. Its used slots are kept.
  void Attach(const AgentHello& hello);
  // Whether dispatches may be sent to the agent.
  void SetUsable(std::string_view agent_id, bool usable);
  void UpdateStatus(std::string_view agent_id, const ExecutorStatus& status);
  void SetStanding(std::string_view agent_id, ExecutorHealth::Standing standing);

  // Chooses an executor with a free slot, or none. O(log n) in the number of executors.
  Placement Choose(const PlacementRequest& request) { return policy_->Choose(request); }
  void TakeSlot(std::string_view agent_id);
  void ReleaseSlot(std::string_view agent_id);

  const PlacementTarget& target(std::uint32_t index) const { return targets_[index]; }
  // Null for an unknown agent.
  const PlacementTarget* Find(std::string_view agent_id) const;
  std::size_t size() const { return targets_.size(); }
  // Slots of executors that may get tasks, and how many of them are free.
  std::uint32_t open_slots() const { return open_slots_; }
  std::uint32_t free_slots() const { return free_slots_; }
  // Memory of the largest executor that was ever reported; zero if none was.
  std::uint32_t largest_memory_mb() const { return largest_memory_mb_; }

 private:
  PlacementTarget* FindMutable(std::string_view agent_id);
  void CopyStatus(PlacementTarget& target, const ExecutorStatus& status);
  std::uint32_t RackNumber(const std::string& zone, const std::string& rack);
  // Runs `change` on the target and updates the sums and the policy.
  template <typename Change>
  void UpdateTarget(PlacementTarget& target, Change change);

  const std::string zone_;
  std::unique_ptr<PlacementPolicy> policy_;
  // A deque, because the policy keeps references to its elements.
  std::deque<PlacementTarget> targets_;
  std::map<std::string, std::uint32_t, std::less<>> index_by_agent_id_;
  std::map<std::string, std::uint32_t> rack_numbers_;
  // Invariant: the sums over targets_.
  std::uint32_t open_slots_ = 0;
  std::uint32_t free_slots_ = 0;
  std::uint32_t largest_memory_mb_ = 0;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_EXECUTOR_POOL_H_
