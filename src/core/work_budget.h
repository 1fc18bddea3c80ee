// Decides whether a dispatcher has memory for a job before any of it is allocated. Load pattern:
// clients outside anyone's control send jobs of many tasks in few bytes, one after the other or
// many at once, and send them again when they get no answer.
#ifndef ZINNIAMUX_CORE_WORK_BUDGET_H_
#define ZINNIAMUX_CORE_WORK_BUDGET_H_

#include <cstddef>

#include "core/error_kind.h"
#include "core/job_request.h"

namespace zinniamux::core {

// Accounts for the memory of accepted jobs until they are answered, and of the runs of answered
// jobs that supervisors have not reported as ended. A job is charged in full when it is accepted,
// so that nothing which it needs later can be lacking. Not thread-safe.
class WorkBudget {
 public:
  struct Options {
    // At least 4/3 of kMaxJobBytes, so that every job that passes CheckSize fits when there are no
    // others.
    std::size_t max_bytes = 32U << 20U;
  };

  // The largest job, on VMs of every size.
  static constexpr std::size_t kMaxJobBytes = 6U << 20U;
  // The largest total of the orders that start the tasks of one job. A frame holds 4 MiB.
  static constexpr std::size_t kMaxOrderBytes = 3U << 20U;
  // Holds a job of 500 tasks with a spec of 4,000 bytes.
  static constexpr std::size_t kSmallJobBytes = 256U << 10U;
  // A task that is ordered: its run in the list of the supervisor.
  static constexpr std::size_t kRunBytes = 128;

  explicit WorkBudget(const Options& options) : options_(options) {}

  // What the job takes until it is answered, with the overhead of the allocator.
  static std::size_t CostOf(const JobRequest& request);
  // The orders of `tasks` tasks of one step, if each goes to another supervisor.
  static std::size_t OrderBytes(const JobRequest& request, std::size_t tasks);
  // An error with a text for the caller if no dispatcher accepts a job of this size.
  static Result<void> CheckSize(const JobRequest& request);

  // `unreported_runs`: runs of answered jobs that may not have ended. A quarter of the memory is
  // kept for small jobs, so that a few callers with large ones do not keep all others out.
  bool HasRoomFor(std::size_t job_bytes, std::size_t unreported_runs) const;
  void Add(std::size_t job_bytes) { job_bytes_ += job_bytes; }
  void Remove(std::size_t job_bytes) { job_bytes_ -= job_bytes; }

  std::size_t max_bytes() const { return options_.max_bytes; }
  // Of the accepted jobs.
  std::size_t job_bytes() const { return job_bytes_; }

 private:
  const Options options_;
  std::size_t job_bytes_ = 0;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_WORK_BUDGET_H_
