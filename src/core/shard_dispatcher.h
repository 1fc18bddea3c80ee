// Dispatching state of one shard: jobs, queue, slots and placement.
#ifndef ZINNIAMUX_CORE_SHARD_DISPATCHER_H_
#define ZINNIAMUX_CORE_SHARD_DISPATCHER_H_

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/admission_controller.h"
#include "core/agent_instance.h"
#include "core/claim_decision.h"
#include "core/clock.h"
#include "core/dispatch_config.h"
#include "core/dispatcher_action.h"
#include "core/error_kind.h"
#include "core/executor_health.h"
#include "core/executor_info.h"
#include "core/executor_pool.h"
#include "core/job.h"
#include "core/job_queue.h"
#include "core/placement_policy.h"
#include "core/recovered_jobs.h"
#include "core/recovery_progress.h"
#include "core/retry_budget.h"
#include "core/run_time_estimator.h"
#include "core/submission.h"
#include "core/task_record.h"

namespace zinniamux::core {

// Decides admission, order and placement for the shard that this entry owns under one epoch.
// Events go in through the On... functions and Submit; actions come out of TakeActions. Not
// thread-safe: the caller holds the shard's lock around every call.
class ShardDispatcher {
 public:
  struct Options {
    std::uint32_t shard = 0;
    std::uint64_t epoch = 0;
    std::uint64_t seed = 1;
    // Agents that may hold start records of earlier epochs: the content of the row `agents/<shard>`
    // at the takeover. Names are formatted by InstanceName. An agent id without an incarnation
    // matches any incarnation, so the starts of an agent that restarted between two owners are
    // lost.
    std::set<std::string> expected_agents;
    // How long after the takeover a submission that was started under an earlier epoch may still be
    // resubmitted: the sum of isolation_limit, max_deadline and retention.
    std::chrono::milliseconds recovery_window{130'000};
    // How long after the takeover an agent that this owner has not fenced may still start tasks for
    // the previous owner. Until then a recovering shard also refuses submissions that were never
    // sent before, because a resend could reach the previous owner and be started there, too.
    std::chrono::milliseconds isolation_limit{10'000};
    // The max_deadline in recovery_window. A submission with a later deadline is refused, because a
    // new owner would discard its records while its id can still be resubmitted. Zero: no limit.
    std::chrono::milliseconds max_deadline{0};
    // An agent instance gets no dispatch before the row `agents/<shard>` contains it. Without this,
    // the next owner may not wait for the ledger of an agent that attached shortly before the
    // takeover.
    bool require_persisted_agents = false;
    // `not_run` is set in answers only this long after the last OnOwnershipConfirmed: a paused
    // owner may have been replaced, and its successor may have started the same submission. Zero:
    // no check.
    std::chrono::milliseconds ownership_validity{0};
    // Dispatches that an agent queues beyond its slots. If zero, an agent starts or refuses a
    // dispatch on arrival, so a revoke would have no effect and is not sent.
    std::uint32_t agent_queue_depth = 0;
    // The availability zone of this entry.
    std::string availability_zone;
    AdmissionController::Options admission;
    // Emit a LogDecision for each placement, refusal and end of a job.
    bool log_decisions = true;
  };

  ShardDispatcher(const Options& options, const Clock& clock);

  // Admits a submission, joins it to an existing job of the same id and content, or refuses it.
  // If the answer is not finished, a DeliverAnswer action follows.
  JobAnswer Submit(Submission submission);
  Result<JobAnswer> Fetch(std::string_view submission_id) const;
  // Ends the job: pending tasks are never started; running tasks continue.
  Result<JobAnswer> Cancel(std::string_view submission_id);

  void OnConfig(DispatchConfig config);
  void OnAgentAttached(const AgentHello& hello);
  void OnAgentDetached(std::string_view agent_id);
  void OnExecutorStatus(std::string_view agent_id, const ExecutorStatus& status);
  // `agent_time` is the agent's monotonic clock, which every message of the agent carries.
  void OnAgentTime(std::string_view agent_id, std::chrono::milliseconds agent_time);
  // Results and reconcile replies.
  void OnOutcomes(std::string_view agent_id, std::vector<TaskOutcome> outcomes);
  // `agent_epoch` is the highest epoch that the agent has seen.
  void OnRefusal(std::string_view agent_id, std::span<const TaskKey> tasks, RefusalReason reason,
                 std::uint64_t agent_epoch = 0);
  // A part of the ledger that the agent sent in reply to SendFence. If the `epoch` of the reply is
  // higher than this owner's, the agent did not accept the fence.
  void OnLedger(std::string_view agent_id, std::uint64_t epoch, std::vector<TaskOutcome> records,
                bool last_part);
  // The final ledger of an agent instance that left gracefully, read from the object store.
  void OnDepartedLedger(const AgentInstance& instance, std::vector<TaskOutcome> records);
  void OnClaimDecided(const std::string& submission_id, ClaimDecision decision);
  // The row `agents/<shard>` now holds these instances.
  void OnAgentsPersisted(const std::set<std::string>& instances);
  // No other entry can have taken over the shard by `confirmed_at`.
  void OnOwnershipConfirmed(TimePoint confirmed_at);
  // Handles deadlines, queue time limits and the end of retention. Called every few milliseconds.
  void OnTimer();

  // Stops placement and admission, so that the shard can be handed over.
  void Freeze() { frozen_ = true; }
  // Resumes placement and admission after a failed handover.
  void Unfreeze();
  // The unfinished jobs, as resubmissions for the next owner.
  std::vector<Submission> UnfinishedSubmissions() const;

  std::size_t unfinished_jobs() const;

  // The actions since the last call, in order.
  std::vector<DispatcherAction> TakeActions();

  std::size_t queued_tasks() const { return queued_tasks_; }
  // Slots in use, including those of tasks that an earlier owner dispatched.
  std::size_t running_tasks() const { return running_tasks_; }
  // Slots in use by agent id.
  struct AgentLoad {
    std::uint32_t used_slots = 0;
    // False while the agent is detached, paused, or not yet recorded in the store.
    bool takes_work = false;
  };
  std::map<std::string, AgentLoad> AgentLoads() const;
  std::size_t known_jobs() const { return jobs_.size(); }
  std::uint64_t epoch() const { return options_.epoch; }
  // A higher epoch exists. Nothing is placed or admitted any more.
  bool superseded() const { return superseded_; }
  // True while submission ids without a record may have been started under an earlier epoch.
  bool recovering() const { return recovery_.recovering(clock_.now()); }
  // While the shard recovers: agent instances whose ledgers have not been received. Empty
  // otherwise.
  std::set<std::string> UnheardInstances() const;

 private:
  // The value is the task's team; empty if the job is not known here.
  using OpenTasks = std::unordered_map<TaskKey, std::string, TaskKeyHash>;

  struct Agent {
    AgentHello hello;
    bool attached = false;
    bool persisted = false;
    bool ledger_merged = false;
    // Set after a refusal whose cause persists; the agent gets no tasks until `paused_until`.
    bool paused = false;
    TimePoint paused_until;
    // Tasks that may occupy a slot: dispatched or reported as running, and not reported as ended.
    // Invariant: their number equals the agent's used slots in pool_.
    OpenTasks open_tasks;
    // Offset from this process's clock to the agent's.
    std::chrono::milliseconds clock_offset{0};

    AgentInstance instance() const;
    bool usable() const { return attached && persisted && !paused; }
  };

  struct TrackedJob {
    explicit TrackedJob(Submission submission);

    Job job;
    TimePoint arrival;
    // Racks on which the job's tasks were placed.
    JobSpread spread;
    // PersistClaim was emitted and is not decided yet; until then no task is placed.
    bool claim_pending = false;
    bool answer_delivered = false;
    // The job fails if none of its tasks was dispatched by then.
    TimePoint queue_time_limit_at;
    // Set when the job ends.
    TimePoint expires_at;
    // The number of this job's tasks that are counted in queued_tasks_.
    std::uint32_t queued = 0;
  };

  // Admission.
  std::optional<Error> ValidationError(const Submission& submission) const;
  std::optional<Error> ConfigMismatch(const Submission& submission) const;
  std::optional<Error> AdmissionError(const Submission& submission) const;
  JobConfig JobConfigOf(const Submission& submission) const;
  JobAnswer Refuse(const Submission& submission, Error error);
  JobAnswer Admit(Submission submission);
  JobAnswer ResumeRecovered(Submission submission, RecoveredJob&& recovered);
  JobAnswer RegisterJob(TrackedJob& tracked);
  bool CanPlace() const { return !superseded_ && !frozen_ && config_.version > 0; }
  // The submission may have a start record that is not known yet, or the previous owner may still
  // start it.
  bool MayHaveStartedElsewhere(const Submission& submission) const;
  bool CanGuaranteeNotRun() const;
  JobAnswer CurrentAnswer(const Job& job) const;

  // Queue and placement.
  // Replaces the job's tasks in the queue by its pending ones.
  void EnqueuePending(TrackedJob& tracked);
  void PlaceQueued();
  // Returns false if no free executor can run the task.
  bool PlaceTask(TrackedJob& tracked, std::uint32_t index);
  std::vector<std::string> AgentsThatRevoked(const Job& job, std::uint32_t index) const;
  void Dispatch(TrackedJob& tracked, std::uint32_t index, Agent& agent);
  // Returns the dispatch that this placement pass sends to the agent for the job.
  DispatchOrder& FindOrAddOrder(const TrackedJob& tracked, const Agent& agent);
  std::chrono::milliseconds RetentionOf(const Submission& submission) const;

  // Outcomes.
  TrackedJob* FindTask(const TaskKey& key);
  void ApplyOutcome(Agent& agent, TaskOutcome outcome);
  void ApplyToJob(TrackedJob& tracked, const AgentInstance& instance, TaskOutcome outcome);
  void MergeRecord(const AgentInstance& instance, TaskOutcome outcome);
  void OnLedgerMerged(const AgentInstance& instance);
  void ApplyRecord(Job& job, const AgentInstance& agent, TaskOutcome outcome);
  // Queues a task again that its agent has not started, if the team's retry budget allows it.
  void Requeue(TrackedJob& tracked, std::uint32_t index, std::string_view reason);
  void AcknowledgeResults(std::string_view agent_id, std::vector<TaskKey> tasks);
  void AddOpenTask(Agent& agent, const TaskKey& key);
  void RemoveOpenTask(Agent& agent, const TaskKey& key);
  void ReleaseSlot(const Agent& agent, const std::string& team);
  void MarkTasksLost(Agent& agent);
  void PauseAgent(Agent& agent, std::chrono::milliseconds time);
  void UpdateUsable(const Agent& agent);
  void UpdateStatistics(const Submission& submission, std::string_view agent_id,
                        const TaskOutcome& outcome);
  void ApplyHealth(const ExecutorHealth::Change& change);

  // Decision log.
  void LogPlacement(const Submission& submission, std::uint32_t index, const Placement& placement);
  void LogJobDecision(DecisionRecord::Decision decision, const Submission& submission,
                      std::uint32_t index, std::string_view executor_id, std::string reason);

  // Job completion.
  void FailJob(TrackedJob& tracked, Error error);
  void UpdateAfterChange(TrackedJob& tracked);
  void RevokeUnconfirmed(const Job& job);
  void OnJobTimer(const std::string& submission_id, TimePoint now);
  Error DeadlineError(const Job& job) const;

  // Recovery and membership.
  void FailWithheld();
  void ReleaseWithheld();
  void RecordInstance(const Agent& agent);
  void PersistInstances();
  void ExpireInstances(TimePoint now);

  const Options options_;
  const Clock& clock_;
  DispatchConfig config_;
  std::map<std::string, Agent, std::less<>> agents_;
  std::unordered_map<std::string, TrackedJob> jobs_;
  RecoveryProgress recovery_;
  RecoveredJobs recovered_jobs_;
  // Jobs with withheld tasks.
  std::set<std::string> withheld_jobs_;
  // Contains every unfinished job. A waiting task that is no longer pending is skipped when it is
  // popped.
  JobQueue queue_;
  ExecutorPool pool_;
  const AdmissionController admission_;
  RunTimeEstimator estimator_;
  ExecutorHealth health_;
  std::map<std::string, RetryBudget> retry_budgets_;
  // By job and agent: the index in actions_ of the dispatch that collects tasks in this placement
  // pass.
  std::map<std::pair<const TrackedJob*, const Agent*>, std::size_t> open_orders_;
  // Tasks that every free agent has revoked, by the time of the next attempt.
  std::multimap<TimePoint, TaskKey> delayed_tasks_;
  // When a deadline, queue time limit or retention may end, with the submission id.
  std::set<std::pair<TimePoint, std::string>> timers_;
  // Agent instances that may hold start records, with the time at which they were last attached.
  std::map<std::string, TimePoint> known_instances_;
  // Revokes since the last OnTimer, by agent. Sent together, so that many cancellations at once
  // cause one message per agent.
  std::map<std::string, std::vector<TaskKey>> pending_revokes_;
  std::vector<DispatcherAction> actions_;
  std::size_t queued_tasks_ = 0;
  std::size_t running_tasks_ = 0;
  // After this time, no agent starts a task for the previous owner.
  const TimePoint predecessor_isolated_at_;
  TimePoint ownership_confirmed_at_;
  TimePoint next_instance_expiry_;
  bool superseded_ = false;
  bool frozen_ = false;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_SHARD_DISPATCHER_H_
