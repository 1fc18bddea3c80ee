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

namespace zinniamux::core {

// Load pattern: several entries place on the same executors at the same time, while some executors
// are slow. Views of close executors (see ReportAudience) are a few ms old; those of the others are
// older than a short task takes.
// - Close executors come first. Among them, those of the entry's own availability zone have a
// bonus,
//   and the largest free share wins, which leaves room everywhere for the next job's tasks.
// - Without room there, one of the others is drawn by its last known room. Old views are right
// often
//   enough to try, and drawing keeps entries with the same old view apart.
// - Tasks wait only where the wait is known, on close executors.
class RoomPlacement {
 public:
  struct Options {
    std::string availability_zone;
    // Free share that an executor in another zone must have in excess.
    double zone_bonus = 0.15;
    // An executor whose pace is worse than this times the median is slow. The spread of estimates
    // leaves the pace of a sound one within 15 %, kinds of VM differ by 30 %.
    double slow_ratio = 2.2;
    // Below this it is sound. In between it may be filled in part, so that one which was slow is
    // tried with a few tasks before it gets many.
    double sound_ratio = 1.5;
    // Views are this old: the pause between reports to an entry that orders nothing.
    std::chrono::milliseconds view_age{20};
  };

  struct Query {
    std::string_view service;
    const JobStep* step = nullptr;
    StartRank rank = StartRank::kNormal;
    // MedianPace of the executors.
    double median_pace = 1;
    // Whether Choose takes close executors, and the others.
    bool tries_close = true;
    bool tries_others = true;
    // Room beside the task that ChooseSoonest asks for, for orders that come before this one. It is
    // not asked for where this entry takes the last room.
    std::int64_t headroom_cpu_milli = 0;
    // Executors for which this returns false are left out.
    std::function<bool(const ExecutorView&)> allows;
  };

  explicit RoomPlacement(Options options) : options_(std::move(options)) {}

  // The best executor on which the task can start at once, or null. Slow executors are not chosen.
  ExecutorView* Choose(std::span<ExecutorView* const> executors, const Query& query,
                       std::minstd_rand& random) const;

  // The close executor on which the task waits least, at most `limit`, or null. Among waits that
  // differ by less than a report's age, `random` decides, so that entries with the same view of the
  // executors do not all choose the same one. If no close executor can run the task, any counts.
  ExecutorView* ChooseSoonest(std::span<ExecutorView* const> executors, const Query& query,
                              Duration limit, std::minstd_rand& random) const;

  // The least wait on a close executor, or on any if no close one can run the task; Duration::max()
  // if none can.
  Duration LeastWait(std::span<ExecutorView* const> executors, const Query& query) const;

  // The median pace of executors that are known, 1 if none is.
  static double MedianPace(std::span<ExecutorView* const> executors);

 private:
  // True unless the executor is slow, or slower than others and filled as far as it may be.
  bool TrustsPace(const ExecutorView& executor, double median_pace) const;
  // True for executors that come before the others: their room is known, or they hold the data.
  static bool IsPreferred(const ExecutorView& executor, const Query& query);
  // True if a close executor can run the task, now or later.
  bool HasClose(std::span<ExecutorView* const> executors, const Query& query) const;
  bool IsCandidate(const ExecutorView& executor, const Query& query) const;
  double Score(const ExecutorView& executor, const Query& query) const;

  const Options options_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_ROOM_PLACEMENT_H_
