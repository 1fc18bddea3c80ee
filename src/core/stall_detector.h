// Notices that the process stood still: frozen, or without processor time.
#ifndef ZINNIAMUX_CORE_STALL_DETECTOR_H_
#define ZINNIAMUX_CORE_STALL_DETECTOR_H_

#include <chrono>
#include <optional>

#include "core/clock.h"
#include "core/run_end_budget.h"

namespace zinniamux::core {

// What arrives during a stall is handled in any order afterwards, not in the order in which it was
// sent.
class StallDetector {
 public:
  // In a stall that is shorter than `limit`, supervisors stop no runs.
  explicit StallDetector(std::chrono::milliseconds limit = RunEndBudget().stall_limit())
      : limit_(limit) {}

  // Called before events are handled. Returns how long the process stood still, if it did.
  std::optional<Duration> OnTurn(TimePoint now) {
    const Duration pause = last_turn_ == TimePoint() ? Duration(0) : now - last_turn_;
    last_turn_ = now;
    if (pause <= limit_) return std::nullopt;
    return pause;
  }

 private:
  std::chrono::milliseconds limit_;
  TimePoint last_turn_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_STALL_DETECTOR_H_
