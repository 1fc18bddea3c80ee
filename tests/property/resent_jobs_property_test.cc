// Callers that send a job again to another dispatcher, under faults in simulated time.
#include <criterion/criterion.h>

#include <cstdint>
#include <random>
#include <string>

#include "support/job_traces.h"
#include "support/lease_world.h"

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;
using zinniamux::core::Duration;
using zinniamux::testing::AddTrace;
using zinniamux::testing::LeaseWorld;

// Executors announce themselves within this time.
constexpr seconds kWarmUp{4};
// Each takes about 0.3 s of processor time.
constexpr std::uint64_t kFirstSeed = 1;
constexpr std::uint64_t kSeeds = 20;

std::size_t Draw(std::mt19937_64& random, std::size_t below) {
  return static_cast<std::size_t>(random() % below);
}

// Breaks connections of callers, alone or together with another fault of their dispatcher.
void DrawCallerFault(LeaseWorld& world, std::mt19937_64& random) {
  const Duration at = kWarmUp + milliseconds(500 + Draw(random, 4000));
  const Duration length = milliseconds(50 + Draw(random, 4000));
  const std::size_t dispatcher = Draw(random, 3);
  const std::size_t fault = Draw(random, 5);
  // Before, with or after the other fault.
  const Duration reset = at + milliseconds(Draw(random, 2000)) - milliseconds(1000);
  if (fault == 0) world.KillDispatcher(dispatcher, at, length);
  if (fault == 1) world.FreezeDispatcher(dispatcher, at, length);
  if (fault == 2) world.CutLink(dispatcher, Draw(random, 11), at, length);
  if (fault == 3) world.KillSupervisor(Draw(random, 11), at, length);
  world.ResetCallers(dispatcher, fault == 4 ? at : reset, 0.1 + 0.9 * Draw(random, 100) / 99.0);
}

// Dispatchers with so little processor time that they are some milliseconds behind in bursts.
LeaseWorld::Options DrawOptions(std::uint64_t seed, std::mt19937_64& random) {
  LeaseWorld::Options options{.seed = seed};
  options.message_cost = microseconds(35);
  options.placement_cost = microseconds(2);
  for (std::size_t i = 0; i < options.dispatchers; ++i) {
    options.processor_shares.push_back(0.08 + 0.004 * static_cast<double>(Draw(random, 100)));
  }
  if (Draw(random, 2) == 0) options.lost_answers = 0.06;
  return options;
}

// Faults of executors and of the way to them.
void DrawExecutorFault(LeaseWorld& world, std::mt19937_64& random) {
  const Duration at = kWarmUp + milliseconds(500 + Draw(random, 4000));
  const Duration length = milliseconds(50 + Draw(random, 3000));
  const std::size_t executor = Draw(random, 11);
  switch (Draw(random, 4)) {
    case 0:
      return world.CutExecutor(executor, at, length, Draw(random, 2) == 0);
    case 1:
      return world.RestartExecutor(executor, at);
    case 2:
      return world.LoseAnswers(0.1 + 0.4 * Draw(random, 100) / 99.0, at, length);
    default:
      return world.DelaySupervisor(executor, milliseconds(1 + Draw(random, 300)), at, length);
  }
}

constexpr std::size_t kExecutors = 11;

// Cuts dispatcher 0 off from all supervisors, and breaks the connections of its callers.
void CutDispatcher(LeaseWorld& world, Duration at) {
  for (std::size_t s = 0; s < kExecutors; ++s) world.CutLink(0, s, at, seconds(3));
  world.ResetCallers(0, at + milliseconds(20), 1);
}

std::string ProblemsOf(const LeaseWorld& world) {
  std::string problems;
  for (const std::string& violation : world.violations()) problems += violation + "\n";
  for (const auto& [id, record] : world.jobs()) {
    if (!record.reply && !record.given_up) problems += id + " is not answered\n";
  }
  if (world.running_tasks() > 0) problems += "tasks still run\n";
  return problems;
}

std::string ProblemsWhenCallersSendAgain(std::uint64_t seed, bool drop_unread_copies = true) {
  std::mt19937_64 random(seed);
  LeaseWorld::Options options = DrawOptions(seed, random);
  options.drop_unread_copies = drop_unread_copies;
  LeaseWorld world(options);
  AddTrace(world, {.seed = seed, .begin = kWarmUp, .length = seconds(5), .load = 0.9});
  const std::size_t faults = 1 + Draw(random, 3);
  for (std::size_t i = 0; i < faults; ++i) DrawCallerFault(world, random);
  world.Run(seconds(30));
  return ProblemsOf(world);
}

std::string ProblemsUnderExecutorFaults(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  LeaseWorld world(DrawOptions(seed, random));
  AddTrace(world, {.seed = seed, .begin = kWarmUp, .length = seconds(5), .load = 0.9});
  const std::size_t faults = 1 + Draw(random, 3);
  for (std::size_t i = 0; i < faults; ++i) DrawExecutorFault(world, random);
  if (Draw(random, 2) == 0) DrawCallerFault(world, random);
  world.Run(seconds(30));
  return ProblemsOf(world);
}

}  // namespace

