// The transcribed supervisor beside core::RunSupervisor on drawn walks.
#include "model/supervisor_model.h"

#include <criterion/criterion.h>

#include <array>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/run_supervisor.h"

namespace {

using std::chrono::milliseconds;
using zinniamux::core::CallHold;
using zinniamux::core::CallStart;
using zinniamux::core::CallStop;
using zinniamux::core::Clock;
using zinniamux::core::ExecutorTime;
using zinniamux::core::HoldAnswer;
using zinniamux::core::RunId;
using zinniamux::core::RunningRun;
using zinniamux::core::RunOutcome;
using zinniamux::core::RunStopping;
using zinniamux::core::RunSupervisor;
using zinniamux::core::StartAnswer;
using zinniamux::core::StopReason;
using zinniamux::core::SupervisorAction;
using zinniamux::core::TimePoint;
using zinniamux::model::ExecutorModel;
using zinniamux::model::Journal;
using zinniamux::model::kSides;
using zinniamux::model::kStep;
using zinniamux::model::Limits;
using zinniamux::model::Link;
using zinniamux::model::Options;
using zinniamux::model::OrderState;
using zinniamux::model::RunState;
using zinniamux::model::State;
using zinniamux::model::Steps;
using zinniamux::model::SupervisorModel;

class SteppedClock : public Clock {
 public:
  TimePoint now() const override { return now_; }
  void Step() { now_ += kStep; }

 private:
  TimePoint now_ = TimePoint(std::chrono::hours(1));
};

// A core supervisor whose executor answers all calls of a step in the next one. A run of another
// owner, which is always heard, keeps the lease renewed, as in the model.
class CoreWalk {
 public:
  CoreWalk() : supervisor_({}, clock_) {
    supervisor_.OnExecutorStatus(
        {.id = "e", .born_ms = 1, .capacity = {1000, 1000}, .sequence = 1});
    TakeActions();
    AnswerCalls();
    supervisor_.OnOwnerHeard("other", clock_.now());
    supervisor_.OnOrder("other", OrderOf({{"other", 0, 0}, 1}));
    TakeActions();
  }

  void BeginStep() {
    clock_.Step();
    has_started_ = has_stopped_ = false;
    supervisor_.OnOwnerHeard("other", clock_.now());
  }
  void Hear(std::size_t owner, Steps age) {
    supervisor_.OnOwnerHeard(std::to_string(owner), clock_.now() - age * kStep);
  }
  void Order(std::size_t owner, std::uint8_t run) {
    supervisor_.OnOrder(std::to_string(owner), OrderOf({{"job", 0, 0}, run}));
    TakeActions();
  }
  void Renew() { AnswerCalls(); }
  void HandleTimer() {
    supervisor_.OnTimer();
    TakeActions();
  }

  // In the present step.
  bool has_started() const { return has_started_; }
  bool has_stopped() const { return has_stopped_; }
  milliseconds start_lease() const { return start_lease_; }
  bool HasRun() const {
    return !supervisor_.RunsOf("0").empty() || !supervisor_.RunsOf("1").empty();
  }

 private:
  static zinniamux::core::RunOrder OrderOf(const RunId& id) {
    return {.id = id, .need = {1, 1}, .expires = TimePoint::max()};
  }
  ExecutorTime ExecutorNow() const {
    return std::chrono::duration_cast<milliseconds>(clock_.now().time_since_epoch());
  }

  void TakeActions() {
    for (SupervisorAction& action : supervisor_.TakeActions()) {
      if (const auto* start = std::get_if<CallStart>(&action)) {
        running_.push_back({.id = start->id});
        if (start->id.task.job_id == "job") {
          has_started_ = true;
          start_lease_ = start->lease_until - ExecutorNow();
        }
        supervisor_.OnStartAnswer(start->id, StartAnswer::kStarted, ExecutorNow());
      } else if (const auto* stopping = std::get_if<RunStopping>(&action)) {
        has_stopped_ = stopping->reason == StopReason::kOwnerSilent;
      } else if (const auto* stop = std::get_if<CallStop>(&action)) {
        std::erase_if(running_, [&](const RunningRun& run) { return run.id == stop->id; });
        supervisor_.OnStopAnswer(stop->id, true);
      } else if (const auto* hold = std::get_if<CallHold>(&action)) {
        holds_.push_back(hold->number);
      }
    }
  }

