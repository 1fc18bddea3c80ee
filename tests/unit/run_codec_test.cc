// The frames between dispatchers and supervisors: processes of different versions.
#include "zinniamuxd/run_codec.h"

#include <criterion/criterion.h>

#include <cstdint>

namespace {

using zinniamux::core::ExecutorReport;
using zinniamux::core::RunOutcome;
using zinniamux::core::RunUpdate;
using zinniamux::core::StartRank;
using zinniamux::core::StartTasks;

}  // namespace

// Guards against dispatchers of an earlier version that do not know why a run was stopped, and
// against present ones that order its task again.
Test(run_codec, tells_earlier_versions_of_a_silent_owner_as_a_stop) {
  const RunUpdate update{.owner = "dispatcher",
                         .id = {.task = {.job_id = "job"}, .run = 2},
                         .outcome = RunOutcome::kOwnerSilent};
  zinniamux::runs::RunUpdate message;
  zinniamux::daemon::ToMessage(update, message);
  cr_assert_eq(message.outcome(), static_cast<std::uint32_t>(RunOutcome::kStopped));
  cr_assert(zinniamux::daemon::OutcomeFromMessage(message) == RunOutcome::kOwnerSilent);
}

// Guards against dispatchers of an earlier version that take an outcome they do not know for a run
// that was never started, and tell the caller so.
Test(run_codec, tells_earlier_versions_of_an_unanswered_start_as_a_stop) {
  const RunUpdate update{.owner = "dispatcher",
                         .id = {.task = {.job_id = "job"}, .run = 2},
                         .outcome = RunOutcome::kStartUnanswered};
  zinniamux::runs::RunUpdate message;
  zinniamux::daemon::ToMessage(update, message);
  cr_assert_eq(message.outcome(), static_cast<std::uint32_t>(RunOutcome::kStopped));
  cr_assert(zinniamux::daemon::OutcomeFromMessage(message) == RunOutcome::kStartUnanswered);
}

// Guards against dispatchers of an earlier version that take an outcome they do not know for a run
// that was never started, and tell the caller so.
Test(run_codec, tells_earlier_versions_of_a_crash_as_an_expired_lease) {
  const RunUpdate update{.owner = "dispatcher",
                         .id = {.task = {.job_id = "job"}, .run = 2},
                         .outcome = RunOutcome::kExecutorCrashed};
  zinniamux::runs::RunUpdate message;
  zinniamux::daemon::ToMessage(update, message);
  cr_assert_eq(message.outcome(), static_cast<std::uint32_t>(RunOutcome::kLapsed));
  cr_assert(zinniamux::daemon::OutcomeFromMessage(message) == RunOutcome::kExecutorCrashed);
}

// Guards against a field of a report or of the evacuated zones that is lost on the way.
Test(run_codec, carries_cold_executors_and_evacuated_zones) {
  const zinniamux::core::ExecutorReport report{.cold_left = std::chrono::milliseconds(1500),
                                               .availability_zone = "zone-b"};
  zinniamux::runs::ExecutorReport message;
  zinniamux::daemon::ToMessage(report, message);
  cr_assert_eq(zinniamux::daemon::FromMessage(message).cold_left.count(), 1500);
  cr_assert_eq(zinniamux::daemon::FromMessage(message).availability_zone, "zone-b");
  const zinniamux::core::EvacuationState state{.version = 7, .zones = {"zone-a", "zone-b"}};
  zinniamux::runs::EntryFrame frame;
  cr_assert_eq(zinniamux::daemon::EvacuationFromMessage(frame).version, 0);
  zinniamux::daemon::ToMessage(state, frame);
  zinniamux::daemon::ToMessage(state, frame);
  cr_assert(zinniamux::daemon::EvacuationFromMessage(frame) == state);
}

// Guards against late orders that lose their rank on the way, and would start before others.
Test(run_codec, keeps_the_rank_of_late_orders) {
  const StartTasks start{.job_id = "job", .rank = StartRank::kLate, .starts = {{.run = 1}}};
  zinniamux::runs::StartOrder message;
  zinniamux::daemon::ToMessage(start, zinniamux::core::Duration(0), message);
  const auto orders = zinniamux::daemon::FromMessage(message);
  cr_assert_eq(orders.size(), 1U);
  cr_assert(orders[0].rank == StartRank::kLate);
  zinniamux::runs::ExecutorReport report;
  zinniamux::daemon::ToMessage(ExecutorReport{.waiting = {.late_cpu_milli = 700}}, report);
  cr_assert_eq(zinniamux::daemon::FromMessage(report).waiting.late_cpu_milli, 700);
}

// Guards against a steady pace that is lost on its way, and against supervisors of earlier
// versions, which send none, that are taken for infinitely fast.
Test(run_codec, carries_the_steady_pace) {
  zinniamux::runs::ExecutorReport message;
  cr_assert_eq(zinniamux::daemon::FromMessage(message).steady_pace, 0);
  zinniamux::core::ExecutorReport report;
  report.steady_pace = 1.75;
  zinniamux::daemon::ToMessage(report, message);
  cr_assert_float_eq(zinniamux::daemon::FromMessage(message).steady_pace, 1.75, 0.001);
}
