// Admission, queueing, placement and recovery of one shard.
#include "core/shard_dispatcher.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace zinniamux::core {
namespace {

// An agent refuses a dispatch that arrives later than this after it was sent.
constexpr std::chrono::milliseconds kStartWindow{1000};
// An agent that cannot run any task gets no dispatch for this time, unless its status changes.
constexpr std::chrono::milliseconds kUnusablePause{1000};
// An agent whose slots or clock differ from this owner's view gets no dispatch for this time; its
// next messages correct the view.
constexpr std::chrono::milliseconds kMismatchPause{50};
// A task that every free agent has revoked is queued again after this time.
constexpr std::chrono::milliseconds kRevokedRetryDelay{50};

// Instances are kept for minutes, so they need not be scanned on every timer.
constexpr std::chrono::milliseconds kInstanceExpiryPeriod{1000};
// A placement pass ends after this many jobs whose next task fits no free executor.
constexpr std::size_t kMaxDeferredJobs = 16;

std::chrono::milliseconds ToMilliseconds(TimePoint time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch());
}

std::chrono::milliseconds PauseAfterRefusal(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kStaleConfig:
    case RefusalReason::kLeaving:
    case RefusalReason::kExecutorDown:
    case RefusalReason::kNotAuthorised:
      return kUnusablePause;
    case RefusalReason::kNoSlot:
    case RefusalReason::kLate:
      return kMismatchPause;
    case RefusalReason::kStaleEpoch:
    case RefusalReason::kAlreadyStarted:
    case RefusalReason::kRevoked:
      return {};
  }
  return {};
}

std::string_view RefusalName(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kStaleEpoch:
      return "stale_epoch";
    case RefusalReason::kStaleConfig:
      return "stale_config";
    case RefusalReason::kLate:
      return "late";
    case RefusalReason::kNoSlot:
      return "no_slot";
    case RefusalReason::kLeaving:
      return "leaving";
    case RefusalReason::kExecutorDown:
      return "executor_down";
    case RefusalReason::kNotAuthorised:
      return "not_authorised";
    case RefusalReason::kAlreadyStarted:
      return "already_started";
    case RefusalReason::kRevoked:
      return "revoked";
  }
  return {};
}

bool IsFinal(TaskState state) {
  return state == TaskState::kFinished || state == TaskState::kFailed ||
         state == TaskState::kUnknown;
}

Error ConflictError() {
  return {ErrorKind::kSubmissionConflict, "the submission id was used with other content", {}};
}

Error LostRecordsError() {
  return {
      ErrorKind::kOutcomeUnknown, "an agent that may have started a task has lost its records", {}};
}

}  // namespace

AgentInstance ShardDispatcher::Agent::instance() const {
  return {.agent_id = hello.agent_id, .incarnation = hello.incarnation};
}

ShardDispatcher::TrackedJob::TrackedJob(Submission submission)
    : job(std::make_shared<const Submission>(std::move(submission))) {}

ShardDispatcher::ShardDispatcher(const Options& options, const Clock& clock)
    : options_(options),
      clock_(clock),
      recovery_(options.expected_agents, clock.now() + options.recovery_window),
      recovered_jobs_(options.recovery_window),
      pool_(options.availability_zone,
            MakePlacementPolicy(PlacementPolicyKind::kLateBinding, options.seed)),
      admission_(options.admission),
      predecessor_isolated_at_(clock.now() + options.isolation_limit),
      ownership_confirmed_at_(clock.now()) {
  for (const std::string& name : options.expected_agents) {
    known_instances_.emplace(name, clock.now());
  }
}

JobAnswer ShardDispatcher::Submit(Submission submission) {
  if (const auto known = jobs_.find(submission.id); known != jobs_.end()) {
    const Job& job = known->second.job;
    if (job.submission().content_hash != submission.content_hash) {
      return FailedAnswer(submission.id, ConflictError());
    }
    // A job that failed with a retryable error before any of its tasks started is admitted again.
    const bool readmit = job.finished() && job.answer().state == JobState::kFailed &&
                         job.nothing_started() && RowOf(job.answer().error.kind).retryable;
    if (!readmit) return CurrentAnswer(job);
    jobs_.erase(known);
  }
  if (superseded_ || frozen_) {
    return Refuse(
        submission,
        {ErrorKind::kOwnerUnavailable, "this entry is handing over or has lost the shard", {}});
  }
  if (std::optional<Error> error = ValidationError(submission)) {
    return FailedAnswer(submission.id, *std::move(error));
  }
  if (options_.max_deadline.count() > 0 &&
      submission.deadline - clock_.now() > options_.max_deadline) {
    return Refuse(submission, {ErrorKind::kInvalidRequest,
                               "the deadline is more than " +
                                   std::to_string(options_.max_deadline.count()) + " ms ahead",
                               {}});
  }
  if (const RecoveredJob* recovered = recovered_jobs_.Find(submission.id)) {
    if (recovered->facts && recovered->facts->content_hash != submission.content_hash) {
      return FailedAnswer(submission.id, ConflictError());
    }
    if (recovered->cancelled) return AnswerFromRecords(submission.id, *recovered);
    RecoveredJob records = recovered_jobs_.Take(submission.id);
    return ResumeRecovered(std::move(submission), std::move(records));
  }
  if (MayHaveStartedElsewhere(submission)) {
    return Refuse(submission,
                  {ErrorKind::kRecovering,
                   "not every agent has reported its started tasks; retry the request later",
                   {}});
  }
  if (std::optional<Error> error = ConfigMismatch(submission)) {
    return Refuse(submission, *std::move(error));
  }
  if (std::optional<Error> error = AdmissionError(submission)) {
    return Refuse(submission, *std::move(error));
  }
  return Admit(std::move(submission));
}

