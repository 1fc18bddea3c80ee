// Supervisor side of leased execution: the single authority over runs on one executor.
#ifndef ZINNIAMUX_CORE_RUN_SUPERVISOR_H_
#define ZINNIAMUX_CORE_RUN_SUPERVISOR_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/clock.h"
#include "core/decaying_mean.h"
#include "core/pace_meter.h"
#include "core/run.h"
#include "core/run_budget.h"
#include "core/run_end_budget.h"
#include "core/start_queue.h"
#include "core/superseded_jobs.h"
#include "core/urgent_reserve.h"
#include "core/zone_evacuation.h"

namespace zinniamux::core {

// Time on an executor's own clock.
using ExecutorTime = std::chrono::milliseconds;

// Status that an executor announces.
struct LeasedExecutor {
  std::string id;
  // Start of this incarnation in Unix time; a later incarnation has a higher value.
  std::int64_t born_ms = 0;
  std::string service;
  Resources capacity;
  std::vector<std::string> labels;
  bool draining = false;
  // Increases with every status of one incarnation.
  std::uint64_t sequence = 0;
  ExecutorTime clock{0};
  // The availability zone; empty if the executor has announced none.
  std::string zone;
  // How much longer it stays slower than usual after its start.
  std::chrono::milliseconds cold_left{0};
};

// The executor's answer to a start call.
enum class StartAnswer {
  kStarted,
  // A higher fencing token was seen.
  kFenced,
  // A run of this task with this number or a higher one has ended or was stopped on the executor.
  kOutdated,
  // The lease of the start has already expired on the executor's clock.
  kLeaseExpired,
  kNoRoom,
  // The executor could not start it; nothing runs.
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
  // Increases within one incarnation of the executor.
  std::uint64_t number = 0;
  RunId id;
  RunOutcome outcome = RunOutcome::kDone;
};

// The answer to a hold call: all running and ended runs.
struct HoldAnswer {
  std::int64_t born_ms = 0;
  ExecutorTime clock{0};
  std::vector<RunningRun> running;
  std::vector<EndedRun> ended;
};

// Tells the owner that a run has ended or was not started.
struct RunUpdate {
  std::string owner;
  RunId id;
  RunOutcome outcome = RunOutcome::kDone;
  Duration elapsed{0};
};

// Why a run is stopped.
enum class StopReason {
  // Its owner ordered it.
  kOrdered,
  // Its owner's process is known to have ended.
  kOwnerGone,
  // Its owner's port refuses connections: its process has ended, or will be back in a moment.
  kOwnerRefuses,
  // Its owner is not known to have handled its input for `RunEndBudget::silence`.
  kOwnerSilent,
  // Its start call was not answered.
  kStartUnanswered,
  // Another dispatcher has received the job from its caller.
  kSuperseded,
};

// The name in logs and metrics, for example "owner_silent".
std::string_view NameOf(StopReason reason);

// Tells that a run is being stopped.
struct RunStopping {
  std::string owner;
  RunId id;
  StopReason reason = StopReason::kOrdered;
  // Time since the owner is known to have handled its input.
  Duration unheard{0};
};

// Tells that an answer or announcement has shown a later incarnation of the executor.
struct ExecutorRestarted {
  std::int64_t born_ms = 0;
  // Runs that the supervisor had given to earlier incarnations, and those of them whose start was
  // not answered.
  std::size_t runs = 0;
  std::size_t unanswered_starts = 0;
};

// Tells that the executor lists a run whose start call was not answered, or one that this object
// did not order. Once for each run.
struct UnconfirmedRunFound {
  RunId id;
  // Time since its start call turned out to be unanswered; unset if this object sent none.
  std::optional<Duration> since_unanswered;
  // The run was reported as ended or not started.
  bool was_reported = false;
};

// Calls to the executor.
struct CallStart {
  RunId id;
  std::string spec;
  std::string executor_id;
  ExecutorTime lease_until{0};
  std::uint64_t fencing_token = 0;
  // Without an answer within this time, the start is revoked.
  std::chrono::milliseconds answer_limit{0};
};
struct CallStop {
  RunId id;
  std::string executor_id;
  std::uint64_t fencing_token = 0;
};
// Renews the lease if `lease_until` is set, and polls for running and ended runs.
struct CallHold {
  std::uint64_t number = 0;
  std::string executor_id;
  std::optional<ExecutorTime> lease_until;
  std::uint64_t fencing_token = 0;
  std::uint64_t last_seen = 0;
  std::chrono::milliseconds wait{0};
};
// The report to dispatchers has changed.
struct ReportChanged {};

using SupervisorAction = std::variant<CallStart, CallStop, CallHold, RunUpdate, RunStopping,
                                      ExecutorRestarted, UnconfirmedRunFound, ReportChanged>;

// Starts and stops the runs that dispatchers order, and renews the executor's lease while they run.
// Orders without room wait until they expire. An owner is one incarnation of a dispatcher.
// Invariants:
// - A run is reported as ended, or as not started, only when the executor cannot run it any more.
// - The room of a run is free only then.
// - Runs of an owner that was silent for `budget.silence()` are stopped. While a stop stays
//   unanswered the lease is not renewed, so that all runs on the executor end with it.
// - No lease outlasts the time by which a run on the executor must have ended (see RunEndBudget),
//   whatever stands still in between.
// - A start or hold call that was not answered has no effect any more once a call that was sent
//   after that is answered.
// - Unknown runs on the executor are stopped.
// - A start without an answer may be carried out after the lease, by a later incarnation of the
//   executor. Its run ends only when the incarnation that answers now has answered a stop, or after
//   `late_execution_limit`.
// - From its notice age on, a job with a run that has not ended, or has just ended, is in
//   JobsOfOthers of other owners.
// - Nothing is started for a copy of a job after another owner has received a later one.
// - No start is sent to an executor in a zone that is evacuated in the newest state that any owner
//   has told. Starts that were sent before stay, as do the runs.
// Not thread-safe.
class RunSupervisor {
 public:
  struct Options {
    RunEndBudget budget;
    // How long a hold call waits for the end of a run. If its answer is lost, ends are reported
    // later by this time.
    std::chrono::milliseconds hold_wait{40};
    // Timeout of a hold or stop call, in addition to its wait.
    std::chrono::milliseconds answer_limit{200};
    // After this many times the mean answer time, within these bounds, a start without an answer is
    // revoked, and a second hold call is sent while one is unanswered. Objectives leave about
    // 100 ms beyond a task of 60 ms; a slow VM takes longer.
    int answer_time_factor = 8;
    std::chrono::milliseconds min_start_limit{30};
    std::chrono::milliseconds max_start_limit{250};
    std::chrono::milliseconds min_hold_limit{15};
    std::chrono::milliseconds max_hold_limit{100};
    // After a lost answer, two hold calls are kept in flight for this time, so that an end is
    // noticed unless both answers are lost. Services that lose answers do so for seconds.
    std::chrono::milliseconds double_hold_period{3000};
    // Limit on hold calls in flight, including overdue ones. Quick ones are limited separately, so
    // that calls to a silent executor do not delay the end of stopped runs.
    std::size_t max_holds = 4;
    std::size_t max_quick_holds = 2;
    // The executor does not count as silent before this time after its last answer.
    std::chrono::milliseconds min_silence{200};
    // The executor may still execute an unanswered call up to this much later.
    std::chrono::milliseconds late_execution_limit = RunEndBudget::kLateExecution;
    std::chrono::milliseconds stop_retry{40};
    // Nothing starts while only shorter leases can be granted: an executor under load takes a part
    // of it to answer.
    std::chrono::milliseconds min_start_lease{200};
    // Memory of all orders and runs.
    RunBudget::Options run_budget;
    // Limit on orders that wait for room. Dispatchers order only what can start within a share of
    // the objective, which is tens of tasks.
    std::size_t max_waiting = 512;
    std::uint64_t fencing_token = 1;
    // The zone of an executor that has announced none.
    std::string availability_zone;
  };

