// Leases and runs while VMs are suspended, on executors with slow clocks, and while connections are
// silent.
#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/run_end_budget.h"
#include "core/run_supervisor.h"
#include "support/job_traces.h"
#include "support/lease_world.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using zinniamux::core::CallHold;
using zinniamux::core::CallStart;
using zinniamux::core::CallStop;
using zinniamux::core::Duration;
using zinniamux::core::ExecutorTime;
using zinniamux::core::ManualClock;
using zinniamux::core::RunEndBudget;
using zinniamux::core::RunSupervisor;
using zinniamux::core::RunUpdate;
using zinniamux::core::StartAnswer;
using zinniamux::core::TimePoint;
using zinniamux::testing::AddTrace;
using zinniamux::testing::LeaseWorld;

// Executors announce themselves within this time.
constexpr seconds kWarmUp{4};
constexpr std::size_t kExecutors = 11;

// One supervisor and its executor, whose clocks go on as each test says.
class SupervisedExecutor {
 public:
  SupervisedExecutor() {
    supervisor_.OnExecutorStatus(Status());
    AnswerCalls();
  }

  void Order(const std::string& owner, std::uint32_t index) {
    supervisor_.OnOrder(owner, {.id = {.task = {.job_id = "job", .index = index}, .run = 1},
                                .need = {.cpu_milli = 100, .memory_mb = 10},
                                .estimate = milliseconds(100),
                                .expires = clock_.now() + milliseconds(400)});
  }
  // Announces the executor's status and its clock.
  void Announce() { supervisor_.OnExecutorStatus(Status()); }
  // Answers all calls as an executor that carries them out.
  void AnswerCalls() {
    for (const auto& action : supervisor_.TakeActions()) {
      if (const auto* start = std::get_if<CallStart>(&action)) {
        running_.push_back({.id = start->id});
        supervisor_.OnStartAnswer(start->id, StartAnswer::kStarted, executor_clock_);
      } else if (const auto* hold = std::get_if<CallHold>(&action)) {
        supervisor_.OnHoldAnswer(hold->number,
                                 {{.born_ms = 1, .clock = executor_clock_, .running = running_}});
      }
    }
  }
  // Answers nothing. Returns whether a run is reported as over.
  bool RefuseToAnswer() {
    supervisor_.OnTimer();
    bool is_reported = false;
    for (const auto& action : supervisor_.TakeActions()) {
      if (const auto* hold = std::get_if<CallHold>(&action)) calls_.push_back(hold->number);
      if (const auto* stop = std::get_if<CallStop>(&action)) {
        supervisor_.OnStopAnswer(stop->id, false);
      }
      is_reported = is_reported || std::holds_alternative<RunUpdate>(action);
    }
    for (const std::uint64_t call : std::exchange(calls_, {})) {
      supervisor_.OnHoldAnswer(call, std::nullopt);
    }
    return is_reported;
  }
  // Time that the executor's clock counts, 2 % slow if `is_slow`.
  void Advance(milliseconds time, bool is_slow = false) {
    clock_.Advance(time);
    pace_.Advance(time);
    executor_clock_ += is_slow ? RunEndBudget::LeaseWithin(time) : time;
  }
  void Suspend(milliseconds time) { clock_.Advance(time); }

  // The latest end of the leases that were asked for, if the executor's clock is 2 % slow.
  TimePoint TakeLeaseEnd() {
    ExecutorTime until = executor_clock_;
    for (const auto& action : supervisor_.TakeActions()) {
      if (const auto* start = std::get_if<CallStart>(&action)) {
        until = std::max(until, start->lease_until);
      } else if (const auto* hold = std::get_if<CallHold>(&action)) {
        until = std::max(until, hold->lease_until.value_or(until));
      }
    }
    return clock_.now() + RunEndBudget::LongestLease(until - executor_clock_);
  }

  TimePoint now() const { return clock_.now(); }
  RunSupervisor& supervisor() { return supervisor_; }