// Errors that do not depend on the configuration: such a submission was never accepted by any
// owner.
std::optional<Error> ShardDispatcher::ValidationError(const Submission& submission) const {
  if (submission.tasks.empty()) {
    return Error{ErrorKind::kInvalidRequest, "a submission needs at least one task", {}};
  }
  if (!submission.idempotent && submission.request_key.empty()) {
    return Error{ErrorKind::kInvalidRequest, "a non-idempotent request needs a request_key", {}};
  }
  if (submission.idempotent && !submission.request_key.empty()) {
    return Error{ErrorKind::kInvalidRequest, "an idempotent request takes no request_key", {}};
  }
  return std::nullopt;
}

std::optional<Error> ShardDispatcher::ConfigMismatch(const Submission& submission) const {
  const auto job = config_.jobs.find(submission.job);
  if (job == config_.jobs.end() || job->second.idempotent == submission.idempotent) {
    return std::nullopt;
  }
  const std::string declared = job->second.idempotent ? "idempotent" : "not idempotent";
  return Error{
      ErrorKind::kInvalidRequest, "job '" + submission.job + "' is declared as " + declared, {}};
}

std::optional<Error> ShardDispatcher::AdmissionError(const Submission& submission) const {
  const AdmissionController::Situation situation{
      .config = config_,
      .queue = queue_,
      .capacity = {.open_slots = pool_.open_slots(),
                   .free_slots = pool_.free_slots(),
                   .largest_memory_mb = pool_.largest_memory_mb()},
      .now = clock_.now()};
  if (std::optional<Error> error = admission_.CheckDeclaration(submission, situation)) {
    return error;
  }
  const JobEstimate estimate = EstimateJob(submission, JobConfigOf(submission), estimator_);
  return admission_.CheckLoad(submission, estimate, situation);
}

// A job that was removed from the configuration gets the default values.
JobConfig ShardDispatcher::JobConfigOf(const Submission& submission) const {
  const auto found = config_.jobs.find(submission.job);
  return found == config_.jobs.end() ? JobConfig{} : found->second;
}

JobAnswer ShardDispatcher::Refuse(const Submission& submission, Error error) {
  LogJobDecision(DecisionRecord::Decision::kRefused, submission, 0, {},
                 std::string(RowOf(error.kind).name) + ": " + error.message);
  JobAnswer answer = FailedAnswer(submission.id, std::move(error));
  const bool records_complete = CanGuaranteeNotRun() && !recovering();
  answer.not_run = answer.not_run && (records_complete || submission.attempt == 1);
  return answer;
}

bool ShardDispatcher::MayHaveStartedElsewhere(const Submission& submission) const {
  if (!recovering()) return false;
  return submission.attempt != 1 || clock_.now() <= predecessor_isolated_at_;
}

bool ShardDispatcher::CanGuaranteeNotRun() const {
  if (superseded_ || frozen_) return false;
  const std::chrono::milliseconds validity = options_.ownership_validity;
  return validity == std::chrono::milliseconds::zero() ||
         clock_.now() - ownership_confirmed_at_ < validity;
}

// A retained answer may have set `not_run` under an ownership that is no longer confirmed.
JobAnswer ShardDispatcher::CurrentAnswer(const Job& job) const {
  JobAnswer answer = job.CurrentAnswer();
  answer.not_run = answer.not_run && CanGuaranteeNotRun();
  return answer;
}

JobAnswer ShardDispatcher::Admit(Submission submission) {
  const std::string id = submission.id;
  return RegisterJob(jobs_.emplace(id, TrackedJob(std::move(submission))).first->second);
}

JobAnswer ShardDispatcher::ResumeRecovered(Submission submission, RecoveredJob&& recovered) {
  const std::string id = submission.id;
  TrackedJob& tracked = jobs_.emplace(id, TrackedJob(std::move(submission))).first->second;
  Job& job = tracked.job;
  bool non_idempotent_revoked = false;
  for (auto& [index, record] : recovered.records) {
    if (index >= job.task_count()) continue;
    // A revoked record shows that the request was attempted; the reason for the revoke is unknown.
    non_idempotent_revoked |=
        !job.submission().idempotent && record.outcome.state == TaskState::kRevoked;
    ApplyRecord(job, record.agent, std::move(record.outcome));
  }
  if (non_idempotent_revoked) {
    job.FailWithoutNotRun({ErrorKind::kOutcomeUnknown,
                           "the request was attempted before and will not be started again",
                           {}});
  }
  if (!recovery_.complete()) {
    for (std::uint32_t index = 0; index < job.task_count(); ++index) job.MarkWithheld(index);
  }
  if (job.withheld_count() > 0) {
    withheld_jobs_.insert(id);
    if (recovery_.lost()) FailJob(tracked, LostRecordsError());
  }
  return RegisterJob(tracked);
}

