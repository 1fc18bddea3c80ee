// Plays a load on dispatchers and supervisors in simulated time, and prints what became of the jobs
// beside what one queue with full knowledge would have served.
#include <tclap/CmdLine.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "overload/shared_queue.h"
#include "support/job_traces.h"
#include "support/lease_world.h"

namespace {

using std::chrono::seconds;
using zinniamux::bench::ServeFromSharedQueue;
using zinniamux::core::Duration;
using zinniamux::testing::CounterTrace;
using zinniamux::testing::CountKind;
using zinniamux::testing::KindCount;
using zinniamux::testing::LeaseWorld;
using zinniamux::testing::SimulatedJob;

// Executors announce themselves within this time.
constexpr seconds kWarmUp{4};
// The longest jobs are answered within this time after the last arrival.
constexpr seconds kCoolDown{10};
constexpr std::int64_t kExecutorCpuMilli = 64'000;
constexpr std::int64_t kTaskCpuMilli = 6200;
// Processor need of CounterTrace at load 1 with these tasks.
constexpr double kTraceCpuMilli = 490'000;

struct Scenario {
  std::uint64_t seed = 1;
  std::size_t dispatchers = 4;
  std::size_t executors = 11;
  double load = 1;
  double burst = 1;
  Duration length = seconds(10);
  double slowness = 1;
  // Share of the jobs whose data is in a rack, of these the share in one hot rack, and of the
  // others the share whose tasks run faster in one rack.
  std::size_t racks = 0;
  double data_share = 0;
  double hot_share = 0;
  double group_share = 0;
  double spread_factor = 1;
  // Whether dispatchers know the factor.
  bool decides_waits = true;
};

// Gives jobs the racks of their data.
void AddRacks(const Scenario& scenario, std::vector<SimulatedJob>& jobs) {
  if (scenario.racks == 0) return;
  constexpr std::uint64_t kSeedOffset = 5000;
  std::mt19937_64 random(scenario.seed + kSeedOffset);
  std::uniform_real_distribution<> share(0, 1);
  for (SimulatedJob& job : jobs) {
    auto& step = job.request.steps.front();
    if (share(random) < scenario.data_share) {
      const std::size_t rack = share(random) < scenario.hot_share ? 0 : random() % scenario.racks;
      step.preferred_rack = LeaseWorld::RackLabel(rack);
    } else {
      step.prefers_one_rack = share(random) < scenario.group_share;
    }
  }
}

// Arrivals at `load` of the executors' room; for the middle third, `burst` times as many.
std::vector<SimulatedJob> DrawJobs(const Scenario& scenario) {
  const double room =
      static_cast<double>(kExecutorCpuMilli) * static_cast<double>(scenario.executors);
  const double load = scenario.load * room / kTraceCpuMilli;
  auto jobs = CounterTrace({.seed = scenario.seed,
                            .begin = kWarmUp,
                            .length = scenario.length,
                            .load = load,
                            .dispatchers = scenario.dispatchers,
                            .task_cpu_milli = kTaskCpuMilli});
  if (scenario.burst <= 1) return jobs;
  for (auto& job : CounterTrace({.seed = scenario.seed + 1000,
                   .begin = kWarmUp + scenario.length / 3,
                   .length = scenario.length / 3,
                   .load = load * (scenario.burst - 1),
                   .dispatchers = scenario.dispatchers,
                   .task_cpu_milli = kTaskCpuMilli})) {
    job.request.id += "-burst";
    jobs.push_back(std::move(job));
  }
  return jobs;
}

void Play(const Scenario& scenario) {
  const std::vector<std::int64_t> executors(scenario.executors, kExecutorCpuMilli);
  zinniamux::core::JobScheduler::Options scheduler;
  if (scenario.decides_waits) scheduler.locality.spread_factor = scenario.spread_factor;
  LeaseWorld world({.seed = scenario.seed,
                    .dispatchers = scenario.dispatchers,
                    .executor_cpu_milli = executors,
                    .racks = scenario.racks,
                    .spread_factor = scenario.spread_factor,
                    .scheduler = scheduler});
  std::vector<SimulatedJob> jobs = DrawJobs(scenario);
  AddRacks(scenario, jobs);
  for (const SimulatedJob& job : jobs) world.Add(job);
  if (scenario.slowness > 1) {
    world.SlowExecutor(0, scenario.slowness, kWarmUp + scenario.length / 4, scenario.length / 2);
  }
  world.Run(kWarmUp + scenario.length + kCoolDown);
  const std::map<std::string, KindCount> bound = ServeFromSharedQueue(jobs, executors);
  std::printf("load %.2f burst %.2f dispatchers %zu executors %zu seed %llu", scenario.load,
              scenario.burst, scenario.dispatchers, scenario.executors,
              static_cast<unsigned long long>(scenario.seed));
  for (const auto& [kind, best] : bound) {
    const KindCount count = CountKind(world, kind);
    const auto asked = static_cast<double>(count.asked);
    std::printf("  %s %.3f of %.3f refused %.3f", kind.c_str(), count.in_time_share(),
                best.in_time_share(), static_cast<double>(count.refused) / asked);
  }
  const auto waits = world.locality_waits();
  if (scenario.racks > 0) {
    std::printf("  waits paid %llu unpaid %llu mean %.1f ms",
                static_cast<unsigned long long>(waits.paid),
                static_cast<unsigned long long>(waits.unpaid),
                std::chrono::duration<double, std::milli>(waits.mean_wait()).count());
  }
  std::printf("  not started %llu violations %zu\n",
              static_cast<unsigned long long>(world.refused_starts()), world.violations().size());
}

std::vector<double> ParseNumbers(const std::string& text) {
  std::vector<double> numbers;
  for (std::size_t begin = 0; begin < text.size();) {
    const std::size_t end = std::min(text.find(',', begin), text.size());
    numbers.push_back(std::stod(text.substr(begin, end - begin)));
    begin = end + 1;
  }
  return numbers;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine command("zinniamux under overload, in simulated time", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> loads("", "load", "shares of the executors' room", false,
                                       "0.75,0.9,1.25", "LIST", command);
    TCLAP::ValueArg<double> burst("", "burst", "load of the middle third, as a factor", false, 1,
                                  "FACTOR", command);
    TCLAP::ValueArg<double> slowness("", "slow", "run time factor of one executor for a while",
                                     false, 1, "FACTOR", command);
    TCLAP::ValueArg<std::size_t> dispatchers("", "dispatchers", "number of dispatchers", false, 4,
                                             "N", command);
    TCLAP::ValueArg<std::size_t> executors("", "executors", "number of executors", false, 11, "N",
                                           command);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed of the arrivals", false, 1, "N", command);
    TCLAP::ValueArg<int> length("", "seconds", "length of the load", false, 10, "N", command);
    TCLAP::ValueArg<std::size_t> racks("", "racks", "number of racks; 0 for none", false, 0, "N",
                                       command);
    TCLAP::ValueArg<double> data("", "data", "share of the jobs whose data is in a rack", false, 0,
                                 "SHARE", command);
    TCLAP::ValueArg<double> hot("", "hot", "share of these jobs whose data is in rack 0", false, 0,
                                "SHARE", command);
    TCLAP::ValueArg<double> group("", "group", "share of the others whose tasks prefer one rack",
                                  false, 0, "SHARE", command);
    TCLAP::ValueArg<double> spread("", "spread-factor", "run time away from the rack", false, 1,
                                   "FACTOR", command);
    TCLAP::SwitchArg no_waits("", "no-waits", "dispatchers don't know the factor", command);
    command.parse(argc, argv);
    for (const double load : ParseNumbers(loads.getValue())) {
      Play({.seed = seed.getValue(),
            .dispatchers = dispatchers.getValue(),
            .executors = executors.getValue(),
            .load = load,
            .burst = burst.getValue(),
            .length = seconds(length.getValue()),
            .slowness = slowness.getValue(),
            .racks = racks.getValue(),
            .data_share = data.getValue(),
            .hot_share = hot.getValue(),
            .group_share = group.getValue(),
            .spread_factor = spread.getValue(),
            .decides_waits = !no_waits.getValue()});
    }
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "overload_tool: " << error.error() << " for argument " << error.argId() << '\n';
    return EXIT_FAILURE;
  } catch (const std::exception& error) {
    std::cerr << "overload_tool: " << error.what() << '\n';
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}
