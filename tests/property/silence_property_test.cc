// Several faults within a few seconds that keep dispatchers, supervisors, executors and callers
// from hearing of each other, in simulated time.
#include <criterion/criterion.h>

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <numeric>
#include <random>
#include <string>
#include <vector>

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
constexpr std::size_t kDispatchers = 3;
constexpr std::size_t kExecutors = 11;
// Each takes about 0.25 s of processor time. ZINNIAMUX_SILENCE_SEEDS sets another number.
constexpr std::uint64_t kSeedsByDefault = 30;
// TCP sends lost data again after at most the time for which the path was cut, and this much.
constexpr milliseconds kLatestResend{300};
constexpr milliseconds kLatestClose{1500};

std::uint64_t NumberFromEnvironment(const char* name, std::uint64_t otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

std::string Text(Duration time) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(time).count());
}

// Draws faults for a world and describes them.
class FaultDrawing {
 public:
  FaultDrawing(LeaseWorld& world, std::mt19937_64& random, bool callers_alone)
      : world_(world), random_(random), callers_alone_(callers_alone) {}

  // Two to five faults, most of which concern one dispatcher.
  void DrawAll() {
    focus_ = Below(kDispatchers);
    const Duration first = kWarmUp + milliseconds(1200 + Below(800));
    const std::size_t faults = 2 + Below(4);
    DrawFault(first);
    for (std::size_t i = 1; i < faults; ++i) {
      DrawFault(first + milliseconds(Below(2500)) - milliseconds(1000));
    }
  }

  const std::string& description() const { return description_; }

 private:
  std::size_t Below(std::size_t limit) { return static_cast<std::size_t>(random_() % limit); }
  milliseconds Between(std::size_t first, std::size_t last) {
    return milliseconds(first + Below(last - first + 1));
  }
  double Share() { return 0.1 + 0.9 * static_cast<double>(Below(100)) / 99.0; }
  std::size_t Dispatcher() { return Below(4) == 0 ? Below(kDispatchers) : focus_; }

  // One, every second, or all of the supervisors or executors.
  std::vector<std::size_t> Members() {
    const std::size_t choice = Below(3);
    std::vector<std::size_t> members;
    if (choice == 0) return {Below(kExecutors)};
    for (std::size_t i = 0; i < kExecutors; i += choice) members.push_back(i);
    return members;
  }

  void Describe(const std::string& what, Duration at, Duration length,
                const std::vector<std::size_t>& members = {}) {
    description_ += "  " + Text(at) + " ms: " + what;
    if (length > Duration(0)) description_ += " for " + Text(length) + " ms";
    if (!members.empty()) description_ += ", on";
    for (const std::size_t member : members) description_ += " " + std::to_string(member);
    description_ += "\n";
  }

  void Reset(std::size_t dispatcher, Duration at, double share) {
    world_.ResetCallers(dispatcher, at, share);
    Describe("reset callers of dispatcher " + std::to_string(dispatcher) + ", share " +
                 std::to_string(share),
             at, Duration(0));
  }

  // Resets connections just before, in and after a fault, or not.
  void DrawResets(std::size_t dispatcher, Duration at, Duration length) {
    if (Below(2) == 0) Reset(dispatcher, at - Between(0, 300), Share());
    if (Below(2) == 0) Reset(dispatcher, at + Between(0, 100), Share());
    if (Below(2) == 0) {
      Reset(dispatcher, at + length * static_cast<std::int64_t>(Below(100)) / 100, Share());
    }
    if (Below(2) == 0) Reset(dispatcher, at + length + Between(0, 300), Share());
  }

  void CutFromSupervisors(std::size_t dispatcher, Duration at, Duration length,
                          const std::vector<std::size_t>& members) {
    for (const std::size_t s : members) world_.CutLink(dispatcher, s, at, length);
    Describe("cut dispatcher " + std::to_string(dispatcher) + " off from supervisors", at, length,
             members);
  }

