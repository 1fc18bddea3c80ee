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
    // Part of the objective that a job may wait for its first task. The rest is for its run and for
    // tasks that start later than the first.
    double wait_share = 0.25;
    std::chrono::milliseconds least_retry_after{1000};
    std::chrono::milliseconds most_retry_after{4000};
  };

  WaitPolicy() : WaitPolicy(Options()) {}
  explicit WaitPolicy(const Options& options) : options_(options) {}

  // `chain` is the longest chain of estimated run times.
  Duration Objective(const JobRequest& job, Duration chain) const {
    return std::chrono::duration_cast<Duration>(chain * job.stretch) + job.slack;
  }

  // The first task must have been placed by then.
  TimePoint StartBy(const JobRequest& job, Duration chain, TimePoint received) const;

  // The wait that the work ahead of a job causes. `backlog` and `capacity` are in milli-cores times
  // time, and milli-cores.
  static Duration ExpectedWait(double backlog_milli_seconds, double capacity_milli);

  // When a refused caller may come back: after the wait that it would have had, spread by `spread`
  // (0 to 1, a hash of the job), so that callers refused together do not return together.
  std::chrono::milliseconds RetryAfter(Duration expected_wait, double spread) const;

 private:
  const Options options_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_WAIT_POLICY_H_
