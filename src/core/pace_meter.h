// Measures the speed of an executor relative to the estimates of its runs.
#ifndef ZINNIAMUX_CORE_PACE_METER_H_
#define ZINNIAMUX_CORE_PACE_METER_H_

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>

#include "core/clock.h"
#include "core/steady_pace.h"

namespace zinniamux::core {

// Weighted geometric mean of run time / estimate. Load pattern: some executors become several times
// slower, or stall, for seconds while their reports look normal; beside that, a few percent of all
// tasks take several times as long wherever they run. Ended runs alone would show a slow executor
// too late, so the progress of running ones counts as well.
// - What counts is the median of the last three runs. A single long run changes nothing, whatever
//   its length; two of three do, as nearly all runs on a slow executor are long.
// - Estimates are off by tens of percent, so it takes a few slow runs to change the mean much.
// - Without samples the value returns to 1, so that the executor is tried again.
class PaceMeter {
 public:
  // `ratio` is the run time of one run divided by its estimate. For a run that has not ended, it is
  // the run time projected from its progress. One sample for each run.
  void AddSample(double ratio, TimePoint now) {
    if (now - changed_at_ >= kDecay) recent_ = {};
    recent_ = {std::log(std::clamp(ratio, kMinRatio, kMaxRatio)), recent_[0], recent_[1]};
    steady_.AddSample(recent_[0], now);
    const auto [least, most] = std::minmax({recent_[0], recent_[1], recent_[2]});
    const double median = recent_[0] + recent_[1] + recent_[2] - least - most;
    mean_log_ = known_ ? DecayedMean(now) * (1 - kWeight) + median * kWeight : median * kWeight;
    known_ = true;
    changed_at_ = now;
  }

  // 0 before the first sample.
  double value(TimePoint now) const { return known_ ? std::exp(DecayedMean(now)) : 0; }

  // As SteadyPace::value.
  double steady_value(TimePoint now) const { return steady_.value(now); }

  // Whether the end of a run is a sample of its own though its progress was one: the executor has
  // changed its speed meanwhile. Otherwise a single long run would count twice.
  static bool HasChanged(double ratio_in_progress, double ratio) {
    return std::abs(std::log(ratio / ratio_in_progress)) > kNotableChange;
  }

 private:
  // A stalled run counts as ten times slower: enough to show within a few runs, while normal runs
  // outweigh it as quickly.
  static constexpr double kMinRatio = 0.1;
  static constexpr double kMaxRatio = 10;
  // Five samples of an executor that is five times slower more than double the mean, while the
  // usual spread of 40 % leaves it within 15 %.
  static constexpr double kWeight = 0.15;
  // Without new samples an executor counts as normal after this time; slow phases last for seconds.
  static constexpr Duration kDecay = std::chrono::seconds(3);
  // A factor of 1.5, the least by which a slow executor differs from a normal one.
  static constexpr double kNotableChange = 0.405;

  double DecayedMean(TimePoint now) const {
    const double age = std::chrono::duration<double>(now - changed_at_) / kDecay;
    return mean_log_ * std::clamp(1.0 - age, 0.0, 1.0);
  }

  double mean_log_ = 0;
  bool known_ = false;
  TimePoint changed_at_;
  // Logarithms of the last samples, the newest first; 0 where there is none.
  std::array<double, 3> recent_{};
  SteadyPace steady_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_PACE_METER_H_