JobAnswer ShardDispatcher::RegisterJob(TrackedJob& tracked) {
  Job& job = tracked.job;
  const std::string& id = job.submission().id;
  tracked.arrival = clock_.now();
  tracked.queue_time_limit_at = tracked.arrival + config_.policy.queue_time_limit;
  timers_.emplace(job.submission().deadline, id);
  timers_.emplace(tracked.queue_time_limit_at, id);
  const bool has_unplaced_tasks = job.pending_count() + job.withheld_count() > 0;
  if (!job.submission().idempotent && has_unplaced_tasks && !job.finished()) {
    tracked.claim_pending = true;
    actions_.emplace_back(
        PersistClaim{.submission_id = id, .request_key = job.submission().request_key});
  }
  EnqueuePending(tracked);
  UpdateAfterChange(tracked);
  PlaceQueued();
  return CurrentAnswer(job);
}

void ShardDispatcher::OnClaimDecided(const std::string& submission_id, ClaimDecision decision) {
  const auto found = jobs_.find(submission_id);
  if (found == jobs_.end() || !found->second.claim_pending) return;
  TrackedJob& tracked = found->second;
  tracked.claim_pending = false;
  switch (decision) {
    case ClaimDecision::kGranted:
      queue_.Release(submission_id);
      break;
    case ClaimDecision::kDuplicate:
      // The other submission has the same content under another id and may have run.
      tracked.job.FailWithoutNotRun(
          {ErrorKind::kDuplicateRequest, "another submission has claimed this request_key", {}});
      break;
    case ClaimDecision::kUnavailable:
      FailJob(tracked, {ErrorKind::kStoreUnavailable, "the request_key could not be claimed", {}});
      break;
  }
  UpdateAfterChange(tracked);
  PlaceQueued();
}

Result<JobAnswer> ShardDispatcher::Fetch(std::string_view submission_id) const {
  const std::string id(submission_id);
  if (const auto found = jobs_.find(id); found != jobs_.end()) {
    return CurrentAnswer(found->second.job);
  }
  if (const RecoveredJob* recovered = recovered_jobs_.Find(id)) {
    return AnswerFromRecords(id, *recovered);
  }
  if (recovering()) {
    return tl::unexpected(
        Error{ErrorKind::kRecovering, "not every agent has reported its started tasks", {}});
  }
  return tl::unexpected(Error{ErrorKind::kNotFound, "the submission id is not known", {}});
}

Result<JobAnswer> ShardDispatcher::Cancel(std::string_view submission_id) {
  const auto found = jobs_.find(std::string(submission_id));
  if (found == jobs_.end()) {
    Result<JobAnswer> current = Fetch(submission_id);
    if (!current || current->finished()) return current;
    recovered_jobs_.MarkCancelled(std::string(submission_id));
    return Fetch(submission_id);
  }
  TrackedJob& tracked = found->second;
  FailJob(tracked, {ErrorKind::kCancelled, "cancelled by the caller", {}});
  UpdateAfterChange(tracked);
  return CurrentAnswer(tracked.job);
}

void ShardDispatcher::OnConfig(DispatchConfig config) {
  if (config.version <= config_.version) return;
  const PlacementPolicyKind placement = config_.policy.placement;
  config_ = std::move(config);
  queue_.Configure(config_);
  estimator_.Retain(config_);
  health_.Retain(config_);
  if (config_.policy.placement != placement) {
    pool_.SetPolicy(MakePlacementPolicy(config_.policy.placement, options_.seed));
  }
  for (auto& [id, agent] : agents_) {
    agent.paused = false;
    UpdateUsable(agent);
  }
  PlaceQueued();
}

void ShardDispatcher::Unfreeze() {
  frozen_ = false;
  PlaceQueued();
}

std::size_t ShardDispatcher::unfinished_jobs() const {
  return static_cast<std::size_t>(std::count_if(
      jobs_.begin(), jobs_.end(), [](const auto& known) { return !known.second.job.finished(); }));
}

std::vector<Submission> ShardDispatcher::UnfinishedSubmissions() const {
  std::vector<Submission> submissions;
  for (const auto& [id, tracked] : jobs_) {
    if (tracked.job.finished()) continue;
    submissions.push_back(tracked.job.submission());
    // The next owner must treat the id as sent before, whatever the caller stated.
    submissions.back().attempt = 0;
  }
  return submissions;
}

void ShardDispatcher::OnAgentAttached(const AgentHello& hello) {
  if (hello.epoch > options_.epoch) superseded_ = true;
  const auto [found, inserted] = agents_.try_emplace(hello.agent_id);
  Agent& agent = found->second;
  const bool same_instance = !inserted && agent.hello.incarnation == hello.incarnation;
  if (!same_instance) {
    if (!inserted) MarkTasksLost(agent);
    agent.ledger_merged = false;
    agent.persisted = !options_.require_persisted_agents;
  }
  agent.hello = hello;
  agent.attached = true;
  agent.paused = false;
  pool_.Attach(hello);
  UpdateUsable(agent);
  health_.Add(hello.agent_id);
  OnAgentTime(hello.agent_id, hello.agent_time);
  RecordInstance(agent);
  if (recovery_.OnAttached(agent.instance(), hello.epoch)) FailWithheld();
  if (!agent.ledger_merged) actions_.emplace_back(SendFence{.agent_id = hello.agent_id});
  if (!agent.open_tasks.empty()) {
    SendReconcile reconcile{.agent_id = hello.agent_id, .tasks = {}};
    for (const auto& [key, team] : agent.open_tasks) reconcile.tasks.push_back(key);
    actions_.emplace_back(std::move(reconcile));
  }
  PlaceQueued();
}

