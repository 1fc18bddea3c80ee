// Limits on waiting.
#include "core/wait_policy.h"

#include <algorithm>

namespace zinniamux::core {

using std::chrono::milliseconds;

TimePoint WaitPolicy::StartBy(const JobRequest& job, Duration chain, TimePoint received) const {
  const Duration objective = Objective(job, chain);
  const auto share = std::chrono::duration_cast<Duration>(objective * options_.wait_share);
  const Duration spare = std::max(objective - chain, Duration(0));
  return std::min(received + std::min(share, spare), job.deadline);
}

Duration WaitPolicy::ExpectedWait(double backlog_milli_seconds, double capacity_milli) {
  // Without any capacity, nothing is known; the caller checks that case itself.
  if (capacity_milli <= 0) return Duration(0);
  const std::chrono::duration<double> wait(backlog_milli_seconds / capacity_milli);
  return std::chrono::duration_cast<Duration>(wait);
}

milliseconds WaitPolicy::RetryAfter(Duration expected_wait, double spread) const {
  const auto base =
      std::max(options_.least_retry_after, std::chrono::duration_cast<milliseconds>(expected_wait));
  const auto spread_out = std::chrono::duration_cast<milliseconds>(base * (1 + 2 * spread));
  return std::min(spread_out, options_.most_retry_after);
}

}  // namespace zinniamux::core
