// Types of leased execution: resource needs, tasks, their runs on executors, and run outcomes.
#ifndef ZINNIAMUX_CORE_RUN_H_
#define ZINNIAMUX_CORE_RUN_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

#include "core/clock.h"

namespace zinniamux::core {

// Resources that a task needs or an executor has. Processor capacity is in thousandths of a core.
struct Resources {
  std::int64_t cpu_milli = 0;
  std::int64_t memory_mb = 0;
  std::int64_t gpus = 0;

  bool Fits(const Resources& room) const {
    return cpu_milli <= room.cpu_milli && memory_mb <= room.memory_mb && gpus <= room.gpus;
  }
  Resources& operator+=(const Resources& other) {
    cpu_milli += other.cpu_milli;
    memory_mb += other.memory_mb;
    gpus += other.gpus;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    cpu_milli -= other.cpu_milli;
    memory_mb -= other.memory_mb;
    gpus -= other.gpus;
    return *this;
  }
  Resources operator*(std::int64_t count) const {
    return {cpu_milli * count, memory_mb * count, gpus * count};
  }
  bool operator==(const Resources&) const = default;
};

// One task of a job: the occurrence of a repeating job (0 otherwise), the step, and the task's
// place within the step.
struct TaskId {
  std::string job_id;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  bool operator==(const TaskId&) const = default;
  bool operator<(const TaskId& other) const {
    return std::tie(job_id, occurrence, step, index) <
           std::tie(other.job_id, other.occurrence, other.step, other.index);
  }
};

// One start of a task. The run numbers of a task increase.
struct RunId {
  TaskId task;
  std::uint32_t run = 1;

  bool operator==(const RunId&) const = default;
  bool operator<(const RunId& other) const {
    return std::tie(task, run) < std::tie(other.task, other.run);
  }
};

// Order in which waiting tasks start. Jobs that have started come first, so that their completed
// work is not wasted, then urgent ones, then the others. Jobs that miss their objective (kLate) get
// only room that no other job needs.
enum class StartRank { kStarted, kUrgent, kNormal, kLate };

// A dispatcher's order to start one run.
struct RunOrder {
  RunId id;
  std::string spec;
  Resources need;
  std::chrono::milliseconds estimate{0};
  // The run does not start after this time.
  TimePoint expires;
  // When the dispatcher received the job; unset if it did not tell.
  TimePoint job_received;
  // If there is no room, the run is refused at once instead of waiting until it expires.
  bool at_once = false;
  StartRank rank = StartRank::kNormal;
  // The run may use the room that is reserved for urgent runs.
  bool urgent = false;
};

// Processor need of the orders that wait for room on an executor.
struct WaitingNeeds {
  // Orders of the ranks kStarted and kUrgent.
  std::int64_t urgent_cpu_milli = 0;
  // Orders of all ranks except kLate.
  std::int64_t all_cpu_milli = 0;
  // Urgent orders only.
  std::int64_t urgent_only_cpu_milli = 0;
  // Orders of the rank kLate.
  std::int64_t late_cpu_milli = 0;

  // The need of the orders that start before a new one of this rank.
  std::int64_t ahead_of(StartRank rank) const {
    if (rank == StartRank::kLate) return all_cpu_milli + late_cpu_milli;
    return rank == StartRank::kNormal ? all_cpu_milli : urgent_cpu_milli;
  }
  bool operator==(const WaitingNeeds&) const = default;
};

// How a run ended, or why it never started.
enum class RunOutcome {
  kDone,
  kFailed,
  kStopped,
  // The executor's lease expired.
  kLapsed,
  // Another member of its gang ended.
  kBroken,
  // It waited too long for the other members of its gang.
  kAlone,
  // Not started: the executor has no room for it.
  kNoRoom,
  // Not started: a run of this task with this number or a higher one exists, or has ended or been
  // stopped on the executor.
  kOutdated,
  // Not started: the executor refused it as unhealthy or invalid.
  kUnhealthy,
  // Not started: the order expired on its way or while it waited for room.
  kExpired,
  // Not started: there is no executor, or it is leaving.
  kNotAccepting,
  // Not started: it was stopped while it waited for room.
  kWithdrawn,
  // The executor's process ended while the run was on it.
  kExecutorCrashed,
  // It was stopped because its dispatcher was not heard, or because another one has received the
  // job from its caller.
  kOwnerSilent,
  // It was stopped because its start call was not answered. Whether it ran is unknown.
  kStartUnanswered,
};

// True if the run was started. Only kFailed counts as an attempt.
constexpr bool HasStarted(RunOutcome outcome) {
  return outcome <= RunOutcome::kAlone || outcome == RunOutcome::kExecutorCrashed ||
         outcome == RunOutcome::kOwnerSilent || outcome == RunOutcome::kStartUnanswered;
}

// The name in logs and metrics, for example "no_room".
std::string_view NameOf(RunOutcome outcome);

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_RUN_H_