void ShardDispatcher::OnAgentDetached(std::string_view agent_id) {
  const auto found = agents_.find(agent_id);
  if (found == agents_.end()) return;
  found->second.attached = false;
  UpdateUsable(found->second);
  known_instances_[InstanceName(found->second.instance())] = clock_.now();
}

void ShardDispatcher::OnExecutorStatus(std::string_view agent_id, const ExecutorStatus& status) {
  const auto found = agents_.find(agent_id);
  if (found == agents_.end()) return;
  Agent& agent = found->second;
  if (status != agent.hello.executor) agent.paused = false;
  agent.hello.executor = status;
  pool_.UpdateStatus(agent_id, status);
  UpdateUsable(agent);
  PlaceQueued();
}

void ShardDispatcher::OnAgentTime(std::string_view agent_id, std::chrono::milliseconds agent_time) {
  const auto found = agents_.find(agent_id);
  if (found == agents_.end()) return;
  found->second.clock_offset = agent_time - ToMilliseconds(clock_.now());
}

void ShardDispatcher::OnOutcomes(std::string_view agent_id, std::vector<TaskOutcome> outcomes) {
  const auto found = agents_.find(agent_id);
  if (found == agents_.end()) return;
  std::vector<TaskKey> final_tasks;
  for (TaskOutcome& outcome : outcomes) {
    if (IsFinal(outcome.state)) final_tasks.push_back(outcome.key);
    ApplyOutcome(found->second, std::move(outcome));
  }
  AcknowledgeResults(agent_id, std::move(final_tasks));
  PlaceQueued();
}

void ShardDispatcher::OnLedger(std::string_view agent_id, std::uint64_t epoch,
                               std::vector<TaskOutcome> records, bool last_part) {
  if (epoch > options_.epoch) superseded_ = true;
  const auto found = agents_.find(agent_id);
  if (epoch != options_.epoch || found == agents_.end() || !found->second.attached) return;
  Agent& agent = found->second;
  OnOutcomes(agent_id, std::move(records));
  if (!last_part) return;
  agent.ledger_merged = true;
  OnLedgerMerged(agent.instance());
  PlaceQueued();
}

void ShardDispatcher::OnDepartedLedger(const AgentInstance& instance,
                                       std::vector<TaskOutcome> records) {
  for (TaskOutcome& record : records) MergeRecord(instance, std::move(record));
  OnLedgerMerged(instance);
  PlaceQueued();
}

void ShardDispatcher::OnLedgerMerged(const AgentInstance& instance) {
  const bool was_complete = recovery_.complete();
  recovery_.OnLedgerMerged(instance);
  if (!was_complete && recovery_.complete()) ReleaseWithheld();
}

std::set<std::string> ShardDispatcher::UnheardInstances() const {
  return recovering() ? recovery_.instances_without_ledger() : std::set<std::string>();
}

void ShardDispatcher::OnRefusal(std::string_view agent_id, std::span<const TaskKey> tasks,
                                RefusalReason reason, std::uint64_t agent_epoch) {
  if (reason == RefusalReason::kStaleEpoch && agent_epoch > options_.epoch) superseded_ = true;
  const auto found = agents_.find(agent_id);
  if (found == agents_.end()) return;
  Agent& agent = found->second;
  std::vector<TaskKey> started;
  for (const TaskKey& key : tasks) {
    TrackedJob* tracked = FindTask(key);
    if (tracked != nullptr && !tracked->job.IsAssignedTo(key.task_index, agent.instance())) {
      continue;
    }
    if (reason == RefusalReason::kAlreadyStarted) {
      started.push_back(key);
      continue;
    }
    RemoveOpenTask(agent, key);
    if (tracked == nullptr) continue;
    if (reason == RefusalReason::kRevoked) {
      tracked->job.MarkRevokedAt(key.task_index, agent.instance());
    }
    Requeue(*tracked, key.task_index, RefusalName(reason));
  }
  if (!started.empty()) {
    // Some task of the dispatch has a record. The agent reports which, and revokes the others.
    actions_.emplace_back(
        SendReconcile{.agent_id = std::string(agent_id), .tasks = std::move(started)});
  }
  if (const auto pause = PauseAfterRefusal(reason); pause.count() > 0) PauseAgent(agent, pause);
  PlaceQueued();
}

void ShardDispatcher::PauseAgent(Agent& agent, std::chrono::milliseconds time) {
  agent.paused = true;
  agent.paused_until = clock_.now() + time;
  UpdateUsable(agent);
}

void ShardDispatcher::UpdateUsable(const Agent& agent) {
  pool_.SetUsable(agent.hello.agent_id, agent.usable());
}

void ShardDispatcher::AddOpenTask(Agent& agent, const TaskKey& key) {
  const auto [task, inserted] = agent.open_tasks.try_emplace(key);
  if (!inserted) return;
  ++running_tasks_;
  pool_.TakeSlot(agent.hello.agent_id);
  const TrackedJob* tracked = FindTask(key);
  if (tracked == nullptr) return;
  task->second = tracked->job.submission().team;
  queue_.OnTaskStarted(task->second);
}

