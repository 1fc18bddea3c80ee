// Notices that the process stood still: frozen, or without processor time.
#ifndef ZINNIAMUX_CORE_STALL_DETECTOR_H_
#define ZINNIAMUX_CORE_STALL_DETECTOR_H_

#include <chrono>
#include <optional>

#include "core/clock.h"

namespace zinniamux::core {

// What arrives during a stall is handled in any order afterwards, not in the order in which it was
// sent.
class StallDetector {
 public:
  // In a shorter stall nothing is lost: supervisors stop the runs of a silent dispatcher after
  // 900 ms, and callers without a connection send their jobs again after 1,300 ms.
  static constexpr std::chrono::milliseconds kLimit{800};

  // Called before events are handled. Returns how long the process stood still, if it did.
  std::optional<Duration> OnTurn(TimePoint now) {
    const Duration pause = last_turn_ == TimePoint() ? Duration(0) : now - last_turn_;
    last_turn_ = now;
    if (pause <= kLimit) return std::nullopt;
    return pause;
  }

 private:
  TimePoint last_turn_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_STALL_DETECTOR_H_
