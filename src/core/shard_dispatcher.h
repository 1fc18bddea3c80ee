// The root of the dispatching state of one shard: jobs, queue, slots and placement.
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
    // at the takeover. Names by InstanceName; a bare agent id accepts any incarnation, which loses
    // the starts of an agent that restarted between two owners.
    std::set<std::string> expected_agents;
    // isolation_limit + max_deadline + retention, see docs/design.md, section 3.4.
    std::chrono::milliseconds recovery_window{130'000};
    // How long after the takeover an agent that this owner has not fenced may still start tasks for
    // its predecessor (docs/design.md, section 3.3). Until then a recovering shard refuses first
    // sendings as well: sent again, they could reach the predecessor and start there, too.
    std::chrono::milliseconds isolation_limit{10'000};
    // The max_deadline in that sum: a submission with a later deadline is refused, because its
    // records would be forgotten by a new owner while its id can be resubmitted. Zero: no limit.
    std::chrono::milliseconds max_deadline{0};
    // An agent instance gets no dispatch before the row `agents/<shard>` names it. Without this,
    // the next owner may not wait for the ledger of an agent that attached shortly before the
    // takeover.
    bool require_persisted_agents = false;
    // "Not run" is claimed only this long after the last OnOwnershipConfirmed: a paused owner may
    // have been replaced, and its successor may have started the same submission. Zero: no check.
    std::chrono::milliseconds ownership_validity{0};
    // Dispatches that an agent queues beyond its slots. If zero, an agent starts or refuses a
    // dispatch when it arrives, so that a revoke could prevent nothing and is not sent.
    std::uint32_t agent_queue_depth = 0;
    // The availability zone of this entry.
    std::string availability_zone;
    AdmissionController::Options admission;
    // Emit a LogDecision for each placement, refusal and end of a job.
    bool log_decisions = true;
  };

  ShardDispatcher(const Options& options, const Clock& clock);

  // Admits a submission, joins it to an existing job of the same id and content, or refuses it.
  // The answer is final if it is finished; otherwise DeliverAnswer follows.
  JobAnswer Submit(Submission submission);
  Result<JobAnswer> Fetch(std::string_view submission_id) const;
  // Ends the job: pending tasks never start, running ones go on.
  Result<JobAnswer> Cancel(std::string_view submission_id);

  void OnConfig(DispatchConfig config);
  void OnAgentAttached(const AgentHello& hello);
  void OnAgentDetached(std::string_view agent_id);
  void OnExecutorStatus(std::string_view agent_id, const ExecutorStatus& status);
  // The agent's clock, taken from any message.
  void OnAgentTime(std::string_view agent_id, std::chrono::milliseconds agent_time);
  // Results and reconcile replies.
  void OnOutcomes(std::string_view agent_id, std::vector<TaskOutcome> outcomes);
  // `agent_epoch` is the highest epoch that the agent has seen.
  void OnRefusal(std::string_view agent_id, std::span<const TaskKey> tasks, RefusalReason reason,
                 std::uint64_t agent_epoch = 0);
  // A part of the ledger that the agent sent in answer to SendFence. `epoch` is the one in the
  // answer; a higher one than this owner's says that the fence was not accepted.
  void OnLedger(std::string_view agent_id, std::uint64_t epoch, std::vector<TaskOutcome> records,
                bool last_part);
  // The final ledger of an agent instance that left gracefully, read from the object store.
  void OnDepartedLedger(const AgentInstance& instance, std::vector<TaskOutcome> records);
  void OnClaimDecided(const std::string& submission_id, ClaimDecision decision);
  // The row `agents/<shard>` holds these instances.
  void OnAgentsPersisted(const std::set<std::string>& instances);
  // At `confirmed_at` no other entry could have taken the shard over.
  void OnOwnershipConfirmed(TimePoint confirmed_at);
  // Deadlines, queue time limits and the end of retention. Called every few milliseconds.
  void OnTimer();

  // Stops placement and admission, so that the shard can be handed over.
  void Freeze() { frozen_ = true; }
  // Ends Freeze after a handover that did not take effect.
  void Unfreeze();
  // The jobs without an answer, as resubmissions for the next owner.
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
    // False while it is away, paused, or not yet recorded in the store.
    bool takes_work = false;
  };
  std::map<std::string, AgentLoad> AgentLoads() const;
  std::size_t known_jobs() const { return jobs_.size(); }
  std::uint64_t epoch() const { return options_.epoch; }
  // A higher epoch exists. Nothing is placed or admitted any more.
  bool superseded() const { return superseded_; }
  // Submission ids without a record may have been started under an earlier epoch.
  bool recovering() const { return recovery_.recovering(clock_.now()); }
  // Instances whose ledgers are missing while the shard recovers; empty otherwise.
  std::set<std::string> UnheardInstances() const;

 private:
  // The value is the task's team; empty if the job is not known here.
  using OpenTasks = std::unordered_map<TaskKey, std::string, TaskKeyHash>;

  struct Agent {
    AgentHello hello;
    bool attached = false;
    bool persisted = false;
    bool ledger_merged = false;
    // The agent refused a dispatch for a reason that lasts; it is not chosen until `paused_until`.
    bool paused = false;
    TimePoint paused_until;
    // Tasks that may occupy a slot: dispatched, or reported as running, with the end not reported.
    // Invariant: as many as the agent's used slots in pool_.
    OpenTasks open_tasks;
    // Offset from this process's clock to the agent's.
    std::chrono::milliseconds clock_offset{0};

    AgentInstance instance() const;
    bool usable() const { return attached && persisted && !paused; }
  };

  struct JobEntry {
    explicit JobEntry(Submission submission);

    Job job;
    TimePoint arrival;
    // Where the job's tasks were placed.
    JobSpread spread;
    // PersistClaim was sent and not decided; no task is placed.
    bool claim_pending = false;
    bool delivered = false;
    // The job fails if no task was dispatched by then.
    TimePoint queue_until;
    // Set when the job ends.
    TimePoint forget_at;
    // This job's share of queued_tasks_.
    std::uint32_t queued = 0;
  };

  // Admission.
  std::optional<Error> ValidationError(const Submission& submission) const;
  std::optional<Error> ConfigMismatch(const Submission& submission) const;
  std::optional<Error> AdmissionError(const Submission& submission) const;
  JobConfig JobConfigOf(const Submission& submission) const;
  JobAnswer Refuse(const Submission& submission, Error error);
  JobAnswer Admit(Submission submission);
  JobAnswer Resume(Submission submission, RecoveredJob&& recovered);
  JobAnswer Enter(JobEntry& entry);
  bool MayPlace() const { return !superseded_ && !frozen_ && config_.version > 0; }
  // The id may have a start record that is not known yet, or may get one from the predecessor.
  bool MayBeStartedElsewhere(const Submission& submission) const;
  bool MayClaimNotRun() const;
  JobAnswer CurrentAnswer(const Job& job) const;

  // Queue and placement.
  // Puts the job's pending tasks into the queue, and nothing else of it.
  void EnqueuePending(JobEntry& entry);
  void PlaceQueued();
  // Returns false if no executor takes the task now.
  bool PlaceTask(JobEntry& entry, std::uint32_t index);
  std::vector<std::string> AgentsThatRevoked(const Job& job, std::uint32_t index) const;
  void Dispatch(JobEntry& entry, std::uint32_t index, Agent& agent);
  // The order to which the next task of the job for this agent is added.
  DispatchOrder& OpenOrder(const JobEntry& entry, const Agent& agent);
  std::chrono::milliseconds RetentionOf(const Submission& submission) const;

  // Outcomes.
  JobEntry* FindTask(const TaskKey& key);
  void ApplyOutcome(Agent& agent, TaskOutcome outcome);
  void ApplyToJob(JobEntry& entry, const AgentInstance& instance, TaskOutcome outcome);
  void MergeRecord(const AgentInstance& instance, TaskOutcome outcome);
  void OnLedgerMerged(const AgentInstance& instance);
  void AdoptRecord(Job& job, const AgentInstance& agent, TaskOutcome outcome);
  // Places a task again that its agent has not started, if the team's retry budget allows.
  void Requeue(JobEntry& entry, std::uint32_t index, std::string_view reason);
  void Acknowledge(std::string_view agent_id, std::vector<TaskKey> tasks);
  void OpenTask(Agent& agent, const TaskKey& key);
  void CloseTask(Agent& agent, const TaskKey& key);
  void ReleaseSlot(const Agent& agent, const std::string& team);
  void LoseTasks(Agent& agent);
  void Pause(Agent& agent, std::chrono::milliseconds time);
  void UpdateUsable(const Agent& agent);
  void Learn(const Submission& submission, std::string_view agent_id, const TaskOutcome& outcome);
  void ApplyHealth(const ExecutorHealth::Change& change);

  // Decision log.
  void LogPlacement(const Submission& submission, std::uint32_t index, const Placement& placement);
  void LogOutcome(DecisionRecord::Decision decision, const Submission& submission,
                  std::uint32_t index, std::string_view executor_id, std::string reason);

  // Ends of jobs.
  void FailJob(JobEntry& entry, Error error);
  void Settle(JobEntry& entry);
  void RevokeUnconfirmed(const Job& job);
  void OnJobTimer(const std::string& submission_id, TimePoint now);
  Error DeadlineError(const Job& job) const;

  // Recovery and membership.
  void FailWithheld();
  void ReleaseWithheld();
  void NoteInstance(const Agent& agent);
  void PersistInstances();
  void ExpireInstances(TimePoint now);

  const Options options_;
  const Clock& clock_;
  DispatchConfig config_;
  std::map<std::string, Agent, std::less<>> agents_;
  std::unordered_map<std::string, JobEntry> jobs_;
  RecoveryProgress recovery_;
  RecoveredJobs recovered_;
  // Jobs with withheld tasks.
  std::set<std::string> withheld_jobs_;
  // Holds a job from its entry to its end. A waiting task that is not pending any more is dropped
  // when it is reached.
  JobQueue queue_;
  ExecutorPool pool_;
  const AdmissionController admission_;
  RunTimeEstimator estimator_;
  ExecutorHealth health_;
  std::map<std::string, RetryBudget> budgets_;
  // By job and agent: the dispatch in actions_ that the present pass has begun.
  std::map<std::pair<const JobEntry*, const Agent*>, std::size_t> open_orders_;
  // Tasks that no free agent will take now, by the time of the next attempt.
  std::multimap<TimePoint, TaskKey> delayed_;
  // Points in time at which a job's deadline, queue time limit or retention may end.
  std::set<std::pair<TimePoint, std::string>> timers_;
  // Instances that may hold start records, with the time when they were last attached.
  std::map<std::string, TimePoint> instances_;
  // Revokes since the last timer, so that a wave of cancels sends one message per agent.
  std::map<std::string, std::vector<TaskKey>> revokes_;
  std::vector<DispatcherAction> actions_;
  std::size_t queued_tasks_ = 0;
  std::size_t running_tasks_ = 0;
  // No unfenced agent starts anything after this.
  const TimePoint predecessor_ends_at_;
  TimePoint ownership_confirmed_at_;
  TimePoint expire_instances_at_;
  bool superseded_ = false;
  bool frozen_ = false;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_SHARD_DISPATCHER_H_
