// Measures how long messages wait until a process handles them.
#ifndef ZINNIAMUX_CORE_MESSAGE_DELAY_METER_H_
#define ZINNIAMUX_CORE_MESSAGE_DELAY_METER_H_

#include <algorithm>
#include <cstdint>
#include <utility>

#include "core/clock.h"

namespace zinniamux::core {

// Messages carry the time at which they were sent. What a message takes longer than the fastest one
// of its connection, it has spent in queues: on the network, in socket buffers, or behind other
// events of a process that is short of processor time.
class MessageDelayMeter {
 public:
  struct Interval {
    std::uint64_t messages = 0;
    Duration total{0};
    Duration max{0};
    Duration mean() const {
      return messages == 0 ? Duration(0) : total / static_cast<std::int64_t>(messages);
    }
  };

  void Record(Duration delay) {
    ++interval_.messages;
    interval_.total += delay;
    interval_.max = std::max(interval_.max, delay);
  }
  // What was recorded since the last call.
  Interval TakeInterval() { return std::exchange(interval_, {}); }

 private:
  Interval interval_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_MESSAGE_DELAY_METER_H_