// Guards against two runs of a task at a time, of two copies of its job, when callers send it again
// after their connections were reset, after a dispatcher was killed, and while one was frozen.
Test(resent_jobs, run_once_at_a_time) {
  for (std::uint64_t seed = kFirstSeed; seed < kFirstSeed + kSeeds; ++seed) {
    const std::string problems = ProblemsWhenCallersSendAgain(seed);
    cr_assert(problems.empty(), "seed %lu: %s", seed, problems.c_str());
  }
}

// Guards against a world that cannot see copies which a dispatcher reads after their connection was
// reset: these seeds ran tasks twice while the daemon did not drop such copies.
Test(resent_jobs, run_twice_if_unread_copies_are_placed) {
  for (const std::uint64_t seed : {142, 208, 297, 455}) {
    const std::string problems = ProblemsWhenCallersSendAgain(seed, false);
    cr_assert(problems.find(" runs on executors ") != std::string::npos, "seed %lu: %s", seed,
              problems.c_str());
    cr_assert(ProblemsWhenCallersSendAgain(seed).empty(), "seed %lu", seed);
  }
}

// Guards against two runs of a task at a time when executors restart under their id while cut from
// their supervisor, when most answers of executors get lost, and when supervisors are late.
Test(resent_jobs, run_once_at_a_time_under_faults_of_executors) {
  for (std::uint64_t seed = kFirstSeed; seed < kFirstSeed + kSeeds; ++seed) {
    const std::string problems = ProblemsUnderExecutorFaults(seed);
    cr_assert(problems.empty(), "seed %lu: %s", seed, problems.c_str());
  }
}

// Guards against a dispatcher that orders runs of jobs whose callers have left while it was frozen:
// it handles the ends of the runs that supervisors have stopped before the closed connections.
Test(resent_jobs, run_once_after_a_long_freeze_of_their_dispatcher) {
  LeaseWorld world({.seed = 1});
  AddTrace(world, {.seed = 1, .begin = kWarmUp, .length = seconds(2), .load = 0.8});
  world.FreezeDispatcher(1, kWarmUp + seconds(1), milliseconds(2500));
  world.ResetCallers(1, kWarmUp + seconds(2), 1);
  world.Run(seconds(30));
  const std::string problems = ProblemsOf(world);
  cr_assert(problems.empty(), "%s", problems.c_str());
}

// Guards against time limits that hold alone and add up: supervisors wait for a silent dispatcher,
// stand still before they have stopped its runs, and the lease goes on from their last renewal.
Test(resent_jobs, run_once_if_supervisors_freeze_while_their_dispatcher_is_silent) {
  for (const int after_cut : {500, 700, 850}) {
    for (const std::uint64_t seed : {5, 10, 11, 14}) {
      LeaseWorld world({.seed = seed});
      AddTrace(world, {.seed = seed, .begin = kWarmUp, .length = seconds(5), .load = 0.9});
      CutDispatcher(world, seconds(6));
      for (std::size_t s = 0; s < kExecutors; s += 2) {
        world.FreezeSupervisor(s, seconds(6) + milliseconds(after_cut), seconds(2));
      }
      world.Run(seconds(30));
      const std::string problems = ProblemsOf(world);
      cr_assert(problems.empty(), "%d ms, seed %lu: %s", after_cut, seed, problems.c_str());
    }
  }
}

// Guards against a lease that is renewed while the runs of a silent dispatcher cannot be stopped.
Test(resent_jobs, run_once_if_executors_are_cut_off_while_their_dispatcher_is_silent) {
  for (const std::uint64_t seed : {5, 10, 11, 14}) {
    LeaseWorld world({.seed = seed});
    AddTrace(world, {.seed = seed, .begin = kWarmUp, .length = seconds(5), .load = 0.9});
    CutDispatcher(world, seconds(6));
    for (std::size_t e = 0; e < kExecutors; e += 2) {
      world.CutExecutor(e, seconds(6) + milliseconds(700), seconds(2), false);
    }
    world.Run(seconds(30));
    const std::string problems = ProblemsOf(world);
    cr_assert(problems.empty(), "seed %lu: %s", seed, problems.c_str());
  }
}

// Guards against old frames that count as signs of life: supervisors that stood still when their
// dispatcher was cut off, for less than any limit, read what it had sent before.
Test(resent_jobs, run_once_if_supervisors_read_old_frames_of_a_dispatcher_that_is_cut_off) {
  struct Freeze {
    milliseconds before_cut;
    milliseconds length;
  };
  for (const auto& [before_cut, length] :
       {Freeze{milliseconds(10), milliseconds(400)}, Freeze{milliseconds(100), milliseconds(600)},
        Freeze{milliseconds(300), milliseconds(900)}}) {
    for (const std::uint64_t seed : {5, 10, 11, 14}) {
      LeaseWorld world({.seed = seed});
      AddTrace(world, {.seed = seed, .begin = kWarmUp, .length = seconds(5), .load = 0.9});
      CutDispatcher(world, seconds(6));
      for (std::size_t s = 0; s < kExecutors; s += 2) {
        world.FreezeSupervisor(s, seconds(6) - before_cut, length);
      }
      world.Run(seconds(30));
      const std::string problems = ProblemsOf(world);
      cr_assert(problems.empty(), "%ld ms, seed %lu: %s", length.count(), seed, problems.c_str());
    }
  }
}

