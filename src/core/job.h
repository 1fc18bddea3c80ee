// The aggregate of one submission: the state of each of its tasks and the answer under way.
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
// dispatched and on to an end; only its agent's statement that it was not started takes it back to
// pending.
class Job {
 public:
  enum class Phase {
    // Known not to have started anywhere; may be placed.
    kPending,
    // May have started on an agent whose ledger is not known; must not be placed.
    kWithheld,
    // Sent to an agent that has not reported it.
    kDispatched,
    // The agent reported the start.
    kRunning,
    kDone,
    kFailed,
    // May have started; the outcome will never be known.
    kUnknown,
  };

  explicit Job(std::shared_ptr<const Submission> submission);

  const Submission& submission() const { return *submission_; }
  const std::shared_ptr<const Submission>& shared_submission() const { return submission_; }
  std::uint32_t task_count() const { return static_cast<std::uint32_t>(tasks_.size()); }
  Phase phase(std::uint32_t index) const { return tasks_[index].phase; }
  // The agent that holds the task; empty unless the phase is kDispatched or later.
  const std::string& agent_of(std::uint32_t index) const { return tasks_[index].agent.agent_id; }
  const AgentInstance& instance_of(std::uint32_t index) const { return tasks_[index].agent; }
  bool IsHeldBy(std::uint32_t index, const AgentInstance& agent) const;
  // The agent instance has a revoked record of the task and will refuse it for good.
  bool IsRevokedAt(std::uint32_t index, const AgentInstance& agent) const;
  const std::vector<AgentInstance>& revoked_at(std::uint32_t index) const {
    return tasks_[index].revoked_at;
  }
  bool HasRevocation(std::uint32_t index) const { return !tasks_[index].revoked_at.empty(); }
  std::uint32_t pending_count() const { return count(Phase::kPending); }
  std::uint32_t withheld_count() const { return count(Phase::kWithheld); }
  // Tasks whose outcome an agent still owes.
  std::uint32_t dispatched_count() const {
    return count(Phase::kDispatched) + count(Phase::kRunning);
  }
  // Every task is known not to have started.
  bool untouched() const { return pending_count() == task_count(); }
  bool finished() const { return answer_.has_value(); }
  const JobAnswer& answer() const { return *answer_; }

  // Excludes a pending task from placement until ReleaseWithheld.
  void MarkWithheld(std::uint32_t index);
  // Makes withheld tasks pending; returns their indices.
  std::vector<std::uint32_t> ReleaseWithheld();
  void MarkDispatched(std::uint32_t index, std::string agent_id, std::uint64_t incarnation = 0);
  // The agent that holds the task reported its start.
  void MarkRunning(std::uint32_t index);
  // The agent that holds the task stated that it was not started; it may be placed again.
  void MarkNotStarted(std::uint32_t index);
  // The agent instance will never start the task.
  void MarkRevokedAt(std::uint32_t index, const AgentInstance& agent);
  // Records a result once; a repeated or late one is ignored. Completes the job with its last task.
  void MarkFinished(std::uint32_t index, std::string result);
  // The task ended without a result; the job fails.
  void MarkFailed(std::uint32_t index, std::string failure);
  // The task may have started and its outcome is lost; the job fails.
  void MarkUnknown(std::uint32_t index, std::string failure);
  // Ends the job as failed, unless it has ended. `not_run` is claimed if every task is known not to
  // have started.
  void Fail(Error error);
  // As Fail, without a claim that nothing was started.
  void FailWithoutClaim(Error error);

  JobAnswer CurrentAnswer() const;

 private:
  static constexpr std::size_t kPhaseCount = static_cast<std::size_t>(Phase::kUnknown) + 1;

  struct Task {
    Phase phase = Phase::kPending;
    AgentInstance agent;
    std::string result;
    std::vector<AgentInstance> revoked_at;
  };

  std::uint32_t count(Phase phase) const { return counts_[static_cast<std::size_t>(phase)]; }
  void MoveTo(Task& task, Phase phase);
  // The task has no outcome yet.
  static bool IsOpen(const Task& task) { return task.phase <= Phase::kRunning; }

  std::shared_ptr<const Submission> submission_;
  std::vector<Task> tasks_;
  // Tasks in each phase. Invariant: the sum is the number of tasks.
  std::array<std::uint32_t, kPhaseCount> counts_{};
  // Set once, when the job ends, and never changed.
  std::optional<JobAnswer> answer_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_JOB_H_
