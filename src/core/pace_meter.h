// How fast an executor works, compared with the estimates of its runs.
#ifndef ZINNIAMUX_CORE_PACE_METER_H_
#define ZINNIAMUX_CORE_PACE_METER_H_

#include <algorithm>

#include "core/clock.h"

namespace zinniamux::core {

// Mean of run time / estimate. Load pattern: some executors turn several times slower, or stand
// still, for seconds while their reports stay good. Ended runs alone would show that too late, so
// the progress of running ones counts as well: a run at 10 % after its whole estimate has a ratio
// of 10. Without samples the value returns to 1, so that the executor is tried again.
class PaceMeter {
 public:
  void OnEnd(double ratio, TimePoint now) { Add(std::clamp(ratio, kLowest, kHighest), now); }

  // A run that has not ended, `elapsed_ratio` of its estimate after its start. Only a run that lags
  // says something: one that is in time may still do so.
  void OnProgress(double elapsed_ratio, int percent, TimePoint now) {
    constexpr double kLeastElapsed = 0.5;
    if (elapsed_ratio < kLeastElapsed) return;
    const double done = std::max(percent, 1) / 100.0;
    const double ratio = std::min(elapsed_ratio / done, kHighest);
    if (ratio > value(now)) Add(ratio, now);
  }

  // 0 before the first sample.
  double value(TimePoint now) const {
    if (!known_) return 0;
    const double age = std::chrono::duration<double>(now - changed_at_).count();
    const double kept = std::max(0.0, 1.0 - age / kMemorySeconds);
    return 1.0 + (mean_ - 1.0) * kept;
  }

 private:
  static constexpr double kLowest = 0.05;
  static constexpr double kHighest = 50;
  // Share of a new sample: four samples make up most of the mean.
  static constexpr double kWeight = 0.25;
  // An executor that shows nothing new counts as normal after this time; slow phases last for
  // seconds.
  static constexpr double kMemorySeconds = 3.0;

  void Add(double ratio, TimePoint now) {
    mean_ = known_ ? value(now) * (1 - kWeight) + ratio * kWeight : ratio;
    known_ = true;
    changed_at_ = now;
  }

  double mean_ = 1;
  bool known_ = false;
  TimePoint changed_at_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_PACE_METER_H_
