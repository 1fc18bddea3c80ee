// ExecutorHealth: ejection, probation and return of one executor.
#include "core/executor_health.h"

#include <criterion/criterion.h>

#include <string>

namespace {

using std::chrono::seconds;
using zinniamux::core::ExecutorHealth;
using zinniamux::core::TimePoint;
using Standing = ExecutorHealth::Standing;

struct Shard {
  Shard() {
    for (const char* id : {"a", "b", "c", "d", "e", "f"}) {
      health.Add(id);
      health.Record(id, "stock", false, now);
    }
  }

  void Fail(int outcomes) {
    for (int outcome = 0; outcome < outcomes; ++outcome) health.Record("a", "stock", true, now);
  }

  ExecutorHealth health;
  TimePoint now{seconds(100)};
};

}  // namespace

// Guards against a return before the ejection time is over, and against ejections of a constant
// short time for an executor that stays bad.
Test(executor_health, doubles_the_ejection_time_up_to_its_limit) {
  Shard shard;
  shard.Fail(20);
  for (const int expected : {2, 4, 8, 16, 32, 60, 60}) {
    cr_assert(shard.health.standing("a") == Standing::kEjected);
    shard.now += seconds(expected) - std::chrono::milliseconds(1);
    cr_assert(shard.health.OnTimer(shard.now).empty());
    shard.now += std::chrono::milliseconds(1);
    cr_assert_eq(shard.health.OnTimer(shard.now).size(), 1U);
    cr_assert(shard.health.standing("a") == Standing::kProbation);
    shard.Fail(5);
  }
}

// Guards against an executor that stays on probation after it has recovered.
Test(executor_health, reinstates_after_good_outcomes) {
  Shard shard;
  shard.Fail(10);
  shard.now += seconds(2);
  shard.health.OnTimer(shard.now);
  for (int outcome = 0; outcome < 4; ++outcome) {
    cr_assert(!shard.health.Record("a", "stock", false, shard.now).has_value());
  }
  const auto change = shard.health.Record("a", "stock", false, shard.now);
  cr_assert(change.has_value() && change->standing == Standing::kHealthy);
}

// Guards against the ejection of an executor that fails somewhat more often than its peers.
Test(executor_health, keeps_an_executor_below_the_threshold) {
  Shard shard;
  for (int outcome = 0; outcome < 200; ++outcome) {
    shard.health.Record("a", "stock", outcome % 3 == 0, shard.now);
    cr_assert(shard.health.standing("a") == Standing::kHealthy);
  }
}

// Guards against a verdict on a single executor, which has no peers to be compared with.
Test(executor_health, does_not_judge_without_peers) {
  ExecutorHealth health;
  health.Add("a");
  health.Add("b");
  health.Add("c");
  const TimePoint now{seconds(1)};
  for (int outcome = 0; outcome < 50; ++outcome) {
    cr_assert(!health.Record("a", "stock", true, now).has_value());
  }
}