  void CutFromCallers(std::size_t dispatcher, Duration at, Duration length) {
    const Duration longest = std::min<Duration>(length + kLatestResend, kLatestClose);
    const Duration late = longest * static_cast<std::int64_t>(Below(101)) / 100;
    world_.CutCallers(dispatcher, at, length, late);
    Describe("cut dispatcher " + std::to_string(dispatcher) + " off from callers, closes " +
                 Text(late) + " ms late",
             at, length);
  }

  void Isolate(std::size_t dispatcher, Duration at, Duration length) {
    std::vector<std::size_t> all(kExecutors);
    std::iota(all.begin(), all.end(), 0);
    CutFromSupervisors(dispatcher, at, length, all);
    CutFromCallers(dispatcher, at, length);
  }

  void DrawDispatcherFault(std::size_t dispatcher, Duration at, Duration length) {
    const std::string name = "dispatcher " + std::to_string(dispatcher);
    switch (Below(7)) {
      case 0:
        return CutFromSupervisors(dispatcher, at, length, Members());
      case 1:
      case 2:
        if (!callers_alone_) return Isolate(dispatcher, at, length);
        return CutFromCallers(dispatcher, at, length);
      case 3:
        if (!callers_alone_) return Isolate(dispatcher, at, length);
        CutFromSupervisors(dispatcher, at, length, Members());
        return CutFromCallers(dispatcher, at, length);
      case 4:
        world_.FreezeDispatcher(dispatcher, at, length);
        return Describe("freeze " + name, at, length);
      case 5:
        world_.FreezeDispatcherInPass(dispatcher, at, length, 1 + Below(100));
        return Describe("freeze " + name + " in a pass", at, length);
      default:
        world_.KillDispatcher(dispatcher, at, length);
        return Describe("kill " + name, at, length);
    }
  }

  void DrawSupervisorFault(Duration at, Duration length) {
    const std::vector<std::size_t> members = Members();
    const Duration delay = Between(1, 1000);
    const std::size_t fault = Below(4);
    for (const std::size_t s : members) {
      if (fault < 2) world_.FreezeSupervisor(s, at, length);
      if (fault == 2) world_.DelaySupervisor(s, delay, at, length);
      if (fault == 3) world_.KillSupervisor(s, at, length);
    }
    if (fault < 2) Describe("freeze supervisors", at, length, members);
    if (fault == 2) Describe("supervisors " + Text(delay) + " ms late", at, length, members);
    if (fault == 3) Describe("kill supervisors", at, length, members);
  }

  void DrawExecutorFault(Duration at, Duration length) {
    const std::vector<std::size_t> members = Members();
    const std::size_t fault = Below(4);
    if (fault == 3) {
      const double share = 0.1 + 0.4 * static_cast<double>(Below(100)) / 99.0;
      world_.LoseAnswers(share, at, length);
      return Describe("lose " + std::to_string(share) + " of the answers of executors", at, length);
    }
    for (const std::size_t e : members) {
      if (fault == 2) {
        world_.RestartExecutor(e, at);
      } else {
        world_.CutExecutor(e, at, length, fault == 1);
      }
    }
    if (fault == 0) Describe("cut executors off", at, length, members);
    if (fault == 1) Describe("cut executors off and restart them", at, length, members);
    if (fault == 2) Describe("restart executors", at, Duration(0), members);
  }

  void DrawFault(Duration at) {
    const Duration length = Between(50, 2500);
    const std::size_t dispatcher = Dispatcher();
    DrawResets(dispatcher, at, length);
    const std::size_t kind = Below(7);
    if (kind < 4) return DrawDispatcherFault(dispatcher, at, length);
    if (kind < 6) return DrawSupervisorFault(at, length);
    DrawExecutorFault(at, length);
  }

  LeaseWorld& world_;
  std::mt19937_64& random_;
  bool callers_alone_;
  std::size_t focus_ = 0;
  std::string description_;
};

