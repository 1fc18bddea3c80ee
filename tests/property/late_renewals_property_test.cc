// Renewals of a lease that executors carry out seconds late, and count from then, in simulated
// time.
#include <criterion/criterion.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

#include "support/lease_world.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using zinniamux::core::Duration;
using zinniamux::testing::LeaseWorld;

// Executors announce themselves within this time.
constexpr seconds kWarmUp{4};
constexpr std::size_t kDispatchers = 3;
constexpr std::size_t kExecutors = 11;

// Jobs of two tasks that take 0.5 to 4.5 s each.
void AddJobs(LeaseWorld& world) {
  constexpr std::size_t kJobs = 80;
  constexpr milliseconds kPeriod{50};
  for (std::size_t i = 0; i < kJobs; ++i) {
    const milliseconds run_time(500 + 500 * static_cast<int>(i % 9));
    world.Add({.request = {.id = "job" + std::to_string(i),
                           .queue = "normal",
                           .service = "service",
                           .steps = {{.count = 2,
                                      .need = {.cpu_milli = 1000, .memory_mb = 64},
                                      .estimate = run_time}},
                           .attempts = 3,
                           .stretch = 1.6,
                           .slack = milliseconds(60),
                           .deadline = zinniamux::core::TimePoint(seconds(12))},
               .run_times = {run_time, run_time},
               .arrives = kWarmUp + static_cast<std::int64_t>(i) * kPeriod,
               .dispatcher = i % kDispatchers});
  }
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

struct Outcome {
  std::string problems;
  std::string trace;
};

Outcome Play(std::uint64_t seed, const std::function<void(LeaseWorld&)>& add_faults,
             const std::string& traced_job = "") {
  LeaseWorld world({.seed = seed, .traced_job = traced_job});
  AddJobs(world);
  world.DelayCalls({.holds = 0.3}, kWarmUp, seconds(4));
  add_faults(world);
  world.Run(seconds(30));
  Outcome outcome{.problems = ProblemsOf(world)};
  for (const std::string& line : world.trace()) outcome.trace += "  " + line + "\n";
  return outcome;
}

// The problems, and what happened to the job that the first one names: "at 5.1 s: JOB.TASK runs".
std::string Report(std::uint64_t seed, const std::function<void(LeaseWorld&)>& add_faults) {
  const std::string problems = Play(seed, add_faults).problems;
  if (problems.empty()) return "";
  std::size_t begin = problems.find(" s: ");
  begin = begin == std::string::npos || begin > problems.find('\n') ? 0 : begin + 4;
  const std::string job = problems.substr(begin, problems.find_first_of(". ", begin) - begin);
  return problems + job + ":\n" + Play(seed, add_faults, job).trace;
}

void ExpectNoProblems(const std::function<void(LeaseWorld&)>& add_faults) {
  // Each takes about 0.1 s of processor time.
  constexpr std::uint64_t kSeeds = 4;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const std::string report = Report(seed, add_faults);
    cr_expect(report.empty(), "seed %lu: %s", seed, report.c_str());
  }
}

}  // namespace

// Guards against runs that go on after their supervisor has ended, and are ordered elsewhere.
Test(late_renewals, runs_tasks_once_if_supervisors_are_killed) {
  ExpectNoProblems([](LeaseWorld& world) {
    for (std::size_t s = 0; s < kExecutors; s += 2) {
      world.KillSupervisor(s, milliseconds(7300), seconds(6));
    }
  });
}

// Guards against runs that go on while their supervisor stands still, and are ordered elsewhere.
Test(late_renewals, runs_tasks_once_if_supervisors_are_frozen) {
  ExpectNoProblems([](LeaseWorld& world) {
    for (std::size_t s = 0; s < kExecutors; s += 2) {
      world.FreezeSupervisor(s, milliseconds(7300), seconds(5));
    }
  });
}

// Guards against runs that go on after the last answer of their executor, although the lease that
// their supervisor knows of is over.
Test(late_renewals, runs_tasks_once_if_executors_are_cut_off) {
  ExpectNoProblems([](LeaseWorld& world) {
    for (std::size_t e = 0; e < kExecutors; e += 2) {
      world.CutExecutor(e, milliseconds(7300), seconds(3), false);
    }
  });
}

// Guards against runs of a first copy beside those of the second one.
Test(late_renewals, runs_tasks_once_if_callers_leave_and_executors_are_cut_off) {
  ExpectNoProblems([](LeaseWorld& world) {
    for (std::size_t s = 0; s < kExecutors; ++s) {
      world.CutLink(0, s, milliseconds(7000), seconds(2));
    }
    world.CutCallers(0, milliseconds(7000), seconds(2), milliseconds(300));
    world.ResetCallers(0, milliseconds(7010), 1);
    for (std::size_t e = 0; e < kExecutors; e += 2) {
      world.CutExecutor(e, milliseconds(7050), seconds(3), false);
    }
  });
}
