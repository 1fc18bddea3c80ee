// Dispatcher side of leased execution: admits jobs, orders the starts of their tasks, and answers
// the callers.
#ifndef ZINNIAMUX_CORE_JOB_SCHEDULER_H_
#define ZINNIAMUX_CORE_JOB_SCHEDULER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "core/clock.h"
#include "core/displacement_admission.h"
#include "core/executor_health.h"
#include "core/executor_view.h"
#include "core/job_request.h"
#include "core/late_admission.h"
#include "core/locality_wait.h"
#include "core/order_wait_limit.h"
#include "core/placement_explanation.h"
#include "core/room_placement.h"
#include "core/run.h"
#include "core/run_end_budget.h"
#include "core/run_time_estimator.h"
#include "core/stale_request_detector.h"
#include "core/view_trust.h"
#include "core/wait_policy.h"
#include "core/work_budget.h"
#include "core/zone_evacuation.h"

namespace zinniamux::core {

// Orders a supervisor to start tasks of one step.
struct StartTasks {
  std::string agent_id;
  std::uint64_t order = 0;
  std::string job_id;
  std::uint32_t step = 0;
  std::string spec;
  Resources need;
  std::chrono::milliseconds estimate{0};
  // The runs do not start after this time.
  TimePoint expires;
  // The executor is expected to have free room. Runs without room are refused, so that they can be
  // placed on another executor.
  bool at_once = false;
  StartRank rank = StartRank::kNormal;
  bool urgent = false;
  TimePoint job_received;
  struct Start {
    std::uint32_t index = 0;
    std::uint32_t run = 0;
  };
  std::vector<Start> starts;
};

// Orders a supervisor to stop one run.
struct StopTask {
  std::string agent_id;
  RunId id;
};

// Tells supervisors that this dispatcher has received a job that a supervisor runs for another one.
struct SupersedeJob {
  std::string job_id;
  // All that are connected: an order of the other dispatcher may be on its way to any of them.
  std::vector<std::string> agent_ids;
};

// Answers the caller; the job is over.
struct AnswerJob {
  JobReply answer;
  std::string queue;
  // Times from the job's arrival to its first order, and to the answer.
  Duration waited{0};
  Duration took{0};
  // For a refused job, the wait of its tasks at the best executor; 0 if unknown.
  Duration expected_wait{0};
  std::uint32_t failed_runs = 0;
  std::uint32_t refused_starts = 0;
  // The job was held for a late answer.
  bool held_late = false;
  // It was held because its request may have been stale.
  bool held_stale = false;
  // It was refused because it needs more room than others while room is short.
  bool displaced = false;
};

// Reports a change of an executor's health state.
struct ExecutorJudged {
  ExecutorHealth::Change change;
};

// Reports that nothing had reached the dispatcher for `length`.
struct IsolationEnded {
  Duration length{0};
};

using SchedulerAction =
    std::variant<StartTasks, StopTask, SupersedeJob, AnswerJob, ExecutorJudged, IsolationEnded>;

// Schedules the jobs that one dispatcher has accepted, until each is answered. Jobs are not stored:
// if the dispatcher fails, supervisors stop its runs and callers submit the jobs again. Invariants:
// - A task has at most one run at a time. It is ordered again only after its supervisor has
//   reported the end of the run, or has been disconnected for `budget.lost_after()`, when the run
//   has certainly ended.
// - A job is refused only if none of its tasks was ever ordered, or if no order has started a run.
// - Nothing is ordered after the job's deadline, and orders expire at the supervisor.
// - A job is given up when a supervisor has ended its run because it did not hear the dispatcher,
//   or because another dispatcher has received the job.
// - A job that is older than `budget.run_end()` is ordered only while a supervisor names it to the
//   other dispatchers, and is given up otherwise. Its caller may have sent it to one of them, which
//   waits only for jobs that are named.
// - A job that a supervisor ran for another dispatcher when it arrived is ordered only after all
//   supervisors have reported that they do not run it any more, or are certain not to.
// - A job whose request may be stale (see StaleRequestDetector) is ordered only after
//   `budget.close_limit()`, in which the end of its connection comes if its caller has left.
// - After an isolation, nothing is ordered until the input that came in it is handled. Jobs that
//   may have arrived before its end are given up then: their callers may have sent them elsewhere,
//   and the closed connections may still be on their way.
// Not thread-safe.
class JobScheduler {
 public:
  struct Options {
    std::string availability_zone;
    // Differs between dispatchers; see RoomPlacement::ChooseShortestWait.
    std::uint32_t placement_seed = 1;
    WaitPolicy::Options wait;
    LateAdmission::Options late;
    DisplacementAdmission::Options displacement;
    LocalityWait::Options locality;
    // Gives the time after which a disconnected supervisor has ended every run, and the longest
    // wait of an order for room on an executor, before it is placed again.
    RunEndBudget budget;
    // Answers are kept this long, for callers that send a job again.
    std::chrono::milliseconds answer_retention{10'000};
    std::size_t max_retained_answers = 20'000;
    // Limit on accepted jobs without an answer.
    std::size_t max_jobs = 20'000;
    WorkBudget::Options work;
    // Bytes of earlier orders that are not sent yet; null for none.
    std::function<std::size_t()> unsent_order_bytes;
    // Limit on the runs of this dispatcher at one supervisor that may not have ended. Bounds what
    // tasks without needs, which fit into any room, take there.
    std::size_t max_runs_per_supervisor = 1024;
    // The job is refused or abandoned after this many refused orders of one task.
    std::uint32_t max_refused_starts = 30;
    // After this many orders of one task were refused for lack of room, the next order waits for
    // room. Views of executors that are not close are mostly right while there is room.
    std::uint32_t max_room_refusals = 6;
    // A dispatcher that has just started knows few executors or none. During this time, jobs wait
    // until they would be late instead of being refused for lack of executors. Supervisors connect
    // within tenths of a second, also after the loss of all VMs.
    std::chrono::milliseconds startup_grace{1000};
    // After a stall, least time until the first OnTimer that allows orders again. OnTimer is
    // handled in its turn, so what arrived during the stall comes before it.
    std::chrono::milliseconds stall_recovery{50};
    // The job fails when this many executors have crashed while they ran one of its tasks. Tasks
    // that only ran beside the cause are lost as well: while one kind of task crashes several
    // executors a second, long tasks of other kinds often lose two runs and seldom three.
    std::uint32_t max_executor_crashes = 3;
    // A run may be moved off an executor whose pace is at least this many times the median.
    double move_ratio = 3.0;
  };

