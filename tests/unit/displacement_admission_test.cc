// DisplacementAdmission: which jobs are refused at arrival while room is short.
#include "core/displacement_admission.h"

#include <criterion/criterion.h>

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using zinniamux::core::DisplacementAdmission;
using zinniamux::core::TimePoint;

struct Counts {
  int small = 0;
  int large = 0;
};

// Refused of 100 large jobs that need ten times as much as each of 900 small ones.
Counts Play(std::int64_t spare_cpu_milli) {
  DisplacementAdmission admission({.enabled = true});
  TimePoint now{seconds(100)};
  Counts refused;
  for (int i = 0; i < 1000; ++i) {
    now += milliseconds(5);
    admission.Observe("service",
                      {.capacity_cpu_milli = 100'000, .spare_cpu_milli = spare_cpu_milli}, now);
    const bool is_large = i % 10 == 0;
    if (!admission.ShouldRefuse("service", is_large ? "large" : "small", is_large ? 10 : 1, now)) {
      continue;
    }
    ++(is_large ? refused.large : refused.small);
  }
  return refused;
}

}  // namespace

// Guards against large jobs that displace ten small ones each while room is short, and against a
// queue that starves because its jobs are large.
Test(displacement_admission, refuses_large_jobs_down_to_the_floor) {
  const Counts refused = Play(0);
  cr_assert_eq(refused.small, 0);
  cr_assert(refused.large >= 10 && refused.large <= 21, "%d", refused.large);
}

// Guards against refusals while all jobs can be served.
Test(displacement_admission, refuses_nothing_without_pressure) {
  const Counts refused = Play(20'000);
  cr_assert_eq(refused.small + refused.large, 0);
}
