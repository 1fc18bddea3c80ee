// Leases, runs and ends of a simulated executor.
#include "support/simulated_executor.h"

#include <algorithm>
#include <utility>

namespace zinniamux::testing {

using core::RunOutcome;
using core::StartAnswer;
using core::TimePoint;
using std::chrono::milliseconds;

SimulatedExecutor::SimulatedExecutor(Options options, Hooks hooks, TimePoint now)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      now_(now),
      born_(now),
      slowness_(options_.slowness) {}

core::ExecutorTime SimulatedExecutor::clock() const {
  const double age = std::chrono::duration<double, std::milli>(now_ - born_).count();
  return core::ExecutorTime(static_cast<std::int64_t>(age * (1 - options_.clock_lag)) + 1000);
}

TimePoint SimulatedExecutor::EndTime(const Running& run) const {
  const auto left = std::chrono::duration_cast<core::Duration>(run.left * slowness_);
  const TimePoint end = now_ + left;
  return run.stops_at ? std::min(end, *run.stops_at) : end;
}

TimePoint SimulatedExecutor::next_event() const {
  if (running_.empty()) return TimePoint::max();
  // The lease is looked at every few ms.
  TimePoint next = now_ + milliseconds(20);
  for (const auto& [id, run] : running_) next = std::min(next, EndTime(run));
  return next;
}

void SimulatedExecutor::Advance(TimePoint now) {
  if (suspended_) {
    // The age that the clock shows stays the same.
    born_ += now - now_;
    for (auto& [id, run] : running_) {
      if (run.stops_at) *run.stops_at += now - now_;
    }
    now_ = now;
    return;
  }
  while (now_ < now) {
    const TimePoint step = std::max(std::min(next_event(), now), now_ + core::Duration(1));
    const auto done = std::chrono::duration_cast<core::Duration>((step - now_) / slowness_);
    now_ = std::min(step, now);
    std::vector<std::pair<core::RunId, RunOutcome>> over;
    for (auto& [id, run] : running_) {
      run.left -= done;
      if (run.left <= core::Duration(1)) {
        over.emplace_back(id, failing_ ? RunOutcome::kFailed : RunOutcome::kDone);
      } else if (run.stops_at && *run.stops_at <= now_) {
        over.emplace_back(id, RunOutcome::kStopped);
      }
    }
    for (const auto& [id, outcome] : over) End(id, outcome);
    if (clock() >= lease_until_) Lapse();
  }
}

void SimulatedExecutor::End(const core::RunId& id, RunOutcome outcome) {
  running_.erase(id);
  closed_[id.task] = std::max(closed_[id.task], id.run);
  ends_.push_back({.number = next_end_++, .id = id, .outcome = outcome});
  hooks_.on_end(id, outcome);
}

void SimulatedExecutor::Lapse() {
  while (!running_.empty()) {
    const core::RunId id = running_.begin()->first;
    End(id, RunOutcome::kLapsed);
  }
}

core::Resources SimulatedExecutor::used() const {
  core::Resources used;
  for (const auto& [id, run] : running_) used += hooks_.need(id.task);
  return used;
}

StartAnswer SimulatedExecutor::Start(const core::CallStart& call) {
  if (call.executor_id != options_.id) return StartAnswer::kUnhealthy;
  if (call.fencing_token < fence_) return StartAnswer::kFenced;
  fence_ = call.fencing_token;
  if (running_.contains(call.id)) return StartAnswer::kStarted;
  const core::ExecutorTime until = std::min(call.lease_until, clock() + options_.max_lease);
  const auto closed = closed_.find(call.id.task);
  if (until <= clock()) return StartAnswer::kLeaseExpired;
  lease_until_ = std::max(lease_until_, until);
  if (closed != closed_.end() && call.id.run <= closed->second) return StartAnswer::kOutdated;
  core::Resources free = options_.capacity;
  free -= used();
  if (!hooks_.need(call.id.task).Fits(free)) return StartAnswer::kNoRoom;
  const core::Duration total = hooks_.run_time(call.id.task);
  running_[call.id] = {.left = total, .total = total};
  hooks_.on_start(call.id);
  return StartAnswer::kStarted;
}

void SimulatedExecutor::Stop(const core::CallStop& call) {
  if (call.executor_id != options_.id || call.fencing_token < fence_) return;
  fence_ = call.fencing_token;
  const auto run = running_.find(call.id);
  if (run != running_.end()) {
    if (!run->second.stops_at) run->second.stops_at = now_ + options_.stop_time;
    return;
  }
  closed_[call.id.task] = std::max(closed_[call.id.task], call.id.run);
}

core::HoldAnswer SimulatedExecutor::Hold(const core::CallHold& call) {
  core::HoldAnswer answer{.born_ms = born_ms_, .clock = clock()};
  if (call.executor_id == options_.id && call.fencing_token >= fence_) {
    fence_ = call.fencing_token;
    if (call.lease_until) {
      lease_until_ =
          std::max(lease_until_, std::min(*call.lease_until, clock() + options_.max_lease));
    }
    std::erase_if(ends_, [&](const core::EndedRun& end) { return end.number <= call.last_seen; });
  }
  for (const auto& [id, run] : running_) {
    const double done = 1 - std::chrono::duration<double>(run.left) / run.total;
    answer.running.push_back({.id = id, .percent = static_cast<int>(done * 100)});
  }
  answer.ended = ends_;
  return answer;
}

core::LeasedExecutor SimulatedExecutor::Status() {
  return {.id = options_.id,
          .born_ms = born_ms_,
          .service = "service",
          .capacity = options_.capacity,
          .labels = options_.labels,
          .draining = draining_,
          .sequence = ++sequence_,
          .clock = clock()};
}

void SimulatedExecutor::Restart() {
  for (const auto& [id, run] : running_) hooks_.on_end(id, RunOutcome::kBroken);
  running_.clear();
  ends_.clear();
  closed_.clear();
  fence_ = 0;
  sequence_ = 0;
  next_end_ = 1;
  lease_until_ = core::ExecutorTime(0);
  born_ = now_;
  ++born_ms_;
}

}  // namespace zinniamux::testing