  JobScheduler(const Options& options, const Clock& clock);

  // A caller's request was read, whatever it asks for. Called before OnJob.
  void OnCallerRequest() { stale_requests_.OnRequest(clock_.now()); }
  // Returns false if a job with that id is in progress; its answer is for the new caller, too.
  bool OnJob(JobRequest request);
  // The answer of a recently answered job.
  std::optional<JobReply> Remembered(const std::string& job_id) const;
  void OnCancel(const std::string& job_id);

  void OnAgentAttached(const std::string& supervisor_id, const std::string& availability_zone,
                       std::uint64_t incarnation, std::span<const RunId> held_runs);
  void OnAgentDetached(const std::string& supervisor_id);
  void OnReport(const std::string& supervisor_id, ExecutorReport report);
  // Nothing is placed on executors in these zones. Returns false if the version is not newer.
  bool OnEvacuation(EvacuationState state);
  void OnRunUpdate(const std::string& supervisor_id, const RunId& id, RunOutcome outcome,
                   Duration elapsed);
  // Places the queued jobs: new ones, and waiting ones if a report since the last call shows room
  // for one of them. Called once after a batch of events.
  void Place() { PlaceQueuedJobs(std::exchange(should_retry_waiting_, false)); }

  // The process stood still (see StallDetector). The end of a run may now be handled before the
  // closed connection of its caller, who may have sent the job to another dispatcher since. Nothing
  // is ordered until both have been handled.
  void OnStall();

  // From now on, refuses jobs that may not be answered by `end`.
  void StopAt(TimePoint end) { shutdown_at_ = end; }
  // Answers every job: as refused if none of its tasks can have run, as abandoned otherwise.
  void AbandonAll();
  void OnTimer();

  std::vector<SchedulerAction> TakeActions();

