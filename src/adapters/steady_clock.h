// The process's monotonic clock.
#ifndef ZINNIAMUX_ADAPTERS_STEADY_CLOCK_H_
#define ZINNIAMUX_ADAPTERS_STEADY_CLOCK_H_

#include "core/clock.h"

namespace zinniamux::adapters {

// Reads std::chrono::steady_clock.
class SteadyClock : public core::Clock {
 public:
  core::TimePoint now() const override {
    return std::chrono::time_point_cast<core::Duration>(std::chrono::steady_clock::now());
  }
};

}  // namespace zinniamux::adapters

#endif  // ZINNIAMUX_ADAPTERS_STEADY_CLOCK_H_
