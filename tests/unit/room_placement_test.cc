// RoomPlacement, PaceMeter, WaitPolicy and QueueConfiguration.
#include "core/room_placement.h"

#include <criterion/criterion.h>

#include <cmath>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/pace_meter.h"
#include "core/queue_configuration.h"
#include "core/speed_matching.h"
#include "core/steady_pace.h"
#include "core/wait_policy.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using zinniamux::core::Duration;
using zinniamux::core::ExecutorView;
using zinniamux::core::JobRequest;
using zinniamux::core::JobStep;
using zinniamux::core::PaceMeter;
using zinniamux::core::QueueConfiguration;
using zinniamux::core::RoomPlacement;
using zinniamux::core::SpeedMatching;
using zinniamux::core::SteadyPace;
using zinniamux::core::TimePoint;
using zinniamux::core::WaitPolicy;

struct Pool {
  void Add(const std::string& id, const std::string& availability_zone, std::int64_t free,
           double pace = 1, std::vector<std::string> labels = {}, bool is_close = true,
           double steady_pace = 0) {
    auto view = std::make_unique<ExecutorView>(id, availability_zone);
    view->set_attached(true);
    view->OnReport({.executor_id = id,
                    .service = "service",
                    .accepting = true,
                    .capacity = {.cpu_milli = 10'000, .memory_mb = 100},
                    .free = {.cpu_milli = free, .memory_mb = 100},
                    .labels = std::move(labels),
                    .is_close = is_close,
                    .pace = pace,
                    .steady_pace = steady_pace});
    views.push_back(view.get());
    owned.push_back(std::move(view));
  }

  RoomPlacement::Query MakeQuery(const JobStep& step) const {
    return {.service = "service",
            .step = &step,
            .median_pace = RoomPlacement::MedianPace(views),
            .filter = {}};
  }

  std::string ChooseWithRoom(const RoomPlacement::Query& query) {
    const ExecutorView* view = placement.ChooseWithRoom(views, query, random);
    return view == nullptr ? "" : view->agent_id();
  }
  std::string ChooseWithRoom(const JobStep& step) { return ChooseWithRoom(MakeQuery(step)); }

  std::string ChooseShortestWait(const RoomPlacement::Query& query, Duration limit) {
    const ExecutorView* view = placement.ChooseShortestWait(views, query, limit, random);
    return view == nullptr ? "" : view->agent_id();
  }

  const RoomPlacement placement{{.availability_zone = "here"}};
  std::minstd_rand random;
  std::vector<std::unique_ptr<ExecutorView>> owned;
  std::vector<ExecutorView*> views;
};

const JobStep kStep{.need = {.cpu_milli = 1000, .memory_mb = 1}};

}  // namespace

