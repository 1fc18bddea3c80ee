// RunTimeEstimator: estimates follow actual run times, not declared ones.
#include "core/run_time_estimator.h"

#include <criterion/criterion.h>

namespace {

using std::chrono::milliseconds;
using zinniamux::core::Duration;
using zinniamux::core::RunTimeEstimator;

bool Near(Duration value, Duration expected) {
  return value > expected * 9 / 10 && value < expected * 11 / 10;
}

}  // namespace

// Guards against estimates that stay wrong when declared times are off by a constant factor.
Test(run_time_estimator, scales_declared_times_by_the_learned_ratio) {
  RunTimeEstimator estimator;
  cr_assert(estimator.For("stock", milliseconds(100)).run_time == milliseconds(100));
  cr_assert(!estimator.For("stock", milliseconds(100)).learned);
  for (int task = 1; task <= 40; ++task) {
    const milliseconds declared(50 * (1 + task % 5));
    estimator.Observe("stock", declared, declared * 4);
  }
  cr_assert(estimator.For("stock", milliseconds(100)).learned);
  cr_assert(Near(estimator.For("stock", milliseconds(100)).run_time, milliseconds(400)));
  cr_assert(Near(estimator.For("stock", milliseconds(200)).run_time, milliseconds(800)));
}

// Guards against estimates that follow declared times that do not predict the run time.
Test(run_time_estimator, uses_the_mean_if_declared_times_are_noise) {
  RunTimeEstimator estimator;
  for (int task = 0; task < 100; ++task) {
    const milliseconds declared(task % 2 == 0 ? 25 : 400);
    estimator.Observe("stock", declared, milliseconds(100));
  }
  cr_assert(Near(estimator.For("stock", milliseconds(400)).run_time, milliseconds(100)));
  cr_assert(Near(estimator.For("stock", milliseconds(0)).run_time, milliseconds(100)));
}

// Guards against an estimate that stays too low after a job kind has become slower.
Test(run_time_estimator, follows_a_change) {
  RunTimeEstimator estimator;
  for (int task = 0; task < 1000; ++task) {
    estimator.Observe("stock", milliseconds(0), milliseconds(100));
  }
  for (int task = 0; task < 60; ++task) {
    estimator.Observe("stock", milliseconds(0), milliseconds(400));
  }
  cr_assert(Near(estimator.For("stock", milliseconds(0)).run_time, milliseconds(400)));
}

// Guards against memory that grows with every job kind that was ever configured.
Test(run_time_estimator, forgets_kinds_that_are_no_longer_configured) {
  RunTimeEstimator estimator;
  estimator.Observe("stock", milliseconds(0), milliseconds(100));
  estimator.Observe("print", milliseconds(0), milliseconds(100));
  zinniamux::core::DispatchConfig config;
  config.jobs["print"];
  estimator.Retain(config);
  cr_assert_eq(estimator.size(), 1U);
}
