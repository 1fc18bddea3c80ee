// The identity of a task, and the record that an agent keeps of its start and outcome.
#ifndef ZINNIAMUX_CORE_TASK_RECORD_H_
#define ZINNIAMUX_CORE_TASK_RECORD_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace zinniamux::core {

// Identifies one task of one submission; the key of every start record.
struct TaskKey {
  std::string submission_id;
  std::uint32_t task_index = 0;

  auto operator<=>(const TaskKey&) const = default;
};

struct TaskKeyHash {
  std::size_t operator()(const TaskKey& key) const {
    constexpr std::size_t kGoldenRatio = 0x9e3779b97f4a7c15ULL;
    return std::hash<std::string>()(key.submission_id) ^ ((key.task_index + 1) * kGoldenRatio);
  }
};

enum class TaskState {
  kRunning,
  kFinished,
  kFailed,
  // Not started, and will never start on this agent.
  kRevoked,
  // Failed, but the executor may have started it.
  kUnknown,
};

// Properties of the job that a new owner needs to rebuild its index from the agents' ledgers.
struct JobFacts {
  std::uint32_t task_count = 0;
  std::uint64_t content_hash = 0;
  bool idempotent = true;
};

// The outcome of one task as its agent reports it. `result` is set only for kFinished, `failure`
// only for kFailed and kUnknown.
struct TaskOutcome {
  TaskKey key;
  TaskState state = TaskState::kRunning;
  std::string result;
  std::string failure;
  std::chrono::milliseconds run_time{0};
  JobFacts job;
};

// Why an agent refused a dispatch. No task of the dispatch was started by the refused message.
enum class RefusalReason {
  kStaleEpoch,
  kStaleConfig,
  kLate,
  kNoSlot,
  kLeaving,
  kExecutorDown,
  kNotAuthorised,
  // The ledger has a record of the task; its outcome was sent or will follow.
  kAlreadyStarted,
  kRevoked,
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_TASK_RECORD_H_
