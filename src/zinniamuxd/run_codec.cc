// Copies field by field.
#include "zinniamuxd/run_codec.h"

#include <algorithm>

namespace zinniamux::daemon {
namespace {

constexpr double kPermille = 1000;

}  // namespace

void ToMessage(const core::Resources& resources, runs::Resources& message) {
  message.set_cpu_milli(resources.cpu_milli);
  message.set_memory_mb(resources.memory_mb);
  message.set_gpus(resources.gpus);
}

core::Resources FromMessage(const runs::Resources& message) {
  return {
      .cpu_milli = message.cpu_milli(), .memory_mb = message.memory_mb(), .gpus = message.gpus()};
}

void ToMessage(const core::RunId& id, runs::RunRef& message) {
  message.set_job_id(id.task.job_id);
  message.set_occurrence(id.task.occurrence);
  message.set_step(id.task.step);
  message.set_index(id.task.index);
  message.set_run(id.run);
}

core::RunId FromMessage(const runs::RunRef& message) {
  return {.task = {.job_id = message.job_id(),
                   .occurrence = message.occurrence(),
                   .step = message.step(),
                   .index = message.index()},
          .run = message.run()};
}

void ToMessage(const core::RunUpdate& update, runs::RunUpdate& message) {
  const bool executor_crashed = update.outcome == core::RunOutcome::kExecutorCrashed;
  const bool owner_silent = update.outcome == core::RunOutcome::kOwnerSilent;
  const bool start_unanswered = update.outcome == core::RunOutcome::kStartUnanswered;
  core::RunOutcome outcome = update.outcome;
  if (executor_crashed) outcome = core::RunOutcome::kLapsed;
  if (owner_silent || start_unanswered) outcome = core::RunOutcome::kStopped;
  ToMessage(update.id, *message.mutable_run());
  message.set_outcome(static_cast<std::uint32_t>(outcome));
  message.set_elapsed_ms(static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(update.elapsed).count()));
  message.set_executor_crashed(executor_crashed);
  message.set_owner_silent(owner_silent);
  message.set_start_unanswered(start_unanswered);
}

core::RunOutcome OutcomeFromMessage(const runs::RunUpdate& message) {
  if (message.executor_crashed()) return core::RunOutcome::kExecutorCrashed;
  if (message.owner_silent()) return core::RunOutcome::kOwnerSilent;
  if (message.start_unanswered()) return core::RunOutcome::kStartUnanswered;
  return static_cast<core::RunOutcome>(message.outcome());
}

void ToMessage(const core::ExecutorReport& report, runs::ExecutorReport& message) {
  message.set_executor_id(report.executor_id);
  message.set_service(report.service);
  message.set_accepting(report.accepting);
  ToMessage(report.capacity, *message.mutable_capacity());
  ToMessage(report.free, *message.mutable_free());
  for (const std::string& label : report.labels) message.add_labels(label);
  message.set_is_close(report.is_close);
  message.set_close_entries(report.close_entries);
  message.set_orders_seen(report.orders_seen);
  message.set_pace_permille(static_cast<std::uint32_t>(report.pace * kPermille));
  message.set_waiting_urgent_cpu_milli(report.waiting.urgent_cpu_milli);
  message.set_waiting_cpu_milli(report.waiting.all_cpu_milli);
  message.set_kept_cpu_milli(report.kept_cpu_milli);
  message.set_release_cpu_milli(static_cast<std::int64_t>(report.release_rate));
  message.set_lesser_release_cpu_milli(static_cast<std::int64_t>(report.lesser_release_rate));
  for (const std::string& job : report.jobs_of_others) message.add_jobs_of_others(job);
  message.set_executor_answered(report.executor_answered);
  message.set_steady_pace_permille(static_cast<std::uint32_t>(report.steady_pace * kPermille));
}

core::ExecutorReport FromMessage(const runs::ExecutorReport& message) {
  return {.executor_id = message.executor_id(),
          .service = message.service(),
          .accepting = message.accepting(),
          .capacity = FromMessage(message.capacity()),
          .free = FromMessage(message.free()),
          .labels = {message.labels().begin(), message.labels().end()},
          .is_close = message.is_close(),
          .close_entries = message.close_entries(),
          .orders_seen = message.orders_seen(),
          .pace = message.pace_permille() / kPermille,
          .steady_pace = message.steady_pace_permille() / kPermille,
          .waiting = {.urgent_cpu_milli = message.waiting_urgent_cpu_milli(),
                      .all_cpu_milli = message.waiting_cpu_milli()},
          .kept_cpu_milli = message.kept_cpu_milli(),
          .release_rate = static_cast<double>(message.release_cpu_milli()),
          .lesser_release_rate = static_cast<double>(message.lesser_release_cpu_milli()),
          .jobs_of_others = {message.jobs_of_others().begin(), message.jobs_of_others().end()},
          // Supervisors of earlier versions tell only whether they accept orders.
          .executor_answered = message.executor_answered() || message.accepting()};
}

void ToMessage(const core::StartTasks& start, core::Duration clock_offset,
               runs::StartOrder& message) {
  message.set_order(start.order);
  message.set_job_id(start.job_id);
  message.set_step(start.step);
  message.set_spec(start.spec);
  ToMessage(start.need, *message.mutable_need());
  message.set_estimate_ms(static_cast<std::uint32_t>(start.estimate.count()));
  message.set_expires_clock_ms(ToClockMilliseconds(start.expires + clock_offset));
  message.set_job_received_clock_ms(ToClockMilliseconds(start.job_received + clock_offset));
  message.set_at_once(start.at_once);
  message.set_rank(static_cast<std::uint32_t>(start.rank));
  message.set_urgent(start.urgent);
  for (const core::StartTasks::Start& each : start.starts) {
    message.add_indexes(each.index);
    message.add_runs(each.run);
  }
}

std::vector<core::RunOrder> FromMessage(const runs::StartOrder& message) {
  std::vector<core::RunOrder> orders;
  const auto rank = message.rank() <= static_cast<std::uint32_t>(core::StartRank::kNormal)
                        ? static_cast<core::StartRank>(message.rank())
                        : core::StartRank::kNormal;
  const core::TimePoint expires{std::chrono::milliseconds(message.expires_clock_ms())};
  const core::TimePoint job_received{std::chrono::milliseconds(message.job_received_clock_ms())};
  const int count = std::min(message.indexes_size(), message.runs_size());
  orders.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    orders.push_back({.id = {.task = {.job_id = message.job_id(),
                                      .occurrence = message.occurrence(),
                                      .step = message.step(),
                                      .index = message.indexes(i)},
                             .run = message.runs(i)},
                      .spec = message.spec(),
                      .need = FromMessage(message.need()),
                      .estimate = std::chrono::milliseconds(message.estimate_ms()),
                      .expires = expires,
                      .job_received = job_received,
                      .at_once = message.at_once(),
                      .rank = rank,
                      .urgent = message.urgent()});
  }
  return orders;
}

}  // namespace zinniamux::daemon
