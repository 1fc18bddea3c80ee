// WorkBudget: costs of jobs, and the limits on one job and on all of them.
#include "core/work_budget.h"

#include <criterion/criterion.h>
#include <malloc.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/clock.h"
#include "core/job_scheduler.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using zinniamux::core::AnswerJob;
using zinniamux::core::JobReason;
using zinniamux::core::JobRequest;
using zinniamux::core::JobResult;
using zinniamux::core::JobScheduler;
using zinniamux::core::JobStep;
using zinniamux::core::ManualClock;
using zinniamux::core::RunOutcome;
using zinniamux::core::StartTasks;
using zinniamux::core::WorkBudget;

// The least that the settings allow.
constexpr WorkBudget::Options kLeast{.max_bytes = 8U << 20U};
// What docs/callers.md promises to accept.
constexpr std::uint32_t kUsualTasks = 500;
constexpr std::size_t kUsualSpecBytes = 4000;
// Ids of processes and racks that do not fit into a string object.
const std::string kLongName = "a name of the length that long names of VMs have";

std::size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

JobRequest Job(const std::string& id, std::size_t steps, const JobStep& step,
               std::size_t spec_bytes = 20) {
  return {.id = id,
          .queue = kLongName,
          .service = "service",
          .spec = std::string(spec_bytes, 'x'),
          .steps = std::vector<JobStep>(steps, step),
          .attempts = 2,
          .stretch = 1,
          .slack = seconds(300),
          .deadline = zinniamux::core::TimePoint::max()};
}

struct Fixture {
  explicit Fixture(const WorkBudget::Options& work, std::int64_t cpu_milli = 1'000'000)
      : scheduler({.availability_zone = "zone",
                   .work = work,
                   // More than the memory allows.
                   .max_runs_per_supervisor = 1'000'000},
                  clock) {
    // Skip the startup grace, during which jobs wait for executors.
    clock.Advance(seconds(2));
    scheduler.OnAgentAttached(kLongName, "zone", 1, {});
    scheduler.OnReport(kLongName, {.executor_id = "executor",
                                   .service = "service",
                                   .accepting = true,
                                   .capacity = {.cpu_milli = cpu_milli, .memory_mb = 1000},
                                   .free = {.cpu_milli = cpu_milli, .memory_mb = 1000},
                                   .labels = {kLongName},
                                   .pace = 1,
                                   .executor_answered = true});
  }

  // The reason of the refusal, if the job is answered at once.
  JobReason Submit(JobRequest job) {
    const std::string id = job.id;
    scheduler.OnJob(std::move(job));
    JobReason reason = JobReason::kNone;
    scheduler.Place();
    for (auto& action : scheduler.TakeActions()) {
      const auto* answer = std::get_if<AnswerJob>(&action);
      if (answer != nullptr && answer->answer.job_id == id) {
        reason = answer->answer.reason;
        cr_expect_eq(answer->answer.result, JobResult::kRefused);
        cr_expect_gt(answer->answer.retry_after.count(), 0);
      }
      if (const auto* start = std::get_if<StartTasks>(&action)) starts.push_back(*start);
    }
    return reason;
  }

  ManualClock clock;
  JobScheduler scheduler;
  std::vector<StartTasks> starts;
};

