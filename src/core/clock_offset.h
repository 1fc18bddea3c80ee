// Estimates the difference between the clocks of two processes.
#ifndef ZINNIAMUX_CORE_CLOCK_OFFSET_H_
#define ZINNIAMUX_CORE_CLOCK_OFFSET_H_

#include <algorithm>
#include <chrono>

#include "core/clock.h"

namespace zinniamux::core {

// Each message of the peer carries the time at which it was sent. Latency only lowers the
// difference that it shows, so the largest difference is the closest to the true one and never
// above it. Clocks drift apart, so only recent messages count: with all of a connection, the
// estimate of a peer whose clock is slow would be wrong by more every hour.
class ClockOffset {
 public:
  // Messages of the last one to two windows count. In a minute, clocks that differ by 50 parts per
  // million drift apart by 3 ms.
  static constexpr std::chrono::seconds kWindow{30};

  // Records a message. Returns how much longer it took than the fastest recent one.
  Duration Record(Duration sent_at, TimePoint received_at) {
    const Duration offset = sent_at - received_at.time_since_epoch();
    if (received_at - window_began_at_ >= kWindow) {
      previous_ = current_;
      current_ = Duration::min();
      window_began_at_ = received_at;
    }
    current_ = std::max(current_, offset);
    return value() - offset;
  }

  // The peer's clock minus this process's clock. Duration::min() before the first message.
  Duration value() const { return std::max(previous_, current_); }

 private:
  // The largest difference in the current window, and in the one before.
  Duration current_ = Duration::min();
  Duration previous_ = Duration::min();
  TimePoint window_began_at_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_CLOCK_OFFSET_H_
