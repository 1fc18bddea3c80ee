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

#include "overload/load_shape.h"
#include "overload/refusal_causes.h"
#include "overload/shared_queue.h"
#include "support/job_traces.h"
#include "support/lease_world.h"

namespace {

using std::chrono::seconds;
using zinniamux::bench::DrawJobs;
using zinniamux::bench::RefusalCauses;
using zinniamux::bench::ServeFromSharedQueue;
using zinniamux::bench::SharedExecutor;
using zinniamux::core::Duration;
using zinniamux::testing::CountKind;
using zinniamux::testing::KindCount;
using zinniamux::testing::LeaseWorld;
using zinniamux::testing::SimulatedJob;

// Executors announce themselves within this time.
constexpr seconds kWarmUp{4};
// The longest jobs are answered within this time after the last arrival.
constexpr seconds kCoolDown{10};
constexpr std::int64_t kExecutorCpuMilli = 64'000;
// A part of the executors is slow for good, and the others are faster than the mean.
constexpr std::size_t kSlowEvery = 4;
constexpr double kSlowSpeed = 0.55;
constexpr double kFastSpeed = 1.2;
constexpr double kTailShare = 0.03;
// What one answer in time is worth, by kind, and the part of it that a late one is worth.
const std::map<std::string, double> kWorth = {
    {"stock", .00485}, {"layout", .0267}, {"price", .00167}};
constexpr double kLatePart = 0.2;

struct Scenario {
  std::uint64_t seed = 1;
  std::size_t dispatchers = 4;
  std::size_t executors = 11;
  double load = 1;
  double burst = 1;
  Duration length = seconds(10);
  double slowness = 1;
  bool uneven = false;
  bool tails = false;
  double swing = 0;
  double moving = 0;
  bool by_zone = false;
  zinniamux::core::LateAdmission::Options late;
  zinniamux::core::DisplacementAdmission::Options displacement;
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

double SpeedOf(const Scenario& scenario, std::size_t executor) {
  if (!scenario.uneven) return 1;
  return executor % kSlowEvery == kSlowEvery - 1 ? kSlowSpeed : kFastSpeed;
}

std::vector<SharedExecutor> ExecutorsOf(const Scenario& scenario) {
  std::vector<SharedExecutor> executors;
  for (std::size_t i = 0; i < scenario.executors; ++i) {
    executors.push_back({.cpu_milli = kExecutorCpuMilli, .slowness = 1 / SpeedOf(scenario, i)});
  }
  return executors;
}

std::vector<SimulatedJob> JobsOf(const Scenario& scenario) {
  double cpu_milli = 0;
  for (std::size_t i = 0; i < scenario.executors; ++i) {
    cpu_milli += static_cast<double>(kExecutorCpuMilli) * SpeedOf(scenario, i);
  }
  return DrawJobs({.seed = scenario.seed,
                   .begin = kWarmUp,
                   .length = scenario.length,
                   .load = scenario.load,
                   .cpu_milli = cpu_milli,
                   .dispatchers = scenario.dispatchers,
                   .swing = scenario.swing,
                   .burst = scenario.burst,
                   .moving = scenario.moving,
                   .tail_share = scenario.tails ? kTailShare : 0});
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

void PrintCounts(const LeaseWorld& world, const std::map<std::string, KindCount>& bound) {
  double worth = 0;
  double whole = 0;
  for (const auto& [kind, best] : bound) {
    const KindCount count = CountKind(world, kind);
    const auto asked = static_cast<double>(count.asked);
    std::printf("  %s %.3f of %.3f late %.3f refused %.3f", kind.c_str(), count.in_time_share(),
                best.in_time_share(), static_cast<double>(count.late) / asked,
                static_cast<double>(count.refused) / asked);
    worth += kWorth.at(kind) * (static_cast<double>(count.in_time) +
                                kLatePart * static_cast<double>(count.late_within_limit));
    whole += kWorth.at(kind) * asked;
  }
  std::map<std::string, std::size_t> held;
  for (const auto& [id, record] : world.jobs()) {
    if (!record.held_late || !record.reply) continue;
    const bool is_complete = record.reply->result == zinniamux::core::JobResult::kComplete;
    ++held[is_complete ? "answered" : std::string(NameOf(record.reply->result))];
  }
  for (const auto& [result, count] : held) {
    std::printf(" held and %s %zu", result.c_str(), count);
  }
  std::printf("  worth %.4f", worth / whole);
}

void Play(const Scenario& scenario) {
  const std::vector<std::int64_t> sizes(scenario.executors, kExecutorCpuMilli);
  const std::vector<SharedExecutor> executors = ExecutorsOf(scenario);
  zinniamux::core::JobScheduler::Options scheduler;
  scheduler.late = scenario.late;
  scheduler.displacement = scenario.displacement;
  if (scenario.decides_waits) scheduler.locality.spread_factor = scenario.spread_factor;
  RefusalCauses causes(scenario.executors);
  LeaseWorld* noted = nullptr;
  LeaseWorld world({.seed = scenario.seed,
                    .dispatchers = scenario.dispatchers,
                    .executor_cpu_milli = sizes,
                    .racks = scenario.racks,
                    .spread_factor = scenario.spread_factor,
                    .scheduler = scheduler,
                    .on_refusal = [&](std::size_t dispatcher, const auto& refusal) {
                      causes.Note(*noted, dispatcher, refusal);
                    }});
  noted = &world;
  std::vector<SimulatedJob> jobs = JobsOf(scenario);
  AddRacks(scenario, jobs);
  for (const SimulatedJob& job : jobs) world.Add(job);
  const Duration whole = kWarmUp + scenario.length + kCoolDown;
  for (std::size_t i = 0; i < executors.size(); ++i) {
    world.SlowExecutor(i, executors[i].slowness, Duration(0), whole);
  }
  if (scenario.slowness > 1) {
    world.SlowExecutor(0, scenario.slowness, kWarmUp + scenario.length / 4, scenario.length / 2);
  }
  world.Run(whole);
  std::printf("load %.2f burst %.2f dispatchers %zu executors %zu seed %llu", scenario.load,
              scenario.burst, scenario.dispatchers, scenario.executors,
              static_cast<unsigned long long>(scenario.seed));
  const std::map<std::string, KindCount> bound = ServeFromSharedQueue(jobs, executors);
  PrintCounts(world, bound);
  const auto waits = world.locality_waits();
  if (scenario.racks > 0) {
    std::printf("  waits paid %llu unpaid %llu mean %.1f ms",
                static_cast<unsigned long long>(waits.paid),
                static_cast<unsigned long long>(waits.unpaid),
                std::chrono::duration<double, std::milli>(waits.mean_wait()).count());
  }
  std::printf("  not started %llu violations %zu\n",
              static_cast<unsigned long long>(world.refused_starts()), world.violations().size());
  for (const auto& [kind, by_cause] : causes.counts()) {
    std::printf("    refused beside free room, %s:", kind.c_str());
    for (const auto& [cause, count] : by_cause) std::printf(" %s %zu,", cause.c_str(), count);
    std::printf("\n");
  }
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
    TCLAP::SwitchArg uneven("", "uneven", "a quarter of the executors at speed 0.55, others 1.2",
                            command);
    TCLAP::SwitchArg tails("", "tails", "3 % of the tasks take seven times as long", command);
    TCLAP::ValueArg<double> swing("", "swing", "part by which the load of a zone varies", false, 0,
                                  "PART", command);
    TCLAP::ValueArg<double> moving("", "moving", "part of the callers in another zone", false, 0,
                                   "PART", command);
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
            .moving = moving.getValue(),
            .by_zone = by_zone.getValue(),
            .late = {.enabled = late.getValue(),
                     .min_spare_share = min_spare.getValue(),
                     .horizon = std::chrono::milliseconds(horizon.getValue()),
                     .max_miss_share = max_miss.getValue()},
            .displacement = {.enabled = displacement.getValue(),
                             .short_share = short_share.getValue(),
                             .queue_floor = floor.getValue()},
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
