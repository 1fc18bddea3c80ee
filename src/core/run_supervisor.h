// Agent side of leased execution: the single authority over runs on one executor.
#ifndef ZINNIAMUX_CORE_RUN_SUPERVISOR_H_
#define ZINNIAMUX_CORE_RUN_SUPERVISOR_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "core/clock.h"
#include "core/pace_meter.h"
#include "core/run.h"
#include "core/start_queue.h"
#include "core/urgent_reserve.h"

namespace zinniamux::core {

// Time on an executor's own clock.
using ExecutorTime = std::chrono::milliseconds;

// What an executor says of itself.
struct LeasedExecutor {
  std::string id;
  // Start of this lifetime, Unix time; a later lifetime has a higher value.
  std::int64_t born_ms = 0;
  std::string service;
  Resources capacity;
  std::vector<std::string> labels;
  bool draining = false;
  // Increases with every report of one lifetime.
  std::uint64_t sequence = 0;
  ExecutorTime clock{0};
};

// What the executor answered to a start.
enum class StartAnswer {
  kStarted,
  // A higher fencing token was seen.
  kFenced,
  // A run of this task with this number or a higher one has ended or was stopped there.
  kOutdated,
  // The lease of the order has already run out on the executor's clock.
  kLeaseExpired,
  kNoRoom,
  // Nothing was done.
  kUnhealthy,
  kRejected,
  // No answer: the executor may start the run later.
  kNone,
};

struct RunningRun {
  RunId id;
  // Progress in percent.
  int percent = 0;
};

struct EndedRun {
  // Increases within one lifetime of the executor.
  std::uint64_t number = 0;
  RunId id;
  RunOutcome outcome = RunOutcome::kDone;
};

// The answer to a hold call: everything that runs or has ended.
struct HoldAnswer {
  std::int64_t born_ms = 0;
  ExecutorTime clock{0};
  std::vector<RunningRun> running;
  std::vector<EndedRun> ended;
};

struct RunUpdate {
  std::string owner;
  RunId id;
  RunOutcome outcome = RunOutcome::kDone;
  Duration elapsed{0};
};

// What the supervisor wants done at the executor.
struct CallStart {
  RunId id;
  std::string spec;
  std::string executor_id;
  ExecutorTime lease_until{0};
  std::uint64_t fencing_token = 0;
  // Without an answer by then, the start is revoked.
  std::chrono::milliseconds answer_limit{0};
};
struct CallStop {
  RunId id;
  std::string executor_id;
  std::uint64_t fencing_token = 0;
};
// Renews the lease, unless `lease_until` is not set, and asks for running and ended runs.
struct CallHold {
  std::uint64_t number = 0;
  std::string executor_id;
  std::optional<ExecutorTime> lease_until;
  std::uint64_t fencing_token = 0;
  std::uint64_t last_seen = 0;
  std::chrono::milliseconds wait{0};
};
// The report to entries has changed.
struct ReportChanged {};

using SupervisorAction = std::variant<CallStart, CallStop, CallHold, RunUpdate, ReportChanged>;

// Starts, holds and stops the runs that entries order; orders without room wait until they expire.
// Rules that it keeps:
// - A run is reported as ended, or as not started, only when the executor cannot run it any more.
// - The room of a run is free only then.
// - Runs of an entry that was silent for `owner_silence` are stopped; while a stop stays
//   unanswered the lease is not renewed, so that everything on the executor ends with it.
// - Runs that it does not know are stopped.
// An owner is one incarnation of an entry. Not thread-safe.
class RunSupervisor {
 public:
  struct Options {
    // Longest lease that executors grant; `max_hold_ms` of the deployment.
    std::chrono::milliseconds lease{1000};
    // How long a hold call waits for an end. Ends stay hidden for so long if its answer is lost.
    std::chrono::milliseconds hold_wait{40};
    // A hold or stop call without an answer is given up after its wait and this time.
    std::chrono::milliseconds answer_limit{200};
    // A start without an answer is revoked, and another hold call is made beside one without an
    // answer, after this many times the usual time of an answer, within these bounds. Objectives
    // leave about 100 ms beside a task of 60 ms; a slow VM takes longer.
    int usual_answer_factor = 8;
    std::chrono::milliseconds least_start_limit{30};
    std::chrono::milliseconds most_start_limit{250};
    std::chrono::milliseconds least_hold_limit{15};
    std::chrono::milliseconds most_hold_limit{100};
    // After a lost answer two hold calls are under way for this long, so that an end shows unless
    // both answers are lost. Services whose answers get lost do so for seconds.
    std::chrono::milliseconds doubled_holds{3000};
    // Hold calls under way, with those whose answers are overdue. Quick ones are beside them, so
    // that calls to a silent executor do not hold up the end of stopped runs.
    std::size_t max_holds = 4;
    std::size_t max_quick_holds = 2;
    // The executor counts as silent only this long after its last answer.
    std::chrono::milliseconds least_silence{200};
    // A call without an answer may be carried out this much later.
    std::chrono::milliseconds late_orders{13'000};
    std::chrono::milliseconds stop_retry{40};
    // Unanswered stops for this long end the renewal of the lease.
    std::chrono::milliseconds stop_limit{300};
    // Executors end what they are told to stop within this time.
    std::chrono::milliseconds stop_time{50};
    // Runs of an owner end when it was silent for this long: less than the time after which a
    // caller repeats a job at another entry, by the time that stopping takes.
    std::chrono::milliseconds owner_silence{900};
    // Orders that wait for room. Entries order no more than can start within part of an objective,
    // which is tens of tasks.
    std::size_t max_waiting = 512;
    std::uint64_t fencing_token = 1;
  };