LeaseWorld::Options DrawOptions(std::uint64_t seed, std::mt19937_64& random) {
  LeaseWorld::Options options{.seed = seed};
  if (random() % 2 == 0) options.lost_answers = 0.06;
  if (random() % 2 == 0) return options;
  options.message_cost = microseconds(35);
  options.placement_cost = microseconds(2);
  options.close_cost = microseconds(30);
  // Few callers in a world wait at a time; small batches stand for many callers.
  options.closes_per_turn = random() % 2 == 0 ? 128 : 8;
  for (std::size_t i = 0; i < options.dispatchers; ++i) {
    options.processor_shares.push_back(0.08 + 0.004 * static_cast<double>(random() % 100));
  }
  return options;
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

// Cuts dispatcher 0 off from all supervisors and callers.
void IsolateDispatcher(LeaseWorld& world, Duration at, Duration length, Duration late) {
  for (std::size_t s = 0; s < kExecutors; ++s) world.CutLink(0, s, at, length);
  world.CutCallers(0, at, length, late);
}

struct LongJob {
  std::size_t number = 0;
  Duration arrives{0};
  milliseconds run_time{0};
  std::int64_t cpu_milli = 1000;
};

// Adds a job of two tasks that may take longer than its caller waits until it sends it again.
void AddLongJob(LeaseWorld& world, const LongJob& job) {
  world.Add({.request = {.id = "job" + std::to_string(job.number),
                         .queue = "normal",
                         .service = "service",
                         .steps = {{.count = 2,
                                    .need = {.cpu_milli = job.cpu_milli, .memory_mb = 64},
                                    .estimate = job.run_time}},
                         .attempts = 3,
                         .stretch = 1.6,
                         .slack = milliseconds(60),
                         .deadline = zinniamux::core::TimePoint(seconds(8))},
             .run_times = {job.run_time, job.run_time},
             .arrives = job.arrives,
             .dispatcher = job.number % kDispatchers});
}

struct Outcome {
  std::string problems;
  std::string faults;
  std::string trace;
};

struct Variant {
  // Dispatchers are cut off from their callers without being cut off from all supervisors.
  bool callers_alone = false;
  // Dispatchers also refuse connections of supervisors, and callers close their connections after a
  // while without a reset. Drawn apart, so that the other faults of a seed stay the same.
  bool refuses = false;
};

// One to three refusals.
void DrawRefusals(LeaseWorld& world, std::mt19937_64& random) {
  for (std::size_t left = 1 + random() % 3; left > 0; --left) {
    const std::size_t dispatcher = random() % kDispatchers;
    const Duration at = kWarmUp + milliseconds(500 + random() % 3000);
    world.RefuseConnections(dispatcher, at, milliseconds(50 + random() % 400));
  }
}

Outcome Play(std::uint64_t seed, const Variant& variant, const std::string& traced_job = "") {
  std::mt19937_64 random(seed);
  std::mt19937_64 random_refusals(~seed);
  LeaseWorld::Options options = DrawOptions(seed, random);
  options.traced_job = traced_job;
  if (variant.refuses) {
    options.caller_patience = milliseconds(500 + random_refusals() % 1500);
    options.close_arrival = static_cast<LeaseWorld::CloseArrival>(random_refusals() % 4);
  }
  LeaseWorld world(options);
  AddTrace(world, {.seed = seed, .begin = kWarmUp, .length = milliseconds(3500), .load = 0.9});
  FaultDrawing drawing(world, random, variant.callers_alone);
  drawing.DrawAll();
  if (variant.refuses) DrawRefusals(world, random_refusals);
  world.Run(seconds(24));
  Outcome outcome{.problems = ProblemsOf(world), .faults = drawing.description()};
  for (const std::string& line : world.trace()) outcome.trace += "  " + line + "\n";
  return outcome;
}

// The job that the first problem names: "at 5.1 s: JOB.TASK runs on ...", or "JOB is not answered".
std::string JobOf(const std::string& problem) {
  std::size_t begin = problem.find(" s: ");
  begin = begin == std::string::npos || begin > problem.find('\n') ? 0 : begin + 4;
  return problem.substr(begin, problem.find_first_of(". ", begin) - begin);
}

// The problems with the faults drawn and what happened to the first job concerned.
std::string Report(std::uint64_t seed, const Variant& variant) {
  const Outcome outcome = Play(seed, variant);
  if (outcome.problems.empty()) return "";
  const std::string job = JobOf(outcome.problems);
  return outcome.problems + outcome.faults + job + ":\n" + Play(seed, variant, job).trace;
}

void CheckDrawnSeeds(const Variant& variant) {
  const std::uint64_t first = NumberFromEnvironment("ZINNIAMUX_SILENCE_FIRST_SEED", 1);
  const std::uint64_t count = NumberFromEnvironment("ZINNIAMUX_SILENCE_SEEDS", kSeedsByDefault);
  std::size_t broken = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    const std::string report = Report(seed, variant);
    if (report.empty()) continue;
    ++broken;
    cr_log_error("seed %lu: %s", seed, report.c_str());
  }
  cr_assert(broken == 0, "%zu of %lu seeds break a rule", broken, count);
}

}  // namespace

