// Copies field by field. zinniamux.proto has the units.
#include "rpc/convert.h"

#include <utility>

namespace zinniamux::rpc {
namespace {

using std::chrono::milliseconds;

}  // namespace

v1::TaskReference ToProto(const core::TaskKey& key) {
  v1::TaskReference reference;
  reference.set_submission_id(key.submission_id);
  reference.set_task_index(key.task_index);
  return reference;
}

core::TaskKey FromProto(const v1::TaskReference& reference) {
  return {reference.submission_id(), reference.task_index()};
}

std::vector<core::TaskKey> FromProto(
    const google::protobuf::RepeatedPtrField<v1::TaskReference>& references) {
  std::vector<core::TaskKey> keys;
  keys.reserve(static_cast<std::size_t>(references.size()));
  for (const v1::TaskReference& reference : references) keys.push_back(FromProto(reference));
  return keys;
}

v1::TaskOutcome ToProto(const core::TaskOutcome& outcome) {
  v1::TaskOutcome message;
  *message.mutable_task() = ToProto(outcome.key);
  message.set_state(static_cast<v1::TaskState>(static_cast<int>(outcome.state) + 1));
  message.set_result(outcome.result);
  message.set_failure(outcome.failure);
  message.set_run_time_ms(static_cast<std::uint32_t>(outcome.run_time.count()));
  message.set_job_task_count(outcome.job.task_count);
  message.set_content_hash(outcome.job.content_hash);
  message.set_idempotent(outcome.job.idempotent);
  return message;
}

core::TaskOutcome FromProto(v1::TaskOutcome&& outcome) {
  core::TaskOutcome result;
  result.key = FromProto(outcome.task());
  const int state = static_cast<int>(outcome.state());
  const bool known = state >= v1::TASK_STATE_RUNNING && state <= v1::TASK_STATE_UNKNOWN;
  result.state = known ? static_cast<core::TaskState>(state - 1) : core::TaskState::kUnknown;
  result.result = std::move(*outcome.mutable_result());
  result.failure = std::move(*outcome.mutable_failure());
  result.run_time = milliseconds(outcome.run_time_ms());
  result.job = {.task_count = outcome.job_task_count(),
                .content_hash = outcome.content_hash(),
                .idempotent = outcome.idempotent()};
  return result;
}

std::vector<core::TaskOutcome> FromProto(
    google::protobuf::RepeatedPtrField<v1::TaskOutcome>&& outcomes) {
  std::vector<core::TaskOutcome> result;
  result.reserve(static_cast<std::size_t>(outcomes.size()));
  for (v1::TaskOutcome& outcome : outcomes) result.push_back(FromProto(std::move(outcome)));
  return result;
}

v1::ExecutorStatus ToProto(const core::ExecutorStatus& status) {
  v1::ExecutorStatus message;
  message.set_executor_id(status.executor_id);
  message.set_available(status.available);
  message.set_leaving(status.leaving);
  message.set_slots(status.slots);
  message.set_connections(status.connections);
  message.set_memory_mb(status.memory_mb);
  return message;
}

core::ExecutorStatus FromProto(const v1::ExecutorStatus& status) {
  return {.executor_id = status.executor_id(),
          .available = status.available(),
          .leaving = status.leaving(),
          .slots = status.slots(),
          .connections = status.connections(),
          .memory_mb = status.memory_mb()};
}

v1::Hello ToProto(const core::AgentHello& hello) {
  v1::Hello message;
  message.set_agent_id(hello.agent_id);
  message.set_incarnation(hello.incarnation);
  message.set_shard(hello.shard);
  message.set_availability_zone(hello.availability_zone);
  message.set_rack(hello.rack);
  *message.mutable_executor() = ToProto(hello.executor);
  message.set_now_mono_ms(static_cast<std::uint64_t>(hello.agent_time.count()));
  message.set_epoch(hello.epoch);
  return message;
}

core::AgentHello FromProto(const v1::Hello& hello) {
  return {.agent_id = hello.agent_id(),
          .incarnation = hello.incarnation(),
          .shard = hello.shard(),
          .availability_zone = hello.availability_zone(),
          .rack = hello.rack(),
          .executor = FromProto(hello.executor()),
          .agent_time = milliseconds(hello.now_mono_ms()),
          .epoch = hello.epoch()};
}

v1::EntryAddress ToProto(const core::EntryAddress& entry) {
  v1::EntryAddress message;
  message.set_entry_id(entry.entry_id);
  message.set_incarnation(entry.incarnation);
  message.set_rpc_address(entry.rpc_address);
  return message;
}

core::EntryAddress FromProto(const v1::EntryAddress& entry) {
  return {.entry_id = entry.entry_id(),
          .incarnation = entry.incarnation(),
          .rpc_address = entry.rpc_address()};
}

v1::Dispatch ToProto(core::DispatchOrder&& order) {
  v1::Dispatch message;
  message.set_shard(order.shard);
  message.set_epoch(order.epoch);
  message.set_config_version(order.config_version);
  message.set_submission_id(std::move(order.submission_id));
  message.set_team(std::move(order.team));
  message.set_job(std::move(order.job));
  message.set_idempotent(order.facts.idempotent);
  message.set_job_task_count(order.facts.task_count);
  message.set_content_hash(order.facts.content_hash);
  message.set_start_by_mono_ms(static_cast<std::uint64_t>(order.start_by.count()));
  message.set_result_hold_ms(static_cast<std::uint32_t>(order.result_hold.count()));
  message.set_retention_ms(static_cast<std::uint32_t>(order.retention.count()));
  for (core::DispatchTask& task : order.tasks) {
    v1::DispatchTask* item = message.add_tasks();
    item->set_task_index(task.task_index);
    item->set_run_ms(static_cast<std::uint32_t>(task.run_time.count()));
    item->set_time_limit_ms(static_cast<std::uint32_t>(task.time_limit.count()));
    item->set_payload(std::move(task.payload));
  }
  return message;
}

core::DispatchOrder FromProto(v1::Dispatch&& dispatch) {
  core::DispatchOrder order{
      .shard = dispatch.shard(),
      .epoch = dispatch.epoch(),
      .config_version = dispatch.config_version(),
      .submission_id = dispatch.submission_id(),
      .team = dispatch.team(),
      .job = dispatch.job(),
      .facts = {.task_count = dispatch.job_task_count(),
                .content_hash = dispatch.content_hash(),
                .idempotent = dispatch.idempotent()},
      .start_by = milliseconds(dispatch.start_by_mono_ms()),
      .result_hold = milliseconds(dispatch.result_hold_ms()),
      .retention = milliseconds(dispatch.retention_ms()),
      .tasks = {},
  };
  order.tasks.reserve(static_cast<std::size_t>(dispatch.tasks_size()));
  for (v1::DispatchTask& item : *dispatch.mutable_tasks()) {
    order.tasks.push_back({.task_index = item.task_index(),
                           .run_time = milliseconds(item.run_ms()),
                           .time_limit = milliseconds(item.time_limit_ms()),
                           .payload = std::move(*item.mutable_payload())});
  }
  return order;
}

v1::RefusalReason ToProto(core::RefusalReason reason) {
  return static_cast<v1::RefusalReason>(static_cast<int>(reason) + 1);
}

core::RefusalReason FromProto(v1::RefusalReason reason) {
  const int number = static_cast<int>(reason);
  const bool known =
      number >= v1::REFUSAL_REASON_STALE_EPOCH && number <= v1::REFUSAL_REASON_REVOKED;
  return known ? static_cast<core::RefusalReason>(number - 1)
               : core::RefusalReason::kAlreadyStarted;
}

v1::JobAnswer ToProto(const core::JobAnswer& answer) {
  v1::JobAnswer message;
  message.set_submission_id(answer.submission_id);
  message.set_state(static_cast<v1::JobState>(static_cast<int>(answer.state) + 1));
  for (const std::string& result : answer.results) message.add_results(result);
  message.set_not_run(answer.not_run);
  if (answer.state != core::JobState::kFailed) return message;
  message.set_error_kind(std::string(core::RowOf(answer.error.kind).name));
  message.set_error_message(answer.error.message);
  message.set_retry_after_ms(static_cast<std::uint32_t>(answer.error.retry_after.count()));
  return message;
}

core::JobAnswer FromProto(v1::JobAnswer&& answer) {
  core::JobAnswer result;
  result.submission_id = answer.submission_id();
  const int state = static_cast<int>(answer.state());
  const bool known = state >= v1::JOB_STATE_QUEUED && state <= v1::JOB_STATE_FAILED;
  result.state = known ? static_cast<core::JobState>(state - 1) : core::JobState::kFailed;
  for (std::string& item : *answer.mutable_results()) result.results.push_back(std::move(item));
  result.not_run = answer.not_run();
  if (result.state != core::JobState::kFailed) return result;
  result.error = {
      .kind = core::ErrorKindFromName(answer.error_kind()).value_or(core::ErrorKind::kInternal),
      .message = answer.error_message(),
      .retry_after = milliseconds(answer.retry_after_ms())};
  return result;
}

v1::ForwardRequest ToProto(const core::Submission& submission, milliseconds time_left,
                           milliseconds wait) {
  v1::ForwardRequest request;
  request.set_submission_id(submission.id);
  request.set_team(submission.team);
  request.set_job(submission.job);
  request.set_idempotent(submission.idempotent);
  request.set_request_key(submission.request_key);
  request.set_deadline_ms(static_cast<std::uint32_t>(time_left.count()));
  request.set_wait_ms(static_cast<std::uint32_t>(wait.count()));
  request.set_content_hash(submission.content_hash);
  request.set_attempt(submission.attempt);
  for (const core::TaskDeclaration& task : submission.tasks) {
    v1::TaskDeclaration* item = request.add_tasks();
    item->set_run_ms(static_cast<std::uint32_t>(task.run_time.count()));
    item->set_memory_mb(task.memory_mb);
    item->set_payload(task.payload);
  }
  return request;
}

core::Submission FromProto(v1::ForwardRequest&& request, core::TimePoint now) {
  core::Submission submission;
  submission.id = request.submission_id();
  submission.team = request.team();
  submission.job = request.job();
  submission.idempotent = request.idempotent();
  submission.request_key = request.request_key();
  submission.deadline = now + milliseconds(request.deadline_ms());
  submission.content_hash = request.content_hash();
  submission.attempt = request.attempt();
  submission.tasks.reserve(static_cast<std::size_t>(request.tasks_size()));
  for (v1::TaskDeclaration& item : *request.mutable_tasks()) {
    submission.tasks.push_back({.run_time = milliseconds(item.run_ms()),
                                .memory_mb = item.memory_mb(),
                                .payload = std::move(*item.mutable_payload())});
  }
  return submission;
}

}  // namespace zinniamux::rpc
