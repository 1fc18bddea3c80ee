// RoomPlacement, PaceMeter and WaitPolicy: the choices behind placement and refusal.
#include "core/room_placement.h"

#include <criterion/criterion.h>

#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/pace_meter.h"
#include "core/queue_configuration.h"
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
using zinniamux::core::TimePoint;
using zinniamux::core::WaitPolicy;

struct Pool {
  void Add(const std::string& id, const std::string& zone, std::int64_t free, double pace = 1,
           std::vector<std::string> labels = {}, bool is_close = true) {
    auto view = std::make_unique<ExecutorView>(id, zone);
    view->set_attached(true);
    view->OnReport({.executor_id = id,
                    .service = "service",
                    .accepting = true,
                    .capacity = {.cpu_milli = 10'000, .memory_mb = 100},
                    .free = {.cpu_milli = free, .memory_mb = 100},
                    .labels = std::move(labels),
                    .is_close = is_close,
                    .pace = pace});
    views.push_back(view.get());
    owned.push_back(std::move(view));
  }

  RoomPlacement::Query Query(const JobStep& step) const {
    return {.service = "service",
            .step = &step,
            .median_pace = RoomPlacement::MedianPace(views),
            .allows = {}};
  }

  std::string Choose(const RoomPlacement::Query& query) {
    const ExecutorView* view = placement.Choose(views, query, random);
    return view == nullptr ? "" : view->agent_id();
  }
  std::string Choose(const JobStep& step) { return Choose(Query(step)); }

  std::string ChooseSoonest(const RoomPlacement::Query& query, Duration limit) {
    const ExecutorView* view = placement.ChooseSoonest(views, query, limit, random);
    return view == nullptr ? "" : view->agent_id();
  }

  const RoomPlacement placement{{.availability_zone = "here"}};
  std::minstd_rand random;
  std::vector<std::unique_ptr<ExecutorView>> owned;
  std::vector<ExecutorView*> views;
};

const JobStep kStep{.need = {.cpu_milli = 1000, .memory_mb = 1}};

}  // namespace