  // `executor_pace` goes on as the executor's clock does: it stands still while the VM of both is
  // suspended, which `clock` counts.
  RunSupervisor(const Options& options, const Clock& clock, const Clock& executor_pace);
  // For a VM that is never suspended.
  RunSupervisor(const Options& options, const Clock& clock)
      : RunSupervisor(options, clock, clock) {}

  // Returns false if the status is of an earlier incarnation or older than the last one.
  bool OnExecutorStatus(const LeasedExecutor& status);
  // An incarnation of the executor has announced its end, and may have done so long ago. Its runs
  // end when the executor refuses calls or their lease expires, not by this call alone.
  void OnExecutorLeft(const std::string& executor_id);

  // The owner has handled all input that had reached it by `input_handled`, and has sent the stops
  // that follow from it.
  void OnOwnerHeard(const std::string& owner, TimePoint input_handled);
  // The owner's process is known to be gone.
  void OnOwnerLost(const std::string& owner);
  // The owner's port refuses connections. Stops its runs as if the process were gone, so that they
  // end as soon if it is. They remain the owner's until the executor has ended them.
  void OnOwnerRefuses(const std::string& owner);
  // The owner has received the job from its caller, who expects nothing of other dispatchers any
  // more. Ends their runs and orders of the job.
  void OnJobSuperseded(const std::string& owner, const std::string& job_id);
  // Starts the run, queues it until there is room, or refuses it with an update.
  void OnOrder(const std::string& owner, const RunOrder& order);
  void OnStopOrder(const std::string& owner, const RunId& id);