 private:
  zinniamux::core::LeasedExecutor Status() {
    return {.id = "executor",
            .born_ms = 1,
            .service = "service",
            .capacity = {.cpu_milli = 4000, .memory_mb = 1000},
            .sequence = ++sequence_,
            .clock = executor_clock_};
  }

  ManualClock clock_;
  ManualClock pace_;
  ExecutorTime executor_clock_{5000};
  std::uint64_t sequence_ = 0;
  std::vector<zinniamux::core::RunningRun> running_;
  std::vector<std::uint64_t> calls_;
  RunSupervisor supervisor_{{}, clock_, pace_};
};

std::uint64_t NumberFromEnvironment(const char* name, std::uint64_t otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
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

// Cuts dispatcher 0 off from all supervisors, and its callers from it.
void IsolateDispatcher(LeaseWorld& world, Duration at, Duration length) {
  for (std::size_t s = 0; s < kExecutors; ++s) world.CutLink(0, s, at, length);
  world.CutCallers(0, at, length, milliseconds(300));
  world.ResetCallers(0, at + milliseconds(10), 1);
}

}  // namespace

// Guards against leases that are too long after a suspension: the executor's clock stood still, so
// a time computed with its offset before is later than was meant.
Test(suspension, grants_no_lease_beyond_the_end_of_runs_after_a_suspension) {
  constexpr milliseconds kSuspension{600};
  SupervisedExecutor executor;
  executor.supervisor().OnOwnerHeard("silent", executor.now());
  const TimePoint run_end = executor.now() + RunEndBudget().run_end();
  executor.Order("silent", 0);
  executor.AnswerCalls();
  // The hold call that follows is answered before, too.
  executor.AnswerCalls();
  executor.TakeLeaseEnd();
  executor.Suspend(kSuspension);
  // A frame that came meanwhile is read before the first answer of the executor.
  executor.supervisor().OnOwnerHeard("heard", executor.now());
  executor.Order("heard", 1);
  const TimePoint lease_end = executor.TakeLeaseEnd();
  cr_expect(lease_end > executor.now());
  cr_expect(lease_end <= run_end);
}

// Guards against a run that is reported as over while it goes on: its executor's clock stood still
// in a suspension, so the lease has not expired yet when the executor does not answer afterwards.
// Its owner is silent, too, so the lease is not renewed.
Test(suspension, reports_no_run_as_lapsed_before_its_lease_has_expired) {
  constexpr milliseconds kStep{40};
  SupervisedExecutor executor;
  executor.supervisor().OnOwnerHeard("owner", executor.now());
  executor.Order("owner", 0);
  executor.AnswerCalls();
  executor.AnswerCalls();
  const TimePoint lease_end = executor.TakeLeaseEnd() + seconds(2);
  executor.Suspend(seconds(2));
  bool is_reported = false;
  for (int i = 0; i < 100 && !is_reported; ++i) {
    is_reported = executor.RefuseToAnswer();
    cr_assert(!is_reported || executor.now() >= lease_end);
    executor.Advance(kStep);
  }
  cr_expect(is_reported);
}

// Guards against leases that are too long after a time without calls: the clock of the executor is
// up to 2 % slow, and its offset is as old as the last answer.
Test(suspension, grants_no_lease_beyond_the_end_of_runs_after_an_idle_time) {
  constexpr seconds kIdle{60};
  SupervisedExecutor executor;
  executor.Advance(kIdle, true);
  executor.supervisor().OnOwnerHeard("silent", executor.now());
  const TimePoint run_end = executor.now() + RunEndBudget().run_end();
  executor.Advance(milliseconds(600), true);
  executor.supervisor().OnOwnerHeard("heard", executor.now());
  executor.Order("heard", 1);
  const TimePoint lease_end = executor.TakeLeaseEnd();
  cr_expect(lease_end > executor.now());
  cr_expect(lease_end <= run_end);
}