// Guards against two runs of a task at a time, and against jobs without an answer, when several
// processes cannot hear each other at nearly the same time: each limit that keeps runs apart holds
// alone, and the faults known so far needed two or three within 1.3 s.
Test(silence, runs_tasks_once_at_a_time) {
  CheckDrawnSeeds(
      {.callers_alone = NumberFromEnvironment("ZINNIAMUX_SILENCE_CALLERS_ALONE", 0) != 0});
}

// Guards against the same while dispatchers refuse connections, and while callers leave without a
// reset.
Test(silence, runs_tasks_once_if_connections_are_refused_and_callers_leave) {
  CheckDrawnSeeds({.refuses = true});
}

// Guards against a start without an answer that counts as over when its lease is, or when the
// executor has ended: the next incarnation may carry it out while the task runs elsewhere.
Test(silence, runs_tasks_once_if_an_unanswered_start_is_carried_out_after_a_restart) {
  for (const std::uint64_t seed : {30098, 30152}) {
    const std::string report = Report(seed, {});
    cr_expect(report.empty(), "seed %lu: %s", seed, report.c_str());
  }
}

// Guards against a supervisor that was killed as well: its successor knows nothing of the start,
// and the dispatcher orders the task again before the successor has reached the executor.
Test(silence, runs_tasks_once_if_an_unanswered_start_outlives_its_supervisor) {
  constexpr std::uint64_t kSeed = 30323;
  const std::string report = Report(kSeed, {});
  cr_expect(report.empty(), "seed %lu: %s", kSeed, report.c_str());
}

// Guards against a job that is refused as not started although one of its starts had no answer: the
// next incarnation of the executor does not know that it was stopped.
Test(silence, starts_no_refused_job_if_an_unanswered_start_is_carried_out_after_a_restart) {
  constexpr std::uint64_t kSeed = 30304;
  const std::string report = Report(kSeed, {});
  cr_expect(report.empty(), "seed %lu: %s", kSeed, report.c_str());
}

// Guards against a job that is ordered again when the runs of a lost or frozen supervisor are over,
// by a dispatcher that was cut off from its callers alone: nothing named the job meanwhile, so that
// the second copy did not wait.
Test(silence, runs_tasks_once_if_a_lost_run_is_over_after_its_caller_left_unnoticed) {
  for (const std::uint64_t seed : {187, 191, 298, 31059, 31106, 31281}) {
    const std::string report = Report(seed, {.callers_alone = true});
    cr_expect(report.empty(), "seed %lu: %s", seed, report.c_str());
  }
}

// Guards against a job that is ordered again when its order has reached a supervisor too late, by a
// dispatcher that was cut off from its callers alone.
Test(silence, runs_tasks_once_if_an_order_is_late_and_its_caller_left_unnoticed) {
  constexpr std::uint64_t kSeed = 31568;
  const std::string report = Report(kSeed, {.callers_alone = true});
  cr_expect(report.empty(), "seed %lu: %s", kSeed, report.c_str());
}