  // No process listens at the executor's address. Called before the unanswered call is reported.
  void OnConnectionRefused();
  // `resent`: the call was sent more than once, and this is the answer to the last copy. Refusals
  // of it do not tell whether an earlier copy has started the run.
  void OnStartAnswer(const RunId& id, StartAnswer answer, std::optional<ExecutorTime> clock,
                     bool resent = false);
  void OnStopAnswer(const RunId& id, bool answered);
  // `answer` is empty if the call failed or timed out.
  void OnHoldAnswer(std::uint64_t number, const std::optional<HoldAnswer>& answer);

  // Refuses new and waiting orders, and continues to supervise the current runs.
  void StopAccepting();
  // The same while the state names the executor's zone. Returns false if the version is not newer.
  bool OnEvacuation(EvacuationState state);
  void OnTimer();
  // When OnTimer must be called, at the latest.
  TimePoint next_timer() const;

  std::vector<SupervisorAction> TakeActions();

  const std::optional<LeasedExecutor>& executor() const { return executor_; }
  bool accepting() const;
  const EvacuationState& evacuation() const { return evacuation_.state(); }
  // The zone that the executor has announced, or that of this process.
  const std::string& executor_zone() const;
  bool in_evacuated_zone() const { return evacuation_.IsEvacuated(executor_zone()); }
  // How much longer the executor stays slower than usual.
  std::chrono::milliseconds cold_left() const;
  // The present incarnation of the executor has answered a poll. It refuses calls of earlier
  // processes of this supervisor from then on.
  bool executor_answered() const { return executor_answered_; }
  Resources free_room() const;
  // Memory that orders and runs are charged for.
  std::size_t run_bytes() const { return run_budget_.bytes(); }
  // Orders refused for lack of it, since the start.
  std::uint64_t orders_without_memory() const { return orders_without_memory_; }
  std::size_t run_count() const { return runs_.size(); }
  std::size_t waiting_count() const { return queue_.size(); }
  WaitingNeeds waiting_room() const { return queue_.waiting_needs(); }
  // Free room that is reserved for urgent runs.
  std::int64_t kept_cpu_milli() const;
  // Milli-cores per second that ending runs release, from their estimates and the recent pace.
  double release_rate() const { return RunReleaseRate(true); }
  // The part of release_rate() that is left for orders that are neither urgent nor of a started
  // job. Urgent orders overtake those, and take room at the rate at which urgent runs have released
  // it in the last second. A burst of urgent runs releases more than that: they run for a short
  // time, and what they release is free for the others afterwards.
  double lesser_release_rate() const;
  // Jobs with runs or orders of other owners, jobs whose next run other owners may order, and
  // unknown runs, whose callers may soon send them to this owner (see RunEndBudget::notice_age).
  std::vector<std::string> JobsOfOthers(const std::string& owner) const;
  // Runs and waiting orders of the owner.
  std::vector<RunId> RunsOf(const std::string& owner) const;
  // Recent run time divided by the estimate, 0 if unknown.
  double pace() const { return pace_.value(clock_.now()); }
  // The same while it stays so, 0 otherwise; see SteadyPace.
  double steady_pace() const { return pace_.steady_value(clock_.now()); }

 private:
  enum class State {
    // The start call is unanswered.
    kStarting,
    kRunning,
    // The stop call is unanswered.
    kStopping,
    // The stop was answered; a later poll shows whether the run has ended.
    kStopped,
  };

