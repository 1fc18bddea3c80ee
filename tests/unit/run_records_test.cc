#include "support/run_records.h"

#include <criterion/criterion.h>

namespace {

using std::chrono::milliseconds;
using zinniamux::core::RunId;
using zinniamux::core::TimePoint;
using zinniamux::testing::RunRecords;

RunId Run(std::uint32_t index, std::uint32_t number) {
  return {.task = {.job_id = "00000000000000aa", .index = index}, .run = number};
}

TimePoint At(int time) { return TimePoint(milliseconds(time)); }

}  // namespace

// Guards against fault rounds that pass although a task ran twice: on two executors with the same
// run number, as two copies of a job have it.
Test(run_records, two_runs_of_a_task_at_a_time_overlap) {
  RunRecords records;
  records.Start("executor-1", Run(0, 1), At(0));
  records.Start("executor-2", Run(0, 1), At(99));
  records.End("executor-1", Run(0, 1), At(100), "lapsed");
  records.End("executor-2", Run(0, 1), At(200), "done");
  const auto overlaps = records.Overlaps();
  cr_assert_eq(overlaps.size(), 1);
  cr_assert_str_eq(overlaps.front().first.executor.c_str(), "executor-1");
  cr_assert_str_eq(overlaps.front().first.outcome.c_str(), "lapsed");
  cr_assert_str_eq(overlaps.front().second.executor.c_str(), "executor-2");
}

// Guards against a run without an end that is taken for one that never was.
Test(run_records, a_run_that_goes_on_overlaps_every_later_one) {
  RunRecords records;
  records.Start("executor-1", Run(0, 1), At(0));
  records.Start("executor-1", Run(0, 2), At(50));
  records.End("executor-1", Run(0, 2), At(60), "done");
  records.Start("executor-2", Run(0, 3), At(90));
  cr_assert_eq(records.Overlaps().size(), 2);
  cr_assert_eq(records.running(), 2);
}

// Guards against violations that are none: runs of other tasks, and runs one after the other.
Test(run_records, runs_in_turn_and_runs_of_other_tasks_do_not_overlap) {
  RunRecords records;
  records.Start("executor-1", Run(0, 1), At(0));
  records.Start("executor-1", Run(1, 1), At(0));
  records.End("executor-1", Run(0, 1), At(100), "lapsed");
  records.Start("executor-2", Run(0, 1), At(100));
  records.End("executor-2", Run(0, 1), At(200), "done");
  records.End("executor-1", Run(1, 1), At(200), "done");
  cr_assert(records.Overlaps().empty());
  cr_assert_eq(records.running(), 0);
}
