// Room on an executor that is reserved for urgent runs.
#ifndef ZINNIAMUX_CORE_URGENT_RESERVE_H_
#define ZINNIAMUX_CORE_URGENT_RESERVE_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "core/clock.h"
#include "core/decaying_mean.h"

namespace zinniamux::core {

// Load pattern: short urgent jobs of many tasks arrive among long jobs that would fill every
// executor. An urgent task cannot wait for the end of a long run, so other runs leave free part of
// the room that urgent ones have used recently. Without urgent runs nothing is reserved.
class UrgentReserve {
 public:
  // From now on, urgent runs use and waiting urgent orders need `urgent_cpu_milli` in all.
  void Update(std::int64_t urgent_cpu_milli, TimePoint now) {
    mean_.Update(static_cast<double>(urgent_cpu_milli), now);
    current_ = urgent_cpu_milli;
  }

  // Room that other runs must leave free, beyond what urgent runs use now.
  std::int64_t ReservedCpuMilli(std::int64_t capacity_milli, TimePoint now) const {
    const double max_reserved = static_cast<double>(capacity_milli) * kMaxReservedShare;
    const double missing = mean_.At(now) * kReservedShare - static_cast<double>(current_);
    return static_cast<std::int64_t>(std::clamp(missing, 0.0, max_reserved));
  }

 private:
  // Share of the mean use that is reserved. A larger one leaves executors idle while callers are
  // refused: urgent orders come first when room becomes free, so many need no reserve.
  static constexpr double kReservedShare = 0.6;
  // Share of an executor that may be reserved. A larger one stays idle for seconds after a burst of
  // urgent jobs, while other orders expire.
  static constexpr double kMaxReservedShare = 0.12;

  // Bursts last for some seconds, and the reserve follows within one.
  DecayingMean mean_{std::chrono::seconds(1)};
  std::int64_t current_ = 0;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_URGENT_RESERVE_H_
