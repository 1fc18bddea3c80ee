// An executor in simulated time: runs under a lease, ends, fences, and the faults that executors
// have.
#ifndef ZINNIAMUX_TESTS_SUPPORT_SIMULATED_EXECUTOR_H_
#define ZINNIAMUX_TESTS_SUPPORT_SIMULATED_EXECUTOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/run_supervisor.h"

namespace zinniamux::testing {

// Times are simulated. The owner calls Advance before every call, and at next_event().
class SimulatedExecutor {
 public:
  struct Options {
    std::string id;
    core::Resources capacity;
    std::vector<std::string> labels;
    // Run times are multiplied by this.
    double slowness = 1;
    // Its clock runs slower than the world's by this part.
    double clock_lag = 0.02;
    std::chrono::milliseconds max_lease{1000};
    std::chrono::milliseconds stop_time{50};
  };
  struct Hooks {
    // The run time of a task on a sound executor.
    std::function<core::Duration(const core::TaskId&)> run_time;
    std::function<core::Resources(const core::TaskId&)> need;
    std::function<void(const core::RunId&)> on_start;
    std::function<void(const core::RunId&, core::RunOutcome)> on_end;
  };

  SimulatedExecutor(Options options, Hooks hooks, core::TimePoint now);

  void Advance(core::TimePoint now);
  // When something ends or lapses next; the far future if nothing runs.
  core::TimePoint next_event() const;

  core::StartAnswer Start(const core::CallStart& call);
  void Stop(const core::CallStop& call);
  core::HoldAnswer Hold(const core::CallHold& call);
  core::LeasedExecutor Status();
  core::ExecutorTime clock() const;
  core::ExecutorTime lease_until() const { return lease_until_; }
  bool has_unseen_ends() const { return !ends_.empty(); }

  // Loses everything and begins a new lifetime.
  void Restart();
  // Its VM stands still: its clock does not go on, and nothing runs or ends. Nothing is called
  // meanwhile.
  void Suspend() { suspended_ = true; }
  void Resume() { suspended_ = false; }
  void set_slowness(double slowness) { slowness_ = slowness; }
  void set_failing(bool failing) { failing_ = failing; }
  void set_draining(bool draining) { draining_ = draining; }
  const std::string& id() const { return options_.id; }
  std::size_t running() const { return running_.size(); }

 private:
  struct Running {
    core::Duration left{0};
    core::Duration total{0};
    std::optional<core::TimePoint> stops_at;
  };

  void End(const core::RunId& id, core::RunOutcome outcome);
  void Lapse();
  core::Resources used() const;
  core::TimePoint EndTime(const Running& run) const;

  Options options_;
  const Hooks hooks_;
  core::TimePoint now_;
  core::TimePoint born_;
  std::int64_t born_ms_ = 1;
  double slowness_;
  bool failing_ = false;
  bool draining_ = false;
  bool suspended_ = false;
  core::ExecutorTime lease_until_{0};
  std::uint64_t fence_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t next_end_ = 1;
  std::map<core::RunId, Running> running_;
  std::vector<core::EndedRun> ends_;
  // The highest run of each task that ended or was stopped here.
  std::map<core::TaskId, std::uint32_t> closed_;
};

}  // namespace zinniamux::testing

#endif  // ZINNIAMUX_TESTS_SUPPORT_SIMULATED_EXECUTOR_H_
