// The aggregate of one submission: the state of each of its tasks and the answer under way.
#ifndef ZINNIAMUX_CORE_JOB_H_
#define ZINNIAMUX_CORE_JOB_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/job_answer.h"
#include "core/submission.h"
#include "core/task_record.h"

namespace zinniamux::core {

// One submission from its admission to the end of its retention. A task moves from pending to
// dispatched and on to an end; only a confirmed refusal takes it back to pending.
class Job {
 public:
  enum class Phase { kPending, kDispatched, kDone };

  explicit Job(std::shared_ptr<const Submission> submission);

  const Submission& submission() const { return *submission_; }
  const std::shared_ptr<const Submission>& shared_submission() const { return submission_; }
  Phase phase(std::uint32_t index) const { return tasks_[index].phase; }
  const std::string& agent_of(std::uint32_t index) const { return tasks_[index].agent_id; }
  std::uint32_t pending_count() const { return pending_count_; }
  std::uint32_t dispatched_count() const { return dispatched_count_; }
  bool finished() const { return answer_.has_value(); }
  const JobAnswer& answer() const { return *answer_; }

  void MarkDispatched(std::uint32_t index, std::string agent_id);
  // The agent confirmed that the task was not started; it may be placed again.
  void MarkNotStarted(std::uint32_t index);
  // Records a result once; a repeated or late one is ignored. Completes the job with its last task.
  void MarkFinished(std::uint32_t index, std::string result);
  // Ends the job as failed, unless it has ended. `not_run` holds if no task was ever dispatched
  // without a confirmed refusal.
  void Fail(Error error);

  JobAnswer CurrentAnswer() const;

 private:
  struct Task {
    Phase phase = Phase::kPending;
    std::string agent_id;
    std::string result;
  };

  // Invariant: pending_count_, dispatched_count_ and done_count_ add up to the number of tasks.
  std::shared_ptr<const Submission> submission_;
  std::vector<Task> tasks_;
  std::uint32_t pending_count_;
  std::uint32_t dispatched_count_ = 0;
  std::uint32_t done_count_ = 0;
  // Set once, when the job ends, and never changed.
  std::optional<JobAnswer> answer_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_JOB_H_
