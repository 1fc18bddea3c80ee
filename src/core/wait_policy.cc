// Limits on waiting.
#include "core/wait_policy.h"

#include <algorithm>

namespace zinniamux::core {

using std::chrono::milliseconds;

TimePoint WaitPolicy::StartBy(const JobRequest& job, Duration critical_path,
                              TimePoint received) const {
  const Duration objective = Objective(job, critical_path);
  const double share_of_objective = job.urgent ? options_.urgent_wait_share : options_.wait_share;
  const auto max_wait = std::chrono::duration_cast<Duration>(objective * share_of_objective);
  const Duration spare = std::max(objective - critical_path, Duration(0));
  return std::min(received + std::min(max_wait, spare), job.deadline);
}

TimePoint WaitPolicy::LatestStart(const JobRequest& job, Duration critical_path,
                                  TimePoint received) const {
  const Duration spare = std::max(Objective(job, critical_path) - critical_path, Duration(0));
  return std::min(received + spare, job.deadline);
}

milliseconds WaitPolicy::RetryAfter(Duration expected_wait, double spread) const {
  const auto wait = std::chrono::duration_cast<milliseconds>(expected_wait);
  const auto base = std::clamp(wait, options_.min_retry_after, options_.max_retry_after);
  return std::chrono::duration_cast<milliseconds>(base * (1 + 2 * spread));
}

}  // namespace zinniamux::core