// Heap bytes for each accepted and ordered job, less those of the first one.
std::size_t MeasuredCost(const JobStep& step, std::size_t steps, std::size_t spec_bytes) {
  constexpr std::size_t kJobs = 20;
  Fixture fixture({.max_bytes = 1U << 30U});
  fixture.Submit(Job("0000000000000000", steps, step, spec_bytes));
  fixture.starts = {};
  const std::size_t before = HeapBytes();
  for (std::size_t i = 1; i <= kJobs; ++i) {
    fixture.Submit(Job(std::to_string(1'000'000'000'000'000 + i), steps, step, spec_bytes));
    fixture.starts = {};
  }
  cr_assert_eq(fixture.scheduler.job_count(), kJobs + 1);
  return (HeapBytes() - before) / kJobs;
}

}  // namespace

// Guards against costs that fall behind the state of a job: the budget would then allow more memory
// than it has.
Test(work_budget, costs_cover_what_the_scheduler_allocates) {
  const auto check = [](const char* name, const JobStep& step, std::size_t steps,
                        std::size_t spec_bytes) {
    const std::size_t measured = MeasuredCost(step, steps, spec_bytes);
    const std::size_t cost = WorkBudget::CostOf(Job("0000000000000000", steps, step, spec_bytes));
    cr_log_info("%s: %zu measured, cost %zu", name, measured, cost);
    cr_expect_leq(measured, cost, "%s: %zu > %zu", name, measured, cost);
  };
  check("one task", {.count = 1}, 1, 20);
  check("eight tasks", {.count = 8, .need = {.cpu_milli = 1}}, 1, 20);
  check("the usual limits", {.count = kUsualTasks, .need = {.cpu_milli = 1}}, 1, kUsualSpecBytes);
  check("many steps", {.count = 1, .required_label = kLongName}, 1000, 20);
  check("near racks", {.count = kUsualTasks, .preferred_rack = kLongName}, 1, 20);
  check("waiting tasks", {.count = 10'000, .need = {.cpu_milli = 1000}}, 1, 20);
}

// Guards against a limit that refuses ordinary jobs, also on the smallest VM: 500 tasks with a spec
// of 4,000 bytes, in one step or in as many as there are tasks.
Test(work_budget, accepts_jobs_within_the_usual_limits_on_the_smallest_vm) {
  for (const std::uint32_t steps : {1U, kUsualTasks}) {
    Fixture fixture(kLeast);
    const JobRequest job =
        Job("0000000000000001", steps, {.count = kUsualTasks / steps}, kUsualSpecBytes);
    cr_expect(WorkBudget::CheckSize(job).has_value());
    cr_expect_eq(fixture.Submit(job), JobReason::kNone);
  }
}

// Guards against jobs that are accepted by CheckSize and then never fit.
Test(work_budget, has_room_for_the_largest_job_when_idle) {
  cr_expect(WorkBudget(kLeast).HasRoomFor(WorkBudget::kMaxJobBytes, 0));
}

// Guards against state and orders of one job that exceed the memory of a VM or a frame.
Test(work_budget, refuses_jobs_that_no_dispatcher_can_hold) {
  const auto size_error = [](std::size_t steps, std::uint32_t count, std::size_t spec_bytes) {
    const auto size =
        WorkBudget::CheckSize(Job("0000000000000001", steps, {.count = count}, spec_bytes));
    return size ? "" : size.error().message;
  };
  cr_expect(size_error(300, 10'000, 19).find("3000000 tasks") != std::string::npos);
  cr_expect(!size_error(1, 1000, kUsualSpecBytes).empty());
  cr_expect(!size_error(1, 1, 7U << 20U).empty());
  cr_expect(size_error(1, 10'000, 19).empty());
}

// Guards against state of many jobs of a permitted size, and against memory that is not returned
// with the answers.
Test(work_budget, refuses_jobs_without_room_and_accepts_them_after_answers) {
  Fixture fixture(kLeast, 1000);
  // More tasks than the executor has room for, so that the job waits.
  const JobStep wide{.count = 10'000, .need = {.cpu_milli = 1000}, .estimate = milliseconds(100)};
  cr_expect_eq(fixture.Submit(Job("0000000000000001", 1, wide)), JobReason::kNone);
  cr_expect_eq(fixture.Submit(Job("0000000000000002", 1, wide)), JobReason::kNoMemory);
  // The part that is kept for small jobs.
  cr_expect_eq(fixture.Submit(Job("0000000000000003", 1, {.count = 1})), JobReason::kNone);
  fixture.scheduler.OnCancel("0000000000000001");
  cr_expect_eq(fixture.Submit(Job("0000000000000002", 1, wide)), JobReason::kNone);
}

// Guards against callers that send a job, cancel it and send the next one before the supervisors
// have reported the ends of its runs.
Test(work_budget, counts_runs_of_cancelled_jobs_until_they_are_reported) {
  Fixture fixture(kLeast);
  const JobStep step{.count = 10'000, .estimate = milliseconds(100)};
  std::size_t accepted = 0;
  while (accepted < 100 && fixture.Submit(Job("0000000000000001", 1, step)) == JobReason::kNone) {
    fixture.scheduler.OnCancel("0000000000000001");
    fixture.scheduler.TakeActions();
    ++accepted;
  }
  cr_expect_lt(accepted, 100);
  cr_expect_leq(fixture.scheduler.work_bytes(), kLeast.max_bytes);
  for (const StartTasks& start : std::exchange(fixture.starts, {})) {
    for (const StartTasks::Start& each : start.starts) {
      fixture.scheduler.OnRunUpdate(
          start.agent_id,
          {.task = {.job_id = start.job_id, .step = start.step, .index = each.index},
           .run = each.run},
          RunOutcome::kStopped, milliseconds(1));
    }
  }
  cr_expect_eq(fixture.scheduler.work_bytes(), 0);
  cr_expect_eq(fixture.Submit(Job("0000000000000001", 1, step)), JobReason::kNone);
}
