// How fast an executor works, compared with the estimates of its runs.
#ifndef ZINNIAMUX_CORE_PACE_METER_H_
#define ZINNIAMUX_CORE_PACE_METER_H_

#include <algorithm>
#include <cmath>

#include "core/clock.h"

namespace zinniamux::core {

// Geometric mean of run time / estimate. Load pattern: some executors turn several times slower, or
// stand still, for seconds while their reports stay good. Ended runs alone would show that too
// late, so the progress of running ones counts as well. Estimates are off by tens of percent, so a
// few runs must agree. Without samples the value returns to 1, so that the executor is tried again.
class PaceMeter {
 public:
  // Ratio of one run: its time divided by the estimate. Of a run that has not ended, the time that
  // it will take at its present speed.
  void Add(double ratio, TimePoint now) {
    const double sample = std::log(std::clamp(ratio, kLowest, kHighest));
    mean_log_ = known_ ? Faded(now) * (1 - kWeight) + sample * kWeight : sample * kWeight;
    known_ = true;
    changed_at_ = now;
  }

  // 0 before the first sample.
  double value(TimePoint now) const { return known_ ? std::exp(Faded(now)) : 0; }

 private:
  // A run that stands still counts as ten times slower: enough to be seen within a few runs, and
  // forgotten as fast.
  static constexpr double kLowest = 0.1;
  static constexpr double kHighest = 10;
  // Five samples of an executor that is five times slower more than double the mean, while the
  // usual spread of 40 % leaves it within 15 %.
  static constexpr double kWeight = 0.15;
  // An executor that shows nothing new counts as normal after this time; slow phases last for
  // seconds.
  static constexpr double kMemorySeconds = 3.0;

  double Faded(TimePoint now) const {
    const double age = std::chrono::duration<double>(now - changed_at_).count();
    return mean_log_ * std::clamp(1.0 - age / kMemorySeconds, 0.0, 1.0);
  }

  double mean_log_ = 0;
  bool known_ = false;
  TimePoint changed_at_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_PACE_METER_H_
