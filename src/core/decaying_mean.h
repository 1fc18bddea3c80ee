// Exponentially weighted mean over time of a value that changes in steps.
#ifndef ZINNIAMUX_CORE_DECAYING_MEAN_H_
#define ZINNIAMUX_CORE_DECAYING_MEAN_H_

#include <algorithm>
#include <chrono>
#include <cmath>

#include "core/clock.h"

namespace zinniamux::core {

class DecayingMean {
 public:
  explicit DecayingMean(std::chrono::milliseconds time_constant) : time_constant_(time_constant) {}

  // From now on, the value is `value`.
  void Update(double value, TimePoint now) {
    mean_ = At(now);
    current_ = value;
    changed_at_ = now;
  }

  // The value has been `value` for long.
  void Start(double value, TimePoint now) {
    mean_ = current_ = value;
    changed_at_ = now;
  }

  double At(TimePoint now) const {
    const std::chrono::duration<double> age = std::max(now - changed_at_, Duration(0));
    const double weight = std::exp(-age / std::chrono::duration<double>(time_constant_));
    return mean_ * weight + current_ * (1 - weight);
  }

 private:
  std::chrono::milliseconds time_constant_;
  // The mean at changed_at_, and the value since then.
  double mean_ = 0;
  double current_ = 0;
  TimePoint changed_at_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_DECAYING_MEAN_H_
