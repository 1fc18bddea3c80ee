// Limits on how long a job may wait for room before it is refused.
#ifndef ZINNIAMUX_CORE_WAIT_POLICY_H_
#define ZINNIAMUX_CORE_WAIT_POLICY_H_

#include <chrono>
#include <cstdint>

#include "core/clock.h"
#include "core/job_request.h"

namespace zinniamux::core {

// Load pattern: for some seconds jobs arrive faster than executors can run them. A job that waits
// until it misses its objective has used room that others needed. So a job that cannot start within
// a share of its objective is refused, on arrival if the queue already shows it.
class WaitPolicy {
 public:
  struct Options {
    // Longest expected wait of tasks, as a share of the objective; jobs with a longer one are
    // refused. The rest is for the run, for tasks that run longer than estimated, and for late
    // reports.
    double urgent_wait_share = 0.35;
    double wait_share = 0.25;
    std::chrono::milliseconds min_retry_after{1000};
    // Without the spread.
    std::chrono::milliseconds max_retry_after{4000};
  };

  WaitPolicy() : WaitPolicy(Options()) {}
  explicit WaitPolicy(const Options& options) : options_(options) {}

  // The time from arrival within which the answer is due. `critical_path` is the longest chain of
  // estimated run times.
  Duration Objective(const JobRequest& job, Duration critical_path) const {
    return std::chrono::duration_cast<Duration>(critical_path * job.stretch) + job.slack;
  }

  // The job is refused unless its tasks are expected to start by then.
  TimePoint StartBy(const JobRequest& job, Duration critical_path, TimePoint received) const;

  // Tasks that start by then are expected to end within the objective.
  TimePoint LatestStart(const JobRequest& job, Duration critical_path, TimePoint received) const;

  // When a refused caller may retry: after its expected wait, lengthened by `spread` (0 to 1, a
  // hash of the job), so that callers refused at the same time do not retry at the same time.
  std::chrono::milliseconds RetryAfter(Duration expected_wait, double spread) const;

 private:
  const Options options_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_WAIT_POLICY_H_
