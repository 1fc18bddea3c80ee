// Leased execution under load and faults in simulated time: dispatchers, supervisors, executors.
#include <map>
#include <random>
#include <string>

#include "property/property.h"
#include "support/job_traces.h"
#include "support/lease_world.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using zinniamux::core::Duration;
using zinniamux::testing::AddTrace;
using zinniamux::testing::CounterTrace;
using zinniamux::testing::CountKind;
using zinniamux::testing::KindCount;
using zinniamux::testing::LeaseWorld;
using zinniamux::tests::CheckProperty;

// Executors announce themselves within this time.
constexpr seconds kWarmUp{4};

std::string Broken(const LeaseWorld& world) {
  std::string text;
  for (const std::string& violation : world.violations()) text += violation + "\n";
  return text;
}

void AssertSound(const LeaseWorld& world) {
  cr_assert(world.violations().empty(), "%s", Broken(world).c_str());
  for (const auto& [id, record] : world.jobs()) {
    cr_assert(record.reply.has_value(), "%s", id.c_str());
  }
  cr_assert_eq(world.running_tasks(), 0);
}

// One drawn fault somewhere in the first seconds of the load.
void DrawFault(LeaseWorld& world, std::mt19937_64& random) {
  const auto draw = [&random](std::size_t below) {
    return static_cast<std::size_t>(random() % below);
  };
  const Duration at = kWarmUp + milliseconds(draw(4000));
  const Duration length = milliseconds(50 + draw(4000));
  const std::size_t supervisor = draw(11);
  const std::size_t dispatcher = draw(3);
  switch (draw(7)) {
    case 0:
      return world.CutLink(dispatcher, supervisor, at, length);
    case 1:
      return world.KillSupervisor(supervisor, at, length);
    case 2:
      return world.FreezeSupervisor(supervisor, at, length);
    case 3:
      return world.FreezeDispatcher(dispatcher, at, length);
    case 4:
      return world.SlowExecutor(supervisor, 7, at, length);
    case 5:
      return world.FailExecutor(supervisor, at, length);
    default:
      return world.RestartExecutor(supervisor, at);
  }
}

std::string ProblemsUnderDrawnFaults(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  LeaseWorld world({.seed = seed, .lost_answers = random() % 2 == 0 ? 0.0 : 0.06});
  AddTrace(world, {.seed = seed, .begin = kWarmUp, .length = seconds(5), .load = 0.9});
  const std::size_t faults = 1 + random() % 6;
  for (std::size_t i = 0; i < faults; ++i) DrawFault(world, random);
  world.Run(seconds(30));
  std::string problems = Broken(world);
  for (const auto& [id, record] : world.jobs()) {
    if (!record.reply) problems += id + " is not answered\n";
  }
  if (world.running_tasks() > 0) problems += "tasks still run\n";
  return problems;
}

}  // namespace

// Guards against two runs of a task at a time, starts of refused jobs, incomplete answers marked
// complete, and jobs without an answer, under up to six overlapping faults and lost answers.
Test(lease_world, keeps_its_rules_under_drawn_faults) {
  constexpr std::uint64_t kSeed = 20261204;
  CheckProperty(kSeed, "rules hold under drawn faults", [](std::uint64_t seed) {
    const std::string problems = ProblemsUnderDrawnFaults(seed);
    RC_LOG() << problems;
    RC_ASSERT(problems.empty());
  });
}

// Seeds that once broke a rule. 0 to 109: runs reported as broken lived on in the executor's next
// lifetime. 200 and the long one: a start without an answer was carried out after the executor had
// restarted and had forgotten the stop. The last one: a run whose start was not answered, and whose
// end was lost with its lifetime, was reported as never started, and its job as refused.
Test(lease_world, keeps_its_rules_with_earlier_failures) {
  for (const std::uint64_t seed :
       {0UL, 2UL, 12UL, 34UL, 43UL, 57UL, 109UL, 200UL, 3548405929401UL, 30361749662768UL}) {
    const std::string problems = ProblemsUnderDrawnFaults(seed);
    cr_assert(problems.empty(), "seed %lu: %s", seed, problems.c_str());
  }
}

// Guards against a run that is reported as broken though it runs in the executor's next lifetime:
// a start that was on its way when the executor restarted under its id.
Test(lease_world, keeps_one_run_a_task_when_executors_restart) {
  for (const std::uint64_t seed : {43, 46, 57, 109}) {
    LeaseWorld world({.seed = seed, .lost_answers = 0.06});
    AddTrace(world, {.seed = seed, .begin = kWarmUp, .length = seconds(5), .load = 0.9});
    for (std::size_t i = 0; i < 8; ++i) {
      world.RestartExecutor((seed + i) % 11, kWarmUp + milliseconds(100 + 300 * i));
    }
    world.Run(seconds(30));
    AssertSound(world);
  }
}

