// Conversion between the core's types of leased execution and the messages of runs.proto.
#ifndef ZINNIAMUX_ZINNIAMUXD_RUN_CODEC_H_
#define ZINNIAMUX_ZINNIAMUXD_RUN_CODEC_H_

#include "core/executor_view.h"
#include "core/job_scheduler.h"
#include "core/run.h"
#include "core/run_supervisor.h"
#include "core/zone_evacuation.h"
#include "runs.pb.h"

namespace zinniamux::daemon {

void ToMessage(const core::Resources& resources, runs::Resources& message);
core::Resources FromMessage(const runs::Resources& message);

void ToMessage(const core::RunId& id, runs::RunRef& message);
core::RunId FromMessage(const runs::RunRef& message);

void ToMessage(const core::RunUpdate& update, runs::RunUpdate& message);
core::RunOutcome OutcomeFromMessage(const runs::RunUpdate& message);

void ToMessage(const core::ExecutorReport& report, runs::ExecutorReport& message);
core::ExecutorReport FromMessage(const runs::ExecutorReport& message);

// The evacuated zones that a frame of either side tells. Version 0 if it tells none.
template <typename Frame>
void ToMessage(const core::EvacuationState& state, Frame& frame) {
  frame.set_evacuation_version(state.version);
  frame.clear_evacuated_zones();
  for (const std::string& zone : state.zones) frame.add_evacuated_zones(zone);
}
template <typename Frame>
core::EvacuationState EvacuationFromMessage(const Frame& frame) {
  return {.version = frame.evacuation_version(),
          .zones = {frame.evacuated_zones().begin(), frame.evacuated_zones().end()}};
}

// `clock_offset` is the supervisor's clock minus this process's clock.
void ToMessage(const core::StartTasks& start, core::Duration clock_offset,
               runs::StartOrder& message);
// Returns one order for each start. Called on the supervisor, whose clock `expires` refers to.
std::vector<core::RunOrder> FromMessage(const runs::StartOrder& message);

// A time of the supervisor's clock in milliseconds, as frames carry it.
inline std::int64_t ToClockMilliseconds(core::TimePoint time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_RUN_CODEC_H_
