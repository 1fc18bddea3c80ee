// BacklogMeter: how long requests wait before the process reads them.
#include "core/backlog_meter.h"

#include <criterion/criterion.h>

#include <string>

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using zinniamux::core::BacklogMeter;
using zinniamux::core::Duration;
using zinniamux::core::TimePoint;

constexpr TimePoint kStart{seconds(100)};

// A message of each of `peers` peers, of which the first `late` have waited for 500 ms.
void Receive(BacklogMeter& meter, int peers, int late, Duration delay) {
  for (int i = 0; i < peers; ++i) {
    meter.OnMessage("peer-" + std::to_string(i), i < late ? milliseconds(500) : delay, kStart);
  }
}

}  // namespace

// Guards against jobs that are placed too late because the time that they waited is not counted.
Test(backlog_meter, measures_the_delay_of_most_peers) {
  BacklogMeter meter;
  Receive(meter, 20, 0, milliseconds(40));
  cr_assert_eq(meter.delay(kStart), milliseconds(40));
}

// Guards against refused jobs because some supervisors are slow to send.
Test(backlog_meter, ignores_single_late_peers) {
  BacklogMeter meter;
  Receive(meter, 9, 4, milliseconds(1));
  cr_assert_eq(meter.delay(kStart), milliseconds(1));
}

// Guards against refused jobs after a connection has delivered all that it held back.
Test(backlog_meter, counts_messages_in_a_row_of_one_peer_once) {
  BacklogMeter meter;
  Receive(meter, 9, 0, milliseconds(1));
  for (int i = 0; i < 30; ++i) meter.OnMessage("peer-0", milliseconds(500 - i), kStart);
  cr_assert_eq(meter.delay(kStart), milliseconds(1));
}

// Guards against refused jobs because of a backlog that is over.
Test(backlog_meter, forgets_old_messages) {
  BacklogMeter meter;
  Receive(meter, 20, 0, milliseconds(40));
  cr_assert_eq(meter.delay(kStart + BacklogMeter::kMaxAge * 2), Duration(0));
}