// Load pattern of a calm day. Guards against jobs that are refused or late while there is room.
Test(lease_world, serves_a_calm_load_in_time) {
  LeaseWorld world({.seed = 7});
  AddTrace(world, {.seed = 7, .begin = kWarmUp, .length = seconds(15), .load = 0.65});
  world.Run(seconds(35));
  AssertSound(world);
  for (const char* kind : {"stock", "layout", "price"}) {
    const KindCount count = CountKind(world, kind);
    cr_assert_geq(count.in_time_share(), 0.99, "%s: %f", kind, count.in_time_share());
  }
}

// Load pattern of a burst: for 4 s, more work than the executors can do. Guards against urgent jobs
// that wait behind others, against lesser queues that starve, and against work on jobs that are
// late anyway.
Test(lease_world, serves_a_burst_by_urgency) {
  LeaseWorld world({.seed = 11});
  AddTrace(world, {.seed = 11, .begin = kWarmUp, .length = seconds(10), .load = 0.9});
  AddTrace(world, {.seed = 12, .begin = kWarmUp + seconds(3), .length = seconds(4), .load = 0.9});
  world.Run(seconds(35));
  AssertSound(world);
  const KindCount stock = CountKind(world, "stock");
  const KindCount layout = CountKind(world, "layout");
  const KindCount price = CountKind(world, "price");
  cr_log_info("in time: stock %f layout %f price %f", stock.in_time_share(), layout.in_time_share(),
              price.in_time_share());
  cr_assert_geq(stock.in_time_share(), 0.9, "stock %f", stock.in_time_share());
  cr_assert_geq(layout.in_time_share(), 0.5, "layout %f", layout.in_time_share());
  cr_assert_geq(price.in_time_share(), 0.5, "price %f", price.in_time_share());
}

