// Tracks how often executors have the room that a dispatcher's view of them shows.
#ifndef ZINNIAMUX_CORE_VIEW_TRUST_H_
#define ZINNIAMUX_CORE_VIEW_TRUST_H_

#include <chrono>
#include <cmath>
#include <cstddef>

#include "core/clock.h"

namespace zinniamux::core {

// Load pattern: for some seconds every dispatcher has waiting jobs, and several of them see the
// same room when it becomes free. Most orders that expect free room are then refused. After some
// refusals the views are not trusted for about two seconds.
class ViewTrust {
 public:
  struct Options {
    // Share of the orders that may be refused for lack of room. Each refusal costs two messages and
    // a network round trip, which is less than the time lost by an order that waits on a full
    // executor.
    double max_refused_share = 0.3;
    // With fewer orders the views are trusted.
    double min_orders = 4;
    // Time constant of the exponential decay; bursts last for some seconds.
    std::chrono::milliseconds decay_time{2000};
  };

  ViewTrust() : ViewTrust(Options()) {}
  explicit ViewTrust(const Options& options) : options_(options) {}

  void RecordOrders(std::size_t count, TimePoint now) {
    Decay(now);
    orders_ += static_cast<double>(count);
  }
  // Records an order that was refused for lack of room.
  void RecordRefusal(TimePoint now) {
    Decay(now);
    refused_ += 1;
  }
  bool is_trusted(TimePoint now) const {
    return orders_ * WeightAt(now) < options_.min_orders ||
           refused_ <= orders_ * options_.max_refused_share;
  }

 private:
  double WeightAt(TimePoint now) const {
    const std::chrono::duration<double> age = now - changed_at_;
    return std::exp(-age / std::chrono::duration<double>(options_.decay_time));
  }
  void Decay(TimePoint now) {
    const double weight = WeightAt(now);
    orders_ *= weight;
    refused_ *= weight;
    changed_at_ = now;
  }

  Options options_;
  // Counts that decay exponentially.
  double orders_ = 0;
  double refused_ = 0;
  TimePoint changed_at_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_VIEW_TRUST_H_
