// Learns how long orders may wait for room at an executor.
#ifndef ZINNIAMUX_CORE_ORDER_WAIT_LIMIT_H_
#define ZINNIAMUX_CORE_ORDER_WAIT_LIMIT_H_

#include <algorithm>

namespace zinniamux::core {

// Load pattern: executors are nearly full for seconds, and several dispatchers order from views
// that are some milliseconds old. An order that waits at an executor uses room in the turn in which
// it becomes free; one that waits for a report of free room leaves it idle on the way. But an order
// that waits is bound to its executor and may have joined a longer queue than its view showed: the
// more dispatchers compete, the longer. So the limit grows while orders start when they should, and
// shrinks when they do not.
class OrderWaitLimit {
 public:
  struct Options {
    // Bounds of the limit, as shares of a job's objective. The lower one lets some orders wait, so
    // that the limit can grow again.
    double min_share = 0.015;
    double max_share = 0.25;
    double initial_share = 0.1;
    // The limit is steady while this share of the waiting orders start too late.
    double late_share = 0.1;
    // Relative decrease for a late start; the increase for one in time follows from late_share.
    double step = 0.1;
  };

  OrderWaitLimit() : OrderWaitLimit(Options()) {}
  explicit OrderWaitLimit(const Options& options)
      : options_(options), share_(options.initial_share) {}

  // Records whether an order that had to wait started in time.
  void RecordStart(bool in_time) {
    share_ *= in_time ? 1 + options_.step * options_.late_share
                      : 1 - options_.step * (1 - options_.late_share);
    share_ = std::clamp(share_, options_.min_share, options_.max_share);
  }

  // Longest expected wait of an order, as a share of the objective.
  double share() const { return share_; }

 private:
  Options options_;
  double share_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_ORDER_WAIT_LIMIT_H_
