// ReportPace and ReportSchedule: how often supervisors report changes to which dispatcher.
#include "core/report_pace.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "core/report_schedule.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using zinniamux::core::Duration;
using zinniamux::core::ReportPace;
using zinniamux::core::ReportSchedule;
using zinniamux::core::TimePoint;

constexpr TimePoint kStart{seconds(100)};
const std::string kSmall = "small";
const std::string kLarge = "large";

// Ten messages in each of `periods` periods, `late` of them late.
TimePoint Receive(ReportPace& pace, TimePoint now, int periods, int late) {
  constexpr int kMessages = 10;
  const ReportPace::Options options;
  for (int i = 0; i < periods; ++i) {
    for (int m = 0; m < kMessages; ++m) {
      now += options.period / kMessages;
      pace.OnMessage(m < late ? options.max_delay + milliseconds(1) : Duration(0), now);
    }
  }
  return now;
}

}  // namespace

// Guards against a dispatcher that stays flooded with reports: views are then as old as its
// backlog.
Test(report_pace, asks_for_longer_pauses_while_most_messages_are_late) {
  ReportPace pace;
  const milliseconds min = ReportPace::Options().min_pause;
  TimePoint now = Receive(pace, kStart, 5, 6);
  cr_assert_gt(pace.pause(), min * 4);
  now = Receive(pace, now, 50, 6);
  cr_assert_eq(pace.pause(), ReportPace::Options().max_pause);
  Receive(pace, now, 100, 0);
  cr_assert_eq(pace.pause(), min);
}

// Guards against fewer reports from all executors because of a few that are slow to send.
Test(report_pace, ignores_late_messages_of_single_supervisors) {
  ReportPace pace;
  Receive(pace, kStart, 50, 4);
  cr_assert_eq(pace.pause(), ReportPace::Options().min_pause);
}

// Guards against a pause for all dispatchers because of one that is short of processor time.
Test(report_schedule, waits_for_the_pause_of_each_dispatcher) {
  ReportSchedule schedule;
  schedule.SetPause(kSmall, milliseconds(60));
  for (const std::string& id : {kSmall, kLarge}) {
    schedule.OnReportSent(id, kStart);
    schedule.AddChange(id, milliseconds(16), kStart + milliseconds(10));
  }
  cr_assert(schedule.next_due() == kStart + milliseconds(26));
  cr_assert(schedule.DueAt(kStart + milliseconds(26)) == std::vector<std::string>{kLarge});
  schedule.OnReportSent(kLarge, kStart + milliseconds(26));
  cr_assert(schedule.next_due() == kStart + milliseconds(60));
  cr_assert(schedule.DueAt(kStart + milliseconds(60)) == std::vector<std::string>{kSmall});
}

// Guards against reports that repeat what another message has said already.
Test(report_schedule, counts_every_report_that_was_sent) {
  ReportSchedule schedule;
  schedule.AddChange(kSmall, milliseconds(16), kStart);
  schedule.OnReportSent(kSmall, kStart + milliseconds(5));
  cr_assert_not(schedule.next_due().has_value());
}

// Guards against changes that are put off again and again by later ones.
Test(report_schedule, keeps_the_due_time_when_more_changes) {
  ReportSchedule schedule;
  for (int i = 0; i < 10; ++i) {
    schedule.AddChange(kSmall, milliseconds(16), kStart + milliseconds(i));
  }
  cr_assert(schedule.next_due() == kStart + milliseconds(16));
}

// Guards against dispatchers that order from an executor which takes no work any more.
Test(report_schedule, sends_urgent_changes_in_spite_of_the_pause) {
  ReportSchedule schedule;
  schedule.SetPause(kSmall, milliseconds(300));
  schedule.OnReportSent(kSmall, kStart);
  schedule.AddChange(kSmall, milliseconds(16), kStart);
  schedule.AddUrgentChange(kSmall, milliseconds(16), kStart);
  cr_assert(schedule.next_due() == kStart + milliseconds(16));
}

// Guards against reports to a connection that is gone.
Test(report_schedule, forgets_removed_dispatchers) {
  ReportSchedule schedule;
  schedule.AddChange(kSmall, milliseconds(16), kStart);
  schedule.Remove(kSmall);
  cr_assert_not(schedule.next_due().has_value());
}