// Guards against entries that all fill the same executor while their own zone has room.
Test(room_placement, prefers_its_own_zone_among_equals) {
  Pool pool;
  pool.Add("far", "there", 6000);
  pool.Add("near", "here", 5000);
  cr_assert_eq(pool.Choose(kStep), "near");
  pool.Add("empty", "there", 10'000);
  cr_assert_eq(pool.Choose(kStep), "empty");
}

// Guards against work for an executor that is slow or stands still.
Test(room_placement, leaves_out_slow_executors) {
  Pool pool;
  pool.Add("slow", "here", 10'000, 5);
  pool.Add("sound", "there", 1000, 1);
  pool.Add("other", "there", 0, 1.1);
  cr_assert_eq(pool.Choose(kStep), "sound");
}

// Guards against a full load for an executor that may be slow still: with a pace between sound and
// slow it gets a part.
Test(room_placement, fills_a_recovering_executor_in_part) {
  Pool pool;
  pool.Add("sound", "there", 0, 1);
  pool.Add("other", "there", 0, 1);
  pool.Add("recovering", "here", 10'000, 2);
  cr_assert_eq(pool.Choose(kStep), "recovering");
  pool.views.back()->OnOrder(1, {.cpu_milli = 4000});
  cr_assert_eq(pool.Choose(kStep), "");
}

// Guards against executors without the label that a step needs, and against slow ways to the data.
Test(room_placement, follows_labels) {
  Pool pool;
  pool.Add("plain", "here", 10'000);
  pool.Add("labelled", "there", 2000, 1, {"b", "r1"});
  JobStep step = kStep;
  step.required_label = "b";
  cr_assert_eq(pool.Choose(step), "labelled");
  step.required_label = "c";
  cr_assert_eq(pool.Choose(step), "");
  step.required_label.clear();
  step.preferred_rack = "r1";
  cr_assert_eq(pool.Choose(step), "labelled");
}

// Load pattern of a rush to one key or zone: the close executors are full and others idle. Guards
// against work that stays where it is asked for, against orders by old views while close executors
// have room, and against entries that all order on the same executor of their old views.
Test(room_placement, goes_to_others_when_close_executors_are_full) {
  Pool pool;
  pool.Add("close", "here", 1000);
  pool.Add("other-1", "there", 10'000, 1, {}, false);
  pool.Add("other-2", "there", 9000, 1, {}, false);
  cr_assert_eq(pool.Choose(kStep), "close");
  pool.views.front()->OnOrder(1, {.cpu_milli = 1000});
  std::set<std::string> chosen;
  for (int i = 0; i < 50; ++i) chosen.insert(pool.Choose(kStep));
  cr_assert_eq(chosen.size(), 2);
  cr_assert_not(chosen.contains("close"));
  RoomPlacement::Query query = pool.Query(kStep);
  query.tries_others = false;
  cr_assert_eq(pool.Choose(query), "");
}

// Guards against views that are not trusted any more and are placed by all the same.
Test(room_placement, leaves_out_close_executors_that_it_is_not_to_try) {
  Pool pool;
  pool.Add("close", "here", 10'000);
  RoomPlacement::Query query = pool.Query(kStep);
  query.tries_close = false;
  cr_assert_eq(pool.Choose(query), "");
  cr_assert_eq(pool.ChooseSoonest(query, milliseconds(1)), "close");
}

// Guards against orders that wait where the wait is only guessed, against refusals because of old
// views, and against jobs that no close executor can run and that are given up therefore.
Test(room_placement, waits_at_close_executors_if_they_can_run_the_task) {
  Pool pool;
  pool.Add("close", "here", 0);
  pool.Add("other", "there", 10'000, 1, {"b"}, false);
  cr_assert_eq(pool.ChooseSoonest(pool.Query(kStep), seconds(1)), "");
  cr_assert(pool.placement.LeastWait(pool.views, pool.Query(kStep)) == Duration::max());
  JobStep labelled = kStep;
  labelled.required_label = "b";
  cr_assert_eq(pool.ChooseSoonest(pool.Query(labelled), seconds(1)), "other");
  cr_assert_eq(pool.placement.LeastWait(pool.views, pool.Query(labelled)).count(), 0);
}

// Guards against an order of the least rank for the last room that others are about to take, and
// against last room that nobody takes.
Test(room_placement, leaves_headroom) {
  Pool pool;
  pool.Add("close", "here", 1500);
  RoomPlacement::Query query = pool.Query(kStep);
  cr_assert_eq(pool.ChooseSoonest(query, milliseconds(1)), "close");
  query.headroom_cpu_milli = 1000;
  cr_assert_eq(pool.ChooseSoonest(query, milliseconds(1)), "");
  pool.views.front()->set_takes_last_room(true);
  cr_assert_eq(pool.ChooseSoonest(query, milliseconds(1)), "close");
}

// Guards against one outlier that makes a sound executor look slow, and against a slow one that
// needs many runs to be seen.
Test(pace_meter, needs_a_few_runs_that_agree) {
  PaceMeter meter;
  TimePoint now{seconds(100)};
  for (int i = 0; i < 10; ++i) meter.Add(i % 2 == 0 ? 0.7 : 1.4, now);
  meter.Add(10, now);
  cr_assert_lt(meter.value(now), 1.6);
  for (int i = 0; i < 5; ++i) meter.Add(6, now);
  cr_assert_gt(meter.value(now), 2.2);
  now += seconds(3);
  cr_assert_lt(meter.value(now), 1.01);
}

// Guards against callers that are refused together and come back together.
Test(wait_policy, spreads_the_return_of_refused_callers) {
  const WaitPolicy policy;
  cr_assert_eq(policy.RetryAfter(milliseconds(0), 0).count(), 1000);
  cr_assert_eq(policy.RetryAfter(milliseconds(0), 0.9).count(), 2800);
  cr_assert_eq(policy.RetryAfter(seconds(60), 0).count(), 4000);
  cr_assert_eq(policy.RetryAfter(seconds(60), 0.5).count(), 8000);
}

// Guards against a wait that leaves too little time for the run itself.
Test(wait_policy, limits_the_wait_to_a_part_of_the_objective) {
  const WaitPolicy policy;
  const TimePoint now{seconds(100)};
  JobRequest job{.stretch = 1.6, .slack = milliseconds(60), .deadline = now + seconds(5)};
  cr_assert_eq((policy.StartBy(job, milliseconds(60), now) - now).count(), 39'000);
  cr_assert_eq(policy.OrderWait(job, milliseconds(60)).count(), 2340);
  job.urgent = true;
  cr_assert_eq((policy.StartBy(job, milliseconds(60), now) - now).count(), 54'600);
  cr_assert_eq((policy.LatestStart(job, milliseconds(60), now) - now).count(), 96'000);
  job.stretch = 1;
  job.slack = milliseconds(10);
  cr_assert_eq((policy.StartBy(job, milliseconds(1000), now) - now).count(), 10'000);
}

// Guards against the wrong queue for nested prefixes, and for a host with a port.
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
