// Dispatchers that refuse the connections of supervisors for a moment while they live, beside
// executors that answer late, in simulated time.
#include <criterion/criterion.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

#include "support/lease_world.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using zinniamux::core::TimePoint;
using zinniamux::testing::LeaseWorld;

constexpr seconds kWarmUp{4};
constexpr std::size_t kDispatchers = 3;
constexpr std::size_t kExecutors = 11;

// 60 jobs of 2 s a second, as in review/13.
void AddJobs(LeaseWorld& world) {
  constexpr milliseconds kPeriod{16};
  constexpr std::size_t kJobs = 400;
  constexpr milliseconds kRunTime{2000};
  for (std::size_t i = 0; i < kJobs; ++i) {
    world.Add({.request = {.id = "job" + std::to_string(i),
                           .queue = "normal",
                           .service = "service",
                           .steps = {{.count = 1,
                                      .need = {.cpu_milli = 500, .memory_mb = 64},
                                      .estimate = kRunTime}},
                           .attempts = 3,
                           .stretch = 1.6,
                           .slack = milliseconds(60),
                           .deadline = TimePoint(seconds(9))},
               .run_times = {kRunTime},
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

// What the executors do while a dispatcher refuses connections.
struct Trouble {
  std::string name;
  std::function<void(LeaseWorld&)> begin;
};

const Trouble kTroubles[] = {
    {.name = "answers are lost",
     .begin = [](LeaseWorld& world) { world.LoseAnswers(0.5, seconds(6), milliseconds(5500)); }},
    {.name = "calls are carried out late",
     .begin =
         [](LeaseWorld& world) {
           world.DelayCalls({.starts = 0.5, .holds = 0.5, .stops = 0.5}, seconds(6),
                            milliseconds(5500));
         }},
    {.name = "executors are cut off",
     .begin =
         [](LeaseWorld& world) {
           for (std::size_t e = 0; e < kExecutors; e += 2) {
             world.CutExecutor(e, seconds(6), milliseconds(600), false);
             world.CutExecutor(e, milliseconds(7600), milliseconds(600), false);
           }
         }},
};

struct Refusals {
  milliseconds pause;
  milliseconds length;
};

// The second ones come while the runs that the first ones have stopped may not have ended.
constexpr Refusals kRefusals[] = {{milliseconds(500), milliseconds(120)},
                                  {milliseconds(500), milliseconds(300)},
                                  {milliseconds(1500), milliseconds(120)},
                                  {milliseconds(1500), milliseconds(300)}};

}  // namespace

// Guards against a supervisor that takes refused connections for the end of a dispatcher's process:
// its next hello listed no runs, and the dispatcher ordered them elsewhere while they went on.
Test(refused_connections, runs_tasks_once_if_executors_answer_late) {
  for (const Trouble& trouble : kTroubles) {
    for (const auto& [pause, length] : kRefusals) {
      for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        LeaseWorld world(
            {.seed = seed, .executor_cpu_milli = std::vector<std::int64_t>(11, 32'000)});
        AddJobs(world);
        trouble.begin(world);
        for (int i = 0; i < 3; ++i) {
          world.RefuseConnections(0, milliseconds(6200) + i * pause, length);
        }
        world.Run(seconds(25));
        const std::string problems = ProblemsOf(world);
        cr_expect(problems.empty(), "%s, seed %lu, %ld ms every %ld ms: %s", trouble.name.c_str(),
                  seed, length.count(), pause.count(), problems.c_str());
      }
    }
  }
}
