// The limits of one team and how much of them is in use.
#ifndef ZINNIAMUX_CORE_TEAM_QUOTA_H_
#define ZINNIAMUX_CORE_TEAM_QUOTA_H_

#include <cstdint>

#include "core/dispatch_config.h"

namespace zinniamux::core {

// Counts the queued and running tasks of a team against its limits. Lowering a limit does not
// affect tasks that are already queued or running.
class TeamQuota {
 public:
  void Configure(const TeamConfig& config) { config_ = config; }

  // Never zero, so that a team with a wrongly configured weight is slow but not starved.
  double weight() const;
  std::uint32_t queued() const { return queued_; }
  std::uint32_t running() const { return running_; }
  // Zero means unlimited.
  std::uint32_t max_queued() const { return config_.max_queued_tasks; }
  std::uint32_t max_running() const { return config_.max_running_tasks; }

  bool CanQueue(std::uint32_t tasks) const;
  bool CanStartTask() const;

  void AddQueued(std::uint32_t tasks) { queued_ += tasks; }
  void RemoveQueued(std::uint32_t tasks);
  void AddRunning() { ++running_; }
  void RemoveRunning();

 private:
  TeamConfig config_;
  std::uint32_t queued_ = 0;
  std::uint32_t running_ = 0;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_TEAM_QUOTA_H_