void ShardDispatcher::RemoveOpenTask(Agent& agent, const TaskKey& key) {
  const auto node = agent.open_tasks.extract(key);
  if (!node.empty()) ReleaseSlot(agent, node.mapped());
}

void ShardDispatcher::ReleaseSlot(const Agent& agent, const std::string& team) {
  --running_tasks_;
  pool_.ReleaseSlot(agent.hello.agent_id);
  if (!team.empty()) queue_.OnTaskEnded(team);
}

// The agent has restarted without its records, so it is unknown which of its tasks were started.
void ShardDispatcher::MarkTasksLost(Agent& agent) {
  const OpenTasks lost = std::exchange(agent.open_tasks, {});
  const AgentInstance instance = agent.instance();
  for (const auto& [key, team] : lost) {
    ReleaseSlot(agent, team);
    TrackedJob* tracked = FindTask(key);
    if (tracked == nullptr || !tracked->job.IsAssignedTo(key.task_index, instance)) continue;
    tracked->job.MarkUnknown(
        key.task_index, "agent " + instance.agent_id + " restarted before it reported a result");
    UpdateAfterChange(*tracked);
  }
  recovered_jobs_.MarkInstanceLost(instance);
}

ShardDispatcher::TrackedJob* ShardDispatcher::FindTask(const TaskKey& key) {
  const auto found = jobs_.find(key.submission_id);
  if (found == jobs_.end() || key.task_index >= found->second.job.task_count()) return nullptr;
  return &found->second;
}

void ShardDispatcher::ApplyOutcome(Agent& agent, TaskOutcome outcome) {
  const TaskKey key = outcome.key;
  if (outcome.state == TaskState::kRunning) {
    AddOpenTask(agent, key);
  } else {
    RemoveOpenTask(agent, key);
  }
  MergeRecord(agent.instance(), std::move(outcome));
}

void ShardDispatcher::MergeRecord(const AgentInstance& instance, TaskOutcome outcome) {
  TrackedJob* tracked = FindTask(outcome.key);
  if (tracked == nullptr) {
    recovered_jobs_.Merge(instance, std::move(outcome), clock_.now());
    return;
  }
  ApplyToJob(*tracked, instance, std::move(outcome));
  UpdateAfterChange(*tracked);
}

void ShardDispatcher::ApplyToJob(TrackedJob& tracked, const AgentInstance& instance,
                                 TaskOutcome outcome) {
  Job& job = tracked.job;
  const std::uint32_t index = outcome.key.task_index;
  const bool assigned = job.IsAssignedTo(index, instance);
  const bool unplaced =
      job.phase(index) == Job::Phase::kPending || job.phase(index) == Job::Phase::kWithheld;
  // Reports by a former agent of the task and repeated reports are ignored.
  if (!assigned && !unplaced) return;
  const bool revoked = outcome.state == TaskState::kRevoked;
  if (!revoked && outcome.job.content_hash != job.submission().content_hash) {
    // The record belongs to an earlier use of the id, whose retention has ended on this owner.
    if (!assigned) return;
    job.MarkNotStarted(index);
    FailJob(tracked, ConflictError());
    return;
  }
  if (assigned && revoked) {
    job.MarkRevokedAt(index, instance);
    Requeue(tracked, index, "revoked");
    return;
  }
  if (assigned) UpdateStatistics(job.submission(), instance.agent_id, outcome);
  ApplyRecord(job, instance, std::move(outcome));
}

void ShardDispatcher::ApplyRecord(Job& job, const AgentInstance& agent, TaskOutcome outcome) {
  const std::uint32_t index = outcome.key.task_index;
  switch (outcome.state) {
    case TaskState::kRunning:
      job.MarkDispatched(index, agent.agent_id, agent.incarnation);
      job.MarkRunning(index);
      break;
    case TaskState::kFinished:
      job.MarkFinished(index, std::move(outcome.result));
      break;
    case TaskState::kFailed:
      job.MarkFailed(index, std::move(outcome.failure));
      break;
    case TaskState::kUnknown:
      job.MarkUnknown(index, std::move(outcome.failure));
      break;
    case TaskState::kRevoked:
      job.MarkRevokedAt(index, agent);
      break;
  }
}

void ShardDispatcher::UpdateStatistics(const Submission& submission, std::string_view agent_id,
                                       const TaskOutcome& outcome) {
  if (!IsFinal(outcome.state)) return;
  const bool finished = outcome.state == TaskState::kFinished;
  if (finished) {
    retry_budgets_[submission.team].OnTaskCompleted();
    const Duration declared = submission.tasks[outcome.key.task_index].run_time;
    if (outcome.run_time.count() > 0) {
      estimator_.Observe(submission.job, declared, outcome.run_time);
    }
  }
  if (const auto change = health_.Record(agent_id, submission.job, !finished, clock_.now())) {
    ApplyHealth(*change);
  }
}

