// Chooses the executor for a task among those that have room.
#ifndef ZINNIAMUX_CORE_ROOM_PLACEMENT_H_
#define ZINNIAMUX_CORE_ROOM_PLACEMENT_H_

#include <chrono>
#include <functional>
#include <random>
#include <span>
#include <string>
#include <string_view>

#include "core/executor_view.h"
#include "core/job_request.h"
#include "core/speed_matching.h"

namespace zinniamux::core {

// Load pattern: several dispatchers place tasks on the same executors at the same time, while some
// executors are slow. Views of close executors (see ReportAudience) are a few ms old; those of the
// others are older than the run time of a short task.
// - Close executors come first. The largest free share wins, plus a bonus in the dispatcher's own
//   availability zone. This leaves room on every executor for the next job's tasks.
// - If none has room, one of the others is sampled with its last known room as the weight. Old
//   views are correct often enough, and sampling makes dispatchers with the same old view choose
//   different executors.
// - Tasks wait only on close executors, where the wait is known.
// - Executors that have just started, for example in a restored zone, are slow for a while. They
//   get what no other executor has room for.
class RoomPlacement {
 public:
  struct Options {
    std::string availability_zone;
    // An executor in another availability zone needs a free share that is higher by this.
    double availability_zone_bonus = 0.15;
    // An executor whose pace is worse than this times the median is slow. The spread of estimates
    // moves the pace of a normal one by at most 15 %; VM types differ by 30 %.
    double slow_ratio = 2.2;
    // Up to this times the median, the pace is normal. In between, the executor is filled only in
    // part, so that a recovering one is tried with a few tasks before it gets many.
    double normal_ratio = 1.5;
    // On a steadily slow executor a task has to be expected to end in time with this to spare, for
    // the delivery of orders and ends, and for waits that are longer than expected.
    std::chrono::milliseconds slow_margin{15};
    // Age of a view: the time between reports to a dispatcher that orders nothing.
    std::chrono::milliseconds view_age{20};
  };

  struct Query {
    std::string_view service;
    const JobStep* step = nullptr;
    StartRank rank = StartRank::kNormal;
    // MedianPace of the executors.
    double median_pace = 1;
    // Set where executors differ steadily in speed. The task is expected to run for `run_time` on a
    // median one, and has to end within `time_left`.
    const SpeedMatching* speeds = nullptr;
    Duration run_time{0};
    Duration time_left{0};
    // Whether ChooseWithRoom considers close executors, and the others.
    bool include_close = true;
    bool include_others = true;
    // Room that ChooseShortestWait leaves for orders that come before this one, except where this
    // dispatcher may take the last room.
    std::int64_t headroom_cpu_milli = 0;
    // Executors for which this returns false are excluded.
    std::function<bool(const ExecutorView&)> filter;
  };

  explicit RoomPlacement(Options options) : options_(std::move(options)) {}

  // The best executor on which the task can start at once, or null. Slow executors are not chosen.
  ExecutorView* ChooseWithRoom(std::span<ExecutorView* const> executors, const Query& query,
                               std::minstd_rand& random) const;

  // The close executor with the shortest wait for the task, at most `limit`, or null. Among waits
  // that differ by less than the age of a view, `random` decides, so that dispatchers with the same
  // view do not all choose the same executor. If no close executor can run the task, all executors
  // are considered.
  ExecutorView* ChooseShortestWait(std::span<ExecutorView* const> executors, const Query& query,
                                   Duration limit, std::minstd_rand& random) const;

  // The shortest wait on a close executor, or on any if no close one can run the task;
  // Duration::max() if none can.
  Duration ShortestWait(std::span<ExecutorView* const> executors, const Query& query) const;

  // The median of the known paces; 1 if none is known.
  static double MedianPace(std::span<ExecutorView* const> executors);

  // False if the executor is slow, or slower than normal and already filled up to its limit. If it
  // is known to be slow steadily, it is acceptable for a task that ends in time after `wait`.
  bool HasAcceptablePace(const ExecutorView& executor, const Query& query,
                         Duration wait = Duration(0)) const;
  double Score(const ExecutorView& executor, const Query& query) const;

 private:
  // ChooseWithRoom among the executors that are cold, or among the others. Sets `has_skipped` if it
  // leaves out one that takes work.
  ExecutorView* ChooseAmong(std::span<ExecutorView* const> executors, const Query& query, bool cold,
                            std::minstd_rand& random, bool& has_skipped) const;
  // True for executors that come before the others: close ones, and those in the preferred rack.
  static bool IsPreferred(const ExecutorView& executor, const Query& query);
  // True if a close executor can run the task, now or later.
  bool HasCloseCandidate(std::span<ExecutorView* const> executors, const Query& query) const;
  bool IsCandidate(const ExecutorView& executor, const Query& query,
                   Duration wait = Duration(0)) const;

  const Options options_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_ROOM_PLACEMENT_H_
