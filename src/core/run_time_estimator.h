// Learns how long the tasks of a job kind run.
#ifndef ZINNIAMUX_CORE_RUN_TIME_ESTIMATOR_H_
#define ZINNIAMUX_CORE_RUN_TIME_ESTIMATOR_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "core/dispatch_config.h"

namespace zinniamux::core {

// Keeps exponentially weighted means per job kind. Of two predictors, the declared time corrected
// by the learned ratio and the mean run time of the kind, it uses the one with the smaller error
// so far, because declarations within a kind may be informative or pure noise.
class RunTimeEstimator {
 public:
  struct Estimate {
    Duration run_time{0};
    // Mean absolute error of the estimate; zero while nothing was learned.
    Duration deviation{0};
    // False while the estimate rests on declarations alone.
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