void ShardDispatcher::ApplyHealth(const ExecutorHealth::Change& change) {
  pool_.SetStanding(change.executor_id, change.standing);
  if (!options_.log_decisions) return;
  const PlacementTarget* target = pool_.Find(change.executor_id);
  const bool ejected = change.standing == ExecutorHealth::Standing::kEjected;
  const bool probation = change.standing == ExecutorHealth::Standing::kProbation;
  DecisionRecord record;
  record.decision =
      ejected ? DecisionRecord::Decision::kEjected : DecisionRecord::Decision::kReinstated;
  record.executor_id = target == nullptr ? change.executor_id : target->executor_id;
  record.reason = "failure rate above that of its peers by " + std::to_string(change.excess);
  if (probation) record.reason = "ejection time elapsed; limited to one task at a time";
  if (ejected) {
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(change.ejected_for);
    record.reason += "; ejected for " + std::to_string(seconds.count()) + " s";
  }
  actions_.emplace_back(LogDecision{std::move(record)});
}

void ShardDispatcher::Requeue(TrackedJob& tracked, std::uint32_t index, std::string_view reason) {
  Job& job = tracked.job;
  const Submission& submission = job.submission();
  job.MarkNotStarted(index);
  if (!job.finished()) {
    LogJobDecision(DecisionRecord::Decision::kRequeued, submission, index, {}, std::string(reason));
    if (retry_budgets_[submission.team].TrySpend()) {
      queue_.Requeue(submission.id, index);
    } else {
      FailJob(tracked, {ErrorKind::kOverloaded,
                        "the retry budget of team '" + submission.team + "' is exhausted",
                        {}});
    }
  }
  UpdateAfterChange(tracked);
}

void ShardDispatcher::AcknowledgeResults(std::string_view agent_id, std::vector<TaskKey> tasks) {
  // Only the current owner may allow an agent to delete a result.
  if (tasks.empty() || superseded_) return;
  actions_.emplace_back(
      SendResultAck{.agent_id = std::string(agent_id), .tasks = std::move(tasks)});
}

void ShardDispatcher::FailJob(TrackedJob& tracked, Error error) {
  if (CanGuaranteeNotRun()) {
    tracked.job.Fail(std::move(error));
  } else {
    tracked.job.FailWithoutNotRun(std::move(error));
  }
}

// Updates the counters after a change of the job. When the job has ended, delivers its answer and
// revokes its unconfirmed dispatches, once.
void ShardDispatcher::UpdateAfterChange(TrackedJob& tracked) {
  const Job& job = tracked.job;
  const bool waiting = !job.finished() && !tracked.claim_pending;
  const std::uint32_t queued = waiting ? job.pending_count() : 0;
  queued_tasks_ = queued_tasks_ + queued - std::exchange(tracked.queued, queued);
  if (!job.finished() || std::exchange(tracked.answer_delivered, true)) return;
  const Submission& submission = job.submission();
  tracked.expires_at = std::max(clock_.now(), submission.deadline) + config_.policy.retention;
  timers_.emplace(tracked.expires_at, submission.id);
  withheld_jobs_.erase(submission.id);
  queue_.Remove(submission.id);
  RevokeUnconfirmed(job);
  const JobAnswer& answer = job.answer();
  LogJobDecision(DecisionRecord::Decision::kJobEnded, submission, 0, {},
                 answer.state == JobState::kComplete
                     ? "complete"
                     : std::string(RowOf(answer.error.kind).name) + ": " + answer.error.message);
  actions_.emplace_back(DeliverAnswer{job.answer()});
}

void ShardDispatcher::RevokeUnconfirmed(const Job& job) {
  if (options_.agent_queue_depth == 0 || job.dispatched_count() == 0) return;
  for (std::uint32_t index = 0; index < job.task_count(); ++index) {
    if (job.phase(index) != Job::Phase::kDispatched) continue;
    pending_revokes_[job.agent_of(index)].push_back({job.submission().id, index});
  }
}

void ShardDispatcher::OnTimer() {
  const TimePoint now = clock_.now();
  while (!timers_.empty() && timers_.begin()->first <= now) {
    const std::string id = std::move(timers_.extract(timers_.begin()).value().second);
    OnJobTimer(id, now);
  }
  while (!delayed_tasks_.empty() && delayed_tasks_.begin()->first <= now) {
    const TaskKey key = std::move(delayed_tasks_.extract(delayed_tasks_.begin()).mapped());
    queue_.Requeue(key.submission_id, key.task_index);
  }
  for (auto& [id, agent] : agents_) {
    if (!agent.paused || agent.paused_until > now) continue;
    agent.paused = false;
    UpdateUsable(agent);
  }
  for (const ExecutorHealth::Change& change : health_.OnTimer(now)) ApplyHealth(change);
  for (auto& [agent_id, tasks] : std::exchange(pending_revokes_, {})) {
    actions_.emplace_back(SendRevoke{.agent_id = agent_id, .tasks = std::move(tasks)});
  }
  recovered_jobs_.Expire(now);
  ExpireInstances(now);
  PlaceQueued();
}

void ShardDispatcher::OnJobTimer(const std::string& submission_id, TimePoint now) {
  const auto found = jobs_.find(submission_id);
  if (found == jobs_.end()) return;
  TrackedJob& tracked = found->second;
  Job& job = tracked.job;
  if (job.finished()) {
    if (now >= tracked.expires_at) jobs_.erase(found);
    return;
  }
  if (now >= job.submission().deadline) {
    FailJob(tracked, DeadlineError(job));
  } else if (now >= tracked.queue_time_limit_at && job.nothing_started() && CanPlace()) {
    FailJob(tracked,
            {ErrorKind::kQueueTimeout, "no task could be started within the queue time limit", {}});
  }
  UpdateAfterChange(tracked);
}

