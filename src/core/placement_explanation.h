// A dry run of the placement of one job, with what decided at each executor.
#ifndef ZINNIAMUX_CORE_PLACEMENT_EXPLANATION_H_
#define ZINNIAMUX_CORE_PLACEMENT_EXPLANATION_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/executor_view.h"
#include "core/job_request.h"
#include "core/locality_wait.h"
#include "core/room_placement.h"

namespace zinniamux::core {

// What the dry run reads. It only reads: nothing is ordered, learned or drawn.
struct PlacementInput {
  const RoomPlacement& placement;
  const LocalityWait& locality;
  std::span<ExecutorView* const> executors;
  RoomPlacement::Query query;
  std::function<bool(const ExecutorView&)> is_ejected;
  // Why the job would be refused on arrival.
  std::optional<JobReason> refusal;
  std::string_view queue;
  TimePoint now;
  TimePoint objective;
  // The job is refused if its tasks are expected to start later than after this time.
  Duration start_limit{0};
  // The longest expected wait of an order at an executor.
  Duration order_wait_limit{0};
};

// Serves no load pattern: it shows operators what the other decisions do.
struct PlacementExplanation {
  struct Executor {
    std::string agent_id;
    std::string availability_zone;
    bool is_close = false;
    // In the rack that the job names.
    bool is_in_rack = false;
    // What excludes the executor, or "has_room" or "no_room" if nothing does.
    std::string_view verdict;
    Resources free;
    Resources capacity;
    double pace = 0;
    // Of RoomPlacement; only among close executors and those in the rack does the highest win.
    double score = 0;
    // Nothing if no run is known to release room, or if the executor is excluded.
    std::optional<Duration> expected_wait;
    // Tasks for which it has room now.
    std::uint32_t tasks = 0;
  };

  // "starts": all tasks find room now. "waits_for_rack": the rack is full, and the wait for it
  // pays. "waits_at_executor": orders wait for room at an executor. "queued": the job waits at the
  // dispatcher. "refused".
  std::string_view decision;
  // For a refused job, as in its answer.
  JobReason reason = JobReason::kNone;
  // What would have to change for a refused job.
  std::string remedy;
  // For one task, at the best executor; nothing if no executor will have room.
  std::optional<Duration> expected_wait;
  Duration start_limit{0};
  Duration order_wait_limit{0};
  // Tasks for which there is room now.
  std::uint32_t tasks_with_room = 0;
  std::vector<Executor> executors;
};

PlacementExplanation ExplainPlacement(const PlacementInput& input);

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_PLACEMENT_EXPLANATION_H_