// Guards against supervisors that handle frames late and take them for recent ones.
Test(resent_jobs, run_once_if_supervisors_are_late_when_their_dispatcher_is_cut_off) {
  for (const int delay : {500, 800}) {
    for (const std::uint64_t seed : {5, 10, 11, 14}) {
      LeaseWorld world({.seed = seed});
      AddTrace(world, {.seed = seed, .begin = kWarmUp, .length = seconds(5), .load = 0.9});
      CutDispatcher(world, seconds(6));
      for (std::size_t s = 0; s < kExecutors; s += 2) {
        world.DelaySupervisor(s, milliseconds(delay), milliseconds(5900), seconds(2));
      }
      world.Run(seconds(30));
      const std::string problems = ProblemsOf(world);
      cr_assert(problems.empty(), "%d ms, seed %lu: %s", delay, seed, problems.c_str());
    }
  }
}

// Guards against jobs that a dispatcher orders after it was cut off from callers and supervisors:
// the closed connections of callers that have sent them elsewhere are still on their way to it.
Test(resent_jobs, run_once_if_a_dispatcher_hears_late_that_callers_have_left) {
  struct Cut {
    milliseconds length;
    milliseconds late;
  };
  constexpr Cut kCuts[] = {{milliseconds(500), milliseconds(1000)},
                           {milliseconds(700), milliseconds(800)},
                           {milliseconds(1000), milliseconds(300)},
                           {milliseconds(1500), milliseconds(200)},
                           {milliseconds(1500), milliseconds(1000)}};
  for (const Cut& cut : kCuts) {
    for (const std::uint64_t seed : {1, 5, 10}) {
      LeaseWorld world({.seed = seed});
      AddTrace(world, {.seed = seed, .begin = kWarmUp, .length = seconds(5), .load = 0.9});
      for (std::size_t s = 0; s < kExecutors; ++s) world.CutLink(0, s, seconds(6), cut.length);
      world.CutCallers(0, seconds(6), cut.length, cut.late);
      world.ResetCallers(0, milliseconds(6020), 1);
      world.ResetCallers(0, seconds(6) + cut.length / 2, 1);
      world.Run(seconds(30));
      const std::string problems = ProblemsOf(world);
      cr_assert(problems.empty(), "%ld ms, seed %lu: %s", cut.length.count(), seed,
                problems.c_str());
    }
  }
}

// Guards against a cut between dispatcher and supervisors that costs the jobs of callers who are
// still connected: their new requests show that the way to them works.
Test(resent_jobs, are_served_by_a_dispatcher_that_is_cut_off_from_supervisors_only) {
  LeaseWorld world({.seed = 3});
  AddTrace(world, {.seed = 3, .begin = kWarmUp, .length = seconds(4), .load = 0.6});
  for (std::size_t s = 0; s < kExecutors; ++s) {
    world.CutLink(0, s, milliseconds(5500), milliseconds(700));
  }
  world.Run(seconds(30));
  const std::string problems = ProblemsOf(world);
  cr_assert(problems.empty(), "%s", problems.c_str());
  for (const auto& [id, record] : world.jobs()) {
    if (!record.reply) continue;
    cr_assert(record.reply->reason != zinniamux::core::JobReason::kIsolated, "%s", id.c_str());
  }
}

// Guards against starts that are carried out after their run was stopped and their executor has
// restarted under its id: the next incarnation does not know the stop.
Test(resent_jobs, run_once_if_stopped_starts_are_carried_out_in_the_next_incarnation) {
  constexpr std::uint64_t kSeed = 36;
  std::mt19937_64 random(kSeed);
  LeaseWorld world(DrawOptions(kSeed, random));
  AddTrace(world, {.seed = kSeed, .begin = kWarmUp, .length = seconds(5), .load = 0.7});
  world.LoseAnswers(0.3, kWarmUp + milliseconds(500), seconds(3));
  for (std::size_t dispatcher = 0; dispatcher < 3; ++dispatcher) {
    world.ResetCallers(dispatcher, kWarmUp + milliseconds(2000 + 300 * dispatcher), 1);
  }
  for (std::size_t executor = 0; executor < 11; ++executor) {
    world.RestartExecutor(executor, kWarmUp + milliseconds(3600));
  }
  world.Run(seconds(32));
  const std::string problems = ProblemsOf(world);
  cr_assert(problems.empty(), "%s", problems.c_str());
}