  // All input that had arrived by then has been passed on to this object. Until the first call,
  // input counts as handled when it arrives.
  void OnInputHandled(TimePoint arrived_by) { input_handled_ = arrived_by; }
  // What supervisors may rely on: jobs whose callers had left by then have been cancelled.
  TimePoint InputHandled() const;
  bool Knows(const std::string& job_id) const { return jobs_.contains(job_id); }
  std::size_t job_count() const { return jobs_.size(); }
  // Memory of the accepted jobs, and of runs of answered ones that may not have ended.
  std::size_t work_bytes() const;
  std::size_t max_work_bytes() const { return work_.max_bytes(); }
  // Jobs with ready tasks that are not ordered.
  std::size_t queued_jobs() const { return queue_.size(); }
  // Jobs of the queue without any ordered task.
  std::size_t PendingOf(const std::string& queue) const;
  std::size_t agents_accepting() const;
  const EvacuationState& evacuation() const { return evacuation_.state(); }
  // Whether an executor of a connected supervisor is in an evacuated zone.
  bool has_evacuated_executors() const;
  const SpeedMatching& speeds() const { return speeds_; }
  // Whether `at_once` orders are placed by the views of close executors, and of the others.
  bool trusts_close_views() const { return close_trust_.is_trusted(clock_.now()); }
  bool trusts_other_views() const { return others_trust_.is_trusted(clock_.now()); }
  // Longest expected wait of an order at an executor, as a share of the job's objective.
  double order_wait_share() const { return order_wait_limit_.share(); }
  // Where the first step of the job would be placed now.
  PlacementExplanation Explain(const JobRequest& request) const;
  const LocalityWait::Counts& locality_waits() const { return locality_.counts(); }
  std::vector<const ExecutorView*> executors() const;
  // How often executors were looked for, for all tasks of a job that are ready. The processor time
  // of placement grows with it.
  std::uint64_t placements_tried() const { return placements_tried_; }

 private:
  enum class TaskState { kBlocked, kReady, kOrdered, kDone };

  struct Task {
    TaskState state = TaskState::kBlocked;
    std::uint32_t run = 0;
    std::uint32_t failed_runs = 0;
    std::uint32_t refused_starts = 0;
    // Executors that crashed while they ran it.
    std::uint32_t executor_crashes = 0;
    // Orders that were refused for lack of room.
    std::uint32_t room_refusals = 0;
    std::string supervisor_id;
    TimePoint ordered_at;
    // Its order may wait for room at the executor.
    bool may_wait = false;
    // As StartTasks::at_once of its order.
    bool at_once = false;
    // The supervisor of its last run that failed or whose start was not answered; the next run is
    // placed elsewhere.
    std::string last_failed_on;
    // Its run was stopped on a slow executor, to be repeated elsewhere.
    bool moved = false;
    // Of its last order; null if its run time does not depend on the rack.
    std::unique_ptr<LocalityWait::Placement> locality;
    // An order that waited for its rack did not start; it does not wait for one again.
    bool has_waited_for_rack = false;
  };

  struct Step {
    std::vector<Task> tasks;
    std::uint32_t done = 0;
    std::uint32_t ready = 0;
    Duration estimate{0};
    // The rack chosen for a step that prefers one rack; empty if its tasks run in several.
    std::string group_rack;
  };

  struct Job {
    JobRequest request;
    std::vector<Step> steps;
    // Its part of work_.
    std::size_t work_bytes = 0;
    TimePoint received;
    // The dispatcher received the job after this time; see OnInputHandled.
    TimePoint arrived_after;
    // The job is refused unless its tasks are expected to start by then.
    TimePoint start_by;
    // Tasks that start later end after the objective.
    TimePoint latest_start;
    // When the answer is due.
    TimePoint objective;
    TimePoint first_ordered;
    // Numbers of tasks in these states.
    std::uint32_t ready = 0;
    std::uint32_t ordered = 0;
    std::uint32_t done = 0;
    std::uint32_t failed_runs = 0;
    std::uint32_t refused_starts = 0;
    // At least one run has started.
    bool any_run_started = false;
    // Until then the supervisor of its last run names it to the other dispatchers. Unset if that is
    // not certain, or if an order has been late on its way.
    TimePoint named_until;
    // Its caller has left another dispatcher, whose runs of the job have not ended.
    bool awaits_earlier_copy = false;
    // Its request may be stale: it is not ordered until OnTimer releases it after this time. Unset
    // otherwise.
    TimePoint held_until;
    bool was_held = false;
    // It cannot be in time any more and is held for a late answer. Then `start_by` and
    // `latest_start` are the limits of LateAdmission.
    bool is_late = false;
    // An order of it has waited for a rack in vain. It comes before other jobs then, and is not
    // refused for lack of room: without the wait it might have started.
    bool has_waited_for_rack = false;
  };

