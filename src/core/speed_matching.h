// Knows which executors run tasks at another speed than most, and which tasks end in time there.
#ifndef ZINNIAMUX_CORE_SPEED_MATCHING_H_
#define ZINNIAMUX_CORE_SPEED_MATCHING_H_

#include <cstddef>
#include <optional>
#include <span>

#include "core/clock.h"
#include "core/executor_view.h"

namespace zinniamux::core {

// Load pattern: a part of the executors is steadily slower than the others by so much that long
// tasks miss their objective there, while short ones, whose objective has a fixed part, do not.
// Taken for executors in a slow phase, they would stay empty and their room be lost. So a task may
// go to a steadily slow executor if it is expected to end in time there. Long tasks then keep to
// the fast executors, which leaves most of the room of slow ones to short tasks.
// Where no executor reports a steady pace that differs by `uneven_ratio` from the median, nothing
// changes.
class SpeedMatching {
 public:
  struct Options {
    // VM types differ by 30 %, and steady paces are known to 10 %. Below this, placement treats an
    // executor as normal whatever its steady pace; see RoomPlacement::Options::normal_ratio.
    double uneven_ratio = 1.5;
    // Time between two looks at the reports. A steady pace takes seconds to become known.
    std::chrono::milliseconds period{100};
  };

  SpeedMatching() : SpeedMatching(Options()) {}
  explicit SpeedMatching(const Options& options) : options_(options) {}

  // Called before each placement pass.
  void Update(std::span<ExecutorView* const> executors, TimePoint now);

  // Whether executors differ in speed.
  bool is_active() const { return slow_ + fast_ > 0; }
  // Executors that are steadily slower and faster than the median.
  std::size_t slow() const { return slow_; }
  std::size_t fast() const { return fast_; }

  // Run time on the executor relative to the median, if it is steady and differs by
  // `uneven_ratio`.
  std::optional<double> RelativePace(const ExecutorView& executor) const;

  // The run time that the median executor would have needed.
  Duration AtMedianPace(Duration run_time, const ExecutorView& executor) const;

  // Run time on an executor of mean speed, relative to the median. Callers do not know which
  // executor runs their tasks, so their objectives refer to the mean speed.
  double mean_pace() const { return mean_pace_; }

 private:
  double Ratio(const ExecutorView& executor) const {
    return executor.report().steady_pace / median_pace_;
  }

  const Options options_;
  std::optional<TimePoint> updated_at_;
  // Of the steady paces, and the present ones of other executors.
  double median_pace_ = 1;
  double mean_pace_ = 1;
  std::size_t slow_ = 0;
  std::size_t fast_ = 0;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_SPEED_MATCHING_H_
