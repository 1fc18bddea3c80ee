// InputBudget: which connections are closed when memory or connections are short.
#include "core/input_budget.h"

#include <criterion/criterion.h>

#include <chrono>
#include <vector>

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using zinniamux::core::InputBudget;
using zinniamux::core::TimePoint;
using Cause = InputBudget::Cause;

constexpr TimePoint kStart{seconds(1000)};

std::vector<InputBudget::ConnectionId> IdsOf(const std::vector<InputBudget::Drop>& drops) {
  std::vector<InputBudget::ConnectionId> ids;
  ids.reserve(drops.size());
  for (const InputBudget::Drop& drop : drops) ids.push_back(drop.id);
  return ids;
}

bool Contains(const std::vector<InputBudget::Drop>& drops, InputBudget::ConnectionId id) {
  for (const InputBudget::Drop& drop : drops) {
    if (drop.id == id) return true;
  }
  return false;
}

}  // namespace

// Guards against a process that runs out of memory: 200 requests of 0.9 MB that never end.
Test(input_budget, unfinished_requests_stay_within_the_bytes) {
  InputBudget budget({.max_bytes = 8'000'000, .max_connections = 1000});
  TimePoint now = kStart;
  for (InputBudget::ConnectionId id = 1; id <= 200; ++id) {
    budget.OnOpened(id, now);
    for (std::size_t bytes = 4096; bytes < 900'000; bytes += 4096) {
      now += milliseconds(1);
      budget.OnInput(id, bytes, now);
      budget.TakeExcess(now);
      cr_assert_leq(budget.bytes(), 8'000'000);
    }
  }
}

// Guards against ordinary requests that are refused because others have left theirs unfinished: the
// new one is larger than each of those.
Test(input_budget, stalled_requests_are_dropped_before_a_larger_new_one) {
  InputBudget budget({.max_bytes = 1'000'000, .max_connections = 1000});
  for (InputBudget::ConnectionId id = 1; id <= 9; ++id) {
    budget.OnOpened(id, kStart);
    budget.OnInput(id, 100'000, kStart);
  }
  const TimePoint now = kStart + seconds(2);
  budget.OnOpened(10, now);
  budget.OnInput(10, 300'000, now);
  const auto drops = budget.TakeExcess(now);
  cr_assert_eq(drops.size(), 3);
  cr_assert(!Contains(drops, 10));
}

// Guards against the loss of the small requests when a large one is the cause.
Test(input_budget, among_new_requests_the_largest_is_dropped) {
  InputBudget budget({.max_bytes = 1'000'000, .max_connections = 1000});
  for (InputBudget::ConnectionId id = 1; id <= 10; ++id) {
    budget.OnOpened(id, kStart);
    budget.OnInput(id, id == 5 ? 900'000 : 20'000, kStart);
  }
  const auto drops = budget.TakeExcess(kStart);
  cr_assert_eq(drops.size(), 1);
  cr_assert_eq(drops.front().id, 5);
  cr_assert(drops.front().cause == Cause::kBytes);
}

// Guards against lost answers: a connection whose request is in process is closed last.
Test(input_budget, connections_with_a_request_in_process_are_dropped_last) {
  InputBudget budget({.max_bytes = 1'000'000, .max_connections = 1000});
  budget.OnOpened(1, kStart);
  budget.OnOutput(1, 1, 0, kStart);
  budget.OnInput(1, 600'000, kStart);
  budget.OnOpened(2, kStart);
  budget.OnInput(2, 500'000, kStart);
  cr_assert(IdsOf(budget.TakeExcess(kStart)) == std::vector<InputBudget::ConnectionId>{2});
  // Without others it has to go.
  budget.OnInput(1, 1'100'000, kStart);
  cr_assert(IdsOf(budget.TakeExcess(kStart)) == std::vector<InputBudget::ConnectionId>{1});
  cr_assert_eq(budget.bytes(), 0);
}

// Guards against clients that fetch answers and do not read them.
Test(input_budget, unread_answers_count) {
  InputBudget budget({.max_bytes = 1'000'000, .max_connections = 1000});
  for (InputBudget::ConnectionId id = 1; id <= 11; ++id) {
    budget.OnOpened(id, kStart);
    budget.OnOutput(id, 0, 100'000, kStart);
  }
  cr_assert_eq(budget.TakeExcess(kStart).size(), 1);
  cr_assert_eq(budget.bytes(), 1'000'000);
}

// Guards against clients that use up the descriptors: the connections that wait longest without a
// request go, those with a request in process stay.
Test(input_budget, longest_idle_connections_are_dropped_for_new_ones) {
  InputBudget budget({.max_bytes = 1'000'000, .max_connections = 32});
  for (InputBudget::ConnectionId id = 1; id <= 32; ++id) {
    budget.OnOpened(id, kStart + milliseconds(id));
  }
  budget.OnOutput(1, 1, 0, kStart + seconds(1));
  budget.OnOpened(33, kStart + seconds(1));
  const auto drops = budget.TakeExcess(kStart + seconds(1));
  const std::vector<InputBudget::ConnectionId> longest_idle{2, 3, 4};
  cr_assert(IdsOf(drops) == longest_idle);
  cr_assert(drops.front().cause == Cause::kConnections);
  cr_assert_eq(budget.connections(), 30);
}

// Guards against a new caller who is kept out by connections that are all in process: it is the
// only one that may go, and nobody's answer is lost.
Test(input_budget, requests_in_process_outlast_new_connections) {
  InputBudget budget({.max_bytes = 1'000'000, .max_connections = 16});
  for (InputBudget::ConnectionId id = 1; id <= 16; ++id) {
    budget.OnOpened(id, kStart);
    budget.OnOutput(id, 1, 0, kStart);
  }
  budget.OnOpened(17, kStart);
  cr_assert(IdsOf(budget.TakeExcess(kStart)) == std::vector<InputBudget::ConnectionId>{17});
}

// Guards against unfinished requests that are kept for a minute, and against the loss of slow ones
// that make progress.
Test(input_budget, requests_without_progress_are_given_up) {
  InputBudget budget({.max_bytes = 1'000'000, .max_connections = 16, .stall_limit = seconds(10)});
  for (InputBudget::ConnectionId id = 1; id <= 4; ++id) budget.OnOpened(id, kStart);
  budget.OnInput(1, 100, kStart);
  budget.OnInput(2, 100, kStart);
  budget.OnInput(2, 200, kStart + seconds(9));
  budget.OnInput(3, 100, kStart);
  budget.OnInputComplete(3, kStart);
  const auto drops = budget.TakeStalled(kStart + seconds(10));
  cr_assert(IdsOf(drops) == std::vector<InputBudget::ConnectionId>{1});
  cr_assert(drops.front().cause == Cause::kStalled);
}

// Guards against a total that drifts: events after the drop or the end of a connection.
Test(input_budget, events_of_dropped_connections_are_ignored) {
  InputBudget budget({.max_bytes = 1000, .max_connections = 16});
  budget.OnOpened(1, kStart);
  budget.OnInput(1, 2000, kStart);
  cr_assert_eq(budget.TakeExcess(kStart).size(), 1);
  budget.OnInput(1, 5000, kStart);
  budget.OnOutput(1, 1, 5000, kStart);
  budget.OnInputComplete(1, kStart);
  budget.OnClosed(1);
  cr_assert_eq(budget.bytes(), 0);
  cr_assert_eq(budget.connections(), 0);
}