  // Sorts by rank, then by when the job must start; started jobs by their arrival.
  struct QueueKey {
    StartRank rank = StartRank::kNormal;
    TimePoint due;
    std::uint64_t number = 0;
    bool operator<(const QueueKey& other) const {
      return std::tie(rank, due, number) < std::tie(other.rank, other.due, other.number);
    }
  };

  struct QueuedJob {
    // In jobs_.
    Job* job = nullptr;
    // No executors were found for it. Until a view improves, none will be.
    bool is_waiting = false;
  };

  // What the waiting jobs of one rank need at least; a view that does not satisfy it cannot help
  // any of them.
  struct WaitingNeed {
    Resources need;
    // The longest wait for room that one of the jobs accepts.
    Duration max_wait{0};
  };

  // A need for which no executor was found during the present pass over the queue. Orders only
  // reduce the room, so jobs that need as much and may not wait as long are not tried.
  struct UnmetNeed {
    // Executors that are steadily slower than this, relative to the median, were excluded.
    double max_pace = 0;
    std::string service;
    std::string required_label;
    std::string preferred_rack;
    Resources need;
    StartRank rank = StartRank::kNormal;
    // The wait at the best executor.
    Duration wait{0};
  };

  struct Supervisor {
    ExecutorView view;
    // When it was last connected or sent something.
    TimePoint heard_at;
    // From then on, it was never silent for longer than `isolation_limit`.
    TimePoint heard_since;
    std::uint64_t incarnation = 0;
    // Runs that this incarnation may have.
    std::set<RunId> runs;
    // Runs of another incarnation that may not have ended. None of them is in `runs`.
    std::set<RunId> orphaned_runs;
    // ExecutorReport::jobs_of_others of the last report.
    std::vector<std::string> jobs_of_others;
    // When the leases of the orphaned runs have certainly expired, and the other runs too if the
    // supervisor is disconnected. Unset while it is connected and there are no orphaned runs.
    TimePoint runs_over_at;
  };