// Guards against first starts that are refused as late: the estimate of an executor's clock falls
// behind by 2 % without calls, unless announcements correct it.
Test(suspension, grants_full_leases_after_an_idle_time_with_announcements) {
  constexpr milliseconds kAnnouncePeriod{1500};
  constexpr milliseconds kLeastLease{950};
  SupervisedExecutor executor;
  for (int i = 0; i < 40; ++i) {
    executor.Advance(kAnnouncePeriod);
    executor.Announce();
    executor.AnswerCalls();
  }
  executor.Advance(kAnnouncePeriod);
  executor.supervisor().OnOwnerHeard("owner", executor.now());
  executor.Order("owner", 0);
  cr_expect(executor.TakeLeaseEnd() >= executor.now() + kLeastLease);
}

// Guards against two runs of a task when VMs are suspended after their dispatcher was cut off: the
// leases of the runs there do not go on meanwhile.
Test(suspension, runs_tasks_once_if_vms_are_suspended_after_a_dispatcher_was_cut_off) {
  const std::uint64_t first = NumberFromEnvironment("ZINNIAMUX_SUSPENSION_FIRST_SEED", 1);
  const std::uint64_t count = NumberFromEnvironment("ZINNIAMUX_SUSPENSION_SEEDS", 20);
  std::size_t broken = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    std::mt19937_64 random(seed);
    const auto between = [&random](int least, int most) {
      return milliseconds(std::uniform_int_distribution<>(least, most)(random));
    };
    LeaseWorld world({.seed = seed, .lost_answers = 0.06});
    AddTrace(world, {.seed = seed, .begin = kWarmUp, .length = seconds(4), .load = 0.9});
    IsolateDispatcher(world, seconds(6), seconds(3));
    const milliseconds begin = milliseconds(6000) + between(0, 300);
    const milliseconds length = between(200, 700);
    if (random() % 2 == 0) world.LoseAnswers(0.5, begin - milliseconds(50), milliseconds(60));
    for (std::size_t s = 0; s < kExecutors; s += 2) {
      world.SuspendVm(s, begin, length);
    }
    world.Run(seconds(25));
    const std::string problems = ProblemsOf(world);
    if (problems.empty()) continue;
    ++broken;
    cr_log_error("seed %lu: %s", seed, problems.c_str());
  }
  cr_assert(broken == 0, "%zu of %lu seeds break a rule", broken, count);
}

// Guards against two runs of a task, and against jobs without an answer, when connections between
// dispatchers and supervisors go silent without notice: orders, stops and ends of runs are lost.
Test(suspension, runs_tasks_once_if_connections_go_silent) {
  const std::uint64_t first = NumberFromEnvironment("ZINNIAMUX_SILENT_LINK_FIRST_SEED", 1);
  const std::uint64_t count = NumberFromEnvironment("ZINNIAMUX_SILENT_LINK_SEEDS", 10);
  std::size_t broken = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    std::mt19937_64 random(seed);
    const auto between = [&random](int least, int most) {
      return milliseconds(std::uniform_int_distribution<>(least, most)(random));
    };
    LeaseWorld world({.seed = seed, .lost_answers = random() % 2 == 0 ? 0.06 : 0});
    AddTrace(world, {.seed = seed, .begin = kWarmUp, .length = seconds(4), .load = 0.9});
    for (std::size_t fault = 2 + random() % 3; fault > 0; --fault) {
      const std::size_t dispatcher = random() % 3;
      const milliseconds at = between(5500, 7500);
      const std::size_t step = 1 + random() % 3;
      for (std::size_t s = random() % step; s < kExecutors; s += step) {
        world.SilenceLink(dispatcher, s, at + between(0, 300));
      }
      if (random() % 2 == 0) world.ResetCallers(dispatcher, at + between(-300, 600), 0.7);
    }
    if (random() % 2 == 0) {
      world.KillSupervisor(random() % kExecutors, between(6000, 8000), between(50, 2500));
    }
    if (random() % 3 == 0) {
      world.KillDispatcher(random() % 3, between(6000, 8000), between(50, 2500));
    }
    world.Run(seconds(25));
    const std::string problems = ProblemsOf(world);
    if (problems.empty()) continue;
    ++broken;
    cr_log_error("seed %lu: %s", seed, problems.c_str());
  }
  cr_assert(broken == 0, "%zu of %lu seeds break a rule", broken, count);
}
