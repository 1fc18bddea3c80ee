// Measures the speed of an executor relative to the estimates of its runs.
#ifndef ZINNIAMUX_CORE_PACE_METER_H_
#define ZINNIAMUX_CORE_PACE_METER_H_

#include <algorithm>
#include <cmath>

#include "core/clock.h"

namespace zinniamux::core {

// Weighted geometric mean of run time / estimate. Load pattern: some executors become several times
// slower, or stall, for seconds while their reports look normal. Ended runs alone would show that
// too late, so the progress of running ones counts as well. Estimates are off by tens of percent,
// so it takes a few slow runs to change the mean much. Without samples the value returns to 1, so
// that the executor is tried again.
class PaceMeter {
 public:
  // `ratio` is the run time of one run divided by its estimate. For a run that has not ended, it is
  // the run time projected from its progress.
  void AddSample(double ratio, TimePoint now) {
    const double sample = std::log(std::clamp(ratio, kMinRatio, kMaxRatio));
    mean_log_ = known_ ? DecayedMean(now) * (1 - kWeight) + sample * kWeight : sample * kWeight;
    known_ = true;
    changed_at_ = now;
  }

  // 0 before the first sample.
  double value(TimePoint now) const { return known_ ? std::exp(DecayedMean(now)) : 0; }

 private:
  // A stalled run counts as ten times slower: enough to show within a few runs, while normal runs
  // outweigh it as quickly.
  static constexpr double kMinRatio = 0.1;
  static constexpr double kMaxRatio = 10;
  // Five samples of an executor that is five times slower more than double the mean, while the
  // usual spread of 40 % leaves it within 15 %.
  static constexpr double kWeight = 0.15;
  // Without new samples an executor counts as normal after this time; slow phases last for seconds.
  static constexpr double kDecaySeconds = 3.0;

  double DecayedMean(TimePoint now) const {
    const double age = std::chrono::duration<double>(now - changed_at_).count();
    return mean_log_ * std::clamp(1.0 - age / kDecaySeconds, 0.0, 1.0);
  }

  double mean_log_ = 0;
  bool known_ = false;
  TimePoint changed_at_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_PACE_METER_H_
