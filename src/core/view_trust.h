// How often executors have the room that an entry's view of them shows.
#ifndef ZINNIAMUX_CORE_VIEW_TRUST_H_
#define ZINNIAMUX_CORE_VIEW_TRUST_H_

#include <chrono>
#include <cmath>
#include <cstddef>

#include "core/clock.h"

namespace zinniamux::core {

// Load pattern: for some seconds every entry has jobs that wait, and each place that becomes free
// is seen by several of them. Orders that expect room are then refused one after the other. After
// some refusals the view is not trusted, for about two seconds.
class ViewTrust {
 public:
  struct Options {
    // Part of the orders that may be refused for want of room. Each refusal costs two messages and
    // a network round trip, which is less than an order loses that waits where there is no room.
    double most_missed = 0.3;
    // Orders that say enough.
    double least_orders = 4;
    // Bursts last for some seconds.
    std::chrono::milliseconds memory{2000};
  };

  ViewTrust() : ViewTrust(Options()) {}
  explicit ViewTrust(const Options& options) : options_(options) {}

  void NoteOrders(std::size_t count, TimePoint now) {
    Fade(now);
    orders_ += static_cast<double>(count);
  }
  // An order was refused for want of room.
  void NoteMiss(TimePoint now) {
    Fade(now);
    missed_ += 1;
  }
  bool holds(TimePoint now) const {
    return orders_ * WeightAt(now) < options_.least_orders ||
           missed_ <= orders_ * options_.most_missed;
  }

 private:
  double WeightAt(TimePoint now) const {
    const std::chrono::duration<double> age = now - changed_at_;
    return std::exp(-age / std::chrono::duration<double>(options_.memory));
  }
  void Fade(TimePoint now) {
    const double weight = WeightAt(now);
    orders_ *= weight;
    missed_ *= weight;
    changed_at_ = now;
  }

  Options options_;
  // Sums that fade with time.
  double orders_ = 0;
  double missed_ = 0;
  TimePoint changed_at_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_VIEW_TRUST_H_
