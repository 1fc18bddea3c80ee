// Plays a load on dispatchers and supervisors in simulated time, and prints what became of the jobs
// beside what one queue with full knowledge would have served.
#include <tclap/CmdLine.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <map>
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

// What callers pay for an answer in time, and the part of it for a late one.
const std::map<std::string, double> kWorth{
    {"stock", 0.00485}, {"layout", 0.0267}, {"price", 0.00167}};
constexpr double kLateWorth = 0.2;

struct Scenario {
  std::uint64_t seed = 1;
  std::size_t dispatchers = 4;
  std::size_t executors = 11;
  double load = 1;
  double burst = 1;
  Duration length = seconds(10);
  double slowness = 1;
  bool by_zone = false;
  zinniamux::core::LateAdmission::Options late;
  zinniamux::core::DisplacementAdmission::Options displacement;
};

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

// A dispatcher's zone is its number modulo the number of zones; see LeaseWorld.
void PrintZones(const LeaseWorld& world, const std::map<std::string, KindCount>& kinds) {
  const std::size_t zones = LeaseWorld::Options().zones;
  for (std::size_t zone = 0; zone < zones; ++zone) {
    std::printf("  zone %zu", zone);
    for (const auto& [kind, unused] : kinds) {
      const KindCount count = CountKind(
          world, kind, [&](std::size_t dispatcher) { return dispatcher % zones == zone; });
      std::printf("  %s asked %zu in time %zu late %zu refused %zu", kind.c_str(), count.asked,
                  count.in_time, count.late, count.refused);
    }
    std::printf("\n");
  }
}

void Play(const Scenario& scenario) {
  const std::vector<std::int64_t> executors(scenario.executors, kExecutorCpuMilli);
  zinniamux::core::JobScheduler::Options scheduler;
  scheduler.late = scenario.late;
  scheduler.displacement = scenario.displacement;
  LeaseWorld world({.seed = scenario.seed,
                    .dispatchers = scenario.dispatchers,
                    .executor_cpu_milli = executors,
                    .scheduler = scheduler});
  const std::vector<SimulatedJob> jobs = DrawJobs(scenario);
  for (const SimulatedJob& job : jobs) world.Add(job);
  if (scenario.slowness > 1) {
    world.SlowExecutor(0, scenario.slowness, kWarmUp + scenario.length / 4, scenario.length / 2);
  }
  world.Run(kWarmUp + scenario.length + kCoolDown);
  const std::map<std::string, KindCount> bound = ServeFromSharedQueue(jobs, executors);
  std::printf("load %.2f burst %.2f dispatchers %zu executors %zu seed %llu", scenario.load,
              scenario.burst, scenario.dispatchers, scenario.executors,
              static_cast<unsigned long long>(scenario.seed));
  double worth = 0;
  double full_worth = 0;
  std::size_t in_time = 0;
  std::size_t late = 0;
  std::size_t refused = 0;
  for (const auto& [kind, best] : bound) {
    const KindCount count = CountKind(world, kind);
    const auto asked = static_cast<double>(count.asked);
    std::printf("  %s %.3f of %.3f late %.3f refused %.3f", kind.c_str(), count.in_time_share(),
                best.in_time_share(), static_cast<double>(count.late) / asked,
                static_cast<double>(count.refused) / asked);
    in_time += count.in_time;
    late += count.late;
    refused += count.refused;
    worth += kWorth.at(kind) *
             (static_cast<double>(count.in_time) + kLateWorth * static_cast<double>(count.late));
    full_worth += kWorth.at(kind) * asked;
  }
  std::printf("  all: in time %zu late %zu refused %zu worth %.4f", in_time, late, refused,
              worth / full_worth);
  std::map<std::string, std::size_t> held;
  for (const auto& [id, record] : world.jobs()) {
    if (!record.held_late || !record.reply) continue;
    const bool is_complete = record.reply->result == zinniamux::core::JobResult::kComplete;
    ++held[is_complete ? "answered" : std::string(NameOf(record.reply->result))];
  }
  for (const auto& [result, count] : held) {
    std::printf(" held and %s %zu", result.c_str(), count);
  }
  std::printf("  not started %llu violations %zu\n",
              static_cast<unsigned long long>(world.refused_starts()), world.violations().size());
  if (scenario.by_zone) PrintZones(world, bound);
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
    TCLAP::SwitchArg late("", "late", "hold jobs for late answers", command);
    TCLAP::ValueArg<double> min_spare("", "min-spare", "least spare room for late jobs", false,
                                      zinniamux::core::LateAdmission::Options().min_spare_share,
                                      "SHARE", command);
    TCLAP::ValueArg<int> horizon("", "horizon", "averaging time of spare room, in ms", false, 1500,
                                 "MS", command);
    TCLAP::ValueArg<double> max_miss("", "max-miss", "share of misses without late jobs", false,
                                     zinniamux::core::LateAdmission::Options().max_miss_share,
                                     "SHARE", command);
    using zinniamux::core::DisplacementAdmission;
    TCLAP::SwitchArg displacement("", "displacement", "refuse large jobs while room is short",
                                  command);
    TCLAP::ValueArg<double> short_share("", "short-share", "spare room below which it is short",
                                        false, DisplacementAdmission::Options().short_share,
                                        "SHARE", command);
    TCLAP::ValueArg<double> floor("", "floor", "share of its arrivals that a queue keeps", false,
                                  DisplacementAdmission::Options().queue_floor, "SHARE", command);
    TCLAP::SwitchArg by_zone("", "by-zone", "print the counts of each zone of callers", command);
    command.parse(argc, argv);
    for (const double load : ParseNumbers(loads.getValue())) {
      Play({.seed = seed.getValue(),
            .dispatchers = dispatchers.getValue(),
            .executors = executors.getValue(),
            .load = load,
            .burst = burst.getValue(),
            .length = seconds(length.getValue()),
            .slowness = slowness.getValue(),
            .by_zone = by_zone.getValue(),
            .late = {.enabled = late.getValue(),
                     .min_spare_share = min_spare.getValue(),
                     .horizon = std::chrono::milliseconds(horizon.getValue()),
                     .max_miss_share = max_miss.getValue()},
            .displacement = {.enabled = displacement.getValue(),
                             .short_share = short_share.getValue(),
                             .queue_floor = floor.getValue()}});
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