// Guards against requests that a dispatcher reads after it stood still while it was cut off: their
// callers may have left meanwhile, and the closed connections are still on their way.
Test(silence, runs_tasks_once_if_requests_are_read_after_their_callers_left_in_a_cut) {
  struct Case {
    std::uint64_t seed;
    milliseconds freeze;
    milliseconds cut;
    milliseconds late;
  };
  constexpr Case kCases[] = {{3, milliseconds(500), milliseconds(900), milliseconds(800)},
                             {4, milliseconds(500), milliseconds(900), milliseconds(800)},
                             {2, milliseconds(900), milliseconds(1300), milliseconds(300)},
                             {3, milliseconds(900), milliseconds(1300), milliseconds(300)}};
  for (const auto& [seed, freeze, cut, late] : kCases) {
    LeaseWorld world({.seed = seed});
    AddTrace(world, {.seed = seed, .begin = kWarmUp, .length = seconds(4), .load = 0.9});
    world.FreezeDispatcher(0, seconds(6), freeze);
    IsolateDispatcher(world, milliseconds(6050), cut, late);
    world.ResetCallers(0, milliseconds(6070), 1);
    world.Run(seconds(25));
    const std::string problems = ProblemsOf(world);
    cr_expect(problems.empty(), "seed %lu, cut of %ld ms: %s", seed, cut.count(), problems.c_str());
  }
}

// Guards against short cuts that follow each other: requests of new callers that come in between
// do not show that the closed connections of earlier ones have come, too.
Test(silence, runs_tasks_once_if_a_dispatcher_is_cut_off_again_and_again) {
  for (const milliseconds gap : {milliseconds(20), milliseconds(60)}) {
    for (const std::uint64_t seed : {1, 3}) {
      LeaseWorld world({.seed = seed});
      AddTrace(world, {.seed = seed, .begin = kWarmUp, .length = seconds(4), .load = 0.9});
      for (int cut = 0; cut < 3; ++cut) {
        IsolateDispatcher(world, seconds(6) + cut * (milliseconds(400) + gap), milliseconds(400),
                          milliseconds(300));
      }
      world.ResetCallers(0, milliseconds(6020), 1);
      world.Run(seconds(25));
      const std::string problems = ProblemsOf(world);
      cr_expect(problems.empty(), "seed %lu, %ld ms between cuts: %s", seed, gap.count(),
                problems.c_str());
    }
  }
}

// Guards against closed connections that TCP has to send again: leases that were renewed before
// they came go on for 1,020 ms if the stops that follow cannot reach the executors.
Test(silence, runs_tasks_once_if_executors_are_cut_off_when_a_late_close_comes) {
  struct Case {
    milliseconds cut;
    milliseconds late;
  };
  for (const auto& [cut, late] :
       {Case{milliseconds(70), milliseconds(300)}, Case{milliseconds(200), milliseconds(200)}}) {
    constexpr std::uint64_t kSeed = 5;
    LeaseWorld world({.seed = kSeed});
    AddTrace(world, {.seed = kSeed, .begin = kWarmUp, .length = seconds(4), .load = 0.9});
    world.CutCallers(0, seconds(6), cut, late);
    world.ResetCallers(0, milliseconds(6010), 1);
    for (std::size_t e = 0; e < kExecutors; e += 2) {
      world.CutExecutor(e, seconds(6) + cut + late - milliseconds(20), seconds(1), false);
    }
    world.Run(seconds(25));
    const std::string problems = ProblemsOf(world);
    cr_expect(problems.empty(), "cut of %ld ms: %s", cut.count(), problems.c_str());
  }
}

// Guards against two copies of a job that run beside each other after a short cut: connections of
// callers are reset in it, and their dispatcher never hears of that. It goes on with the jobs,
// which take longer than their callers wait until they send them to another dispatcher.
Test(silence, runs_tasks_once_if_resets_are_lost_in_a_short_cut) {
  constexpr milliseconds kPeriod{50};
  constexpr std::size_t kJobs = 80;
  constexpr seconds kNever{30};
  for (const milliseconds cut : {milliseconds(20), milliseconds(150), milliseconds(300)}) {
    LeaseWorld world({.seed = 1});
    for (std::size_t i = 0; i < kJobs; ++i) {
      AddLongJob(world, {.number = i,
                         .arrives = kWarmUp + static_cast<std::int64_t>(i) * kPeriod,
                         .run_time = milliseconds(500 + 250 * static_cast<int>(i % 9))});
    }
    IsolateDispatcher(world, seconds(6), cut, kNever);
    world.ResetCallers(0, milliseconds(6010), 1);
    world.Run(seconds(50));
    const std::string problems = ProblemsOf(world);
    cr_expect(problems.empty(), "cut of %ld ms: %s", cut.count(), problems.c_str());
  }
}

