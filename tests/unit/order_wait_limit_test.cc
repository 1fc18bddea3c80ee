// The limit on waiting at executors that a dispatcher learns.
#include "core/order_wait_limit.h"

#include <criterion/criterion.h>

namespace {

using zinniamux::core::OrderWaitLimit;

}  // namespace

// Guards against orders that keep joining queues in which they miss their start, and against a
// limit that falls so low that it can never be tested again.
Test(order_wait_limit, shrinks_while_orders_start_late) {
  OrderWaitLimit limit({.min_share = 0.01, .max_share = 0.2, .initial_share = 0.1});
  for (int i = 0; i < 10; ++i) limit.RecordStart(false);
  cr_assert_lt(limit.share(), 0.05);
  for (int i = 0; i < 100; ++i) limit.RecordStart(false);
  cr_assert_eq(limit.share(), 0.01);
}

// Guards against jobs that wait at the dispatcher for good after one crowded second.
Test(order_wait_limit, grows_again_while_orders_start_in_time) {
  OrderWaitLimit limit({.min_share = 0.01, .max_share = 0.2, .initial_share = 0.01});
  for (int i = 0; i < 1000; ++i) limit.RecordStart(true);
  cr_assert_eq(limit.share(), 0.2);
}

// Guards against a limit that drifts at the accepted share of late starts.
Test(order_wait_limit, is_steady_at_the_accepted_share_of_late_starts) {
  OrderWaitLimit limit(
      {.min_share = 0.01, .max_share = 0.2, .initial_share = 0.1, .late_share = 0.1});
  for (int i = 0; i < 1000; ++i) limit.RecordStart(i % 10 != 0);
  cr_assert_float_eq(limit.share(), 0.1, 0.05);
}
