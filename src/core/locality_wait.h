// Decides how long a wait for a task's rack pays, and learns from how such waits ended.
#ifndef ZINNIAMUX_CORE_LOCALITY_WAIT_H_
#define ZINNIAMUX_CORE_LOCALITY_WAIT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "core/executor_view.h"
#include "core/job_request.h"
#include "core/room_placement.h"
#include "core/run_time_estimator.h"

namespace zinniamux::core {

// Load pattern: tasks run `spread_factor` times as long away from the rack of their data, or if the
// tasks of their step run in several racks. The rack is full, but has room again in a moment; or it
// is hot: many jobs want it, and waits become longer than views show.
// An order waits at a supervisor of the rack if its expected wait and the local run time end before
// the remote run that is possible now. It expires when that is no longer so, or when a remote run
// would become late. A task waits once; after a wait that failed it is placed anywhere.
class LocalityWait {
 public:
  struct Options {
    // Remote run time divided by the local one, until it is learned. 0: racks are preferred where
    // they have room, and nothing waits for them.
    double spread_factor = 0;
    // A wait must end a task sooner by this share of the remote run time. Estimated run times are
    // off by about as much.
    double min_gain_share = 0.1;
    // Time kept for an order that expired to be placed elsewhere: its report, the next order and
    // the start call.
    std::chrono::milliseconds replacement_time{10};
    // What was learned of a rack's waits is forgotten with this time constant, so that waiting is
    // tried again after a hot phase. Bursts of the users last for some seconds.
    std::chrono::milliseconds memory{5000};
  };

  struct RunTimes {
    Duration local{0};
    Duration remote{0};
  };

  // A wait that pays.
  struct Wait {
    // The expected wait of the order, at most this.
    Duration longest_expected{0};
    // The order expires then.
    TimePoint until;
    // The task's remote run would end then.
    TimePoint remote_end;
  };

  struct Question {
    std::string_view queue;
    std::string_view rack;
    // Of the step.
    Duration declared{0};
    // Expected waits in the rack and at the best other executor, by the views.
    Duration wait{0};
    Duration remote_wait{0};
    // When the answer of the job is due.
    TimePoint objective;
    TimePoint now;
  };

  // Where a task was ordered whose run time depends on the rack, to learn from its end.
  struct Placement {
    std::string rack;
    bool is_local = false;
    // Set if it was ordered to wait.
    std::optional<Wait> wait;
    Duration expected_wait{0};
    TimePoint ordered_at;
  };

  struct Counts {
    std::uint64_t paid = 0;
    std::uint64_t unpaid = 0;
    Duration total_wait{0};
    Duration mean_wait() const {
      const std::uint64_t count = paid + unpaid;
      return count == 0 ? Duration(0) : total_wait / static_cast<std::int64_t>(count);
    }
  };

  explicit LocalityWait(const Options& options) : options_(options) {}

  bool enabled() const { return options_.spread_factor > 1; }
  // Whether the run time of the step's tasks depends on the rack.
  bool DependsOnRack(const JobStep& step) const {
    return enabled() && (!step.preferred_rack.empty() || (step.prefers_one_rack && step.count > 1));
  }
  // Whether the racks of executors are known; see ChooseRack.
  bool knows_racks() const { return !racks_.empty(); }
  static bool IsInRack(const ExecutorView& executor, std::string_view rack) {
    return executor.HasLabel(rack);
  }

  RunTimes RunTimesOf(std::string_view queue, Duration declared) const;
  // How long the order may be expected to wait in the rack; nothing if the other executor is
  // better.
  std::optional<Wait> Decide(const Question& question) const;
  // The executor among `near`, those in `placement.rack`, at which an order should wait; null if
  // none. Adds the wait to `placement`.
  ExecutorView* ChooseWait(const RoomPlacement& room, std::span<ExecutorView* const> executors,
                           const RoomPlacement::Query& near, Question question,
                           std::minstd_rand& random, Placement& placement) const;
  // The rack in which `tasks` tasks of a step that prefers one rack can start soonest, if they then
  // end sooner than in several racks; empty otherwise. Racks are the labels of executors that have
  // run a task of a job that named them as its preferred rack.
  std::string ChooseRack(std::span<ExecutorView* const> executors,
                         const RoomPlacement::Query& query, std::uint32_t tasks,
                         const Question& question) const;

  // The run time to be expected where the task was placed, if it is `local_estimate` in its rack.
  Duration Estimate(std::string_view queue, Duration declared, Duration local_estimate,
                    const Placement& placement) const;
  // The run time that the task would have had in its rack.
  Duration LocalTime(std::string_view queue, Duration declared, const Placement& placement,
                     Duration elapsed) const;
  // Learns from the end of an order. Returns false if it has waited for its rack and did not start.
  bool OnRunEnded(std::string_view queue, Duration declared, const Placement& placement,
                  RunOutcome outcome, Duration elapsed, TimePoint now);

  const Counts& counts() const { return counts_; }
  // How many times as long as expected recent waits for the rack took.
  double WaitRatio(std::string_view rack, TimePoint now) const;

 private:
  struct Experience {
    // Mean logarithm of actual / expected wait, as of `changed_at`.
    double log_ratio = 0;
    TimePoint changed_at;
  };

  Duration Corrected(Duration wait, std::string_view rack, TimePoint now) const;
  void RecordWait(const Placement& placement, Duration wait, bool paid, TimePoint now);

  const Options options_;
  RunTimeEstimator local_;
  RunTimeEstimator remote_;
  std::map<std::string, Experience, std::less<>> experience_;
  std::set<std::string, std::less<>> racks_;
  Counts counts_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_LOCALITY_WAIT_H_