  struct Run {
    std::string owner;
    RunOrder order;
    State state = State::kStarting;
    TimePoint started_at;
    // Of its last start call, which was meant for this incarnation of the executor.
    std::uint64_t fencing_token = 0;
    std::int64_t born_ms = 0;
    // When `state` was last set or its call last sent; answers to polls sent before do not reflect
    // it.
    TimePoint state_since;
    TimePoint next_stop_at;
    // When the first stop call was sent.
    TimePoint stopping_since;
    StopReason stop_reason = StopReason::kOrdered;
    // Set when it is being stopped: the lease may not outlast this time.
    TimePoint must_end_by;
    // Reported if the run turns out never to have started.
    RunOutcome outcome_if_not_started = RunOutcome::kUnhealthy;
    // The current incarnation of the executor has listed it or confirmed its start.
    bool seen_running = false;
    // Its start call is under way.
    bool start_pending = false;
    // Its start was not answered, and no poll has shown it since.
    bool start_unanswered = false;
    // An earlier incarnation of the executor may have run it.
    bool may_have_run = false;
    // An earlier incarnation of the executor ended without notice while it ran it.
    bool lost_in_crash = false;
    int percent = 0;
    // The sample of its progress for the pace.
    std::optional<double> sampled_pace;
  };
  using Runs = std::map<RunId, Run>;

  struct Hold {
    TimePoint sent_at;
    // Its answer is late after this time.
    TimePoint overdue_at;
    std::uint64_t last_seen = 0;
    std::uint64_t fencing_token = 0;
    // Sent to confirm the end of stopped runs, with a short wait.
    bool quick = false;
  };

  // Called when the executor has restarted under the same id.
  void BeginIncarnation(std::int64_t born_ms);
  void ForgetExecutor(RunOutcome outcome);
  // The incarnation that announced its end is gone.
  void ForgetDepartedExecutor();
  std::optional<RunOutcome> ReasonToRefuse(const std::string& owner, const RunOrder& order) const;
  void StartWaitingOrders();
  void UpdateUrgentUse();
  double RunReleaseRate(bool with_urgent) const;
  void BeginRun(StartQueue::WaitingOrder waiting);
  // Refuses orders that were in the queue.
  void RefuseOrders(const std::vector<StartQueue::WaitingOrder>& orders, RunOutcome outcome);
  // Refuses an order that no memory is charged for.
  void RefuseOrder(const std::string& owner, const RunId& id, RunOutcome outcome);
  void SendStart(Run& run);
  // `order_outcome`: of its orders that wait for room.
  void LoseOwner(const std::string& owner, StopReason reason, RunOutcome order_outcome);
  void BeginStop(const RunId& id, Run& run, StopReason reason, RunOutcome outcome_if_not_started);
  void SendStop(const RunId& id, Run& run);
  // Repeats stops without an answer, unless the executor is silent: polls tell when it is back.
  void SendDueStops();
  Runs::iterator FinishRun(Runs::iterator run, RunOutcome outcome);
  void ProcessEndedRun(const EndedRun& ended);
  void SamplePace(Run& run);
  // Keeps the job known to other owners if this one may order its next run.
  void NoteEndOfRun(const Run& run, const RunId& id, RunOutcome outcome);
  // Tells that the run is listed, if its start was not answered or it is unknown.
  void ReportUnconfirmedRun(const RunId& id, bool was_reported);
  void ReconcileRunning(std::span<const RunningRun> running, TimePoint sent_at);
  // Ends the runs that are missing from the answer to a poll sent at `sent_at`.
  void EndMissingRuns(const std::set<RunId>& listed_ids, TimePoint sent_at);
  void SendDueHolds();
  void SendHold();
  bool NeedsPoll() const;
  // A stopped run needs a poll, and no quick one was sent since it was stopped.
  bool NeedsQuickPoll() const;
  // Enough hold calls are in flight.
  bool HasEnoughHolds() const;
  bool IsSilent() const { return consecutive_unanswered_ > kMaxConsecutiveUnanswered; }
  bool MayRenewLease() const;
  // The executor's clock shows at least this, so no lease is longer than was meant.
  ExecutorTime ExecutorNow() const;
  void UpdateExecutorClock(ExecutorTime clock);
  // By when runs of the owner must have ended.
  TimePoint RunEndOf(const std::string& owner) const;
  // The latest end of a lease that holds for every run on the executor, and for those that an owner
  // may order before it is heard again.
  TimePoint LatestLeaseEnd() const;
  // When all requested leases have expired, if the VM is not suspended before.
  TimePoint RequestedLeaseEnd() const {
    return clock_.now() + (lease_expires_at_ - executor_pace_.now());
  }
  // Whether a run may start with a lease that is long enough.
  bool CanLeaseStarts() const;
  // The end of a lease as long as is allowed now; nothing if none is.
  std::optional<ExecutorTime> RenewLease();
  // The mean answer time times the factor, within the bounds.
  std::chrono::milliseconds AnswerTimeLimit(std::chrono::milliseconds min,
                                            std::chrono::milliseconds max) const;
  void RecordAnswer(bool answered);
  // The executor may carry out the unanswered call with this token later, and count its lease from
  // then. It refuses the call once it has seen a higher token.
  void RevokeUnansweredCall(std::uint64_t token);
  // The executor may carry out the start of the run after the lease has expired.
  bool MayStartLate(const RunId& id, const Run& run) const;
  // Ends all runs but those that may start late.
  void EndRuns(RunOutcome outcome);
  // Ends the runs of a silent executor once their lease has expired.
  void EndLapsedRuns();
  // Ends the runs whose unanswered starts are too old to be carried out any more.
  void EndExpiredStarts();
  // Whether a crash of the executor counts for the run. A draining executor has announced its end,
  // and a run that was never seen to run may have been ordered after it.
  bool IsLostInCrash(const Run& run) const { return run.seen_running && !executor_->draining; }
  void ReportPaceChange();
  static constexpr int kMaxConsecutiveUnanswered = 2;