Error ShardDispatcher::DeadlineError(const Job& job) const {
  // The next owner may have started tasks that are still in this entry's queue.
  bool outcome_unknown = superseded_ || frozen_ || job.withheld_count() > 0;
  for (std::uint32_t index = 0; index < job.task_count() && !outcome_unknown; ++index) {
    const Job::Phase phase = job.phase(index);
    if (phase != Job::Phase::kDispatched && phase != Job::Phase::kRunning) continue;
    const auto agent = agents_.find(job.agent_of(index));
    outcome_unknown = agent == agents_.end() || !agent->second.attached;
  }
  if (outcome_unknown) {
    return {ErrorKind::kOutcomeUnknown,
            "the deadline passed while the outcome of a task was not known",
            {}};
  }
  return {ErrorKind::kDeadlineExceeded, "the deadline passed before the job was complete", {}};
}

std::map<std::string, ShardDispatcher::AgentLoad> ShardDispatcher::AgentLoads() const {
  std::map<std::string, AgentLoad> loads;
  for (const auto& [id, agent] : agents_) {
    loads[id] = {.used_slots = static_cast<std::uint32_t>(agent.open_tasks.size()),
                 .takes_work = agent.usable()};
  }
  return loads;
}

std::vector<DispatcherAction> ShardDispatcher::TakeActions() { return std::exchange(actions_, {}); }

void ShardDispatcher::EnqueuePending(TrackedJob& tracked) {
  const Job& job = tracked.job;
  if (job.finished()) return;
  const Submission& submission = job.submission();
  queue_.Remove(submission.id);
  JobEstimate estimate = EstimateJob(submission, JobConfigOf(submission), estimator_);
  JobQueue::NewJob new_job{.submission_id = submission.id,
                           .team = submission.team,
                           .arrival = tracked.arrival,
                           .task_costs = std::move(estimate.task_costs),
                           .waiting = {}};
  for (std::uint32_t index = 0; index < job.task_count(); ++index) {
    if (job.phase(index) == Job::Phase::kPending) new_job.waiting.push_back(index);
  }
  queue_.Push(std::move(new_job));
  if (tracked.claim_pending) queue_.Hold(submission.id);
}

void ShardDispatcher::PlaceQueued() {
  if (!CanPlace()) return;
  open_orders_.clear();
  queue_.ResumeDeferred();
  std::size_t deferred = 0;
  while (pool_.free_slots() > 0 && deferred < kMaxDeferredJobs) {
    const std::optional<JobQueue::QueuedTask> task = queue_.Pop();
    if (!task) break;
    const TaskKey key{std::string(task->submission_id), task->task_index};
    TrackedJob* tracked = FindTask(key);
    if (tracked == nullptr || tracked->job.finished() ||
        tracked->job.phase(key.task_index) != Job::Phase::kPending) {
      continue;
    }
    if (PlaceTask(*tracked, key.task_index)) continue;
    if (tracked->job.HasRevocation(key.task_index)) {
      delayed_tasks_.emplace(clock_.now() + kRevokedRetryDelay, key);
      continue;
    }
    queue_.Requeue(key.submission_id, key.task_index);
    queue_.Defer(key.submission_id);
    ++deferred;
  }
  open_orders_.clear();
}

bool ShardDispatcher::PlaceTask(TrackedJob& tracked, std::uint32_t index) {
  const Submission& submission = tracked.job.submission();
  const std::vector<std::string> excluded = AgentsThatRevoked(tracked.job, index);
  const PlacementRequest request{
      .memory_mb = TaskMemory(submission.tasks[index], JobConfigOf(submission)),
      .spread = &tracked.spread,
      .excluded_agents = excluded};
  const Placement placement = pool_.Choose(request);
  if (!placement.index) return false;
  const PlacementTarget& target = pool_.target(*placement.index);
  LogPlacement(submission, index, placement);
  tracked.spread.Add(target.rack);
  Dispatch(tracked, index, agents_.find(target.agent_id)->second);
  return true;
}

std::vector<std::string> ShardDispatcher::AgentsThatRevoked(const Job& job,
                                                            std::uint32_t index) const {
  std::vector<std::string> agents;
  for (const AgentInstance& instance : job.revoked_at(index)) {
    const auto found = agents_.find(instance.agent_id);
    if (found != agents_.end() && found->second.instance() == instance) {
      agents.push_back(instance.agent_id);
    }
  }
  return agents;
}

void ShardDispatcher::Dispatch(TrackedJob& tracked, std::uint32_t index, Agent& agent) {
  const Submission& submission = tracked.job.submission();
  tracked.job.MarkDispatched(index, agent.hello.agent_id, agent.hello.incarnation);
  AddOpenTask(agent, {submission.id, index});
  UpdateAfterChange(tracked);
  const TaskDeclaration& declaration = submission.tasks[index];
  FindOrAddOrder(tracked, agent)
      .tasks.push_back({.task_index = index,
                        .run_time = declaration.run_time,
                        .time_limit = JobConfigOf(submission).time_limit,
                        .payload = declaration.payload});
}