  RunSupervisor(const Options& options, const Clock& clock);

  // Returns false if the report is of an earlier lifetime or older than the last one.
  bool OnExecutorStatus(const LeasedExecutor& status);
  // The executor has announced its end.
  void OnExecutorLeft(const std::string& executor_id);

  void OnOwnerHeard(const std::string& owner);
  // The owner's process is known to be gone.
  void OnOwnerLost(const std::string& owner);
  // Starts the run, lets it wait for room, or refuses it with an update.
  void OnOrder(const std::string& owner, const RunOrder& order);
  void OnStopOrder(const std::string& owner, const RunId& id);

  void OnStartAnswer(const RunId& id, StartAnswer answer, std::optional<ExecutorTime> clock);
  void OnStopAnswer(const RunId& id, bool answered);
  // `answer` is missing if none came.
  void OnHoldAnswer(std::uint64_t number, const std::optional<HoldAnswer>& answer);

  // Refuses new orders and goes on with the runs that it has.
  void StopAccepting();
  void OnTimer();
  // When OnTimer has something to do, at the latest.
  TimePoint next_timer() const;

  std::vector<SupervisorAction> TakeActions();

  const std::optional<LeasedExecutor>& executor() const { return executor_; }
  bool accepting() const;
  Resources free_room() const;
  std::size_t run_count() const { return runs_.size(); }
  std::size_t waiting_count() const { return queue_.size(); }
  WaitingRoom waiting_room() const { return queue_.waiting_room(); }
  // Free room that is kept for urgent runs.
  std::int64_t kept_cpu_milli() const;
  // Milli-cores that runs give back in a second, from their estimates and the recent pace; of all
  // runs, or of those that are not urgent.
  double release_rate(bool with_urgent) const;
  // Runs and waiting orders of the owner.
  std::vector<RunId> RunsOf(const std::string& owner) const;
  // Recent run time divided by the estimate, 0 if unknown.
  double pace() const { return pace_.value(clock_.now()); }

 private:
  enum class State {
    // The start was sent and is not answered.
    kStarting,
    kRunning,
    // A stop was sent and is not answered.
    kStopping,
    // The stop was answered; a later look shows whether anything is left.
    kStopped,
  };

  struct Run {
    std::string owner;
    RunOrder order;
    State state = State::kStarting;
    TimePoint began_at;
    // When the call that put it into `state` was sent; answers to earlier looks say nothing of it.
    TimePoint state_at;
    TimePoint next_stop_at;
    // First stop that was not answered yet.
    TimePoint stopping_since;
    // Reported if the run turns out never to have started.
    RunOutcome not_started = RunOutcome::kUnhealthy;
    // A look at this lifetime of the executor has shown it, or its start was confirmed.
    bool seen_running = false;
    // An earlier lifetime may have worked on it.
    bool may_have_run = false;
    int percent = 0;
    bool pace_noted = false;
  };
  using Runs = std::map<RunId, Run>;