// Load pattern of executors that are nearly full: room for single tasks comes up all the time,
// while long jobs need room for several tasks at once. Guards against long jobs that are refused
// because short ones take each piece of room first; a single queue in front of all executors would
// serve all of them.
Test(lease_world, serves_wide_jobs_on_nearly_full_executors) {
  constexpr std::size_t kDispatchers = 4;
  KindCount layout;
  for (const std::uint64_t seed : {1, 2}) {
    LeaseWorld world({.seed = seed,
                      .dispatchers = kDispatchers,
                      .executor_cpu_milli = std::vector<std::int64_t>(11, 64'000)});
    for (auto& job : CounterTrace({.seed = seed,
                     .begin = kWarmUp,
                     .length = seconds(10),
                     .load = 1.08,
                     .dispatchers = kDispatchers,
                     .task_cpu_milli = 6200})) {
      world.Add(std::move(job));
    }
    world.Run(seconds(24));
    AssertSound(world);
    const KindCount count = CountKind(world, "layout");
    layout.asked += count.asked;
    layout.in_time += count.in_time;
  }
  cr_assert_geq(layout.in_time_share(), 0.98, "layout %f", layout.in_time_share());
}

// Load pattern of contention: eight dispatchers, whose views are tens of milliseconds old, place
// more work than the executors can do. Guards against orders that executors refuse for want of
// room, which cost messages and leave executors idle until the next order.
Test(lease_world, wastes_no_orders_when_dispatchers_contend) {
  constexpr std::size_t kDispatchers = 8;
  LeaseWorld world({.seed = 13,
                    .dispatchers = kDispatchers,
                    .executor_cpu_milli = std::vector<std::int64_t>(33, 32'000),
                    .audience = {.close_entries = kDispatchers}});
  std::size_t tasks = 0;
  for (auto& job : CounterTrace({.seed = 13,
                   .begin = kWarmUp,
                   .length = seconds(10),
                   .load = 5.4,
                   .dispatchers = kDispatchers})) {
    tasks += job.run_times.size();
    world.Add(std::move(job));
  }
  world.Run(seconds(35));
  AssertSound(world);
  const auto refused_starts = static_cast<double>(world.refused_starts());
  const KindCount stock = CountKind(world, "stock");
  const KindCount layout = CountKind(world, "layout");
  const KindCount price = CountKind(world, "price");
  cr_log_info("in time: stock %f layout %f price %f, refused starts %f of %zu tasks",
              stock.in_time_share(), layout.in_time_share(), price.in_time_share(), refused_starts,
              tasks);
  cr_assert_leq(refused_starts, 0.05 * static_cast<double>(tasks), "%f of %zu", refused_starts,
                tasks);
  cr_assert_geq(stock.in_time_share(), 0.9, "stock %f", stock.in_time_share());
}

// Load pattern of a small deployment to which entries were added: eight dispatchers in front of
// nine executors, with as much work as these can do. Guards against dispatchers that see part of
// the room only, and refuse urgent jobs beside the rest: 15 % of them with four close dispatchers
// each.
Test(lease_world, serves_few_executors_behind_many_dispatchers) {
  constexpr std::size_t kDispatchers = 8;
  LeaseWorld world({.seed = 17,
                    .dispatchers = kDispatchers,
                    .executor_cpu_milli = std::vector<std::int64_t>(9, 32'000)});
  for (auto& job : CounterTrace({.seed = 17,
                   .begin = kWarmUp,
                   .length = seconds(15),
                   .load = 1.0,
                   .dispatchers = kDispatchers})) {
    world.Add(std::move(job));
  }
  world.Run(seconds(35));
  AssertSound(world);
  const KindCount stock = CountKind(world, "stock");
  cr_log_info("in time: stock %f, refused %zu of %zu", stock.in_time_share(), stock.refused,
              stock.asked);
  cr_assert_geq(stock.in_time_share(), 0.9, "stock %f", stock.in_time_share());
}

// Load pattern of lost answers: for seconds, 5 % of the calls to executors are not answered and are
// carried out late. Guards against ends of runs that stay hidden behind a lost answer, while their
// room counts as taken, and against starts that are revoked too late for their objective: with hold
// calls of 250 ms, one at a time, 18 % of the shortest jobs were in time.
Test(lease_world, serves_while_answers_get_lost) {
  LeaseWorld world({.seed = 19, .lost_answers = 0.05});
  AddTrace(world, {.seed = 19, .begin = kWarmUp, .length = seconds(10), .load = 0.8});
  world.Run(seconds(35));
  AssertSound(world);
  for (const char* kind : {"stock", "layout", "price"}) {
    const KindCount count = CountKind(world, kind);
    cr_assert_geq(count.in_time_share(), 0.95, "%s: %f", kind, count.in_time_share());
  }
}

// Load pattern of slow executors: two of eleven take seven times as long for 8 s and then recover.
// Guards against runs that stay there, and against executors that are left idle after they have
// recovered.
Test(lease_world, avoids_slow_executors_and_comes_back_to_them) {
  LeaseWorld world({.seed = 5});
  AddTrace(world, {.seed = 5, .begin = kWarmUp, .length = seconds(20), .load = 0.9});
  for (const std::size_t executor : {2, 5}) {
    world.SlowExecutor(executor, 7, kWarmUp + seconds(2), seconds(8));
  }
  world.Run(seconds(45));
  AssertSound(world);
  for (const char* kind : {"stock", "layout", "price"}) {
    const KindCount count = CountKind(world, kind);
    cr_assert_geq(count.in_time_share(), 0.85, "%s: %f", kind, count.in_time_share());
  }
}

// Load pattern of uneven executors: a quarter at speed 0.55, the others at 1.2, and 0.85 of their
// room is needed. Guards against long tasks on slow executors, which are late there, and against
// slow executors that are left empty while small jobs are refused.
Test(lease_world, uses_steadily_slow_executors_for_short_tasks) {
  constexpr std::size_t kExecutors = 12;
  LeaseWorld world(
      {.seed = 23, .executor_cpu_milli = std::vector<std::int64_t>(kExecutors, 32'000)});
  AddTrace(world, {.seed = 23, .begin = kWarmUp, .length = seconds(30), .load = 1.38});
  for (std::size_t i = 0; i < kExecutors; ++i) {
    world.SlowExecutor(i, i % 4 == 3 ? 1 / 0.55 : 1 / 1.2, seconds(0), seconds(60));
  }
  world.Run(seconds(55));
  AssertSound(world);
  // Without a look at steady speeds 0.847, 0.716 and 0.947 are in time, with it 0.940, 0.777 and
  // 0.925.
  for (const auto& [kind, least] :
       std::map<std::string, double>{{"layout", 0.90}, {"price", 0.75}, {"stock", 0.90}}) {
    const KindCount count = CountKind(world, kind);
    cr_assert_geq(count.in_time_share(), least, "%s: %f", kind.c_str(), count.in_time_share());
  }
}
