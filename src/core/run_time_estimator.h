// Estimates the run time of tasks from earlier runs of the same job kind.
#ifndef ZINNIAMUX_CORE_RUN_TIME_ESTIMATOR_H_
#define ZINNIAMUX_CORE_RUN_TIME_ESTIMATOR_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "core/dispatch_config.h"

namespace zinniamux::core {

// Keeps exponentially weighted means per job kind. There are two predictors: the declared time
// scaled by the ratio of actual to declared times, and the mean run time of the kind. The one with
// the smaller mean error is used, because declared times may or may not predict the run time.
class RunTimeEstimator {
 public:
  struct Estimate {
    Duration run_time{0};
    // Mean absolute error of the estimate; zero if it is not learned.
    Duration deviation{0};
    // False while the estimate is just the declared time.
    bool learned = false;
  };

  Estimate For(std::string_view job_kind, Duration declared) const;
  // Declared times of zero or less count as undeclared.
  void Observe(std::string_view job_kind, Duration declared, Duration actual);
  // Forgets the kinds that `config` does not list.
  void Retain(const DispatchConfig& config);

  std::size_t size() const { return kinds_.size(); }

 private:
  // All times in microseconds.
  struct Kind {
    std::uint64_t samples = 0;
    double mean_actual = 0;
    // Means over the observations that declared a time.
    std::uint64_t declared_samples = 0;
    double mean_declared = 0;
    double mean_actual_of_declared = 0;
    double error_of_mean = 0;
    double error_of_ratio = 0;

    bool UsesRatio(Duration declared) const;
    double ScaledDeclaration(Duration declared) const;
  };

  std::map<std::string, Kind, std::less<>> kinds_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_RUN_TIME_ESTIMATOR_H_