  struct Hold {
    TimePoint sent_at;
    // Its answer is late from then on.
    TimePoint overdue_at;
    std::uint64_t last_seen = 0;
    // It settles stopped runs and is answered soon.
    bool quick = false;
  };

  // The executor has restarted under its id.
  void BeginLifetime(std::int64_t born_ms);
  void ForgetExecutor(RunOutcome outcome);
  std::optional<RunOutcome> ReasonToRefuse(const RunOrder& order) const;
  void StartWaiting();
  void NoteUrgentUse();
  void Begin(StartQueue::Waiting waiting);
  void RefuseWaiting(const std::vector<StartQueue::Waiting>& orders, RunOutcome outcome);
  void SendStart(Run& run);
  void BeginStop(const RunId& id, Run& run, RunOutcome not_started);
  void SendStop(const RunId& id, Run& run);
  Runs::iterator Finish(Runs::iterator run, RunOutcome outcome);
  void NoteEnd(const EndedRun& ended);
  void NoteProgress(Run& run);
  void NoteRunning(std::span<const RunningRun> running, TimePoint sent_at);
  // Settles the runs that a look at the executor, sent at `sent_at`, did not show.
  void SettleMissing(const std::set<RunId>& seen, TimePoint sent_at);
  void MaybeHold();
  void SendHold();
  bool NeedsLook() const;
  // A stopped run waits for a look, and no quick one was sent since it was stopped.
  bool NeedsQuickLook() const;
  // As many hold calls are under way as there should be.
  bool HasEnoughHolds() const;
  bool MayRenew() const;
  ExecutorTime ExecutorNow() const;
  void NoteClock(ExecutorTime clock);
  ExecutorTime RenewLease();
  // The usual time of an answer times the factor, within the bounds.
  std::chrono::milliseconds UsualLimit(std::chrono::milliseconds least,
                                       std::chrono::milliseconds max) const;
  void NoteAnswered(bool answered);
  // Ends all runs once their lease has run out without an answer of the executor.
  void EndLapsedRuns();
  void NotePace();
  static constexpr int kMaxUnanswered = 2;

  const Options options_;
  const Clock& clock_;
  std::optional<LeasedExecutor> executor_;
  // Executor time minus clock_ time; never above the true difference by more than the drift since
  // the last answer.
  std::chrono::milliseconds clock_offset_{0};
  std::uint64_t fencing_token_;
  Runs runs_;
  // Invariant: the sum of the needs of runs_.
  Resources used_;
  // Invariant: empty unless accepting(), as of the end of each call.
  StartQueue queue_;
  // Processor need of the urgent ones among runs_.
  std::int64_t urgent_used_milli_ = 0;
  UrgentReserve reserve_;
  std::map<std::string, TimePoint> owner_heard_;
  // Hold calls under way, by number.
  std::map<std::uint64_t, Hold> holds_;
  std::uint64_t next_hold_ = 1;
  // Answers to earlier hold calls than the last one that was answered show an older state.
  std::uint64_t last_answered_hold_ = 0;
  // The highest end that was taken note of, and the highest one that the executor knows of.
  std::uint64_t last_seen_ = 0;
  std::uint64_t acknowledged_ = 0;
  TimePoint next_hold_at_;
  // The last lease that was asked for has run out by then, also on a clock that is 2 % slow.
  TimePoint lease_over_at_;
  // Calls without an answer since the last one that was answered.
  int unanswered_ = 0;
  TimePoint last_answer_at_;
  TimePoint last_lost_at_;
  // Mean time of answers to starts, in seconds. Before the first one, that of a VM under load.
  double answer_seconds_ = 0.0075;
  // The pace in the last report.
  double reported_pace_ = 0;
  // Set until a look has shown which runs an earlier agent left behind.
  bool needs_first_look_ = false;
  // Stops of runs that it does not hold, by when they are sent again.
  std::map<RunId, TimePoint> unknown_stops_;
  // Starts without an answer, until they cannot be carried out late any more.
  std::map<RunId, TimePoint> revoked_starts_;
  bool stopping_ = false;
  PaceMeter pace_;
  std::vector<SupervisorAction> actions_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_RUN_SUPERVISOR_H_