  // Whether the executor may carry out what an earlier process of the supervisor has sent to it: it
  // has not answered the present one yet.
  bool MayStartLate(const Supervisor& supervisor) const;
  // Called with everything that callers and supervisors send.
  void NoteInput();
  void NoteHeard(Supervisor& supervisor);
  // Called with every change of the supervisor's runs.
  void NoteRuns(Supervisor& supervisor) const;
  // Whether a supervisor that has had this run has named the job to the other dispatchers: it was
  // heard without a long silence since the job reached its notice age or the run was ordered.
  bool HasNamed(const Supervisor& supervisor, const Job& job, const RunId& id) const;
  // A connected supervisor names the job to the other dispatchers.
  bool IsNamed(const Job& job) const;
  // Until when orders for the job may reach supervisors. Looks at every task of a job that has
  // ordered ones.
  TimePoint LatestOrder(const Job& job) const;
  // Sets the jobs that the supervisor runs for other dispatchers.
  void SetJobsOfOthers(Supervisor& supervisor, std::vector<std::string> jobs);
  // Ends the runs of the job that other dispatchers have ordered.
  void SupersedeElsewhere(Job& job);
  // The job may have arrived before the end of an isolation.
  bool MayHaveLeft(const Job& job) const {
    return isolation_ && job.arrived_after < isolation_->ended;
  }
  bool IsSettling() const { return isolation_ && isolation_->is_settling; }
  // Gives up the jobs from before an isolation once all input that came in it is handled.
  void SettleIsolation();
  TimePoint ReceivedAt(const JobRequest& request) const {
    return request.arrived == TimePoint() ? clock_.now() : request.arrived;
  }
  // When the job of a request that is read now may be ordered; unset for at once.
  TimePoint HoldEndOf(const JobRequest& request) const;
  void Accept(JobRequest request);
  // Ends the hold of a job whose request is not stale.
  void Release(Job& job);
  std::optional<JobReason> ReasonToRefuse(const JobRequest& request) const;
  // Runs in the lists of supervisors whose jobs are answered.
  std::size_t UnreportedRuns() const;
  void RefuseOrAbandon(Job& job, JobReason reason);
  void Refuse(const JobRequest& request, JobReason reason, Duration expected_wait);
  std::chrono::milliseconds RetryAfter(const std::string& job_id, Duration expected_wait) const;
  Duration CriticalPath(const JobRequest& request) const;
  Duration EstimatedRunTime(const JobRequest& request, const JobStep& step) const;
  void UnblockSteps(Job& job);
  void MakeReady(Job& job, Step& step, Task& task);
  void Enqueue(Job& job);
  void Dequeue(Job& job);
  StartRank RankOf(const Job& job) const;
  // Holds a job of which nothing is ordered for a late answer; false if it must be refused.
  bool HoldAsLate(Job& job);
  void ObserveRoom();
  // Refuses an arriving job if it would displace others; see DisplacementAdmission.
  bool RefuseDisplaced(const JobRequest& request);
  QueueKey KeyOf(const Job& job) const;
  // The wait of the job's first ready tasks at the best executor; nothing if none can run them.
  std::optional<Duration> ExpectedWait(const Job& job) const;
  void MoveStragglers();
  bool ShouldMove(const Job& job, const Step& step, const Task& task, double pace,
                  double median_pace);
  void PlaceQueuedJobs(bool retry_waiting);
  // Whether the orders of the job have to wait until earlier ones are sent. A job whose orders are
  // the only ones is never held, so that each is placed in the end.
  bool MustHoldOrders(const Job& job, std::size_t unsent_bytes) const;
  // Whether the view satisfies the least need of the waiting jobs of a rank.
  bool MayHelpWaitingJobs(const ExecutorView& view) const;
  void AddWaitingJob(const Job& job);
  // An unmet need that shows that the job cannot be placed; null if there is none.
  const UnmetNeed* FindUnmetNeed(const Job& job) const;
  void AddUnmetNeed(const Job& job, Duration wait);
  // Returns false if no executor was found for any of its tasks.
  bool PlaceJob(Job& job);
  // Returns false if a task of the step could not be placed.
  bool PlaceStep(Job& job, std::uint32_t step_index, StartRank rank, TimePoint latest_order);
  // Undoes the job's orders that were not sent.
  void RollBackOrders(Job& job);
  struct Choice {
    ExecutorView* view = nullptr;
    bool at_once = false;
    // Null if the task does not depend on the rack.
    std::unique_ptr<LocalityWait::Placement> locality;
  };
  // Adds what the placement needs to know of run times where executors differ in speed.
  void AddSpeeds(const Job& job, const Step& step, RoomPlacement::Query& query) const;
  // Run time, relative to the median executor, with which the job's first step ends in time;
  // infinite where executors do not differ.
  double MaxPace(const Job& job) const;
  ViewTrust& ViewTrustFor(const ExecutorView& view) {
    return view.report().is_close ? close_trust_ : others_trust_;
  }
  // Longest expected wait of an order of the job at its executor.
  Duration MaxOrderWait(const Job& job) const;
  Duration MaxOrderWait(const Job& job, StartRank rank) const {
    return rank == StartRank::kStarted ? Duration(options_.budget.order_expiry())
                                       : MaxOrderWait(job);
  }
  Choice ChooseExecutor(const Job& job, const Task& task, RoomPlacement::Query query);
  // As ChooseExecutor, for a task that runs faster in `rack`.
  Choice ChooseNear(const Job& job, const Task& task, const RoomPlacement::Query& query,
                    const std::string& rack);
  // Chooses the rack of a step that prefers one, if none of its tasks has been placed.
  void ChooseGroupRack(const Job& job, Step& step, const RoomPlacement::Query& query);
  // The task is placed next; the step may prefer no rack any more then.
  void NoteGroupPlacement(Step& step, Choice& choice);
  // The order expires at `latest_order` at the latest.
  void OrderStart(Job& job, std::uint32_t step, std::uint32_t index, StartRank rank,
                  TimePoint latest_order, Choice choice);
  // `is_reported`: the supervisor has told it. Otherwise the run is over by its lease, or was lost
  // on its way to the supervisor.
  void OnRunEnded(const Supervisor& supervisor, const RunId& id, RunOutcome outcome,
                  Duration elapsed, bool is_reported);
  // Learns from an order that may have waited at its executor.
  void RecordOrderWait(const Job& job, const RunId& id, RunOutcome outcome, Duration elapsed);
  void ApplyOutcome(Job& job, const RunId& id, RunOutcome outcome);
  // The supervisor gave the run up because it did not hear this dispatcher. The caller may not have
  // been able to reach it either, and have sent the job elsewhere.
  static bool WasOwnerSilent(const Task& task, RunOutcome outcome) {
    return outcome == RunOutcome::kOwnerSilent ||
           (outcome == RunOutcome::kWithdrawn && !task.moved);
  }
  static bool MayHaveRun(const Job& job) { return job.any_run_started || job.ordered > 0; }
  void FinishJob(Job& job, JobResult result, JobReason reason,
                 Duration expected_wait = Duration(0));
  void StopRuns(const Job& job);
  void RememberAnswer(const JobReply& answer);
  void ForgetExpiredAnswers();
  void EndLostRuns(const Supervisor& supervisor, const std::set<RunId>& lost, RunOutcome outcome);
  // Whether a task of a job in progress is ordered as this run, at this supervisor.
  bool IsCurrentRun(const std::string& supervisor_id, const RunId& id) const;
  bool InStartupGrace() const { return clock_.now() < started_ + options_.startup_grace; }
  bool HasExecutors(const std::string& service) const;
  // Why a job is refused for which no executor has room in time.
  JobReason ReasonForLackOfRoom(const Job& job) const;
  bool CanEverRun(const JobRequest& request) const;

