// Job: an answer holds every result or is marked failed.
#include "core/job.h"

#include <criterion/criterion.h>

namespace {

using zinniamux::core::ErrorKind;
using zinniamux::core::Job;
using zinniamux::core::JobState;
using zinniamux::core::Submission;

Job JobWithTasks(std::size_t count) {
  auto submission = std::make_shared<Submission>();
  submission->id = "order-1";
  submission->tasks.resize(count);
  return Job(submission);
}

}  // namespace

// Guards against a complete answer before every task has a result.
Test(job, completes_only_with_its_last_task) {
  Job job = JobWithTasks(2);
  job.MarkDispatched(0, "agent-1");
  job.MarkDispatched(1, "agent-2");
  job.MarkFinished(1, "second");
  cr_assert(!job.finished());
  cr_assert(job.CurrentAnswer().results.empty());
  job.MarkFinished(0, "first");
  cr_assert(job.finished());
  cr_assert(job.answer().state == JobState::kComplete);
  cr_assert(job.answer().results[0] == "first");
  cr_assert(job.answer().results[1] == "second");
}

// Guards against `not_run` in the answer of a job whose task may have been started.
Test(job, sets_not_run_only_without_dispatched_tasks) {
  Job untouched = JobWithTasks(1);
  untouched.Fail({ErrorKind::kCancelled, "cancelled", {}});
  cr_assert(untouched.answer().not_run);
  Job dispatched = JobWithTasks(1);
  dispatched.MarkDispatched(0, "agent-1");
  dispatched.Fail({ErrorKind::kCancelled, "cancelled", {}});
  cr_assert(!dispatched.answer().not_run);
}
