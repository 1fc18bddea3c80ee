// Admission, queueing and placement of one shard.
#include "core/shard_dispatcher.h"

#include <algorithm>
#include <utility>

namespace zinniamux::core {
namespace {

// A dispatch that takes longer than this to arrive is refused by the agent.
constexpr std::chrono::milliseconds kStartWindow{1000};

std::chrono::milliseconds SinceEpoch(TimePoint time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch());
}

}  // namespace

std::uint32_t ShardDispatcher::Agent::free_slots() const {
  const ExecutorStatus& executor = hello.executor;
  if (!attached || !executor.available || executor.leaving) return 0;
  return executor.slots > used_slots ? executor.slots - used_slots : 0;
}

ShardDispatcher::ShardDispatcher(const Options& options, const Clock& clock)
    : options_(options), clock_(clock) {}

JobAnswer ShardDispatcher::Submit(Submission submission) {
  const auto known = jobs_.find(submission.id);
  if (known != jobs_.end()) {
    if (known->second->submission().content_hash == submission.content_hash) {
      return known->second->CurrentAnswer();
    }
    return FailedAnswer(submission.id, {.kind = ErrorKind::kSubmissionConflict,
                                        .message = "the submission id was used with other content",
                                        .retry_after = {}});
  }
  if (std::optional<Error> error = AdmissionError(submission)) {
    return FailedAnswer(submission.id, *std::move(error));
  }
  const std::string id = submission.id;
  auto job = std::make_unique<Job>(std::make_shared<const Submission>(std::move(submission)));
  const auto task_count = static_cast<std::uint32_t>(job->submission().tasks.size());
  for (std::uint32_t index = 0; index < task_count; ++index) queue_.push_back({id, index});
  Job& admitted = *jobs_.emplace(id, std::move(job)).first->second;
  PlaceQueued();
  return admitted.CurrentAnswer();
}

std::optional<Error> ShardDispatcher::AdmissionError(const Submission& submission) const {
  if (config_.version == 0) {
    return Error{ErrorKind::kNotReady, "no configuration is in force yet", {}};
  }
  if (!config_.teams.contains(submission.team)) {
    return Error{ErrorKind::kUnknownTeam, "team '" + submission.team + "' is not configured", {}};
  }
  if (!config_.jobs.contains(submission.job)) {
    return Error{ErrorKind::kUnknownJob, "job '" + submission.job + "' is not configured", {}};
  }
  return std::nullopt;
}

Result<JobAnswer> ShardDispatcher::Fetch(std::string_view submission_id) const {
  const auto found = jobs_.find(std::string(submission_id));
  if (found == jobs_.end()) {
    return tl::unexpected(Error{ErrorKind::kNotFound, "no such submission is known", {}});
  }
  return found->second->CurrentAnswer();
}

Result<JobAnswer> ShardDispatcher::Cancel(std::string_view submission_id) {
  const auto found = jobs_.find(std::string(submission_id));
  if (found == jobs_.end()) {
    return tl::unexpected(Error{ErrorKind::kNotFound, "no such submission is known", {}});
  }
  Job& job = *found->second;
  if (!job.finished()) {
    job.Fail({ErrorKind::kCancelled, "cancelled by the caller", {}});
    FinishIfEnded(job);
  }
  return job.CurrentAnswer();
}

void ShardDispatcher::OnConfig(DispatchConfig config) {
  if (config.version <= config_.version) return;
  config_ = std::move(config);
  PlaceQueued();
}

void ShardDispatcher::OnAgentAttached(const AgentHello& hello) {
  Agent& agent = agents_[hello.agent_id];
  agent.hello = hello;
  agent.attached = true;
  OnAgentTime(hello.agent_id, hello.agent_time);
  PlaceQueued();
}

void ShardDispatcher::OnAgentDetached(std::string_view agent_id) {
  const auto found = agents_.find(agent_id);
  if (found != agents_.end()) found->second.attached = false;
}

void ShardDispatcher::OnExecutorStatus(std::string_view agent_id, const ExecutorStatus& status) {
  const auto found = agents_.find(agent_id);
  if (found == agents_.end()) return;
  found->second.hello.executor = status;
  PlaceQueued();
}

void ShardDispatcher::OnAgentTime(std::string_view agent_id, std::chrono::milliseconds agent_time) {
  const auto found = agents_.find(agent_id);
  if (found == agents_.end()) return;
  found->second.clock_offset = agent_time - SinceEpoch(clock_.now());
}

