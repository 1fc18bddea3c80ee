#include "support/leased_plan.h"

#include <criterion/criterion.h>

#include <algorithm>

namespace {

using zinniamux::testing::DrawLeasedPlan;
using zinniamux::testing::LeasedFault;
using zinniamux::testing::LeasedJob;
using zinniamux::testing::LeasedPlan;

constexpr std::uint64_t kSeeds = 200;

}  // namespace

// Guards against a violation that cannot be played again from its seed.
Test(leased_plan, the_seed_determines_the_plan) {
  const LeasedPlan first = DrawLeasedPlan(7);
  const LeasedPlan second = DrawLeasedPlan(7);
  cr_assert_eq(first.dispatchers, second.dispatchers);
  cr_assert_eq(first.supervisors, second.supervisors);
  const auto same_job = [](const LeasedJob& one, const LeasedJob& other) {
    return one.id == other.id && one.at == other.at && one.task_length == other.task_length &&
           one.tasks == other.tasks && one.dispatcher == other.dispatcher;
  };
  cr_assert(std::ranges::equal(first.jobs, second.jobs, same_job));
  const auto same_fault = [](const LeasedFault& one, const LeasedFault& other) {
    return one.Text() == other.Text();
  };
  cr_assert(std::ranges::equal(first.faults, second.faults, same_fault));
}

// Guards against rounds that seldom or always play the known sequence, and against one in which no
// supervisor goes on, so that a second copy could not start.
Test(leased_plan, half_of_the_rounds_cut_a_dispatcher_and_freeze_some_supervisors) {
  std::uint64_t incidents = 0;
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    const LeasedPlan plan = DrawLeasedPlan(seed);
    if (!plan.incident) continue;
    ++incidents;
    const auto count = [&](LeasedFault::Kind kind) {
      return std::ranges::count_if(plan.faults,
                                   [kind](const LeasedFault& fault) { return fault.kind == kind; });
    };
    cr_assert_eq(count(LeasedFault::Kind::kCutDispatcher), 2);
    cr_assert_eq(count(LeasedFault::Kind::kResetCallers), 2);
    const auto frozen = count(LeasedFault::Kind::kFreezeSupervisor);
    cr_assert(frozen >= 2 && frozen <= 2 * static_cast<std::ptrdiff_t>(plan.supervisors - 1));
  }
  cr_assert(incidents > kSeeds * 2 / 5 && incidents < kSeeds * 3 / 5);
}