  void AnswerCalls() {
    for (const std::uint64_t number : std::exchange(holds_, {})) {
      supervisor_.OnHoldAnswer(
          number, HoldAnswer{.born_ms = 1, .clock = ExecutorNow(), .running = running_});
    }
    TakeActions();
  }

  SteppedClock clock_;
  RunSupervisor supervisor_;
  std::vector<RunningRun> running_;
  std::vector<std::uint64_t> holds_;
  bool has_started_ = false;
  bool has_stopped_ = false;
  milliseconds start_lease_{0};
};

// The lease of the start that the journal tells of.
milliseconds StartLease(const Journal& journal) {
  const std::string label = "lease ";
  for (const Journal::Entry& entry : journal.entries()) {
    const std::size_t found = entry.text.find(label);
    if (found != std::string::npos) {
      return milliseconds(std::stoi(entry.text.substr(found + label.size())));
    }
  }
  return milliseconds(0);
}

}  // namespace

// Guards against a model that proves something about other decisions than the core's: which orders
// are started, with which lease, and when runs of silent dispatchers are stopped.
Test(supervisor_model, decides_as_the_core_on_drawn_walks) {
  const Options options{.limits = Limits::For({}).value()};
  int starts = 0;
  int refusals = 0;
  int stops = 0;
  for (std::uint32_t seed = 1; seed <= 300; ++seed) {
    std::minstd_rand random(seed);
    const auto draw = [&](std::uint32_t below) { return random() % below; };
    CoreWalk core;
    State state;
    state.supervisors[0].heard = {zinniamux::model::kNever, zinniamux::model::kNever};
    state.supervisors[0].lease = options.limits.lease;
    std::uint8_t run = 0;
    const std::uint32_t chance = 2 + draw(20);
    for (int step = 0; step < 120 && run < 200; ++step) {
      Journal journal;
      SupervisorModel model(options, 0, state, &journal);
      ExecutorModel(options.limits, state.executors[0]).Advance();
      model.Advance();
      core.BeginStep();
      // The supervisor stands still.
      if (draw(10) == 0) continue;
      for (std::size_t owner = 0; owner < kSides; ++owner) {
        if (draw(chance) != 0) continue;
        const auto age = static_cast<Steps>(draw(25));
        state.links[owner][0].frame_age = age;
        core.Hear(owner, age);
      }
      const bool had_run = state.supervisors[0].state != RunState::kNone;
      const bool was_running = state.supervisors[0].state == RunState::kRunning;
      const bool orders = !had_run && !core.HasRun() && draw(3) == 0;
      const std::size_t owner = draw(kSides);
      if (orders) {
        Link& link = state.links[owner][0];
        link.order = OrderState::kArrived;
        link.order_run = ++run;
        link.order_left = options.limits.order_expiry;
        core.Order(owner, run);
      }
      model.Handle();
      // As in the model, leases are renewed after orders and timers.
      core.HandleTimer();
      core.Renew();
      // The core may start it as soon as another owner is lost, the model in the next step.
      if (state.links[owner][0].order == OrderState::kQueued) break;
      const RunState after = state.supervisors[0].state;
      const bool model_started = orders && after != RunState::kNone;
      const std::string at = "seed " + std::to_string(seed) + ", step " + std::to_string(step);
      cr_assert_eq(model_started, core.has_started(), "start: %s", at.c_str());
      const bool model_stopped = (was_running || model_started) && after == RunState::kStopped;
      cr_assert_eq(model_stopped, core.has_stopped(), "stop: %s", at.c_str());
      if (model_started && !model_stopped) {
        // The model rounds up to steps, and the core asks for 2 % less for slow clocks.
        const milliseconds most = StartLease(journal);
        cr_assert_leq(core.start_lease().count(), most.count(), "lease: %s", at.c_str());
        cr_assert_geq(core.start_lease().count(), (most - kStep).count() * 98 / 100 - 1,
                      "lease: %s", at.c_str());
      }
      if (orders) ++(model_started ? starts : refusals);
      if (model_stopped) ++stops;
    }
  }
  cr_assert_gt(starts, 200);
  cr_assert_gt(refusals, 50);
  cr_assert_gt(stops, 100);
  cr_log_info("%d starts, %d refusals, %d stops", starts, refusals, stops);
}
