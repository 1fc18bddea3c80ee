// The time source of all decision code. Core objects read time only from an injected Clock, never
// from the system, so that tests and simulations can run them at any speed.
#ifndef ZINNIAMUX_CORE_CLOCK_H_
#define ZINNIAMUX_CORE_CLOCK_H_

#include <chrono>

namespace zinniamux::core {

using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// A monotonic clock.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual TimePoint now() const = 0;
};

// A clock that changes only when it is advanced.
class ManualClock : public Clock {
 public:
  TimePoint now() const override { return now_; }
  void Advance(Duration step) { now_ += step; }

 private:
  TimePoint now_{std::chrono::seconds(1000)};
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_CLOCK_H_
