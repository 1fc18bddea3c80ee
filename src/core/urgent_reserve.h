// Room on an executor that is kept for urgent runs.
#ifndef ZINNIAMUX_CORE_URGENT_RESERVE_H_
#define ZINNIAMUX_CORE_URGENT_RESERVE_H_

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>

#include "core/clock.h"

namespace zinniamux::core {

// Load pattern: short, wide, urgent jobs arrive among long ones that would fill every executor. An
// urgent task has no time to wait for the end of a long run, so other runs leave part of the room
// that urgent ones have used of late. Without urgent runs nothing is kept.
class UrgentReserve {
 public:
  // `urgent_cpu_milli` is in use by urgent runs, or waited for by urgent orders, from now on.
  void Note(std::int64_t urgent_cpu_milli, TimePoint now) {
    mean_ = MeanAt(now);
    current_ = urgent_cpu_milli;
    changed_at_ = now;
  }

  // Room that other runs have to leave free beside the urgent runs of now.
  std::int64_t Kept(std::int64_t capacity_milli, TimePoint now) const {
    const double most = static_cast<double>(capacity_milli) * kMostShare;
    const double missing = MeanAt(now) * kKeptPart - static_cast<double>(current_);
    return static_cast<std::int64_t>(std::clamp(missing, 0.0, most));
  }

 private:
  // Bursts last for some seconds; the reserve follows within one.
  static constexpr double kMemorySeconds = 1.0;
  // Part of the mean use that is kept. More left executors idle while callers were refused: urgent
  // orders come first when room becomes free, so many find some without it.
  static constexpr double kKeptPart = 0.6;
  // Part of an executor that may be kept idle: more stood idle for seconds after a burst of urgent
  // jobs, while other orders expired.
  static constexpr double kMostShare = 0.12;

  double MeanAt(TimePoint now) const {
    const double age = std::chrono::duration<double>(now - changed_at_).count();
    const double weight = std::exp(-std::max(age, 0.0) / kMemorySeconds);
    return mean_ * weight + static_cast<double>(current_) * (1 - weight);
  }

  // Mean over time of what urgent runs used, up to changed_at_.
  double mean_ = 0;
  std::int64_t current_ = 0;
  TimePoint changed_at_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_URGENT_RESERVE_H_
