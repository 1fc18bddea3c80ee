// Notices that the process stood still: suspended, frozen, or without processor time.
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
  // A process that runs comes to its events more often than this: its timer fires every 100 ms.
  static constexpr std::chrono::milliseconds kLimit{300};

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
