// The estimated difference between the clocks of two processes.
#include "core/clock_offset.h"

#include <criterion/criterion.h>

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using zinniamux::core::ClockOffset;
using zinniamux::core::Duration;
using zinniamux::core::TimePoint;

constexpr TimePoint kStart{seconds(1000)};
constexpr Duration kOffset = seconds(-400);

Duration PeerTime(TimePoint now) { return now.time_since_epoch() + kOffset; }

}  // namespace

Test(clock_offset, returns_the_delay_beyond_that_of_the_fastest_message) {
  ClockOffset offset;
  cr_assert(offset.Record(PeerTime(kStart), kStart + milliseconds(5)) == Duration(0));
  cr_assert(offset.Record(PeerTime(kStart), kStart + milliseconds(1)) == Duration(0));
  cr_assert(offset.Record(PeerTime(kStart), kStart + milliseconds(21)) == milliseconds(20));
  cr_assert(offset.value() == kOffset - milliseconds(1));
}

// Guards against orders that expire late, and messages that seem late, on connections that have
// lasted for hours: the clock of the peer runs slower than that of this process.
Test(clock_offset, follows_a_clock_that_drifts) {
  ClockOffset offset;
  Duration peer_time = PeerTime(kStart);
  TimePoint now = kStart;
  Duration delay{0};
  for (int i = 0; i < 6 * 60 * 60; ++i) {
    now += seconds(1);
    // 50 parts per million slow.
    peer_time += seconds(1) - std::chrono::microseconds(50);
    delay = offset.Record(peer_time, now);
  }
  const Duration error = offset.value() - (peer_time - now.time_since_epoch());
  cr_assert_leq(error, Duration(milliseconds(3)));
  cr_assert_leq(delay, Duration(milliseconds(3)));
}

// Guards against an estimate that follows a backlog of some seconds.
Test(clock_offset, keeps_the_fastest_message_of_the_last_window) {
  ClockOffset offset;
  offset.Record(PeerTime(kStart), kStart);
  TimePoint now = kStart;
  for (int i = 0; i < 30; ++i) {
    now += seconds(1);
    offset.Record(PeerTime(now) - milliseconds(500), now);
  }
  cr_assert(offset.value() == kOffset);
}