  const Options options_;
  const Clock& clock_;
  const TimePoint started_;
  const WaitPolicy wait_policy_;
  LateAdmission late_admission_;
  DisplacementAdmission displacement_;
  const RoomPlacement placement_;
  std::minstd_rand placement_random_;
  // For the views of close executors, and of the others.
  ViewTrust close_trust_;
  ViewTrust others_trust_;
  OrderWaitLimit order_wait_limit_;
  SpeedMatching speeds_;
  LocalityWait locality_;
  RunTimeEstimator estimator_;
  ExecutorHealth health_;
  std::unordered_map<std::string, Job> jobs_;
  // Invariant: the sum of Job::work_bytes over jobs_.
  WorkBudget work_;
  // Invariant: the sum of Job::ordered over jobs_.
  std::size_t ordered_tasks_ = 0;
  std::map<QueueKey, QueuedJob> queue_;
  std::unordered_map<std::string, QueueKey> queue_keys_;
  std::map<std::string, Supervisor> supervisors_;
  // How many supervisors run a job for other dispatchers. Invariant: the counts of
  // Supervisor::jobs_of_others.
  std::unordered_map<std::string, std::size_t> run_elsewhere_;
  // The views in supervisors_, in the same order.
  std::vector<ExecutorView*> views_;
  ZoneEvacuation evacuation_;
  // RoomPlacement::MedianPace of views_ at the last placement.
  double median_pace_ = 1;
  // Groups the starts of the job being placed, so that tasks of a step share an order to one
  // supervisor.
  struct OrderKey {
    std::uint32_t step = 0;
    std::string supervisor_id;
    bool at_once = false;
    bool operator<(const OrderKey& other) const {
      return std::tie(step, supervisor_id, at_once) <
             std::tie(other.step, other.supervisor_id, other.at_once);
    }
  };
  std::map<OrderKey, StartTasks> unsent_starts_;
  // Of the orders in actions_.
  std::size_t new_order_bytes_ = 0;
  // Set after a stall.
  std::optional<TimePoint> orders_paused_until_;
  StaleRequestDetector stale_requests_;
  // When callers or supervisors last sent something; before that, when the process started.
  TimePoint last_input_;
  std::optional<TimePoint> input_handled_;
  // The last time in which nothing arrived for longer than `isolation_limit`.
  struct Isolation {
    TimePoint began;
    TimePoint ended;
    // What arrived in it is still being handled. Then the jobs from before are given up.
    bool is_settling = true;
  };
  std::optional<Isolation> isolation_;
  std::uint64_t next_order_ = 1;
  std::uint64_t next_job_number_ = 1;
  std::uint64_t placements_tried_ = 0;
  // The waiting jobs of the queue after the last pass, by rank.
  std::map<StartRank, WaitingNeed> waiting_needs_;
  // A view has improved, so that the next pass tries the waiting jobs again.
  bool should_retry_waiting_ = false;
  // Of the present pass.
  std::vector<UnmetNeed> unmet_needs_;
  // Set when the process is shutting down.
  std::optional<TimePoint> shutdown_at_;
  std::unordered_map<std::string, JobReply> answers_;
  std::deque<std::pair<TimePoint, std::string>> answer_expiries_;
  std::vector<SchedulerAction> actions_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_JOB_SCHEDULER_H_
