// Leases, runs and ends of the modelled executor.
#include "model/executor_model.h"

#include <algorithm>

namespace zinniamux::model {

bool ExecutorModel::Advance() {
  const bool had_run = state_.run != 0;
  if (state_.lease > 0 && --state_.lease == 0) EndRun();
  if (state_.stop_left > 0 && --state_.stop_left == 0) EndRun();
  return had_run && state_.run == 0;
}

void ExecutorModel::EndRun() {
  state_.closed_run = std::max(state_.closed_run, state_.run);
  state_.run = 0;
  state_.stop_left = 0;
}

StartResult ExecutorModel::Start(std::uint8_t run, std::uint8_t token, Steps lease) {
  if (token < state_.token) return StartResult::kFenced;
  state_.token = token;
  if (state_.run == run) return StartResult::kStarted;
  if (lease == 0) return StartResult::kLeaseExpired;
  state_.lease = std::max(state_.lease, std::min(lease, limits_.lease));
  if (run <= state_.closed_run) return StartResult::kOutdated;
  if (state_.run != 0) state_.ran_twice = 1;
  state_.run = run;
  state_.stop_left = 0;
  return StartResult::kStarted;
}

void ExecutorModel::Stop(std::uint8_t run, std::uint8_t token) {
  if (token < state_.token) return;
  state_.token = token;
  if (state_.run == run) {
    if (state_.stop_left == 0) state_.stop_left = limits_.stop_time;
    return;
  }
  state_.closed_run = std::max(state_.closed_run, run);
}

void ExecutorModel::Hold(std::uint8_t token, Steps lease) {
  if (token < state_.token) return;
  state_.token = token;
  state_.lease = std::max(state_.lease, lease);
}

void ExecutorModel::Restart() {
  const PathState path = state_.path;
  const auto lifetime = static_cast<std::uint8_t>(state_.lifetime + 1);
  state_ = {.path = path, .lifetime = lifetime, .token = 0};
}

}  // namespace zinniamux::model