// Guards against dispatchers that all choose the same executor while their own availability zone
// has room.
Test(room_placement, prefers_its_own_availability_zone_among_equals) {
  Pool pool;
  pool.Add("far", "there", 6000);
  pool.Add("near", "here", 5000);
  cr_assert_eq(pool.ChooseWithRoom(kStep), "near");
  pool.Add("empty", "there", 10'000);
  cr_assert_eq(pool.ChooseWithRoom(kStep), "empty");
}

// Guards against tasks for an executor that is slow or stalled.
Test(room_placement, excludes_slow_executors) {
  Pool pool;
  pool.Add("slow", "here", 10'000, 5);
  pool.Add("normal", "there", 1000, 1);
  pool.Add("other", "there", 0, 1.1);
  cr_assert_eq(pool.ChooseWithRoom(kStep), "normal");
}

// Guards against a full load on an executor that may still be slow: with a pace between normal and
// slow it gets a partial load.
Test(room_placement, fills_a_recovering_executor_in_part) {
  Pool pool;
  pool.Add("normal", "there", 0, 1);
  pool.Add("other", "there", 0, 1);
  pool.Add("recovering", "here", 10'000, 2);
  cr_assert_eq(pool.ChooseWithRoom(kStep), "recovering");
  pool.views.back()->OnOrder(1, {.cpu_milli = 4000});
  cr_assert_eq(pool.ChooseWithRoom(kStep), "");
}

// Guards against executors without the label that a step requires, and against executors far from
// the data.
Test(room_placement, follows_labels) {
  Pool pool;
  pool.Add("plain", "here", 10'000);
  pool.Add("labelled", "there", 2000, 1, {"b", "r1"});
  JobStep step = kStep;
  step.required_label = "b";
  cr_assert_eq(pool.ChooseWithRoom(step), "labelled");
  step.required_label = "c";
  cr_assert_eq(pool.ChooseWithRoom(step), "");
  step.required_label.clear();
  step.preferred_rack = "r1";
  cr_assert_eq(pool.ChooseWithRoom(step), "labelled");
}

// Load pattern of a zone that is restored with cold executors. Guards against tasks that run slowly
// there while others have room, and against cold executors that stay idle when none has.
Test(room_placement, uses_cold_executors_when_no_other_has_room) {
  Pool pool;
  pool.Add("cold", "here", 10'000);
  pool.Add("warm", "there", 1000);
  pool.Add("other", "there", 1000, 1, {}, false);
  zinniamux::core::ExecutorReport report = pool.views.front()->report();
  report.cold_left = milliseconds(1);
  pool.views.front()->OnReport(report);
  cr_assert_eq(pool.ChooseWithRoom(kStep), "warm");
  pool.views.at(1)->OnOrder(1, {.cpu_milli = 1000});
  cr_assert_eq(pool.ChooseWithRoom(kStep), "other");
  pool.views.at(2)->OnOrder(1, {.cpu_milli = 1000});
  cr_assert_eq(pool.ChooseWithRoom(kStep), "cold");
  report.cold_left = milliseconds(0);
  pool.views.front()->OnReport(report);
  pool.views.at(1)->ClearOrders();
  cr_assert_eq(pool.ChooseWithRoom(kStep), "cold");
}

// Load pattern of a hot key or availability zone: the close executors are full and others idle.
// Guards against tasks that wait for close executors, against orders by old views while close
// executors have room, and against dispatchers with the same old views that all choose the same
// executor.
Test(room_placement, uses_others_when_close_executors_are_full) {
  Pool pool;
  pool.Add("close", "here", 1000);
  pool.Add("other-1", "there", 10'000, 1, {}, false);
  pool.Add("other-2", "there", 9000, 1, {}, false);
  cr_assert_eq(pool.ChooseWithRoom(kStep), "close");
  pool.views.front()->OnOrder(1, {.cpu_milli = 1000});
  std::set<std::string> chosen;
  for (int i = 0; i < 50; ++i) chosen.insert(pool.ChooseWithRoom(kStep));
  cr_assert_eq(chosen.size(), 2);
  cr_assert_not(chosen.contains("close"));
  RoomPlacement::Query query = pool.MakeQuery(kStep);
  query.include_others = false;
  cr_assert_eq(pool.ChooseWithRoom(query), "");
}

// Guards against placement by views that are not trusted any more.
Test(room_placement, excludes_close_executors_with_untrusted_views) {
  Pool pool;
  pool.Add("close", "here", 10'000);
  RoomPlacement::Query query = pool.MakeQuery(kStep);
  query.include_close = false;
  cr_assert_eq(pool.ChooseWithRoom(query), "");
  cr_assert_eq(pool.ChooseShortestWait(query, milliseconds(1)), "close");
}

// Guards against orders that wait on executors with old views, against refusals because of old
// views, and against refusals of jobs that only other executors can run.
Test(room_placement, waits_at_close_executors_if_they_can_run_the_task) {
  Pool pool;
  pool.Add("close", "here", 0);
  pool.Add("other", "there", 10'000, 1, {"b"}, false);
  cr_assert_eq(pool.ChooseShortestWait(pool.MakeQuery(kStep), seconds(1)), "");
  cr_assert(pool.placement.ShortestWait(pool.views, pool.MakeQuery(kStep)) == Duration::max());
  JobStep labelled = kStep;
  labelled.required_label = "b";
  cr_assert_eq(pool.ChooseShortestWait(pool.MakeQuery(labelled), seconds(1)), "other");
  cr_assert_eq(pool.placement.ShortestWait(pool.views, pool.MakeQuery(labelled)).count(), 0);
}

// Guards against an order of the lowest rank for the last room that other orders need, and against
// last room that no dispatcher uses.
Test(room_placement, leaves_headroom_unless_it_may_take_the_last_room) {
  Pool pool;
  pool.Add("close", "here", 1500);
  RoomPlacement::Query query = pool.MakeQuery(kStep);
  cr_assert_eq(pool.ChooseShortestWait(query, milliseconds(1)), "close");
  query.headroom_cpu_milli = 1000;
  cr_assert_eq(pool.ChooseShortestWait(query, milliseconds(1)), "");
  pool.views.front()->set_may_take_last_room(true);
  cr_assert_eq(pool.ChooseShortestWait(query, milliseconds(1)), "close");
}

// Guards against one outlier that makes a normal executor look slow, and against a slow executor
// that is detected only after many runs.
Test(pace_meter, needs_a_few_slow_runs) {
  PaceMeter meter;
  TimePoint now{seconds(100)};
  for (int i = 0; i < 10; ++i) meter.AddSample(i % 2 == 0 ? 0.7 : 1.4, now);
  meter.AddSample(10, now);
  cr_assert_lt(meter.value(now), 1.6);
  for (int i = 0; i < 5; ++i) meter.AddSample(6, now);
  cr_assert_gt(meter.value(now), 2.2);
  now += seconds(3);
  cr_assert_lt(meter.value(now), 1.01);
}

// Load pattern: a few percent of all tasks take seven times as long wherever they run. Guards
// against an executor that is taken for slow because of one of them, the first one included.
Test(pace_meter, ignores_a_single_long_run) {
  PaceMeter meter;
  const TimePoint now{seconds(100)};
  meter.AddSample(7, now);
  cr_assert_lt(meter.value(now), 1.05);
  for (int i = 0; i < 10; ++i) meter.AddSample(1, now);
  meter.AddSample(7, now);
  cr_assert_lt(meter.value(now), 1.05);
  meter.AddSample(1, now);
  cr_assert_lt(meter.value(now), 1.05);
}

// Guards against one run that ends far before its estimate and hides a slow executor.
Test(pace_meter, is_not_reset_by_a_single_short_run) {
  PaceMeter meter;
  const TimePoint now{seconds(100)};
  for (int i = 0; i < 4; ++i) meter.AddSample(6, now);
  meter.AddSample(0.1, now);
  cr_assert_gt(meter.value(now), 2.2);
}

// Guards against callers that are refused at the same time and all retry at the same time.
Test(wait_policy, spreads_the_retries_of_refused_callers) {
  const WaitPolicy policy;
  cr_assert_eq(policy.RetryAfter(milliseconds(0), 0).count(), 1000);
  cr_assert_eq(policy.RetryAfter(milliseconds(0), 0.9).count(), 2800);
  cr_assert_eq(policy.RetryAfter(seconds(60), 0).count(), 4000);
  cr_assert_eq(policy.RetryAfter(seconds(60), 0.5).count(), 8000);
}

// Guards against a wait that leaves too little time for the run itself.
Test(wait_policy, limits_the_wait_to_a_share_of_the_objective) {
  const WaitPolicy policy;
  const TimePoint now{seconds(100)};
  JobRequest job{.stretch = 1.6, .slack = milliseconds(60), .deadline = now + seconds(5)};
  cr_assert_eq((policy.StartBy(job, milliseconds(60), now) - now).count(), 39'000);
  job.urgent = true;
  cr_assert_eq((policy.StartBy(job, milliseconds(60), now) - now).count(), 54'600);
  cr_assert_eq((policy.LatestStart(job, milliseconds(60), now) - now).count(), 96'000);
  job.stretch = 1;
  job.slack = milliseconds(10);
  cr_assert_eq((policy.StartBy(job, milliseconds(1000), now) - now).count(), 10'000);
}

// Guards against the wrong queue for nested prefixes, and for a host name with a port.
Test(queue_configuration, takes_the_longest_prefix_of_the_host) {
  const QueueConfiguration configuration{
      .version = 1,
      .queues = {{.name = "short", .host = "h", .prefix = "/a/", .service = "s", .priority = 0},
                 {.name = "long", .host = "h", .prefix = "/a/b/", .service = "s", .priority = 1},
                 {.name = "other", .host = "g", .prefix = "/a/b/c/", .service = "t"}}};
  cr_assert_eq(configuration.Find("h:8080", "/a/b/x")->name, "long");
  cr_assert_eq(configuration.Find("h", "/a/x")->name, "short");
  cr_assert_null(configuration.Find("h", "/b/x"));
  cr_assert(configuration.IsUrgent(configuration.queues[0]));
  cr_assert_not(configuration.IsUrgent(configuration.queues[1]));
  cr_assert_not(configuration.IsUrgent(configuration.queues[2]));
}

namespace {

// Three executors at their usual speed, which are full, and an empty one that takes 2.2 times as
// long.
struct UnevenPool : Pool {
  explicit UnevenPool(double steady_pace) {
    for (const char* id : {"a", "b", "c"}) Add(id, "here", 0, 1, {}, true, steady_pace > 0 ? 1 : 0);
    Add("slow", "here", 10'000, 2.2, {}, true, steady_pace);
    views.back()->OnOrder(1, {.cpu_milli = 3000});
    speeds.Update(views, TimePoint(seconds(100)));
  }

  RoomPlacement::Query MakeQuery(const JobStep& step, milliseconds run_time,
                                 milliseconds time_left) const {
    RoomPlacement::Query query = Pool::MakeQuery(step);
    query.speeds = speeds.is_active() ? &speeds : nullptr;
    query.run_time = run_time;
    query.time_left = time_left;
    return query;
  }

  SpeedMatching speeds;
};

}  // namespace

// Load pattern: a quarter of the executors is steadily slower than the others. Guards against slow
// executors that are left empty while short tasks, which end in time there, are refused.
Test(speed_matching, places_short_tasks_on_steadily_slow_executors) {
  UnevenPool pool(2.2);
  const auto query = pool.MakeQuery(kStep, milliseconds(50), milliseconds(140));
  cr_assert_eq(pool.ChooseWithRoom(query), "slow");
  cr_assert_eq(pool.placement.ShortestWait(pool.views, query).count(), 0);
}

// Guards against long tasks on executors on which they miss their objective, and against short ones
// that have too little time left for a slow executor.
Test(speed_matching, keeps_tasks_from_executors_on_which_they_end_late) {
  UnevenPool pool(2.2);
  cr_assert_eq(pool.ChooseWithRoom(pool.MakeQuery(kStep, milliseconds(760), milliseconds(1276))),
               "");
  cr_assert_eq(pool.ChooseWithRoom(pool.MakeQuery(kStep, milliseconds(50), milliseconds(115))), "");
  // A started job is completed, even if it is late.
  auto query = pool.MakeQuery(kStep, milliseconds(760), milliseconds(100));
  query.rank = zinniamux::core::StartRank::kStarted;
  cr_assert_eq(pool.ChooseWithRoom(query), "slow");
}

// Guards against changes where executors do not differ steadily: one that is slow now, but not
// known to stay so, is filled in part or not at all.
Test(speed_matching, leaves_executors_in_a_slow_phase_to_the_pace_filter) {
  UnevenPool pool(0);
  cr_assert_not(pool.speeds.is_active());
  cr_assert_eq(pool.ChooseWithRoom(pool.MakeQuery(kStep, milliseconds(50), milliseconds(140))), "");
  Pool even;
  for (const char* id : {"a", "b", "c"}) even.Add(id, "here", 10'000, 1, {}, true, 1);
  even.Add("d", "here", 10'000, 1.3, {}, true, 1.3);
  SpeedMatching speeds;
  speeds.Update(even.views, TimePoint(seconds(100)));
  cr_assert_not(speeds.is_active());
}

// Guards against estimates that depend on which executors have run the tasks of a queue.
Test(speed_matching, converts_run_times_to_the_median_executor) {
  const UnevenPool pool(2);
  cr_assert_eq(pool.speeds.slow(), 1);
  cr_assert_eq(pool.speeds.fast(), 0);
  cr_assert_eq(pool.speeds.AtMedianPace(milliseconds(100), *pool.views.back()).count(), 50'000);
  cr_assert_eq(pool.speeds.AtMedianPace(milliseconds(100), *pool.views.front()).count(), 100'000);
  // Three at speed 1 and one at 1/2.
  cr_assert_float_eq(pool.speeds.mean_pace(), 4 / 3.5, 0.001);
}

// Guards against a slow phase that is taken for a steady speed before it has lasted, against tails
// that hide a steady speed, and against one that is remembered after the speed has changed.
Test(steady_pace, recognises_a_speed_that_stays) {
  SteadyPace steady;
  TimePoint now{seconds(100)};
  const auto run = [&](int count, double ratio) {
    for (int i = 0; i < count; ++i) {
      now += milliseconds(50);
      steady.AddSample(std::log(i % 30 == 7 ? 7 * ratio : ratio), now);
    }
  };
  run(35, 2);
  cr_assert_eq(steady.value(now), 0);
  run(1, 2);
  cr_assert_float_eq(steady.value(now), 2, 0.01);
  cr_assert_float_eq(steady.value(now + seconds(20)), 2, 0.01);
  cr_assert_eq(steady.value(now + seconds(31)), 0);
  run(8, 6);
  cr_assert_eq(steady.value(now), 0);
}

// Guards against a burst of tasks of one job, whose estimates are off alike, that is taken for a
// steady speed.
Test(steady_pace, counts_a_burst_of_ends_once) {
  SteadyPace steady;
  const TimePoint now{seconds(100)};
  for (int i = 0; i < 100; ++i) steady.AddSample(std::log(2), now);
  cr_assert_eq(steady.value(now), 0);
}