DispatchOrder& ShardDispatcher::FindOrAddOrder(const TrackedJob& tracked, const Agent& agent) {
  const auto [position, inserted] = open_orders_.try_emplace({&tracked, &agent}, actions_.size());
  if (!inserted) return std::get<SendDispatch>(actions_[position->second]).order;
  const Submission& submission = tracked.job.submission();
  const TimePoint start_by = std::min<TimePoint>(clock_.now() + kStartWindow, submission.deadline);
  DispatchOrder order{
      .shard = options_.shard,
      .epoch = options_.epoch,
      .config_version = config_.version,
      .submission_id = submission.id,
      .team = submission.team,
      .job = submission.job,
      .facts = {.task_count = tracked.job.task_count(),
                .content_hash = submission.content_hash,
                .idempotent = submission.idempotent},
      .start_by = ToMilliseconds(start_by) + agent.clock_offset,
      .result_hold = config_.policy.result_hold,
      .retention = RetentionOf(submission),
      .tasks = {},
  };
  actions_.emplace_back(SendDispatch{.agent_id = agent.hello.agent_id, .order = std::move(order)});
  return std::get<SendDispatch>(actions_.back()).order;
}

void ShardDispatcher::LogPlacement(const Submission& submission, std::uint32_t index,
                                   const Placement& placement) {
  if (!options_.log_decisions) return;
  DecisionRecord record;
  record.task = {submission.id, index};
  record.team = submission.team;
  const PlacementTarget& chosen = pool_.target(*placement.index);
  record.executor_id = chosen.executor_id;
  for (std::size_t position = 0; position < placement.candidate_count; ++position) {
    const Placement::Candidate& candidate = placement.candidates[position];
    const PlacementTarget& target = pool_.target(candidate.index);
    record.candidates.push_back({.executor_id = target.executor_id,
                                 .free_slots = target.free_slots(),
                                 .score = candidate.score});
  }
  const bool probation = chosen.standing == ExecutorHealth::Standing::kProbation;
  record.reason = probation ? "only executors on probation are free" : "lowest score";
  actions_.emplace_back(LogDecision{std::move(record)});
}

void ShardDispatcher::LogJobDecision(DecisionRecord::Decision decision,
                                     const Submission& submission, std::uint32_t index,
                                     std::string_view executor_id, std::string reason) {
  if (!options_.log_decisions) return;
  actions_.emplace_back(LogDecision{{.decision = decision,
                                     .task = {submission.id, index},
                                     .team = submission.team,
                                     .executor_id = std::string(executor_id),
                                     .candidates = {},
                                     .reason = std::move(reason)}});
}

// How long the id may be resubmitted; the agent keeps its records for the same time.
std::chrono::milliseconds ShardDispatcher::RetentionOf(const Submission& submission) const {
  const auto time_left =
      std::chrono::ceil<std::chrono::milliseconds>(submission.deadline - clock_.now());
  return std::max(time_left, std::chrono::milliseconds::zero()) + config_.policy.retention;
}

void ShardDispatcher::FailWithheld() {
  for (const std::string& id : std::set<std::string>(withheld_jobs_)) {
    TrackedJob& tracked = jobs_.at(id);
    FailJob(tracked, LostRecordsError());
    UpdateAfterChange(tracked);
  }
}

void ShardDispatcher::ReleaseWithheld() {
  for (const std::string& id : std::exchange(withheld_jobs_, {})) {
    TrackedJob& tracked = jobs_.at(id);
    tracked.job.ReleaseWithheld();
    EnqueuePending(tracked);
    UpdateAfterChange(tracked);
  }
}

void ShardDispatcher::OnOwnershipConfirmed(TimePoint confirmed_at) {
  ownership_confirmed_at_ = std::max(ownership_confirmed_at_, confirmed_at);
}

void ShardDispatcher::RecordInstance(const Agent& agent) {
  const bool added =
      known_instances_.insert_or_assign(InstanceName(agent.instance()), clock_.now()).second;
  if (added || !agent.persisted) PersistInstances();
}

void ShardDispatcher::PersistInstances() {
  if (!options_.require_persisted_agents) return;
  PersistAgents persist;
  for (const auto& [name, last_seen] : known_instances_) persist.instances.insert(name);
  actions_.emplace_back(std::move(persist));
}

void ShardDispatcher::OnAgentsPersisted(const std::set<std::string>& instances) {
  for (auto& [id, agent] : agents_) {
    if (!instances.contains(InstanceName(agent.instance()))) continue;
    agent.persisted = true;
    UpdateUsable(agent);
  }
  PlaceQueued();
}

// An instance is kept for as long as a submission that it may have started can be resubmitted.
void ShardDispatcher::ExpireInstances(TimePoint now) {
  if (now < next_instance_expiry_) return;
  next_instance_expiry_ = now + kInstanceExpiryPeriod;
  for (auto& [id, agent] : agents_) {
    if (agent.attached) known_instances_[InstanceName(agent.instance())] = now;
  }
  const std::size_t expired = std::erase_if(known_instances_, [&](const auto& instance) {
    return now - instance.second > options_.recovery_window;
  });
  // Schedules the next scan earlier if the window of an instance ends before then.
  for (const auto& [name, last_seen] : known_instances_) {
    const TimePoint end = last_seen + options_.recovery_window + Duration(1);
    next_instance_expiry_ = std::min(next_instance_expiry_, end);
  }
  if (expired > 0) PersistInstances();
}

}  // namespace zinniamux::core
