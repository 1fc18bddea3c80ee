// JobScheduler: admission, placement, retries and answers of one dispatcher.
#include "core/job_scheduler.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using zinniamux::core::AnswerJob;
using zinniamux::core::ExecutorReport;
using zinniamux::core::JobReason;
using zinniamux::core::JobRequest;
using zinniamux::core::JobResult;
using zinniamux::core::JobScheduler;
using zinniamux::core::LateAdmission;
using zinniamux::core::ManualClock;
using zinniamux::core::RunId;
using zinniamux::core::RunOutcome;
using zinniamux::core::StartRank;
using zinniamux::core::StartTasks;
using zinniamux::core::StopTask;
using zinniamux::core::SupersedeJob;
using zinniamux::core::WaitingNeeds;

struct Fixture {
  explicit Fixture(const std::vector<std::string>& supervisors = {"a", "b"},
                   const LateAdmission::Options& late = {})
      : scheduler({.availability_zone = "zone", .late = late}, clock) {
    // Skip the startup grace, during which jobs wait for executors.
    clock.Advance(seconds(1));
    for (const std::string& supervisor : supervisors) Attach(supervisor, 1);
  }

  void Attach(const std::string& supervisor, std::uint64_t incarnation,
              const std::vector<RunId>& held = {}) {
    scheduler.OnAgentAttached(supervisor, "zone", incarnation, held);
    Report(supervisor, 4000);
  }

  void Report(const std::string& supervisor, std::int64_t free, double pace = 1,
              std::uint64_t orders_seen = 0) {
    scheduler.OnReport(supervisor, {.executor_id = "executor-" + supervisor,
                                    .service = "service",
                                    .accepting = true,
                                    .capacity = {.cpu_milli = 4000, .memory_mb = 1000},
                                    .free = {.cpu_milli = free, .memory_mb = 1000},
                                    .orders_seen = orders_seen,
                                    .pace = pace,
                                    .executor_answered = true});
  }

  // Reports an executor without free room.
  void ReportFull(const std::string& supervisor, const WaitingNeeds& waiting, double release_rate) {
    scheduler.OnReport(supervisor, {.executor_id = "executor-" + supervisor,
                                    .service = "service",
                                    .accepting = true,
                                    .capacity = {.cpu_milli = 4000, .memory_mb = 1000},
                                    .free = {.cpu_milli = 0, .memory_mb = 1000},
                                    .pace = 1,
                                    .waiting = waiting,
                                    .release_rate = release_rate,
                                    .lesser_release_rate = release_rate});
  }

  // Reports an idle executor that reserves room for urgent runs.
  void ReportReserve(const std::string& supervisor, std::int64_t reserved) {
    scheduler.OnReport(supervisor, {.executor_id = "executor-" + supervisor,
                                    .service = "service",
                                    .accepting = true,
                                    .capacity = {.cpu_milli = 4000, .memory_mb = 1000},
                                    .free = {.cpu_milli = 4000, .memory_mb = 1000},
                                    .pace = 1,
                                    .kept_cpu_milli = reserved});
  }

  JobRequest MakeJob(const std::string& id, std::uint32_t tasks, bool urgent = false) const {
    return {.id = id,
            .queue = urgent ? "urgent" : "normal",
            .service = "service",
            .steps = {{.count = tasks,
                       .need = {.cpu_milli = 1000, .memory_mb = 1},
                       .estimate = milliseconds(100)}},
            .urgent = urgent,
            .attempts = 2,
            .stretch = 1.6,
            .slack = milliseconds(60),
            .deadline = clock.now() + seconds(2)};
  }

  void Submit(JobRequest job) {
    scheduler.OnJob(std::move(job));
    PlaceAndTakeActions();
  }

  void PlaceAndTakeActions() {
    scheduler.Place();
    for (auto& action : scheduler.TakeActions()) {
      if (const auto* start = std::get_if<StartTasks>(&action)) starts.push_back(*start);
      if (const auto* stop = std::get_if<StopTask>(&action)) stops.push_back(*stop);
      if (const auto* answer = std::get_if<AnswerJob>(&action)) answers.push_back(*answer);
      if (const auto* job = std::get_if<SupersedeJob>(&action)) superseded.push_back(*job);
    }
  }

  // Lets time pass in which this supervisor reports without a long silence.
  void PassTime(milliseconds time, const std::string& heard) {
    constexpr milliseconds kReportPeriod{100};
    for (; time > milliseconds(0); time -= kReportPeriod) {
      clock.Advance(std::min(time, kReportPeriod));
      Report(heard, 4000);
      scheduler.OnTimer();
      PlaceAndTakeActions();
    }
  }

  // Submits a job with one task at each of the two supervisors, and a deadline that is far away.
  void SubmitToBoth() {
    JobRequest job = MakeJob("job", 2);
    job.steps[0].max_per_executor = 1;
    job.deadline = clock.now() + seconds(20);
    Submit(std::move(job));
  }

  // Reports the outcome of every run ordered so far.
  void EndAllRuns(RunOutcome outcome) {
    const std::vector<StartTasks> ordered = std::exchange(starts, {});
    for (const StartTasks& start : ordered) {
      for (const auto& each : start.starts) {
        scheduler.OnRunUpdate(
            start.agent_id,
            {.task = {.job_id = start.job_id, .step = start.step, .index = each.index},
             .run = each.run},
            outcome, milliseconds(100));
      }
      Report(start.agent_id, 4000, 1, start.order);
    }
    PlaceAndTakeActions();
  }

  std::size_t ordered_tasks() const {
    std::size_t count = 0;
    for (const StartTasks& start : starts) count += start.starts.size();
    return count;
  }

  ManualClock clock;
  JobScheduler scheduler;
  std::vector<StartTasks> starts;
  std::vector<StopTask> stops;
  std::vector<AnswerJob> answers;
  std::vector<SupersedeJob> superseded;
};

}  // namespace

// Guards against an answer before all tasks are done.
Test(job_scheduler, completes_a_job_when_all_tasks_are_done) {
  Fixture fixture;
  fixture.Submit(fixture.MakeJob("job", 3));
  cr_assert_eq(fixture.ordered_tasks(), 3);
  cr_assert(fixture.answers.empty());
  fixture.EndAllRuns(RunOutcome::kDone);
  cr_assert(fixture.answers.at(0).answer.result == JobResult::kComplete);
}

// Guards against steps that start before the steps they depend on are complete.
Test(job_scheduler, starts_a_step_after_the_steps_before_it) {
  Fixture fixture;
  JobRequest job = fixture.MakeJob("job", 2);
  job.steps.push_back(job.steps.front());
  job.steps.back().after = {0};
  fixture.Submit(job);
  cr_assert_eq(fixture.ordered_tasks(), 2);
  fixture.EndAllRuns(RunOutcome::kDone);
  cr_assert(fixture.answers.empty());
  cr_assert_eq(fixture.ordered_tasks(), 2);
  cr_assert_eq(fixture.starts.at(0).step, 1);
  fixture.EndAllRuns(RunOutcome::kDone);
  cr_assert_eq(fixture.answers.size(), 1);
}

// Guards against more failed runs of a task than the queue allows, and against a retry on the
// executor where it has just failed.
Test(job_scheduler, retries_elsewhere_up_to_the_attempts) {
  Fixture fixture;
  fixture.Submit(fixture.MakeJob("job", 1));
  const std::string first = fixture.starts.at(0).agent_id;
  fixture.EndAllRuns(RunOutcome::kFailed);
  cr_assert_neq(fixture.starts.at(0).agent_id, first);
  cr_assert_eq(fixture.starts.at(0).starts.at(0).run, 2);
  fixture.EndAllRuns(RunOutcome::kFailed);
  cr_assert(fixture.answers.at(0).answer.result == JobResult::kFailed);
  cr_assert(fixture.answers.at(0).answer.reason == JobReason::kAttemptsUsedUp);
}

// Guards against a task that is ordered on the same executor until its caller gives up, beside idle
// ones: the executor carries out the starts, but their answers are lost.
Test(job_scheduler, retries_elsewhere_if_a_start_was_not_answered) {
  Fixture fixture;
  fixture.Submit(fixture.MakeJob("job", 1));
  const std::string first = fixture.starts.at(0).agent_id;
  fixture.EndAllRuns(RunOutcome::kStartUnanswered);
  cr_assert_neq(fixture.starts.at(0).agent_id, first);
}

