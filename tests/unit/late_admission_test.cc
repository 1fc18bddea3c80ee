// LateAdmission: which jobs are held for a late answer.
#include "core/late_admission.h"

#include <criterion/criterion.h>

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using zinniamux::core::LateAdmission;
using zinniamux::core::TimePoint;

constexpr TimePoint kNow{seconds(100)};

struct Fixture {
  // Reports the same spare room for longer than the averaging time, and one arrival each 10 ms.
  void Observe(std::int64_t spare_cpu_milli) {
    for (int i = 0; i < 1500; ++i) {
      now += milliseconds(10);
      admission.OnArrival(now);
      admission.Observe("service",
                        {.capacity_cpu_milli = 100'000, .spare_cpu_milli = spare_cpu_milli}, now);
    }
  }

  std::optional<LateAdmission::Limits> Admit(double held_core_time = 0) const {
    return admission.Admit("service",
                           {.cpu_milli = 8000,
                            .critical_path = milliseconds(60),
                            .objective = milliseconds(156),
                            .received = now,
                            .deadline = now + seconds(6),
                            .latest_order = now + milliseconds(1250)},
                           held_core_time, now);
  }

  LateAdmission admission{{.enabled = true}};
  TimePoint now = kNow;
};

}  // namespace

// Guards against jobs that are refused in a short peak although room will be free within three
// times their objective, and against answers after that.
Test(late_admission, holds_a_job_while_there_is_spare_room) {
  Fixture fixture;
  fixture.Observe(30'000);
  const auto limits = fixture.Admit();
  cr_assert(limits.has_value());
  cr_assert(limits->latest_start == fixture.now + milliseconds(3 * 156 - 60));
  cr_assert(limits->start_by == limits->latest_start);
}

// Guards against jobs that are refused beside idle executors after the loss of all VMs: a
// dispatcher that has just started has seen no room for most of its averaging time.
Test(late_admission, holds_a_job_when_the_first_reports_show_spare_room) {
  Fixture fixture;
  fixture.admission.OnArrival(fixture.now);
  fixture.admission.Observe("service", {.capacity_cpu_milli = 100'000, .spare_cpu_milli = 90'000},
                            fixture.now);
  cr_assert(fixture.Admit().has_value());
}

// Guards against late jobs that take the room of jobs in time at steady overload.
Test(late_admission, holds_nothing_without_spare_room) {
  Fixture fixture;
  fixture.Observe(5000);
  cr_assert_not(fixture.Admit().has_value());
}

// Guards against the same where fragmented room looks spare: many jobs miss their objective.
Test(late_admission, holds_nothing_while_many_jobs_miss) {
  Fixture fixture;
  fixture.Observe(30'000);
  for (int i = 0; i < 40; ++i) fixture.admission.OnMiss(fixture.now);
  cr_assert_not(fixture.Admit().has_value());
}

// Guards against jobs that are held behind more late work than will be done within their limit.
Test(late_admission, limits_the_work_that_is_held) {
  Fixture fixture;
  fixture.Observe(30'000);
  cr_assert(fixture.Admit(/*held_core_time=*/10'000).has_value());
  cr_assert_not(fixture.Admit(/*held_core_time=*/15'000).has_value());
}
