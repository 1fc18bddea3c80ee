// State of one submission: the phase of each of its tasks, and its answer.
#ifndef ZINNIAMUX_CORE_JOB_H_
#define ZINNIAMUX_CORE_JOB_H_

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/agent_instance.h"
#include "core/job_answer.h"
#include "core/submission.h"
#include "core/task_record.h"

namespace zinniamux::core {

// One submission from its admission to the end of its retention. A task moves from pending to
// dispatched and on to a final phase. It returns to pending only if its agent reports that it was
// not started.
class Job {
 public:
  enum class Phase {
    // Known not to have been started on any agent; may be placed.
    kPending,
    // May have been started on an agent whose ledger is not known; must not be placed.
    kWithheld,
    // Sent to an agent that has not reported its start.
    kDispatched,
    // The agent reported the start.
    kRunning,
    kFinished,
    kFailed,
    // May have started; the outcome will never be known.
    kUnknown,
  };

  explicit Job(std::shared_ptr<const Submission> submission);

  const Submission& submission() const { return *submission_; }
  const std::shared_ptr<const Submission>& shared_submission() const { return submission_; }
  std::uint32_t task_count() const { return static_cast<std::uint32_t>(tasks_.size()); }
  Phase phase(std::uint32_t index) const { return tasks_[index].phase; }
  // The agent to which the task was dispatched; empty unless the phase is kDispatched or later.
  const std::string& agent_of(std::uint32_t index) const { return tasks_[index].agent.agent_id; }
  const AgentInstance& instance_of(std::uint32_t index) const { return tasks_[index].agent; }
  bool IsAssignedTo(std::uint32_t index, const AgentInstance& agent) const;
  // The agent instance has a revoked record of the task and will always refuse it.
  bool IsRevokedAt(std::uint32_t index, const AgentInstance& agent) const;
  const std::vector<AgentInstance>& revoked_at(std::uint32_t index) const {
    return tasks_[index].revoked_at;
  }
  bool HasRevocation(std::uint32_t index) const { return !tasks_[index].revoked_at.empty(); }
  std::uint32_t pending_count() const { return CountInPhase(Phase::kPending); }
  std::uint32_t withheld_count() const { return CountInPhase(Phase::kWithheld); }
  // Dispatched tasks whose outcome has not been reported.
  std::uint32_t dispatched_count() const {
    return CountInPhase(Phase::kDispatched) + CountInPhase(Phase::kRunning);
  }
  // Every task is known not to have started.
  bool nothing_started() const { return pending_count() == task_count(); }
  bool finished() const { return answer_.has_value(); }
  const JobAnswer& answer() const { return *answer_; }

  // Excludes a pending task from placement until ReleaseWithheld.
  void MarkWithheld(std::uint32_t index);
  // Makes withheld tasks pending; returns their indices.
  std::vector<std::uint32_t> ReleaseWithheld();
  void MarkDispatched(std::uint32_t index, std::string agent_id, std::uint64_t incarnation = 0);
  // The task's agent reported its start.
  void MarkRunning(std::uint32_t index);
  // The task's agent reported that it was not started; it may be placed again.
  void MarkNotStarted(std::uint32_t index);
  // The agent instance will never start the task.
  void MarkRevokedAt(std::uint32_t index, const AgentInstance& agent);
  // Records the result of the task; a repeated or late one is ignored. Completes the job if every
  // task has a result.
  void MarkFinished(std::uint32_t index, std::string result);
  // The task ended without a result; the job fails.
  void MarkFailed(std::uint32_t index, std::string failure);
  // The task may have started and its outcome is lost; the job fails.
  void MarkUnknown(std::uint32_t index, std::string failure);
  // Ends the job as failed, unless it has ended. `not_run` is set if every task is known not to
  // have started.
  void Fail(Error error);
  // Like Fail, but leaves `not_run` false.
  void FailWithoutNotRun(Error error);

  JobAnswer CurrentAnswer() const;

 private:
  static constexpr std::size_t kPhaseCount = static_cast<std::size_t>(Phase::kUnknown) + 1;

  struct Task {
    Phase phase = Phase::kPending;
    AgentInstance agent;
    std::string result;
    std::vector<AgentInstance> revoked_at;
  };

  std::uint32_t CountInPhase(Phase phase) const { return counts_[static_cast<std::size_t>(phase)]; }
  void SetPhase(Task& task, Phase phase);
  // The task has no outcome yet.
  static bool HasNoOutcome(const Task& task) { return task.phase <= Phase::kRunning; }

  std::shared_ptr<const Submission> submission_;
  std::vector<Task> tasks_;
  // Tasks in each phase. Invariant: the sum is the number of tasks.
  std::array<std::uint32_t, kPhaseCount> counts_{};
  // Set once, when the job ends, and never changed.
  std::optional<JobAnswer> answer_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_JOB_H_