// Guards against two copies of a job that run beside each other: the caller's connection to another
// dispatcher broke, and that one has not heard of it.
Test(job_scheduler, starts_a_job_after_the_runs_of_an_earlier_copy_have_ended) {
  Fixture fixture;
  ExecutorReport report{.executor_id = "executor-b",
                        .service = "service",
                        .accepting = true,
                        .capacity = {.cpu_milli = 4000, .memory_mb = 1000},
                        .free = {.cpu_milli = 4000, .memory_mb = 1000},
                        .jobs_of_others = {"job"}};
  fixture.scheduler.OnReport("b", report);
  fixture.Submit(fixture.MakeJob("job", 1));
  fixture.Submit(fixture.MakeJob("another job", 1));
  cr_assert_eq(fixture.starts.size(), 1);
  cr_assert_eq(fixture.starts[0].job_id, "another job");
  cr_assert_eq(fixture.superseded.size(), 1);
  cr_assert_eq(fixture.superseded[0].agent_ids, (std::vector<std::string>{"a", "b"}));
  cr_assert_eq(fixture.superseded[0].job_id, "job");
  report.jobs_of_others.clear();
  fixture.scheduler.OnReport("b", report);
  fixture.PlaceAndTakeActions();
  cr_assert_eq(fixture.starts.size(), 2);
  cr_assert_eq(fixture.starts[1].job_id, "job");
}

// Guards against two copies of a job that run beside each other: the first one has waited for room
// for so long that its caller may have sent it to another dispatcher, which knows nothing of it.
Test(job_scheduler, refuses_a_queued_job_when_its_caller_may_have_sent_it_again) {
  Fixture fixture({"a"});
  // An expected wait of 5 s.
  constexpr double kReleaseRate = 200;
  fixture.ReportFull("a", {}, kReleaseRate);
  JobRequest job = fixture.MakeJob("job", 1);
  // May wait for 8 s, of which 3.2 s at an executor.
  job.steps[0].estimate = seconds(20);
  job.deadline = fixture.clock.now() + seconds(60);
  fixture.Submit(std::move(job));
  constexpr milliseconds kPeriod{50};
  for (milliseconds age{0}; age < zinniamux::core::RunEndBudget().run_end(); age += kPeriod) {
    cr_assert(fixture.answers.empty());
    fixture.clock.Advance(kPeriod);
    fixture.ReportFull("a", {}, kReleaseRate);
    fixture.scheduler.OnTimer();
    fixture.PlaceAndTakeActions();
  }
  fixture.clock.Advance(kPeriod);
  fixture.Report("a", 4000);
  fixture.PlaceAndTakeActions();
  cr_assert_eq(fixture.ordered_tasks(), 0);
  cr_assert_eq(fixture.answers.size(), 1);
  cr_assert(fixture.answers[0].answer.result == JobResult::kRefused);
}

// Guards against a job that waits for a supervisor that never comes back.
Test(job_scheduler, starts_a_job_when_a_lost_supervisor_cannot_run_an_earlier_copy_any_more) {
  Fixture fixture;
  fixture.scheduler.OnReport("b", {.executor_id = "executor-b", .jobs_of_others = {"job"}});
  fixture.scheduler.OnAgentDetached("b");
  fixture.clock.Advance(zinniamux::core::RunEndBudget().lost_after());
  fixture.Report("a", 4000);
  fixture.scheduler.OnTimer();
  fixture.Submit(fixture.MakeJob("job", 1));
  cr_assert_eq(fixture.starts.size(), 1);
}

// Guards against a task that crashes one executor after the other for as long as its caller waits,
// and against jobs that fail because a task ran beside the cause of one or two crashes.
Test(job_scheduler, fails_a_job_whose_task_crashes_three_executors) {
  Fixture fixture;
  fixture.Submit(fixture.MakeJob("job", 1));
  for (int crashes = 0; crashes < 3; ++crashes) {
    cr_assert(fixture.answers.empty());
    cr_assert_eq(fixture.ordered_tasks(), 1);
    fixture.EndAllRuns(RunOutcome::kExecutorCrashed);
  }
  cr_assert_eq(fixture.ordered_tasks(), 0);
  cr_assert_eq(fixture.answers.size(), 1);
  cr_assert(fixture.answers[0].answer.result == JobResult::kFailed);
  cr_assert(fixture.answers[0].answer.reason == JobReason::kExecutorsCrashed);
}

// Guards against jobs that fail because several tasks of theirs were lost in one crash.
Test(job_scheduler, counts_the_crashes_of_each_task_alone) {
  Fixture fixture;
  fixture.Submit(fixture.MakeJob("job", 3));
  for (int crashes = 0; crashes < 2; ++crashes) {
    fixture.EndAllRuns(RunOutcome::kExecutorCrashed);
    cr_assert_eq(fixture.ordered_tasks(), 3);
  }
  fixture.EndAllRuns(RunOutcome::kDone);
  cr_assert(fixture.answers.at(0).answer.result == JobResult::kComplete);
}

// Guards against refused starts that count as failed attempts and end the job.
Test(job_scheduler, orders_refused_starts_again) {
  Fixture fixture;
  fixture.Submit(fixture.MakeJob("job", 1));
  for (int i = 0; i < 5; ++i) fixture.EndAllRuns(RunOutcome::kNoRoom);
  cr_assert(fixture.answers.empty());
  cr_assert_eq(fixture.ordered_tasks(), 1);
}

// Guards against a job with runs that is answered as refused, and against a job without runs that
// is not.
Test(job_scheduler, refuses_only_jobs_that_have_not_run) {
  Fixture fixture;
  fixture.Submit(fixture.MakeJob("waiting", 8));
  fixture.Submit(fixture.MakeJob("late", 8));
  fixture.clock.Advance(milliseconds(200));
  fixture.scheduler.OnTimer();
  fixture.PlaceAndTakeActions();
  cr_assert_eq(fixture.answers.size(), 1);
  cr_assert_eq(fixture.answers.at(0).answer.job_id, "late");
  cr_assert(fixture.answers.at(0).answer.result == JobResult::kRefused);
  cr_assert_gt(fixture.answers.at(0).answer.retry_after.count(), 0);
  fixture.clock.Advance(seconds(2));
  fixture.scheduler.OnTimer();
  fixture.PlaceAndTakeActions();
  cr_assert_eq(fixture.answers.at(1).answer.job_id, "waiting");
  cr_assert(fixture.answers.at(1).answer.result == JobResult::kAbandoned);
  cr_assert_eq(fixture.stops.size(), 8);
}

// Guards against jobs that wait although the queue already shows at their arrival that they cannot
// start in time.
Test(job_scheduler, refuses_at_arrival_behind_a_long_queue) {
  Fixture fixture;
  fixture.Submit(fixture.MakeJob("running", 8));
  for (int i = 0; i < 3; ++i) fixture.Submit(fixture.MakeJob("waiting" + std::to_string(i), 8));
  cr_assert_not(fixture.answers.empty());
  cr_assert(fixture.answers.at(0).answer.reason == JobReason::kOverloaded);
}

