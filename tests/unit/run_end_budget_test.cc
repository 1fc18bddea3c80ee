// RunEndBudget: limits that fit together, and deployments for which there are none.
#include "core/run_end_budget.h"

#include <criterion/criterion.h>

#include <string>

namespace {

using std::chrono::milliseconds;
using zinniamux::core::Duration;
using zinniamux::core::RunEndBudget;

}  // namespace

// Guards against limits that end a run after the second copy of its job may start.
Test(run_end_budget, ends_runs_before_a_second_copy_starts) {
  for (int retransmit = 1200; retransmit <= 5000; retransmit += 100) {
    for (int max_lease = 300; max_lease <= 6000; max_lease += 300) {
      const auto budget = RunEndBudget::For(
          {.retransmit = milliseconds(retransmit), .max_lease = milliseconds(max_lease)});
      cr_assert(budget.has_value(), "%s", budget ? "" : budget.error().message.c_str());
      cr_assert_lt(budget->run_end().count(), retransmit);
      cr_assert_leq((budget->silence() + budget->stop_limit() + budget->stop_time()).count(),
                    budget->run_end().count());
      cr_assert_leq(RunEndBudget::LongestLease(budget->lease()).count(),
                    Duration(budget->run_end()).count());
      cr_assert_leq(budget->lease().count(), max_lease);
      cr_assert_gt(budget->isolation_limit().count(), RunEndBudget::kHeartbeat.count());
      cr_assert_lt(budget->isolation_limit().count(), budget->silence().count());
      cr_assert_lt(budget->stall_limit().count(), budget->silence().count());
      cr_assert_geq(Duration(budget->lost_after()).count(), Duration(budget->run_end()).count());
    }
  }
}

// Guards against a lease that lasts longer on a slow clock than it may.
Test(run_end_budget, leases_end_in_time_on_a_slow_clock) {
  constexpr double kClockRate = 0.98;
  for (int time = 1; time <= 3000; ++time) {
    const milliseconds lease = RunEndBudget::LeaseWithin(milliseconds(time));
    cr_assert_leq(static_cast<double>(lease.count()) / kClockRate, time + 1e-9);
    cr_assert_leq(RunEndBudget::LeaseWithin(RunEndBudget::LongestLease(milliseconds(time))).count(),
                  time);
  }
}

// Guards against a default deployment that silently uses other limits than the users' one.
Test(run_end_budget, keeps_the_limits_of_the_default_deployment) {
  const RunEndBudget budget;
  cr_assert_eq(budget.run_end().count(), 1250);
  cr_assert_eq(budget.silence().count(), 900);
  cr_assert_eq(budget.lease().count(), 1000);
  cr_assert_eq(budget.lost_after().count(), 2020);
}

// Guards against limits that are adjusted in silence until they do not hold.
Test(run_end_budget, names_the_times_that_contradict_each_other) {
  const auto too_soon = RunEndBudget::For({.retransmit = milliseconds(1150)});
  cr_assert_not(too_soon.has_value());
  cr_assert(too_soon.error().message.find("1150 ms") != std::string::npos);
  cr_assert(too_soon.error().message.find("less than the 800 ms") != std::string::npos);
  const auto too_short = RunEndBudget::For({.max_lease = milliseconds(100)});
  cr_assert_not(too_short.has_value());
  cr_assert(too_short.error().message.find("100 ms") != std::string::npos);
}
