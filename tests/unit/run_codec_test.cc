// The frames between dispatchers and supervisors: processes of different versions.
#include "zinniamuxd/run_codec.h"

#include <criterion/criterion.h>

#include <cstdint>

namespace {

using zinniamux::core::RunOutcome;
using zinniamux::core::RunUpdate;

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