// Guards against urgent jobs that are refused because of waiting jobs that are not urgent, and
// against other jobs that are accepted although the orders ahead of them take too long.
Test(job_scheduler, counts_only_work_ahead_of_an_urgent_job) {
  Fixture fixture;
  for (const char* supervisor : {"a", "b"}) {
    // A run ends every 25 ms on each executor, and orders that are not urgent wait for all its
    // room.
    fixture.ReportFull(supervisor, {.all_cpu_milli = 4000}, 40'000);
  }
  fixture.Submit(fixture.MakeJob("urgent", 2, true));
  cr_assert(fixture.answers.empty());
  cr_assert_eq(fixture.ordered_tasks(), 2);
  fixture.Submit(fixture.MakeJob("normal", 2));
  cr_assert_eq(fixture.answers.size(), 1);
  cr_assert(fixture.answers.at(0).answer.reason == JobReason::kOverloaded);
}

// Guards against an order with unlimited waiting time: its task would start too late for the
// objective, and take room from one that could still be in time.
Test(job_scheduler, waiting_orders_expire_at_the_latest_start) {
  Fixture fixture;
  for (const char* supervisor : {"a", "b"}) fixture.ReportFull(supervisor, {}, 40'000);
  fixture.Submit(fixture.MakeJob("job", 2, true));
  cr_assert_eq(fixture.starts.size(), 2);
  // The objective is 1.6 times the estimate of 100 ms, plus 60 ms.
  const auto spare = fixture.starts.at(0).expires - fixture.clock.now();
  cr_assert_eq(std::chrono::duration_cast<milliseconds>(spare).count(), 120);
  cr_assert(fixture.starts.at(0).rank == StartRank::kUrgent);
}

// Guards against a supervisor that was frozen and then starts an order whose task has been ordered
// elsewhere, because its runs counted as lost.
Test(job_scheduler, orders_of_long_jobs_expire_before_their_supervisor_counts_as_lost) {
  Fixture fixture;
  JobRequest job = fixture.MakeJob("long", 1);
  job.steps.front().estimate = seconds(20);
  job.deadline = fixture.clock.now() + seconds(60);
  fixture.Submit(job);
  cr_assert_eq((fixture.starts.at(0).expires - fixture.clock.now()).count(), 400'000);
}

// Guards against jobs of which only some tasks start in time: the job is late and the room wasted.
Test(job_scheduler, starts_all_tasks_of_a_job_or_none) {
  Fixture fixture({"a"});
  fixture.Report("a", 1000);
  fixture.Submit(fixture.MakeJob("wide", 3));
  cr_assert_eq(fixture.ordered_tasks(), 0);
  // The room of the rolled back orders is free again.
  fixture.Submit(fixture.MakeJob("narrow", 1));
  cr_assert_eq(fixture.ordered_tasks(), 1);
  cr_assert_eq(fixture.starts.at(0).job_id, "narrow");
  fixture.clock.Advance(milliseconds(55));
  fixture.scheduler.OnTimer();
  fixture.PlaceAndTakeActions();
  cr_assert_eq(fixture.answers.size(), 1);
  cr_assert_eq(fixture.answers.at(0).answer.job_id, "wide");
  cr_assert(fixture.answers.at(0).answer.result == JobResult::kRefused);
}

// Guards against a job with running tasks that is refused, and against a task that is not ordered
// again after its waiting order has expired.
Test(job_scheduler, orders_expired_tasks_of_a_started_job_again) {
  Fixture fixture;
  fixture.Submit(fixture.MakeJob("job", 2));
  const StartTasks& first = fixture.starts.at(0);
  const RunId waited{.task = {.job_id = "job", .index = first.starts.at(0).index}, .run = 1};
  const std::string supervisor = first.agent_id;
  fixture.starts.clear();
  fixture.clock.Advance(milliseconds(150));
  fixture.scheduler.OnRunUpdate(supervisor, waited, RunOutcome::kExpired, milliseconds(0));
  fixture.PlaceAndTakeActions();
  cr_assert(fixture.answers.empty());
  cr_assert_eq(fixture.ordered_tasks(), 1);
  cr_assert(fixture.starts.at(0).rank == StartRank::kStarted);
}

// Guards against callers that keep waiting although every order of their job has expired.
Test(job_scheduler, refuses_a_job_whose_orders_expired) {
  Fixture fixture;
  fixture.Submit(fixture.MakeJob("job", 2));
  fixture.clock.Advance(milliseconds(121));
  for (const char* supervisor : {"a", "b"}) fixture.Report(supervisor, 0);
  fixture.EndAllRuns(RunOutcome::kExpired);
  cr_assert_eq(fixture.answers.size(), 1);
  cr_assert(fixture.answers.at(0).answer.result == JobResult::kRefused);
}

// Guards against other jobs that take the room that an executor reserves for urgent ones.
Test(job_scheduler, leaves_the_room_reserved_for_urgent_jobs) {
  Fixture fixture({"a"});
  fixture.ReportReserve("a", 2500);
  fixture.Submit(fixture.MakeJob("normal", 1));
  fixture.Submit(fixture.MakeJob("second", 1));
  cr_assert_eq(fixture.ordered_tasks(), 1);
  cr_assert(fixture.answers.at(0).answer.result == JobResult::kRefused);
  fixture.Submit(fixture.MakeJob("urgent", 3, true));
  cr_assert_eq(fixture.ordered_tasks(), 4);
}

// Guards against callers that are refused together after a wait and all retry at the same time.
Test(job_scheduler, spreads_the_retries_of_jobs_refused_after_waiting) {
  Fixture fixture;
  std::set<std::int64_t> times;
  constexpr std::size_t kJobs = 4;
  for (std::size_t i = 0; i < kJobs; ++i) {
    fixture.Submit(fixture.MakeJob("job" + std::to_string(i), 2));
  }
  fixture.clock.Advance(milliseconds(121));
  for (const char* supervisor : {"a", "b"}) fixture.Report(supervisor, 0);
  fixture.EndAllRuns(RunOutcome::kExpired);
  cr_assert_eq(fixture.answers.size(), kJobs);
  for (const AnswerJob& answer : fixture.answers) times.insert(answer.answer.retry_after.count());
  cr_assert_eq(times.size(), kJobs);
}

// Guards against a job that no executor can ever run and that waits until its caller gives up.
Test(job_scheduler, refuses_jobs_that_no_executor_could_run) {
  Fixture fixture;
  JobRequest job = fixture.MakeJob("large", 1);
  job.steps.front().need.cpu_milli = 5000;
  fixture.Submit(job);
  cr_assert(fixture.answers.at(0).answer.reason == JobReason::kNeverRunnable);
}

// Guards against runs of a job whose deadline is before its tasks can be done.
Test(job_scheduler, refuses_jobs_with_a_deadline_that_is_too_short) {
  Fixture fixture;
  JobRequest job = fixture.MakeJob("short", 1);
  job.deadline = fixture.clock.now() + milliseconds(40);
  fixture.Submit(job);
  cr_assert(fixture.answers.at(0).answer.result == JobResult::kRefused);
  cr_assert(fixture.answers.at(0).answer.reason == JobReason::kDeadline);
  job = fixture.MakeJob("enough", 1);
  job.deadline = fixture.clock.now() + milliseconds(60);
  fixture.Submit(job);
  cr_assert_eq(fixture.ordered_tasks(), 1);
}

// Guards against runs that continue after their job was cancelled.
Test(job_scheduler, stops_the_runs_of_a_cancelled_job) {
  Fixture fixture;
  fixture.Submit(fixture.MakeJob("job", 3));
  fixture.scheduler.OnCancel("job");
  fixture.PlaceAndTakeActions();
  cr_assert_eq(fixture.stops.size(), 3);
  cr_assert_eq(fixture.scheduler.job_count(), 0);
}

// Guards against a second run of a task while a disconnected supervisor may still have the first,
// and against a job that waits for a lost supervisor for ever.
Test(job_scheduler, orders_again_when_the_runs_of_a_lost_supervisor_are_over) {
  Fixture fixture;
  fixture.SubmitToBoth();
  fixture.Attach("c", 1);
  cr_assert_eq(fixture.ordered_tasks(), 2);
  fixture.starts.clear();
  fixture.scheduler.OnAgentDetached("a");
  fixture.PassTime(milliseconds(2000), "b");
  cr_assert_eq(fixture.ordered_tasks(), 0);
  fixture.PassTime(milliseconds(200), "b");
  cr_assert_eq(fixture.ordered_tasks(), 1);
  cr_assert_eq(fixture.starts.at(0).agent_id, "c");
  cr_assert(fixture.answers.empty());
}

// Guards against a second run of a task after a supervisor's restart, while the executor may still
// have the run that the earlier process started.
Test(job_scheduler, waits_for_the_runs_of_an_earlier_incarnation) {
  Fixture fixture;
  fixture.SubmitToBoth();
  cr_assert_eq(fixture.ordered_tasks(), 2);
  fixture.starts.clear();
  fixture.scheduler.OnAgentDetached("a");
  fixture.Attach("a", 2);
  fixture.PlaceAndTakeActions();
  cr_assert_eq(fixture.ordered_tasks(), 0);
  fixture.PassTime(milliseconds(2000), "b");
  cr_assert_eq(fixture.ordered_tasks(), 0);
  fixture.PassTime(milliseconds(200), "b");
  cr_assert_eq(fixture.ordered_tasks(), 1);
  cr_assert(fixture.answers.empty());
}

// Guards against a job that is ordered again beside a second copy: while its only run was at a lost
// supervisor, nothing told other dispatchers of it, and its caller may have left unnoticed.
Test(job_scheduler, gives_up_an_old_job_that_was_only_at_a_lost_supervisor) {
  for (const bool comes_back : {false, true}) {
    Fixture fixture;
    JobRequest job = fixture.MakeJob("job", 1);
    job.deadline = fixture.clock.now() + seconds(20);
    fixture.Submit(job);
    const std::string lost = fixture.starts.at(0).agent_id;
    const std::string other = lost == "a" ? "b" : "a";
    fixture.starts.clear();
    fixture.scheduler.OnAgentDetached(lost);
    if (comes_back) fixture.Attach(lost, 2);
    fixture.PassTime(milliseconds(2000), other);
    cr_assert_eq(fixture.answers.size(), 0);
    fixture.PassTime(milliseconds(200), other);
    cr_assert_eq(fixture.ordered_tasks(), 0);
    cr_assert_eq(fixture.answers.size(), 1);
    cr_assert(fixture.answers[0].answer.result == JobResult::kAbandoned);
    cr_assert(fixture.answers[0].answer.reason == JobReason::kIsolated);
  }
}

// Guards against a job that is ordered again beside a second copy after its supervisor stood still:
// the supervisor reports the end of the run, but named the job to nobody before.
Test(job_scheduler, gives_up_an_old_job_whose_supervisor_stood_still) {
  Fixture fixture;
  JobRequest job = fixture.MakeJob("job", 1);
  job.deadline = fixture.clock.now() + seconds(20);
  fixture.Submit(job);
  const std::string frozen = fixture.starts.at(0).agent_id;
  fixture.starts.clear();
  fixture.PassTime(milliseconds(1500), frozen == "a" ? "b" : "a");
  fixture.Report(frozen, 4000);
  fixture.scheduler.OnRunUpdate(frozen, {.task = {.job_id = "job"}, .run = 1}, RunOutcome::kLapsed,
                                milliseconds(1500));
  fixture.PlaceAndTakeActions();
  cr_assert_eq(fixture.ordered_tasks(), 0);
  cr_assert_eq(fixture.answers.size(), 1);
  cr_assert(fixture.answers[0].answer.result == JobResult::kAbandoned);
}

// Guards against long jobs that are given up although their supervisor named them until their run
// failed, and against a given-up job that had lost a run while it was young.
Test(job_scheduler, repeats_a_failed_run_of_an_old_job) {
  Fixture fixture;
  JobRequest job = fixture.MakeJob("job", 1);
  job.deadline = fixture.clock.now() + seconds(20);
  fixture.Submit(job);
  std::string supervisor = fixture.starts.at(0).agent_id;
  fixture.scheduler.OnAgentDetached(supervisor);
  fixture.starts.clear();
  fixture.Attach(supervisor, 1);
  fixture.PlaceAndTakeActions();
  cr_assert_eq(fixture.ordered_tasks(), 1);
  supervisor = fixture.starts.at(0).agent_id;
  const RunId run{.task = {.job_id = "job"}, .run = fixture.starts[0].starts.at(0).run};
  fixture.starts.clear();
  fixture.PassTime(milliseconds(3000), supervisor);
  fixture.scheduler.OnRunUpdate(supervisor, run, RunOutcome::kFailed, milliseconds(3000));
  fixture.PlaceAndTakeActions();
  cr_assert_eq(fixture.ordered_tasks(), 1);
  cr_assert(fixture.answers.empty());
}

// Guards against an old job that is ordered again beside a second copy after an order was late on
// its way: no supervisor had it meanwhile.
Test(job_scheduler, gives_up_an_old_job_whose_order_was_late_on_its_way) {
  Fixture fixture({"a"});
  JobRequest job = fixture.MakeJob("job", 1);
  job.deadline = fixture.clock.now() + seconds(20);
  fixture.Submit(job);
  cr_assert(fixture.starts.at(0).at_once);
  fixture.starts.clear();
  fixture.PassTime(milliseconds(1500), "a");
  fixture.scheduler.OnRunUpdate("a", {.task = {.job_id = "job"}, .run = 1}, RunOutcome::kExpired,
                                milliseconds(0));
  fixture.PlaceAndTakeActions();
  cr_assert_eq(fixture.ordered_tasks(), 0);
  cr_assert_eq(fixture.answers.size(), 1);
  cr_assert(fixture.answers[0].answer.reason == JobReason::kIsolated);
}

// Guards against an order that is so late on its way that a second copy of its job runs elsewhere.
Test(job_scheduler, orders_a_lost_run_only_until_its_caller_may_send_the_job_again) {
  Fixture fixture({"a"});
  JobRequest job = fixture.MakeJob("job", 1);
  job.deadline = fixture.clock.now() + seconds(20);
  const auto received = fixture.clock.now();
  fixture.Submit(job);
  fixture.starts.clear();
  fixture.PassTime(milliseconds(1200), "a");
  fixture.scheduler.OnAgentDetached("a");
  fixture.Attach("a", 1);
  fixture.PlaceAndTakeActions();
  cr_assert_eq(fixture.ordered_tasks(), 1);
  cr_assert(fixture.starts.at(0).expires == received + zinniamux::core::RunEndBudget().run_end());
}

// Guards against a second run of a task after a restart of its supervisor and of its executor,
// which may carry out a start of the earlier process until the present one has reached it.
Test(job_scheduler, waits_until_the_executor_has_answered_a_restarted_supervisor) {
  Fixture fixture({"a", "b", "c"});
  fixture.SubmitToBoth();
  const std::string restarted = fixture.starts.at(0).agent_id;
  const std::string other = fixture.starts.at(1).agent_id;
  fixture.starts.clear();
  fixture.scheduler.OnAgentDetached(restarted);
  fixture.scheduler.OnAgentAttached(restarted, "zone", 2, {});
  fixture.scheduler.OnReport(restarted, {.executor_id = "executor", .service = "service"});
  fixture.PassTime(milliseconds(6000), other);
  cr_assert_eq(fixture.ordered_tasks(), 0);
  cr_assert(fixture.answers.empty());
  fixture.scheduler.OnReport(
      restarted, {.executor_id = "executor", .service = "service", .executor_answered = true});
  fixture.PassTime(milliseconds(100), other);
  cr_assert_eq(fixture.ordered_tasks(), 1);
}

// Guards against a task that runs twice at the same time: a held-up hello of an earlier process had
// arrived between two of the present one, and a run that the present process still names was taken
// for one that ended with the earlier process.
Test(job_scheduler, keeps_runs_that_the_present_process_names_after_a_hello_of_an_earlier_one) {
  Fixture fixture({"a"});
  fixture.Attach("a", 2);
  JobRequest job = fixture.MakeJob("job", 1);
  job.deadline = fixture.clock.now() + seconds(20);
  fixture.Submit(job);
  const RunId run{.task = {.job_id = "job"}, .run = fixture.starts.at(0).starts.at(0).run};
  fixture.starts.clear();
  fixture.scheduler.OnAgentDetached("a");
  fixture.Attach("a", 1);
  fixture.scheduler.OnAgentDetached("a");
  fixture.Attach("a", 2, {run});
  // Heartbeats, until the runs of the earlier process have certainly ended.
  for (int i = 0; i < 8; ++i) {
    fixture.clock.Advance(milliseconds(300));
    fixture.Report("a", 4000);
    fixture.scheduler.OnTimer();
  }
  fixture.PlaceAndTakeActions();
  cr_assert_eq(fixture.ordered_tasks(), 0);
  fixture.scheduler.OnRunUpdate("a", run, RunOutcome::kDone, milliseconds(100));
  fixture.PlaceAndTakeActions();
  cr_assert_eq(fixture.answers.size(), 1);
  cr_assert(fixture.answers[0].answer.result == JobResult::kComplete);
}

// Guards against runs that are ordered again although the reconnected supervisor still has them,
// and against waiting for those that it does not have.
Test(job_scheduler, keeps_held_runs_after_a_lost_connection) {
  Fixture fixture({"a"});
  fixture.Submit(fixture.MakeJob("job", 2));
  const RunId held{.task = {.job_id = "job", .index = 0}, .run = 1};
  fixture.starts.clear();
  fixture.scheduler.OnAgentDetached("a");
  fixture.Attach("a", 1, {held});
  fixture.PlaceAndTakeActions();
  cr_assert_eq(fixture.ordered_tasks(), 1);
  cr_assert_eq(fixture.starts.at(0).starts.at(0).index, 1);
}

// Guards against tasks that run twice: the stop of a cancelled job was lost with the connection,
// its run went on, and the caller sent the job again to another dispatcher.
Test(job_scheduler, stops_runs_of_a_job_that_was_cancelled_without_a_connection) {
  Fixture fixture({"a"});
  fixture.Submit(fixture.MakeJob("job", 1));
  fixture.Submit(fixture.MakeJob("other job", 1));
  fixture.scheduler.OnAgentDetached("a");
  fixture.scheduler.OnCancel("job");
  // These go to a connection that is gone.
  fixture.PlaceAndTakeActions();
  fixture.stops.clear();
  fixture.Attach("a", 1,
                 {{.task = {.job_id = "job", .step = 0, .index = 0}, .run = 1},
                  {.task = {.job_id = "other job", .step = 0, .index = 0}, .run = 1}});
  fixture.PlaceAndTakeActions();
  cr_assert_eq(fixture.stops.size(), 1);
  cr_assert_eq(fixture.stops.at(0).id.task.job_id, "job");
}

// Guards against a task that runs twice at the same time: its run of an earlier submission, on
// another executor, was taken for the present one, so that its end made the task start again.
Test(job_scheduler, tells_the_runs_of_an_earlier_submission_from_the_present_ones) {
  Fixture fixture({"a"});
  fixture.Submit(fixture.MakeJob("job", 1));
  const RunId earlier{.task = {.job_id = "job"}, .run = 1};
  cr_assert_eq(fixture.starts.at(0).agent_id, "a");
  fixture.scheduler.OnAgentDetached("a");
  fixture.scheduler.OnCancel("job");
  fixture.starts.clear();
  fixture.Attach("b", 1);
  fixture.Submit(fixture.MakeJob("job", 1));
  cr_assert_eq(fixture.starts.at(0).agent_id, "b");
  cr_assert_eq(fixture.starts.at(0).starts.at(0).run, 1);
  fixture.starts.clear();
  fixture.Attach("a", 1, {earlier});
  fixture.PlaceAndTakeActions();
  fixture.scheduler.OnRunUpdate("a", earlier, RunOutcome::kStopped, milliseconds(0));
  fixture.PlaceAndTakeActions();
  cr_assert_eq(fixture.ordered_tasks(), 0);
}

// Guards against the end of a run of an earlier submission that is taken for the end of the present
// one on the same executor, whose task is then ordered a second time while it runs.
Test(job_scheduler, tells_two_submissions_on_one_executor_apart) {
  Fixture fixture({"a"});
  fixture.Submit(fixture.MakeJob("job", 1));
  fixture.scheduler.OnCancel("job");
  fixture.starts.clear();
  fixture.Submit(fixture.MakeJob("job", 1));
  cr_assert_eq(fixture.ordered_tasks(), 1);
  const RunId present{.task = {.job_id = "job"}, .run = fixture.starts.at(0).starts.at(0).run};
  fixture.starts.clear();
  fixture.answers.clear();
  fixture.scheduler.OnRunUpdate("a", {.task = {.job_id = "job"}, .run = 1}, RunOutcome::kStopped,
                                milliseconds(0));
  fixture.PlaceAndTakeActions();
  cr_assert_eq(fixture.ordered_tasks(), 0);
  fixture.scheduler.OnRunUpdate("a", present, RunOutcome::kDone, milliseconds(100));
  fixture.PlaceAndTakeActions();
  cr_assert_eq(fixture.answers.size(), 1);
  cr_assert(fixture.answers[0].answer.result == JobResult::kComplete);
}

// Guards against a job that is ordered again although its caller may have sent it elsewhere while
// the dispatcher was cut off, and against a caller that still waits and gets no answer.
Test(job_scheduler, gives_up_jobs_from_before_an_isolation) {
  Fixture fixture;
  fixture.Submit(fixture.MakeJob("started", 1));
  const StartTasks start = fixture.starts.at(0);
  const RunId run{.task = {.job_id = "started"}, .run = start.starts.at(0).run};
  fixture.starts.clear();
  fixture.clock.Advance(milliseconds(600));
  fixture.Report("a", 4000);
  fixture.scheduler.OnRunUpdate(start.agent_id, run, RunOutcome::kLapsed, milliseconds(0));
  fixture.PlaceAndTakeActions();
  cr_assert_eq(fixture.ordered_tasks(), 0);
  fixture.scheduler.OnTimer();
  fixture.PlaceAndTakeActions();
  cr_assert_eq(fixture.ordered_tasks(), 0);
  cr_assert_eq(fixture.answers.size(), 1);
  cr_assert(fixture.answers[0].answer.result == JobResult::kAbandoned);
  cr_assert(fixture.answers[0].answer.reason == JobReason::kIsolated);
  fixture.Submit(fixture.MakeJob("later", 1));
  cr_assert_eq(fixture.ordered_tasks(), 1);
}

// Guards against a job that waits for room to run again, and is ordered after an isolation.
Test(job_scheduler, orders_nothing_for_jobs_that_waited_in_an_isolation) {
  Fixture fixture({"a"});
  fixture.Submit(fixture.MakeJob("job", 1));
  fixture.Report("a", 0, 1, fixture.starts.at(0).order);
  fixture.scheduler.OnRunUpdate("a", {.task = {.job_id = "job"}, .run = 1}, RunOutcome::kLapsed,
                                milliseconds(0));
  fixture.starts.clear();
  fixture.PlaceAndTakeActions();
  cr_assert_eq(fixture.ordered_tasks(), 0);
  cr_assert_eq(fixture.answers.size(), 0);
  fixture.clock.Advance(milliseconds(600));
  fixture.Report("a", 4000);
  fixture.PlaceAndTakeActions();
  fixture.scheduler.OnTimer();
  fixture.PlaceAndTakeActions();
  cr_assert_eq(fixture.ordered_tasks(), 0);
  cr_assert_eq(fixture.answers.size(), 1);
  cr_assert(fixture.answers[0].answer.reason == JobReason::kIsolated);
}

// Guards against jobs that are given up because the first supervisor came late.
Test(job_scheduler, keeps_jobs_that_wait_for_the_first_supervisor) {
  Fixture fixture(std::vector<std::string>{});
  JobRequest job = fixture.MakeJob("early", 1);
  job.slack = seconds(1);
  JobScheduler scheduler({.availability_zone = "zone"}, fixture.clock);
  fixture.clock.Advance(milliseconds(50));
  scheduler.OnJob(job);
  scheduler.Place();
  fixture.clock.Advance(milliseconds(600));
  scheduler.OnAgentAttached("a", "zone", 1, {});
  scheduler.OnReport("a", {.executor_id = "executor-a",
                           .service = "service",
                           .accepting = true,
                           .capacity = {.cpu_milli = 4000, .memory_mb = 1000},
                           .free = {.cpu_milli = 4000, .memory_mb = 1000},
                           .pace = 1});
  scheduler.Place();
  std::size_t started = 0;
  for (const auto& action : scheduler.TakeActions()) {
    started += std::holds_alternative<StartTasks>(action) ? 1 : 0;
  }
  cr_assert_eq(started, 1);
}

// Guards against a job that is ordered again after its supervisor did not hear this dispatcher: the
// caller may have sent it elsewhere for the same reason.
Test(job_scheduler, gives_up_a_job_whose_supervisor_did_not_hear_the_dispatcher) {
  Fixture fixture;
  fixture.Submit(fixture.MakeJob("stopped", 1));
  const StartTasks start = fixture.starts.at(0);
  fixture.starts.clear();
  fixture.scheduler.OnRunUpdate(start.agent_id, {.task = {.job_id = "stopped"}, .run = 1},
                                RunOutcome::kOwnerSilent, milliseconds(100));
  fixture.PlaceAndTakeActions();
  cr_assert_eq(fixture.ordered_tasks(), 0);
  cr_assert(fixture.answers.at(0).answer.result == JobResult::kAbandoned);
  cr_assert(fixture.answers[0].answer.reason == JobReason::kIsolated);
  // An order that was withdrawn before it started has not run.
  fixture.Submit(fixture.MakeJob("withdrawn", 1));
  const std::string supervisor = fixture.starts.at(0).agent_id;
  fixture.starts.clear();
  fixture.scheduler.OnRunUpdate(supervisor, {.task = {.job_id = "withdrawn"}, .run = 1},
                                RunOutcome::kWithdrawn, milliseconds(0));
  fixture.PlaceAndTakeActions();
  cr_assert_eq(fixture.ordered_tasks(), 0);
  cr_assert(fixture.answers.at(1).answer.result == JobResult::kRefused);
}

// Guards against jobs that are given up because a connection was reset: the supervisor was heard
// just before, and what it had not received is ordered again.
Test(job_scheduler, orders_again_what_a_reset_connection_has_lost) {
  Fixture fixture({"a"});
  fixture.Submit(fixture.MakeJob("job", 1));
  fixture.starts.clear();
  fixture.clock.Advance(milliseconds(100));
  fixture.scheduler.OnAgentDetached("a");
  fixture.Attach("a", 1);
  fixture.PlaceAndTakeActions();
  cr_assert_eq(fixture.ordered_tasks(), 1);
}

// Guards against a run that goes on after an isolation: the closed connection of its caller may
// still be on its way. Supervisors may not rely on the dispatcher before that.
Test(job_scheduler, stops_runs_from_before_an_isolation) {
  Fixture fixture;
  fixture.Submit(fixture.MakeJob("job", 1));
  const auto began = fixture.clock.now();
  fixture.clock.Advance(milliseconds(600));
  const auto ended = fixture.clock.now();
  fixture.scheduler.OnInputHandled(began);
  fixture.Report("a", 4000);
  fixture.scheduler.OnTimer();
  fixture.PlaceAndTakeActions();
  cr_assert_eq(fixture.stops.size(), 0);
  cr_assert(fixture.scheduler.InputHandled() == began);
  fixture.Submit(fixture.MakeJob("later", 1));
  cr_assert_eq(fixture.ordered_tasks(), 1);
  fixture.clock.Advance(milliseconds(20));
  fixture.scheduler.OnInputHandled(ended);
  fixture.scheduler.OnTimer();
  fixture.PlaceAndTakeActions();
  cr_assert_eq(fixture.stops.size(), 1);
  cr_assert(fixture.answers.at(0).answer.reason == JobReason::kIsolated);
}

// Guards against jobs that are given up because one supervisor was silent: callers and the other
// supervisors were heard.
Test(job_scheduler, keeps_jobs_while_anything_arrives) {
  Fixture fixture;
  fixture.Submit(fixture.MakeJob("job", 1));
  for (int i = 0; i < 4; ++i) {
    fixture.clock.Advance(milliseconds(300));
    fixture.Report("b", 4000);
    fixture.scheduler.OnTimer();
    fixture.PlaceAndTakeActions();
  }
  cr_assert_eq(fixture.stops.size(), 0);
  cr_assert_eq(fixture.answers.size(), 0);
}

// Guards against runs that stay on an executor that has become slow, while others have room.
Test(job_scheduler, moves_a_run_off_a_slow_executor) {
  Fixture fixture({"a", "b", "c"});
  fixture.Submit(fixture.MakeJob("job", 1));
  const std::string slow = fixture.starts.at(0).agent_id;
  fixture.starts.clear();
  fixture.Report(slow, 3000, 8, 1);
  fixture.clock.Advance(milliseconds(60));
  fixture.scheduler.OnTimer();
  fixture.PlaceAndTakeActions();
  cr_assert_eq(fixture.stops.size(), 1);
  cr_assert_eq(fixture.ordered_tasks(), 0);
  fixture.scheduler.OnRunUpdate(slow, fixture.stops.at(0).id, RunOutcome::kStopped,
                                milliseconds(70));
  fixture.PlaceAndTakeActions();
  cr_assert_eq(fixture.ordered_tasks(), 1);
  cr_assert_neq(fixture.starts.at(0).agent_id, slow);
}

// Guards against jobs that are left unanswered when the process shuts down.
Test(job_scheduler, answers_all_jobs_before_shutdown) {
  Fixture fixture;
  fixture.Submit(fixture.MakeJob("early", 1));
  fixture.scheduler.StopAt(fixture.clock.now() + milliseconds(150));
  fixture.Submit(fixture.MakeJob("late", 1));
  cr_assert_eq(fixture.answers.at(0).answer.job_id, "late");
  cr_assert(fixture.answers.at(0).answer.reason == JobReason::kShuttingDown);
  fixture.scheduler.AbandonAll();
  fixture.PlaceAndTakeActions();
  cr_assert_eq(fixture.answers.at(1).answer.job_id, "early");
  cr_assert(fixture.answers.at(1).answer.result == JobResult::kAbandoned);
}

// Guards against a second run when a caller resubmits a job because the answer was lost.
Test(job_scheduler, repeats_the_answer_of_a_job) {
  Fixture fixture;
  fixture.Submit(fixture.MakeJob("job", 1));
  cr_assert_not(fixture.scheduler.OnJob(fixture.MakeJob("job", 1)));
  fixture.EndAllRuns(RunOutcome::kDone);
  cr_assert(fixture.scheduler.Remembered("job")->result == JobResult::kComplete);
  fixture.clock.Advance(seconds(11));
  fixture.scheduler.OnTimer();
  cr_assert_not(fixture.scheduler.Remembered("job").has_value());
}

// Load pattern of old views: an executor is full although its last report shows room. Guards
// against a task that waits there, and against one that is ordered there again.
Test(job_scheduler, places_a_task_elsewhere_after_a_refusal) {
  Fixture fixture({"a", "b", "c"});
  fixture.Submit(fixture.MakeJob("job", 1));
  const StartTasks first = fixture.starts.at(0);
  cr_assert(first.at_once);
  fixture.scheduler.OnRunUpdate(first.agent_id, {.task = {.job_id = "job", .index = 0}, .run = 1},
                                RunOutcome::kNoRoom, milliseconds(0));
  fixture.ReportFull(first.agent_id, {}, 0);
  fixture.PlaceAndTakeActions();
  cr_assert_eq(fixture.starts.size(), 2);
  cr_assert_neq(fixture.starts.at(1).agent_id, first.agent_id);
  cr_assert(fixture.answers.empty());
}

// Load pattern of contention: other dispatchers use the free room of the views first. Guards
// against a task that one executor after the other refuses until the deadline.
Test(job_scheduler, waits_for_room_after_some_refusals) {
  Fixture fixture({"a"});
  fixture.Submit(fixture.MakeJob("job", 1, true));
  int refusals = 0;
  while (fixture.starts.at(0).at_once) {
    fixture.EndAllRuns(RunOutcome::kNoRoom);
    cr_assert_eq(fixture.starts.size(), 1);
    cr_assert_leq(++refusals, 6);
  }
  cr_assert_geq(refusals, 3);
  cr_assert(fixture.answers.empty());
}

// Load pattern of the loss of all VMs: callers reconnect before the supervisors do. Guards against
// refusals of jobs that could start a few tenths of a second later, and against callers that keep
// waiting although their jobs would be late.
Test(job_scheduler, waits_for_executors_after_its_start) {
  ManualClock clock;
  JobScheduler scheduler({.availability_zone = "zone"}, clock);
  const Fixture fixture;
  JobRequest job = fixture.MakeJob("early", 1);
  job.deadline = clock.now() + seconds(2);
  scheduler.OnJob(job);
  job.id = "late";
  scheduler.OnJob(job);
  scheduler.Place();
  cr_assert(scheduler.TakeActions().empty());
  clock.Advance(milliseconds(30));
  scheduler.OnAgentAttached("a", "zone", 1, {});
  scheduler.OnReport("a", {.executor_id = "executor",
                           .service = "service",
                           .accepting = true,
                           .capacity = {.cpu_milli = 1000, .memory_mb = 1000},
                           .free = {.cpu_milli = 1000, .memory_mb = 1000}});
  scheduler.Place();
  const auto started = scheduler.TakeActions();
  cr_assert_eq(started.size(), 1);
  cr_assert_eq(std::get<StartTasks>(started.at(0)).job_id, "early");
  clock.Advance(milliseconds(40));
  scheduler.OnTimer();
  const auto refused = scheduler.TakeActions();
  cr_assert_eq(refused.size(), 1);
  cr_assert_eq(std::get<AnswerJob>(refused.at(0)).answer.job_id, "late");
  cr_assert(std::get<AnswerJob>(refused.at(0)).answer.result == JobResult::kRefused);
}

// Load pattern: all executors are full, and their runs end soon. Guards against a job that waits
// for a report of free room, while the executor is idle from the end of a run until an order
// arrives.
Test(job_scheduler, orders_at_a_full_executor_that_has_room_soon) {
  Fixture fixture({"a"});
  // The objective is 220 ms; a core is free after 10 ms.
  fixture.ReportFull("a", {}, 100'000);
  fixture.Submit(fixture.MakeJob("job", 1));
  cr_assert_eq(fixture.starts.size(), 1);
  cr_assert_not(fixture.starts.at(0).at_once);
}

// Load pattern of contention: other dispatchers order at the same executors, so that orders wait
// for longer than expected. Guards against a dispatcher that goes on ordering where its orders
// expire.
Test(job_scheduler, orders_for_shorter_waits_after_orders_expired) {
  constexpr int kExpiredOrders = 12;
  Fixture fixture({"a"});
  fixture.ReportFull("a", {}, 100'000);
  fixture.Submit(fixture.MakeJob("job0", 1));
  int expired = 0;
  while (!fixture.starts.empty() && expired < kExpiredOrders) {
    const StartTasks start = fixture.starts.front();
    fixture.scheduler.OnRunUpdate("a", {.task = {.job_id = start.job_id, .index = 0}, .run = 1},
                                  RunOutcome::kExpired, milliseconds(0));
    fixture.starts.clear();
    fixture.scheduler.OnCancel(start.job_id);
    fixture.ReportFull("a", {}, 100'000);
    fixture.Submit(fixture.MakeJob("job" + std::to_string(++expired), 1));
  }
  cr_assert_lt(expired, kExpiredOrders);
  // The last job waits here, and uses an executor that has room even sooner.
  fixture.ReportFull("a", {}, 1'000'000);
  fixture.PlaceAndTakeActions();
  cr_assert_eq(fixture.starts.size(), 1);
}

// Guards against work that is the number of messages times the number of waiting jobs: it used up
// the processor time of small dispatchers in a burst.
Test(job_scheduler, reports_without_room_retry_no_waiting_jobs) {
  Fixture fixture({"a"});
  constexpr double kReleaseRate = 30'000;
  fixture.ReportFull("a", {}, kReleaseRate);
  constexpr int kJobs = 20;
  for (int i = 0; i < kJobs; ++i) fixture.Submit(fixture.MakeJob("job" + std::to_string(i), 1));
  cr_assert_eq(fixture.scheduler.queued_jobs(), kJobs);
  std::uint64_t tried = fixture.scheduler.placements_tried();
  for (int i = 0; i < kJobs; ++i) {
    fixture.ReportFull("a", {}, kReleaseRate);
    fixture.PlaceAndTakeActions();
  }
  cr_assert_eq(fixture.scheduler.placements_tried(), tried);

  // Room for one task: the first job gets it, the second one finds none, and the others need not
  // look.
  tried = fixture.scheduler.placements_tried();
  fixture.Report("a", 1000);
  fixture.PlaceAndTakeActions();
  cr_assert_eq(fixture.ordered_tasks(), 1);
  cr_assert_eq(fixture.starts.front().job_id, "job0");
  cr_assert_eq(fixture.scheduler.placements_tried(), tried + 2);
}

// Guards against a waiting job that is passed over because a larger one found no room.
Test(job_scheduler, places_a_small_waiting_job_behind_a_large_one) {
  Fixture fixture({"a"});
  constexpr double kReleaseRate = 120'000;
  fixture.ReportFull("a", {}, kReleaseRate);
  JobRequest large = fixture.MakeJob("large", 1);
  large.steps.front().need.cpu_milli = 3000;
  fixture.Submit(large);
  JobRequest small = fixture.MakeJob("small", 1);
  small.steps.front().need.cpu_milli = 2700;
  fixture.Submit(small);
  cr_assert_eq(fixture.scheduler.queued_jobs(), 2);
  fixture.Report("a", 2800);
  fixture.PlaceAndTakeActions();
  cr_assert_eq(fixture.ordered_tasks(), 1);
  cr_assert_eq(fixture.starts.front().job_id, "small");
}

// Guards against a task that runs twice: a dispatcher that was frozen handled the end of its run
// before the closed connection of its caller, and ordered it again.
Test(job_scheduler, orders_nothing_until_what_arrived_in_a_stall_is_handled) {
  Fixture fixture;
  fixture.Submit(fixture.MakeJob("left", 1));
  fixture.Submit(fixture.MakeJob("waiting", 1));
  fixture.scheduler.OnStall();
  fixture.EndAllRuns(RunOutcome::kStopped);
  cr_assert_eq(fixture.ordered_tasks(), 0);
  fixture.scheduler.OnCancel("left");
  fixture.clock.Advance(milliseconds(50));
  fixture.scheduler.OnTimer();
  fixture.PlaceAndTakeActions();
  cr_assert_eq(fixture.ordered_tasks(), 1);
  cr_assert_eq(fixture.starts.front().job_id, "waiting");
}

// Guards against a dispatcher that never orders because it gets little processor time at a time,
// and each wait for it extends the pause.
Test(job_scheduler, orders_between_stalls_that_follow_each_other) {
  Fixture fixture;
  fixture.scheduler.OnStall();
  fixture.clock.Advance(milliseconds(45));
  fixture.Submit(fixture.MakeJob("job", 1));
  cr_assert_eq(fixture.ordered_tasks(), 0);
  fixture.clock.Advance(milliseconds(10));
  fixture.scheduler.OnStall();
  fixture.scheduler.OnTimer();
  fixture.PlaceAndTakeActions();
  cr_assert_eq(fixture.ordered_tasks(), 1);
}

// Guards against a job that is refused in a peak of the load that ends within three times its
// objective, and against a late one that comes before others or is held for too long.
Test(job_scheduler, holds_a_late_job_for_spare_room) {
  Fixture fixture({"a", "b"}, {.enabled = true, .max_miss_share = 1});
  fixture.PassTime(milliseconds(4000), "a");
  for (const char* supervisor : {"a", "b"}) fixture.ReportFull(supervisor, {}, 1000);
  fixture.Submit(fixture.MakeJob("held", 2));
  fixture.Submit(fixture.MakeJob("lost", 2));
  cr_assert(fixture.answers.empty());
  cr_assert_eq(fixture.ordered_tasks(), 0);
  // The need of a late task must be free twice.
  fixture.Report("a", 1000);
  fixture.PlaceAndTakeActions();
  cr_assert_eq(fixture.ordered_tasks(), 0);
  fixture.Report("a", 3000);
  fixture.PlaceAndTakeActions();
  cr_assert_eq(fixture.ordered_tasks(), 2);
  cr_assert(fixture.starts.at(0).rank == StartRank::kLate);
  for (const char* supervisor : {"a", "b"}) fixture.ReportFull(supervisor, {}, 1000);
  for (const StartTasks& start : fixture.starts) {
    for (const auto& each : start.starts) {
      fixture.scheduler.OnRunUpdate(
          start.agent_id, {.task = {.job_id = "held", .index = each.index}, .run = each.run},
          RunOutcome::kDone, milliseconds(100));
    }
  }
  for (const char* supervisor : {"a", "b"}) fixture.ReportFull(supervisor, {}, 1000);
  // The estimate is 100 ms, the objective 220 ms.
  fixture.PassTime(milliseconds(600), "a");
  cr_assert_eq(fixture.answers.size(), 2U);
  for (const AnswerJob& answer : fixture.answers) cr_assert(answer.held_late);
  cr_assert(fixture.answers.at(0).answer.result == JobResult::kComplete);
}

namespace {

// For schedulers with options or a clock of their own.
void AttachIdleExecutor(JobScheduler& scheduler) {
  scheduler.OnAgentAttached("a", "zone", 1, {});
  scheduler.OnReport("a", {.executor_id = "executor",
                           .service = "service",
                           .accepting = true,
                           .capacity = {.cpu_milli = 1000, .memory_mb = 1000},
                           .free = {.cpu_milli = 1000, .memory_mb = 1000},
                           .executor_answered = true});
}

}  // namespace

// Guards against a search through all tasks of a job for each of its orders: 10,000 tasks took 2 to
// 4 s, in which nothing else was handled. The search reads the clock, once for the whole job.
Test(job_scheduler, looks_for_the_latest_order_once_for_all_tasks) {
  class CountingClock : public zinniamux::core::Clock {
   public:
    zinniamux::core::TimePoint now() const override {
      ++reads_;
      return zinniamux::core::TimePoint(seconds(1000));
    }
    std::size_t TakeReads() { return std::exchange(reads_, 0); }

   private:
    mutable std::size_t reads_ = 0;
  };
  CountingClock clock;
  JobScheduler scheduler({.availability_zone = "zone"}, clock);
  AttachIdleExecutor(scheduler);
  constexpr std::uint32_t kTasks = 500;
  scheduler.OnJob({.id = "job",
                   .queue = "queue",
                   .service = "service",
                   .steps = {{.count = kTasks}},
                   .slack = seconds(10),
                   .deadline = clock.now() + seconds(10)});
  clock.TakeReads();
  scheduler.Place();
  const std::size_t reads = clock.TakeReads();
  std::size_t started = 0;
  for (auto& action : scheduler.TakeActions()) {
    if (const auto* start = std::get_if<StartTasks>(&action)) started += start->starts.size();
  }
  cr_assert_eq(started, kTasks);
  // One to choose the executor, one for the order, and those of the whole job.
  cr_assert_lt(reads, 2 * kTasks + 50, "%zu reads", reads);
}

// Guards against all tasks of a job without needs at one supervisor, and against a limit that stays
// when they have ended.
Test(job_scheduler, limits_the_runs_at_one_supervisor) {
  constexpr std::uint32_t kLimit = 1024;
  Fixture fixture({"a"});
  JobRequest wide = fixture.MakeJob("wide", kLimit + 1);
  wide.steps[0].need = {};
  fixture.Submit(std::move(wide));
  cr_assert(fixture.starts.empty());
  JobRequest job = fixture.MakeJob("job", kLimit);
  job.steps[0].need = {};
  fixture.Submit(std::move(job));
  cr_assert_eq(fixture.starts.size(), 1);
  cr_assert_eq(fixture.starts[0].starts.size(), kLimit);
  fixture.EndAllRuns(RunOutcome::kDone);
  fixture.PlaceAndTakeActions();
  fixture.Submit(fixture.MakeJob("next", 1));
  cr_assert_eq(fixture.starts.size(), 1);
}

// Guards against orders of many jobs that are made in one pass: 22 jobs within the memory of the
// smallest VM have 67 MB of them. A frame holds 4 MiB.
Test(job_scheduler, makes_no_more_orders_than_can_be_sent) {
  ManualClock clock;
  std::size_t unsent = 0;
  JobScheduler scheduler(
      {.availability_zone = "zone", .unsent_order_bytes = [&unsent] { return unsent; }}, clock);
  clock.Advance(seconds(2));
  AttachIdleExecutor(scheduler);
  const auto submit = [&](const std::string& id) {
    scheduler.OnJob({.id = id,
                     .queue = "queue",
                     .service = "service",
                     .spec = std::string(4000, 'x'),
                     .steps = std::vector<zinniamux::core::JobStep>(400, {.count = 1}),
                     .slack = seconds(10),
                     .deadline = clock.now() + seconds(10)});
  };
  const auto started_jobs = [&scheduler] {
    std::set<std::string> jobs;
    scheduler.Place();
    for (auto& action : scheduler.TakeActions()) {
      if (const auto* start = std::get_if<StartTasks>(&action)) jobs.insert(start->job_id);
    }
    return jobs;
  };
  submit("first");
  submit("second");
  cr_assert_eq(started_jobs().size(), 1);
  // The orders of the first one are not taken by its supervisor yet.
  unsent = 2'000'000;
  cr_assert_eq(started_jobs().size(), 0);
  unsent = 0;
  cr_assert_eq(started_jobs().size(), 1);
  cr_assert_eq(scheduler.job_count(), 2);
}

namespace {

// A dispatcher that has heard nothing for 4 s, and then a supervisor.
struct AfterIsolation : Fixture {
  AfterIsolation() {
    opened = clock.now();
    clock.Advance(seconds(4));
    Report("a", 4000);
    Report("b", 4000);
    scheduler.OnTimer();
    clock.Advance(milliseconds(100));
  }

  // A job of 1 s, on a connection that was last used then.
  JobRequest MakeLongJob(const std::string& id, zinniamux::core::TimePoint used_at) const {
    JobRequest job = MakeJob(id, 1);
    job.steps[0].estimate = seconds(1);
    job.deadline = clock.now() + seconds(5);
    job.connection_used_at = used_at;
    return job;
  }

  zinniamux::core::TimePoint opened;
};

}  // namespace

// Guards against a request that a cut has held up, and whose end of the connection comes after it:
// its task started beside the one of the second copy.
Test(job_scheduler, orders_a_stale_request_only_after_the_end_of_its_connection_would_have_come) {
  AfterIsolation fixture;
  fixture.Submit(fixture.MakeLongJob("left", fixture.opened));
  fixture.Submit(fixture.MakeLongJob("stays", fixture.opened));
  cr_assert(fixture.starts.empty());
  fixture.PassTime(milliseconds(200), "a");
  cr_assert(fixture.starts.empty());
  fixture.scheduler.OnCancel("left");
  fixture.PassTime(milliseconds(100), "a");
  cr_assert_eq(fixture.starts.size(), 1);
  cr_assert_eq(fixture.starts[0].job_id, "stays");
}

// Guards against a wait for callers that are certainly there: on a new connection, or on one that
// was used since, or who have sent the job again.
Test(job_scheduler, orders_requests_at_once_that_are_not_stale) {
  AfterIsolation fixture;
  fixture.Submit(fixture.MakeLongJob("new", fixture.clock.now()));
  cr_assert_eq(fixture.starts.size(), 1);
  fixture.Submit(fixture.MakeLongJob("again", fixture.opened));
  cr_assert_eq(fixture.starts.size(), 1);
  fixture.Submit(fixture.MakeLongJob("again", fixture.clock.now()));
  cr_assert_eq(fixture.starts.size(), 2);
}

// Guards against a caller who waits for a refusal that is certain: the job would be late after the
// hold.
Test(job_scheduler, refuses_at_once_a_stale_request_that_is_too_short_to_be_held) {
  AfterIsolation fixture;
  JobRequest job = fixture.MakeJob("short", 1);
  job.connection_used_at = fixture.opened;
  fixture.Submit(std::move(job));
  cr_assert(fixture.starts.empty());
  cr_assert_eq(fixture.answers.size(), 1);
  cr_assert(fixture.answers[0].answer.result == JobResult::kRefused);
  cr_assert(fixture.answers[0].answer.reason == JobReason::kIsolated);
  cr_assert(fixture.answers[0].answer.retry_after > milliseconds(0));
}
