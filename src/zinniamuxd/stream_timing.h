// Times that both ends of a stream or a peer connection must agree on.
#ifndef ZINNIAMUX_ZINNIAMUXD_STREAM_TIMING_H_
#define ZINNIAMUX_ZINNIAMUXD_STREAM_TIMING_H_

#include <chrono>

namespace zinniamux::daemon {

// A heartbeat is sent when nothing else was sent for this time.
inline constexpr std::chrono::seconds kHeartbeatPeriod{1};
// A connection that received nothing for this time counts as dead: two heartbeats may be lost.
inline constexpr std::chrono::seconds kSilenceLimit{3};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_STREAM_TIMING_H_
