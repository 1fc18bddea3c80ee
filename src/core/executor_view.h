// An executor as an entry sees it: the agent's last report, and what was ordered since.
#ifndef ZINNIAMUX_CORE_EXECUTOR_VIEW_H_
#define ZINNIAMUX_CORE_EXECUTOR_VIEW_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/run.h"

namespace zinniamux::core {

// What an agent reports of its executor.
struct ExecutorReport {
  // Empty while no executor has announced itself to the agent.
  std::string executor_id;
  std::string service;
  bool accepting = false;
  Resources capacity;
  // Room that no run of any entry takes.
  Resources free;
  std::vector<std::string> labels;
  // The highest order of this entry that `free` takes into account.
  std::uint64_t orders_seen = 0;
  // Recent run time divided by the estimate, 0 if unknown.
  double pace = 0;
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
  void ForgetOrders() {
    pending_.clear();
    free_ = report_.free;
  }

  // Room after every order that was sent.
  const Resources& free() const { return free_; }
  bool takes_work() const { return attached_ && report_.accepting; }
  bool HasLabel(std::string_view label) const {
    return std::find(report_.labels.begin(), report_.labels.end(), label) != report_.labels.end();
  }

 private:
  std::string agent_id_;
  std::string availability_zone_;
  bool attached_ = false;
  ExecutorReport report_;
  // Invariant: the room of the report less all pending needs.
  Resources free_;
  // Needs by order number, for orders that the report does not cover.
  std::map<std::uint64_t, Resources> pending_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_EXECUTOR_VIEW_H_