// Guards against a second copy that starts beside the first one because reports that name the first
// one reach its dispatcher late: a cut of its links that is too short to be noticed is enough.
Test(silence, runs_tasks_once_if_reports_are_held_before_a_second_copy_arrives) {
  constexpr milliseconds kPeriod{50};
  constexpr std::size_t kJobs = 80;
  constexpr seconds kNever{30};
  LeaseWorld world({.seed = 1});
  for (std::size_t i = 0; i < kJobs; ++i) {
    AddLongJob(world, {.number = i,
                       .arrives = kWarmUp + static_cast<std::int64_t>(i) * kPeriod,
                       .run_time = milliseconds(1500 + 250 * static_cast<int>(i % 5))});
  }
  IsolateDispatcher(world, seconds(6), milliseconds(300), kNever);
  world.ResetCallers(0, milliseconds(6010), 1);
  for (std::size_t d = 1; d < kDispatchers; ++d) {
    for (std::size_t s = 0; s < kExecutors; ++s) {
      world.CutLink(d, s, milliseconds(6780), milliseconds(480));
    }
  }
  world.Run(seconds(50));
  const std::string problems = ProblemsOf(world);
  cr_expect(problems.empty(), "%s", problems.c_str());
}

namespace {

// Callers who close their connections after a while, and send their jobs again later.
struct LeavingCallers {
  LeaseWorld::CloseArrival close_arrival = LeaseWorld::CloseArrival::kSameRead;
  // The dispatcher is cut off from its supervisors, too.
  bool isolates = true;
  // The beginnings and lengths of the cuts, from 6 s on.
  std::vector<std::pair<milliseconds, milliseconds>> cuts;
};

// What breaks a rule while 10 jobs a second come to each dispatcher.
std::string ProblemsWith(const LeavingCallers& callers, std::uint64_t seed) {
  constexpr milliseconds kPeriod{33};
  constexpr std::size_t kJobs = 300;
  constexpr milliseconds kPatience{1500};
  LeaseWorld::Options options{.seed = seed};
  options.caller_patience = kPatience;
  options.close_arrival = callers.close_arrival;
  LeaseWorld world(options);
  for (std::size_t i = 0; i < kJobs; ++i) {
    AddLongJob(world, {.number = i,
                       .arrives = kWarmUp + static_cast<std::int64_t>(i) * kPeriod,
                       .run_time = seconds(1)});
  }
  for (const auto& [begin, length] : callers.cuts) {
    if (callers.isolates) {
      IsolateDispatcher(world, seconds(6) + begin, length, length);
    } else {
      world.CutCallers(0, seconds(6) + begin, length, length);
    }
  }
  world.Run(seconds(40));
  return ProblemsOf(world);
}

}  // namespace

// Guards against requests that a cut has held up and that are ordered beside their second copies:
// their callers have left, and the ends of their connections are read after them.
Test(silence, runs_tasks_once_if_requests_arrive_after_their_callers_have_left) {
  using enum LeaseWorld::CloseArrival;
  const std::vector<std::vector<std::pair<milliseconds, milliseconds>>> cuts{
      {{milliseconds(0), milliseconds(2500)}},
      {{milliseconds(0), milliseconds(4000)}},
      {{milliseconds(0), milliseconds(2700)}, {milliseconds(3000), milliseconds(1400)}}};
  for (const auto arrival : {kSameRead, kNextRead, kRoundTrip, kAfterLoss}) {
    for (const bool isolates : {true, false}) {
      for (const auto& each : cuts) {
        for (const std::uint64_t seed : {1, 2}) {
          const std::string problems =
              ProblemsWith({.close_arrival = arrival, .isolates = isolates, .cuts = each}, seed);
          cr_expect(problems.empty(), "seed %lu, arrival %d, %s, %zu cuts, the first of %ld ms: %s",
                    seed, static_cast<int>(arrival), isolates ? "isolated" : "callers alone",
                    each.size(), each.front().second.count(), problems.c_str());
        }
      }
    }
  }
}
