// Ranges of the fields of a configuration.
#include "adapters/config_rules.h"

#include <fmt/format.h>

namespace zinniamux::adapters {
namespace {

using std::chrono::milliseconds;

constexpr double kMinWeight = 0.001;
constexpr double kMaxWeight = 1000;
// The queue of a shard holds no more.
constexpr std::int64_t kMaxTeamTasks = 100'000;
constexpr std::int64_t kMaxTasksPerJob = 500;
// The longest deadline of a submission is 10 min; no task can take longer.
constexpr std::int64_t kMaxTimeMs = 600'000;
constexpr std::int64_t kMaxMemoryMb = 16'777'216;
// Results held for longer would delay answers noticeably.
constexpr std::int64_t kMaxResultHoldMs = 1000;
// A caller needs time to notice a lost answer and to send the submission again.
constexpr std::int64_t kMinRetentionMs = 1000;
constexpr std::int64_t kMaxRetentionMs = 3'600'000;

std::uint32_t Unsigned(std::int64_t checked) { return static_cast<std::uint32_t>(checked); }

}  // namespace

core::TeamConfig ReadTeam(CheckedObject& object) {
  core::TeamConfig team;
  team.weight = object.Number("weight", kMinWeight, kMaxWeight, team.weight);
  team.max_queued_tasks =
      Unsigned(object.Integer("max_queued_tasks", 0, kMaxTeamTasks, team.max_queued_tasks));
  team.max_running_tasks =
      Unsigned(object.Integer("max_running_tasks", 0, kMaxTeamTasks, team.max_running_tasks));
  return team;
}

core::JobConfig ReadJob(CheckedObject& object) {
  core::JobConfig job;
  job.idempotent = object.Bool("idempotent", job.idempotent);
  job.run_time = milliseconds(object.Integer("run_ms", 1, kMaxTimeMs, job.run_time.count()));
  job.time_limit =
      milliseconds(object.Integer("time_limit_ms", 1, kMaxTimeMs, job.time_limit.count()));
  job.max_tasks = Unsigned(object.Integer("max_tasks", 1, kMaxTasksPerJob, job.max_tasks));
  job.memory_mb = Unsigned(object.Integer("memory_mb", 0, kMaxMemoryMb, job.memory_mb));
  if (job.time_limit < job.run_time) {
    object.Reject("time_limit_ms",
                  fmt::format("at least run_ms, which is {}", job.run_time.count()));
  }
  return job;
}

core::PolicyConfig ReadPolicy(CheckedObject& object) {
  core::PolicyConfig policy;
  policy.placement = static_cast<core::PlacementPolicyKind>(
      object.Choice("placement", kPlacementNames, static_cast<std::size_t>(policy.placement)));
  policy.job_order = static_cast<core::JobOrder>(
      object.Choice("job_order", kJobOrderNames, static_cast<std::size_t>(policy.job_order)));
  policy.result_hold = milliseconds(
      object.Integer("result_hold_ms", 0, kMaxResultHoldMs, policy.result_hold.count()));
  policy.queue_time_limit = milliseconds(
      object.Integer("queue_time_limit_ms", 1, kMaxTimeMs, policy.queue_time_limit.count()));
  policy.retention = milliseconds(
      object.Integer("retention_ms", kMinRetentionMs, kMaxRetentionMs, policy.retention.count()));
  policy.max_deadline =
      milliseconds(object.Integer("max_deadline_ms", 1, kMaxTimeMs, policy.max_deadline.count()));
  return policy;
}

}  // namespace zinniamux::adapters
