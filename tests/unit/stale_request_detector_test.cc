// StaleRequestDetector: silences between requests, and the requests after them.
#include "core/stale_request_detector.h"

#include <criterion/criterion.h>

#include <chrono>
#include <random>

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using zinniamux::core::ManualClock;
using zinniamux::core::StaleRequestDetector;
using zinniamux::core::TimePoint;

struct Fixture {
  // Requests at equal intervals.
  void Request(int count, milliseconds interval) {
    for (int i = 0; i < count; ++i) {
      clock.Advance(interval);
      detector.OnRequest(clock.now());
    }
  }
  bool MayBeStale(TimePoint used_at) const { return detector.MayBeStale(used_at, clock.now()); }

  ManualClock clock;
  StaleRequestDetector detector{milliseconds(500)};
};

}  // namespace

// Guards against requests that a cut between callers and a dispatcher has held up: supervisors are
// heard meanwhile, and only the silence of the callers shows the cut.
Test(stale_request_detector, suspects_old_connections_for_as_long_as_tcp_sends_again) {
  Fixture fixture;
  fixture.Request(100, milliseconds(50));
  const TimePoint before = fixture.clock.now();
  fixture.Request(1, seconds(3));
  cr_assert(fixture.MayBeStale(before));
  cr_assert_not(fixture.MayBeStale(fixture.clock.now()));
  fixture.Request(62, milliseconds(50));
  cr_assert(fixture.MayBeStale(before));
  fixture.Request(3, milliseconds(50));
  cr_assert_not(fixture.MayBeStale(before));
}

// Guards against a second cut that hides behind the first one, and against a request that was sent
// in the first one and comes after the second: TCP counts its intervals from the sending.
Test(stale_request_detector, suspects_after_silences_in_a_row) {
  Fixture fixture;
  fixture.Request(100, milliseconds(50));
  const TimePoint before = fixture.clock.now();
  fixture.Request(1, seconds(3));
  fixture.Request(10, milliseconds(50));
  const TimePoint between = fixture.clock.now();
  fixture.Request(1, milliseconds(700));
  cr_assert(fixture.MayBeStale(between));
  // 4.2 s from the beginning of the first one to the end of the second.
  fixture.Request(85, milliseconds(50));
  cr_assert(fixture.MayBeStale(before));
  fixture.Request(5, milliseconds(50));
  cr_assert_not(fixture.MayBeStale(before));
}

// Guards against a wait that every request pays where requests come seldom, or in bursts.
Test(stale_request_detector, takes_pauses_that_are_usual_for_no_silence) {
  Fixture fixture;
  const TimePoint opened = fixture.clock.now();
  for (int i = 0; i < 100; ++i) {
    fixture.Request(1, milliseconds(1000 + 100 * (i % 9)));
    cr_assert_not(fixture.MayBeStale(opened));
  }
  Fixture bursts;
  bursts.Request(20, milliseconds(1));
  for (int i = 0; i < 20; ++i) {
    bursts.Request(1, seconds(2));
    // Three pauses show what is usual; stale requests are possible for as long again.
    if (i > 5) cr_assert_not(bursts.MayBeStale(opened));
    bursts.Request(50, milliseconds(1));
  }
}

// Guards against a wait on calm days: requests that come independently of each other leave long
// pauses by chance. Each is counted as if its connection had not been used for long.
Test(stale_request_detector, suspects_hardly_any_request_of_a_calm_day) {
  constexpr int kRequests = 100'000;
  for (const double rate : {1.0, 5.0, 20.0, 100.0}) {
    Fixture fixture;
    std::mt19937_64 random(1);
    std::exponential_distribution<double> pauses(rate);
    const TimePoint opened = fixture.clock.now();
    int stale = 0;
    for (int i = 0; i < kRequests; ++i) {
      fixture.Request(
          1, std::chrono::ceil<milliseconds>(std::chrono::duration<double>(pauses(random))));
      if (fixture.MayBeStale(opened)) ++stale;
    }
    cr_log_info("%.0f requests a second: %d of %d may be stale", rate, stale, kRequests);
    cr_expect_lt(stale, kRequests / 100, "%d of %d at %.0f a second", stale, kRequests, rate);
  }
}

// Guards against a cut that the silence of callers does not show because they send seldom.
Test(stale_request_detector, suspects_after_an_isolation) {
  Fixture fixture;
  const TimePoint began = fixture.clock.now();
  fixture.clock.Advance(seconds(2));
  fixture.detector.OnIsolation(began, fixture.clock.now());
  cr_assert(fixture.MayBeStale(began));
  fixture.clock.Advance(milliseconds(2300));
  cr_assert_not(fixture.MayBeStale(began));
}
