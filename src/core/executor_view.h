// A dispatcher's view of an executor: the supervisor's last report, and the orders sent since.
#ifndef ZINNIAMUX_CORE_EXECUTOR_VIEW_H_
#define ZINNIAMUX_CORE_EXECUTOR_VIEW_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/run.h"

namespace zinniamux::core {

// A supervisor's report of its executor.
struct ExecutorReport {
  // Empty while no executor has announced itself to the supervisor.
  std::string executor_id;
  std::string service;
  bool accepting = false;
  Resources capacity;
  // Room that no run of any dispatcher uses.
  Resources free;
  std::vector<std::string> labels;
  // The dispatcher gets a report of every change of room; see ReportAudience.
  bool is_close = false;
  // Number of dispatchers that get these reports.
  std::uint32_t close_entries = 0;
  // The highest order number of this dispatcher that `free` takes into account.
  std::uint64_t orders_seen = 0;
  // Recent run time divided by the estimate, 0 if unknown.
  double pace = 0;
  // The pace if it is known to stay the same, else 0; see SteadyPace.
  double steady_pace = 0;
  // Orders of all dispatchers that wait for room.
  WaitingNeeds waiting;
  // Free room that only urgent runs may use.
  std::int64_t kept_cpu_milli = 0;
  // Milli-cores per second that ending runs release: all runs, and those that are not urgent. Room
  // released by urgent runs is reserved for other urgent ones.
  double release_rate = 0;
  double lesser_release_rate = 0;
  // Jobs of other dispatchers that the executor runs; see RunSupervisor::JobsOfOthers.
  std::vector<std::string> jobs_of_others;
  // See RunSupervisor::executor_answered.
  bool executor_answered = false;
  // How much longer the executor stays slower than usual after its start.
  std::chrono::milliseconds cold_left{0};
  // The zone that the executor has announced; empty if it is its supervisor's.
  std::string availability_zone;
};

class ExecutorView {
 public:
  ExecutorView() = default;
  ExecutorView(std::string agent_id, std::string availability_zone)
      : agent_id_(std::move(agent_id)), availability_zone_(std::move(availability_zone)) {}

  const std::string& agent_id() const { return agent_id_; }
  const std::string& availability_zone() const { return availability_zone_; }
  const ExecutorReport& report() const { return report_; }
  bool attached() const { return attached_; }
  void set_attached(bool attached) { attached_ = attached; }

  void OnReport(ExecutorReport report) {
    report_ = std::move(report);
    pending_.erase(pending_.begin(), pending_.upper_bound(report_.orders_seen));
    free_ = report_.free;
    for (const auto& [order, need] : pending_) free_ -= need;
  }
  void OnOrder(std::uint64_t order, const Resources& need) {
    pending_[order] += need;
    free_ -= need;
  }
  // The order was not sent.
  void OnOrderCancelled(std::uint64_t order) {
    const auto found = pending_.find(order);
    if (found == pending_.end()) return;
    free_ += found->second;
    pending_.erase(found);
  }
  void ClearOrders() {
    pending_.clear();
    free_ = report_.free;
  }

  // Expected wait of an order for room, from the orders ahead of it and the rate at which runs
  // release room. Duration::max() if no run is known to release any.
  Duration ExpectedWait(const Resources& need, StartRank rank) const {
    std::int64_t ahead = report_.waiting.ahead_of(rank);
    if (rank >= StartRank::kNormal) ahead += report_.kept_cpu_milli;
    // A late task leaves room for another one.
    if (rank == StartRank::kLate) ahead += need.cpu_milli;
    if (need.cpu_milli + ahead <= free_.cpu_milli && need.Fits(free_)) return Duration(0);
    const double rate =
        rank >= StartRank::kNormal ? report_.lesser_release_rate : report_.release_rate;
    if (rate <= 0) return Duration::max();
    // An order that lacks memory or GPUs waits at least until a run of its size ends.
    const bool lacks_other_room = need.memory_mb > free_.memory_mb || need.gpus > free_.gpus;
    const std::int64_t missing = std::max(need.cpu_milli + ahead - free_.cpu_milli,
                                          lacks_other_room ? need.cpu_milli : std::int64_t{0});
    const std::chrono::duration<double> wait(static_cast<double>(missing) / rate);
    // Zero only for room that is free now.
    return std::max(std::chrono::duration_cast<Duration>(wait), Duration(1));
  }

  // Free room minus the orders sent since the report; negative if they need more than is free.
  const Resources& free() const { return free_; }
  // Whether this dispatcher may use room for a single task that other dispatchers see as well. Set
  // with each report.
  bool may_take_last_room() const { return may_take_last_room_; }
  void set_may_take_last_room(bool may_take) { may_take_last_room_ = may_take; }
  // This dispatcher has as many runs there as it may have.
  bool is_at_run_limit() const { return is_at_run_limit_; }
  void set_is_at_run_limit(bool is_at_limit) { is_at_run_limit_ = is_at_limit; }
  bool takes_work() const { return attached_ && report_.accepting && !in_evacuated_zone_; }
  // The zone of the executor, as far as it has announced another one than its supervisor's.
  const std::string& executor_zone() const {
    return report_.availability_zone.empty() ? availability_zone_ : report_.availability_zone;
  }
  // It has started a short time ago and is slower than usual.
  bool is_cold() const { return report_.cold_left > std::chrono::milliseconds(0); }
  bool in_evacuated_zone() const { return in_evacuated_zone_; }
  void set_in_evacuated_zone(bool evacuated) { in_evacuated_zone_ = evacuated; }
  bool HasLabel(std::string_view label) const {
    return std::find(report_.labels.begin(), report_.labels.end(), label) != report_.labels.end();
  }

 private:
  std::string agent_id_;
  std::string availability_zone_;
  bool attached_ = false;
  bool may_take_last_room_ = false;
  bool in_evacuated_zone_ = false;
  bool is_at_run_limit_ = false;
  ExecutorReport report_;
  // Invariant: the free room of the report minus all pending needs.
  Resources free_;
  // Needs by order number, for orders that the report does not include.
  std::map<std::uint64_t, Resources> pending_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_EXECUTOR_VIEW_H_
