// How long a job may wait for room, and when it is turned away.
#ifndef ZINNIAMUX_CORE_WAIT_POLICY_H_
#define ZINNIAMUX_CORE_WAIT_POLICY_H_

#include <chrono>
#include <cstdint>

#include "core/clock.h"
#include "core/job_request.h"

namespace zinniamux::core {

// Load pattern: for some seconds jobs come faster than executors can run them. Whoever waits until
// its objective is missed has cost others their room, so a job that cannot start within a part of
// its objective is refused, at its arrival if the queue shows that already.
class WaitPolicy {
 public:
  struct Options {
    // Part of the objective that tasks may be expected to wait; a job whose wait is longer is
    // refused. The rest is for the run, for tasks that run longer than estimated, and for late
    // reports.
    double urgent_wait_share = 0.35;
    double wait_share = 0.25;
    // Part of the objective that tasks may be expected to wait at an executor. Urgent orders are
    // overtaken by none, so that their expected waits hold. The others are overtaken by later
    // urgent ones, so that they wait at the entry until a short wait is in sight anywhere.
    double order_wait_share = 0.015;
    std::chrono::milliseconds least_retry_after{1000};
    // Before the spread.
    std::chrono::milliseconds most_retry_after{4000};
  };

  WaitPolicy() : WaitPolicy(Options()) {}
  explicit WaitPolicy(const Options& options) : options_(options) {}

  // `chain` is the longest chain of estimated run times.
  Duration Objective(const JobRequest& job, Duration chain) const {
    return std::chrono::duration_cast<Duration>(chain * job.stretch) + job.slack;
  }

  // Tasks must be expected to start by then, or the job is refused.
  TimePoint StartBy(const JobRequest& job, Duration chain, TimePoint received) const;

  // The longest expected wait with which an order is sent to an executor.
  Duration OrderWait(const JobRequest& job, Duration chain) const;

  // Tasks that start by then end in time.
  TimePoint LatestStart(const JobRequest& job, Duration chain, TimePoint received) const;

  // When a refused caller may come back: after the wait that it would have had, spread by `spread`
  // (0 to 1, a hash of the job), so that callers refused together do not return together.
  std::chrono::milliseconds RetryAfter(Duration expected_wait, double spread) const;

 private:
  const Options options_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_WAIT_POLICY_H_
