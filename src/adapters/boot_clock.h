// A monotonic clock that also counts the time for which the machine was suspended.
#ifndef ZINNIAMUX_ADAPTERS_BOOT_CLOCK_H_
#define ZINNIAMUX_ADAPTERS_BOOT_CLOCK_H_

#include <ctime>

#include "core/clock.h"

namespace zinniamux::adapters {

// Reads CLOCK_BOOTTIME. Deadlines and silence limits hold across a suspension, which
// std::chrono::steady_clock does not count.
class BootClock : public core::Clock {
 public:
  core::TimePoint now() const override {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    const auto since_boot =
        std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    return core::TimePoint(std::chrono::duration_cast<core::Duration>(since_boot));
  }
};

}  // namespace zinniamux::adapters

#endif  // ZINNIAMUX_ADAPTERS_BOOT_CLOCK_H_
