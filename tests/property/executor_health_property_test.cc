// ExecutorHealth: limits on ejection, and the difference between a bad executor and a bad job kind.
#include <string>

#include "core/executor_health.h"
#include "property/property.h"

namespace {

using zinniamux::core::ExecutorHealth;
using zinniamux::core::TimePoint;
using zinniamux::tests::CheckProperty;

std::string Id(int index) { return "executor-" + std::to_string(index); }

}  // namespace

// Guards against a shard that ejects itself out of capacity, whatever fails where.
Test(executor_health_property, ejects_at_most_one_third) {
  CheckProperty(7201, "at most one third is ejected", [] {
    const int executors = *rc::gen::inRange(1, 30);
    ExecutorHealth health;
    for (int index = 0; index < executors; ++index) health.Add(Id(index));
    TimePoint now{std::chrono::seconds(1)};
    const int bad = *rc::gen::inRange(0, executors + 1);
    for (int step = 0; step < 400; ++step) {
      now += std::chrono::milliseconds(*rc::gen::inRange(0, 200));
      const int index = *rc::gen::inRange(0, executors);
      const std::string kind = *rc::gen::element<std::string>("stock", "print");
      health.Record(Id(index), kind, index < bad, now);
      health.OnTimer(now);
      RC_ASSERT(health.ejected() * 3 <= static_cast<std::size_t>(executors));
    }
  });
}

// Guards against the ejection of good executors because one job kind fails everywhere, also when
// kinds are unevenly spread over executors.
Test(executor_health_property, a_bad_job_kind_ejects_nobody) {
  CheckProperty(7202, "a bad job kind ejects nobody", [] {
    const int executors = *rc::gen::inRange(3, 30);
    ExecutorHealth health;
    for (int index = 0; index < executors; ++index) health.Add(Id(index));
    const TimePoint now{std::chrono::seconds(1)};
    for (int step = 0; step < 600; ++step) {
      const int index = *rc::gen::inRange(0, executors);
      // Odd executors get the bad kind more often.
      const bool bad_kind = *rc::gen::inRange(0, 10) < (index % 2 == 0 ? 2 : 8);
      RC_ASSERT(!health.Record(Id(index), bad_kind ? "bad" : "good", bad_kind, now).has_value());
    }
  });
}

// Guards against an executor that fails every task and, being free again at once, takes most of the
// tasks: its own failures must not pass for the norm.
Test(executor_health_property, ejects_an_executor_that_dominates_the_outcomes) {
  CheckProperty(7203, "a failing executor with most of the outcomes is ejected", [] {
    const int executors = *rc::gen::inRange(3, 30);
    ExecutorHealth health;
    for (int index = 0; index < executors; ++index) health.Add(Id(index));
    const TimePoint now{std::chrono::seconds(1)};
    for (int index = 1; index < executors; ++index) health.Record(Id(index), "stock", false, now);
    const int failures = *rc::gen::inRange(6, 200);
    for (int step = 0; step < failures; ++step) health.Record(Id(0), "stock", true, now);
    RC_ASSERT(health.standing(Id(0)) == ExecutorHealth::Standing::kEjected);
    RC_ASSERT(health.ejected() == 1U);
  });
}
