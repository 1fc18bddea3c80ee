// The time limits that keep the runs of two copies of one job apart.
#ifndef ZINNIAMUX_CORE_RUN_END_BUDGET_H_
#define ZINNIAMUX_CORE_RUN_END_BUDGET_H_

#include <chrono>

#include "core/clock.h"
#include "core/error_kind.h"

namespace zinniamux::core {

// A caller whose connection breaks sends its job to another dispatcher after `retransmit`. The
// first dispatcher may not know of it, and any process on the way to the run may stand still
// meanwhile, so the lease of the executor alone has to end the run by then. All limits follow from
// that. docs/platform.md derives each of them.
class RunEndBudget {
 public:
  // What the deployment guarantees or asks for.
  struct Deployment {
    // A caller without an answer sends its job again after this time.
    std::chrono::milliseconds retransmit{1300};
    // The longest lease that executors grant.
    std::chrono::milliseconds max_lease{1000};
    // Executors end a stopped run within this time.
    std::chrono::milliseconds stop_time{50};
  };

  // The limits of the default deployment.
  RunEndBudget() : RunEndBudget(Deployment()) {}

  // Fails if the deployment leaves no time for heartbeats, or none for a lease. The error names the
  // values that contradict each other.
  static Result<RunEndBudget> For(const Deployment& deployment);

  // How long an executor may take for a lease of this length: its clock may be 2 % slow.
  static Duration LongestLease(std::chrono::milliseconds lease) {
    return (Duration(lease) * kLeaseStretch + Duration(kLeaseDivisor - 1)) / kLeaseDivisor;
  }
  // The lease that ends within this time on any executor's clock.
  static std::chrono::milliseconds LeaseWithin(Duration time) {
    return std::chrono::floor<std::chrono::milliseconds>(time * kLeaseDivisor / kLeaseStretch);
  }

  // A run is over this long after the time up to which its dispatcher had handled its input.
  std::chrono::milliseconds run_end() const { return run_end_; }
  // Runs of a dispatcher are stopped after this time of silence.
  std::chrono::milliseconds silence() const { return silence_; }
  // The lease that supervisors ask for, unless a run has to end sooner.
  std::chrono::milliseconds lease() const { return lease_; }
  std::chrono::milliseconds stop_time() const { return deployment_.stop_time; }
  // While a stop call stays unanswered for longer, the lease is not renewed.
  std::chrono::milliseconds stop_limit() const { return kStopRetries; }
  // A supervisor that is disconnected for this long has ended all runs of this dispatcher.
  std::chrono::milliseconds lost_after() const;
  // The longest wait of an order at a supervisor.
  std::chrono::milliseconds order_expiry() const { return kOrderExpiry; }
  // After a longer stall, a dispatcher orders nothing until it has handled its input.
  std::chrono::milliseconds stall_limit() const { return silence_ - kDelivery * 2; }
  // A dispatcher that has heard neither a caller nor a supervisor for this long may have been cut
  // off from both. Shorter than the silence by one heartbeat, as any of them may have been the last
  // one.
  std::chrono::milliseconds isolation_limit() const {
    return silence_ - kHeartbeat - kDelivery * 2;
  }

  // From this age on, a job is made known to the dispatchers that its caller may turn to. What
  // supervisors send may be held up for as long as a dispatcher does not notice it, and is due a
  // heartbeat and two turns of the timer before the caller may have sent the job again.
  std::chrono::milliseconds notice_age() const {
    return deployment_.retransmit - isolation_limit() - kHeartbeat - kDelivery * 4;
  }

  // After the end of a run, an old job of which nothing else runs may be ordered again for this
  // long.
  std::chrono::milliseconds repeat_limit() const { return kHeartbeat; }
  // For this long after the end of a run its job is named to other dispatchers: until the run that
  // may follow has been named with a heartbeat of its supervisor.
  std::chrono::milliseconds notice_after_end() const {
    return repeat_limit() + kHeartbeat + kDelivery * 2;
  }

  // The end of a connection comes within this time after a request that a cut has held up, also if
  // it is lost once: TCP sends it again after 200 ms.
  std::chrono::milliseconds close_limit() const { return kMinResend + kDelivery; }

  // Executors may carry out a call without an answer up to this much later.
  static constexpr std::chrono::milliseconds kLateExecution{13'000};
  // Time between two messages of a connection without other traffic.
  static constexpr std::chrono::milliseconds kHeartbeat{300};

 private:
  explicit RunEndBudget(const Deployment& deployment);

  // For a message on an undisturbed path, and for a timer to be handled.
  static constexpr std::chrono::milliseconds kDelivery{50};
  static constexpr std::chrono::milliseconds kMinResend{200};
  // Stop calls are repeated for this long.
  static constexpr std::chrono::milliseconds kStopRetries{300};
  static constexpr std::chrono::milliseconds kOrderExpiry{400};
  // A lease of 49 on a clock that is 2 % slow takes 50.
  static constexpr int kLeaseStretch = 50;
  static constexpr int kLeaseDivisor = 49;

  Deployment deployment_;
  std::chrono::milliseconds run_end_;
  std::chrono::milliseconds silence_;
  std::chrono::milliseconds lease_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_RUN_END_BUDGET_H_
