// Tells which requests may be of callers that have left.
#ifndef ZINNIAMUX_CORE_STALE_REQUEST_DETECTOR_H_
#define ZINNIAMUX_CORE_STALE_REQUEST_DETECTOR_H_

#include <chrono>
#include <cstddef>
#include <deque>

#include "core/clock.h"

namespace zinniamux::core {

// Load pattern: the path from callers is cut for a second or more. They close their connections
// meanwhile and send their jobs elsewhere. After the cut TCP delivers what they had sent, each
// request with the end of its connection behind it: at once, or up to a resend later. A request
// does not tell when it was sent. Not thread-safe.
//
// A silence is a time without requests that is much longer than the usual ones, or a time in which
// nothing at all reached the dispatcher. Requests on connections from before its end may be stale
// for as long as TCP may take to send again what it held up. Where requests are rare, long pauses
// are usual and show nothing.
class StaleRequestDetector {
 public:
  // A shorter time without requests is no silence.
  explicit StaleRequestDetector(std::chrono::milliseconds min_silence)
      : min_silence_(min_silence) {}

  // A caller's request was read.
  void OnRequest(TimePoint now);
  // Nothing has reached the dispatcher between these times.
  void OnIsolation(TimePoint began, TimePoint ended) { AddSilence(began, ended); }

  // Whether a request that is read now may have been sent in a silence. `used_at` is when its
  // connection was opened, or when the last request before it was read there.
  bool MayBeStale(TimePoint used_at, TimePoint now) const {
    return used_at < silence_ended_ && now < stale_until_;
  }

 private:
  struct Pause {
    TimePoint ended;
    Duration length{0};
  };

  void AddSilence(TimePoint began, TimePoint ended);
  // The third longest pause of the last minute, so that two silences in it do not count as usual.
  Duration UsualPause() const;

  const std::chrono::milliseconds min_silence_;
  std::size_t requests_ = 0;
  TimePoint last_request_;
  // Pauses of the last minute that are long enough to matter.
  std::deque<Pause> pauses_;
  // Of the last silence, or of the first of several that followed each other.
  TimePoint silence_began_;
  TimePoint silence_ended_;
  TimePoint stale_until_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_STALE_REQUEST_DETECTOR_H_
