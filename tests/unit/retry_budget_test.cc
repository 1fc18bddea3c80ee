// RetryBudget: retries stay a fixed share of completed tasks.
#include "core/retry_budget.h"

#include <criterion/criterion.h>

using zinniamux::core::RetryBudget;

// Guards against unlimited retries while no task is completed.
Test(retry_budget, ends_after_its_initial_tokens) {
  RetryBudget budget;
  for (int retry = 0; retry < 10; ++retry) cr_assert(budget.TrySpend());
  cr_assert(!budget.TrySpend());
  for (int task = 0; task < 9; ++task) budget.OnTaskCompleted();
  cr_assert(!budget.TrySpend());
  budget.OnTaskCompleted();
  cr_assert(budget.TrySpend());
  cr_assert(!budget.TrySpend());
}

// Guards against an unlimited burst of retries after a long time without refusals.
Test(retry_budget, is_capped) {
  RetryBudget budget;
  for (int task = 0; task < 100'000; ++task) budget.OnTaskCompleted();
  int retries = 0;
  while (budget.TrySpend()) ++retries;
  cr_assert_eq(retries, 100);
}