  const Options options_;
  const Clock& clock_;
  const Clock& executor_pace_;
  std::optional<LeasedExecutor> executor_;
  // What the executor's clock showed in the last answer, and executor_pace_ when that came.
  ExecutorTime executor_clock_{0};
  TimePoint executor_clock_read_at_;
  // Rises with each incarnation of the executor, and when a start or hold call that carried it was
  // not answered.
  std::uint64_t fencing_token_;
  Runs runs_;
  // Invariant: the sum of the needs of runs_.
  Resources used_;
  // Invariant: charged for runs_ and queue_.
  RunBudget run_budget_;
  std::uint64_t orders_without_memory_ = 0;
  // Invariant at the end of each call: empty unless accepting().
  StartQueue queue_;
  // Processor need of the urgent runs in runs_.
  std::int64_t urgent_used_milli_ = 0;
  UrgentReserve reserve_;
  // Milli-cores per second that urgent runs release; the time constant is that of the reserve.
  DecayingMean urgent_release_{std::chrono::seconds(1)};
  // The time up to which each owner is known to have handled its input. Never decreases.
  std::map<std::string, TimePoint> owner_input_handled_;
  // Hold calls in flight, by number.
  std::map<std::uint64_t, Hold> holds_;
  std::uint64_t next_hold_ = 1;
  // Answers to hold calls sent before this one show an older state and are ignored.
  std::uint64_t last_answered_hold_ = 0;
  // The highest number of a processed end, and the highest one acknowledged to the executor.
  std::uint64_t last_seen_ = 0;
  std::uint64_t acknowledged_ = 0;
  TimePoint next_hold_at_;
  // When executor_pace_ shows this, all requested leases have expired, even on a clock that is 2 %
  // slow.
  TimePoint lease_expires_at_;
  // Consecutive calls without an answer.
  int consecutive_unanswered_ = 0;
  // No process listens at the executor's address: the last call was refused.
  bool executor_is_down_ = false;
  // The call whose result is about to be reported was refused.
  bool call_was_refused_ = false;
  TimePoint last_answer_at_;
  TimePoint last_unanswered_at_;
  // Mean answer time of start calls in seconds. The initial value is that of a VM under load.
  double mean_answer_seconds_ = 0.0075;
  // The pace in the last report.
  double reported_pace_ = 0;
  // Set until a poll has shown which runs an earlier process of the supervisor left behind, or that
  // the executor is still there after it announced its end.
  bool needs_first_poll_ = false;
  bool executor_answered_ = false;
  // An incarnation has announced its end, and this one has announced nothing since. Unset without
  // an executor.
  bool departing_ = false;
  // Unknown runs that are being stopped.
  struct UnknownRun {
    TimePoint next_stop_at;
    // The executor runs it.
    bool is_listed = false;
  };
  std::map<RunId, UnknownRun> unknown_runs_;
  // Runs on the present incarnation that UnconfirmedRunFound has named.
  std::set<RunId> found_unconfirmed_;
  // Unanswered starts, with the time after which the executor cannot execute them late any more.
  std::map<RunId, TimePoint> revoked_starts_;
  bool stopped_accepting_ = false;
  ZoneEvacuation evacuation_;
  // Until when the executor is slower than usual.
  TimePoint cold_until_;
  SupersededJobs superseded_jobs_;
  PaceMeter pace_;
  std::vector<SupervisorAction> actions_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_RUN_SUPERVISOR_H_
