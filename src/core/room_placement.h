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

// Load pattern: several entries place on the same executors at the same time, each with a view that
// is a few ms old, while some executors are slow. Executors of the entry's own availability zone
// come first, which keeps entries apart while there is room; the one with the largest free share
// comes first among equals, which leaves room everywhere for the next job's tasks.
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
    // Executors for which this returns false are left out.
    std::function<bool(const ExecutorView&)> allows;
  };

  explicit RoomPlacement(Options options) : options_(std::move(options)) {}

  // The best executor on which the task can start at once, or null. Slow executors are not chosen.
  ExecutorView* Choose(std::span<ExecutorView* const> executors, const Query& query) const;

  // The executor on which the task waits least, at most `limit`, or null. Among waits that differ
  // by less than a report's age, `random` decides, so that entries with the same view of the
  // executors do not all choose the same one.
  ExecutorView* ChooseSoonest(std::span<ExecutorView* const> executors, const Query& query,
                              Duration limit, std::minstd_rand& random) const;

  // The least wait on any executor; Duration::max() if none can run the task.
  Duration LeastWait(std::span<ExecutorView* const> executors, const Query& query) const;

  // The median pace of executors that are known, 1 if none is.
  static double MedianPace(std::span<ExecutorView* const> executors);

 private:
  // True unless the executor is slow, or slower than others and filled as far as it may be.
  bool TrustsPace(const ExecutorView& executor, double median_pace) const;
  bool IsCandidate(const ExecutorView& executor, const Query& query) const;
  double Score(const ExecutorView& executor, const Query& query) const;

  const Options options_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_ROOM_PLACEMENT_H_
