// Derivation of the time limits from the guarantees of a deployment.
#include "core/run_end_budget.h"

#include <algorithm>
#include <string>

namespace zinniamux::core {

using std::chrono::milliseconds;

namespace {

// Answers of a busy executor take up to 200 ms, and a hold call waits 40 ms for an end.
constexpr milliseconds kMinLease{300};
// Orders of a sound dispatcher arrive with its input handled up to this long before.
constexpr milliseconds kOrderAge{200};

std::string Text(milliseconds time) { return std::to_string(time.count()) + " ms"; }

Error Contradiction(std::string message) {
  return {.kind = ErrorKind::kInvalidRequest, .message = std::move(message)};
}

}  // namespace

RunEndBudget::RunEndBudget(const Deployment& deployment)
    : deployment_(deployment),
      run_end_(deployment.retransmit - kDelivery),
      silence_(run_end_ - kStopRetries - deployment.stop_time),
      lease_(std::min(deployment.max_lease, LeaseWithin(run_end_ - kOrderAge))) {}

Result<RunEndBudget> RunEndBudget::For(const Deployment& deployment) {
  const RunEndBudget budget(deployment);
  // Isolation is noticed one heartbeat before the silence ends, and heartbeats do not count as one.
  constexpr milliseconds kMinSilence = (kHeartbeat + kDelivery * 2) * 2;
  if (budget.silence_ < kMinSilence) {
    return tl::unexpected(Contradiction("callers that send again after " +
                                        Text(deployment.retransmit) + " and executors that take " +
                                        Text(deployment.stop_time) + " to stop a run leave " +
                                        Text(budget.silence_) + " of silence, less than the " +
                                        Text(kMinSilence) + " that heartbeats take"));
  }
  if (budget.lease_ < kMinLease) {
    return tl::unexpected(Contradiction("leases of " + Text(deployment.max_lease) +
                                        " are shorter than the " + Text(kMinLease) +
                                        " that their renewal may take"));
  }
  return budget;
}

milliseconds RunEndBudget::lost_after() const {
  return silence_ + std::chrono::floor<milliseconds>(LongestLease(lease_)) +
         deployment_.stop_time * 2;
}

}  // namespace zinniamux::core
