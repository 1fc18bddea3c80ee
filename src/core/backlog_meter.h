// Estimates how long what a process handles now has waited since it arrived.
#ifndef ZINNIAMUX_CORE_BACKLOG_METER_H_
#define ZINNIAMUX_CORE_BACKLOG_METER_H_

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

#include "core/clock.h"

namespace zinniamux::core {

// Load pattern: a process is short of processor time, and requests wait in socket buffers before it
// reads them. Nothing in a request tells when it arrived, but messages of peers wait in the same
// way and carry the time at which they were sent. The median over several peers leaves out those
// whose messages are late for reasons of their own.
class BacklogMeter {
 public:
  // Messages that were handled longer ago do not count: a backlog may have come or gone since.
  static constexpr std::chrono::milliseconds kMaxAge{100};

  // Records a message of a peer that had waited for `delay`.
  void OnMessage(std::string_view peer, Duration delay, TimePoint now) {
    // What a peer has sent in a row may have waited for its connection; only the last of it counts.
    if (samples_[newest_].peer != peer) newest_ = (newest_ + 1) % samples_.size();
    samples_[newest_].peer = peer;
    samples_[newest_].delay = delay;
    samples_[newest_].handled_at = now;
  }

  // How long what is handled now has waited; zero if few messages are recent.
  Duration delay(TimePoint now) const {
    std::array<Duration, kSamples> recent{};
    std::size_t count = 0;
    for (const Sample& sample : samples_) {
      if (!sample.peer.empty() && now - sample.handled_at <= kMaxAge) {
        recent[count++] = sample.delay;
      }
    }
    if (count <= kSamples / 2) return Duration(0);
    const auto middle = recent.begin() + static_cast<std::ptrdiff_t>(count / 2);
    std::nth_element(recent.begin(), middle, recent.begin() + static_cast<std::ptrdiff_t>(count));
    return *middle;
  }

 private:
  // Some milliseconds of messages in front of 50 supervisors, so that the median follows a backlog.
  static constexpr std::size_t kSamples = 9;

  struct Sample {
    std::string peer;
    Duration delay{0};
    TimePoint handled_at;
  };

  // The last messages, without those that were followed by another one of their peer.
  std::array<Sample, kSamples> samples_;
  std::size_t newest_ = 0;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_BACKLOG_METER_H_
