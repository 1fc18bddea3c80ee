// Limits on waiting.
#include "core/wait_policy.h"

#include <algorithm>

namespace zinniamux::core {

using std::chrono::milliseconds;

TimePoint WaitPolicy::StartBy(const JobRequest& job, Duration chain, TimePoint received) const {
  const Duration objective = Objective(job, chain);
  const double part = job.urgent ? options_.urgent_wait_share : options_.wait_share;
  const auto share = std::chrono::duration_cast<Duration>(objective * part);
  const Duration spare = std::max(objective - chain, Duration(0));
  return std::min(received + std::min(share, spare), job.deadline);
}

Duration WaitPolicy::OrderWait(const JobRequest& job, Duration chain) const {
  const double part = job.urgent ? options_.urgent_wait_share : options_.order_wait_share;
  return std::chrono::duration_cast<Duration>(Objective(job, chain) * part);
}

TimePoint WaitPolicy::LatestStart(const JobRequest& job, Duration chain, TimePoint received) const {
  const Duration spare = std::max(Objective(job, chain) - chain, Duration(0));
  return std::min(received + spare, job.deadline);
}

milliseconds WaitPolicy::RetryAfter(Duration expected_wait, double spread) const {
  const auto wait = std::chrono::duration_cast<milliseconds>(expected_wait);
  const auto base = std::clamp(wait, options_.least_retry_after, options_.most_retry_after);
  return std::chrono::duration_cast<milliseconds>(base * (1 + 2 * spread));
}

}  // namespace zinniamux::core