void ShardDispatcher::OnOutcomes(std::string_view agent_id, std::vector<TaskOutcome> outcomes) {
  SendResultAck ack{.agent_id = std::string(agent_id), .tasks = {}};
  for (TaskOutcome& outcome : outcomes) {
    ack.tasks.push_back(outcome.key);
    const auto found = jobs_.find(outcome.key.submission_id);
    if (found == jobs_.end()) continue;
    Job& job = *found->second;
    const std::uint32_t index = outcome.key.task_index;
    if (index >= job.submission().tasks.size()) continue;
    if (job.phase(index) != Job::Phase::kDispatched || job.agent_of(index) != agent_id) continue;
    ReleaseSlot(agent_id);
    switch (outcome.state) {
      case TaskState::kRunning:
        break;
      case TaskState::kFinished:
        job.MarkFinished(index, std::move(outcome.result));
        break;
      case TaskState::kFailed:
        job.Fail({ErrorKind::kTaskFailed, std::move(outcome.failure), {}});
        break;
      case TaskState::kUnknown:
        job.Fail({ErrorKind::kOutcomeUnknown, std::move(outcome.failure), {}});
        break;
      case TaskState::kRevoked:
        job.MarkNotStarted(index);
        break;
    }
    FinishIfEnded(job);
  }
  if (!ack.tasks.empty()) actions_.emplace_back(std::move(ack));
  PlaceQueued();
}

void ShardDispatcher::OnRefusal(std::string_view agent_id, std::span<const TaskKey> tasks,
                                RefusalReason reason) {
  if (reason == RefusalReason::kAlreadyStarted) return;
  for (const TaskKey& key : tasks) {
    const auto found = jobs_.find(key.submission_id);
    if (found == jobs_.end()) continue;
    Job& job = *found->second;
    if (job.phase(key.task_index) != Job::Phase::kDispatched) continue;
    ReleaseSlot(agent_id);
    job.MarkNotStarted(key.task_index);
    queue_.push_front(key);
  }
}

void ShardDispatcher::OnTimer() {
  const TimePoint now = clock_.now();
  for (auto& [id, job] : jobs_) {
    if (job->finished() || now < job->submission().deadline) continue;
    const bool unknown = job->dispatched_count() > 0;
    job->Fail({unknown ? ErrorKind::kOutcomeUnknown : ErrorKind::kDeadlineExceeded,
               "the deadline passed before the job was complete",
               {}});
    FinishIfEnded(*job);
  }
  PlaceQueued();
}

std::vector<DispatcherAction> ShardDispatcher::TakeActions() { return std::exchange(actions_, {}); }

void ShardDispatcher::PlaceQueued() {
  while (!queue_.empty()) {
    const TaskKey key = queue_.front();
    Job& job = *jobs_.at(key.submission_id);
    if (job.finished() || job.phase(key.task_index) != Job::Phase::kPending) {
      queue_.pop_front();
      continue;
    }
    Agent* agent = ChooseAgent();
    if (agent == nullptr) return;
    queue_.pop_front();
    Dispatch(job, key.task_index, *agent);
  }
}

ShardDispatcher::Agent* ShardDispatcher::ChooseAgent() {
  Agent* best = nullptr;
  for (auto& [id, agent] : agents_) {
    if (agent.free_slots() == 0) continue;
    if (best == nullptr || agent.free_slots() > best->free_slots()) best = &agent;
  }
  return best;
}

void ShardDispatcher::Dispatch(Job& job, std::uint32_t index, Agent& agent) {
  const Submission& submission = job.submission();
  const JobConfig& job_config = config_.jobs.at(submission.job);
  const std::string& agent_id = agent.hello.agent_id;
  job.MarkDispatched(index, agent_id);
  ++agent.used_slots;
  ++running_tasks_;
  DispatchOrder order{
      .shard = options_.shard,
      .epoch = options_.epoch,
      .config_version = config_.version,
      .submission_id = submission.id,
      .team = submission.team,
      .job = submission.job,
      .facts = {.task_count = static_cast<std::uint32_t>(submission.tasks.size()),
                .content_hash = submission.content_hash,
                .idempotent = submission.idempotent},
      .start_by = SinceEpoch(clock_.now()) + agent.clock_offset + kStartWindow,
      .result_hold = config_.policy.result_hold,
      .retention = config_.policy.retention,
      .tasks = {},
  };
  const TaskDeclaration& declaration = submission.tasks[index];
  order.tasks.push_back({.task_index = index,
                         .run_time = declaration.run_time,
                         .time_limit = job_config.time_limit,
                         .payload = declaration.payload});
  actions_.emplace_back(SendDispatch{.agent_id = agent_id, .order = std::move(order)});
}

void ShardDispatcher::FinishIfEnded(Job& job) {
  if (!job.finished()) return;
  actions_.emplace_back(DeliverAnswer{job.answer()});
}

void ShardDispatcher::ReleaseSlot(std::string_view agent_id) {
  const auto found = agents_.find(agent_id);
  if (found == agents_.end() || found->second.used_slots == 0) return;
  --found->second.used_slots;
  --running_tasks_;
}

}  // namespace zinniamux::core
