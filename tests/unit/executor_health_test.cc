// ExecutorHealth: ejection, probation and reinstatement of one executor.
#include "core/executor_health.h"

#include <criterion/criterion.h>

#include <string>

namespace {

using std::chrono::seconds;
using zinniamux::core::ExecutorHealth;
using zinniamux::core::TimePoint;
using Standing = ExecutorHealth::Standing;

struct Fixture {
  Fixture() {
    for (const char* id : {"a", "b", "c", "d", "e", "f"}) {
      health.Add(id);
      health.Record(id, "stock", false, now);
    }
  }

  void RecordFailures(int outcomes) {
    for (int outcome = 0; outcome < outcomes; ++outcome) health.Record("a", "stock", true, now);
  }

  ExecutorHealth health;
  TimePoint now{seconds(100)};
};

}  // namespace

// Guards against probation before the ejection time is over, and against ejection times that stay
// short for an executor that keeps failing.
Test(executor_health, doubles_the_ejection_time_up_to_its_limit) {
  Fixture fixture;
  fixture.RecordFailures(20);
  for (const int expected : {2, 4, 8, 16, 32, 60, 60}) {
    cr_assert(fixture.health.standing("a") == Standing::kEjected);
    fixture.now += seconds(expected) - std::chrono::milliseconds(1);
    cr_assert(fixture.health.OnTimer(fixture.now).empty());
    fixture.now += std::chrono::milliseconds(1);
    cr_assert_eq(fixture.health.OnTimer(fixture.now).size(), 1U);
    cr_assert(fixture.health.standing("a") == Standing::kProbation);
    fixture.RecordFailures(5);
  }
}

// Guards against an executor that stays on probation after it has recovered.
Test(executor_health, reinstates_after_successes) {
  Fixture fixture;
  fixture.RecordFailures(10);
  fixture.now += seconds(2);
  fixture.health.OnTimer(fixture.now);
  for (int outcome = 0; outcome < 4; ++outcome) {
    cr_assert(!fixture.health.Record("a", "stock", false, fixture.now).has_value());
  }
  const auto change = fixture.health.Record("a", "stock", false, fixture.now);
  cr_assert(change.has_value() && change->standing == Standing::kHealthy);
}

// Guards against the ejection of an executor that fails somewhat more often than its peers.
Test(executor_health, keeps_an_executor_below_the_threshold) {
  Fixture fixture;
  for (int outcome = 0; outcome < 200; ++outcome) {
    fixture.health.Record("a", "stock", outcome % 3 == 0, fixture.now);
    cr_assert(fixture.health.standing("a") == Standing::kHealthy);
  }
}

// Guards against the ejection of an executor without peers to compare it with.
Test(executor_health, does_not_eject_without_peers) {
  ExecutorHealth health;
  health.Add("a");
  health.Add("b");
  health.Add("c");
  const TimePoint now{seconds(1)};
  for (int outcome = 0; outcome < 50; ++outcome) {
    cr_assert(!health.Record("a", "stock", true, now).has_value());
  }
}
