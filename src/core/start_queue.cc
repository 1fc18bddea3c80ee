// Order in which waiting orders start.
#include "core/start_queue.h"

#include <algorithm>
#include <utility>

namespace zinniamux::core {

bool StartQueue::Add(WaitingOrder waiting) {
  if (orders_.size() >= capacity_) return false;
  const Key key{waiting.order.rank, waiting.order.expires, next_number_++};
  orders_.emplace(key, std::move(waiting));
  return true;
}

std::optional<StartQueue::WaitingOrder> StartQueue::TakeNextFitting(
    const Resources& free, std::int64_t reserved_cpu_milli) {
  Resources unreserved = free;
  unreserved.cpu_milli -= reserved_cpu_milli;
  std::optional<StartRank> blocking_rank;
  for (auto next = orders_.begin(); next != orders_.end(); ++next) {
    if (blocking_rank && next->first.rank > *blocking_rank) break;
    const RunOrder& order = next->second.order;
    const bool may_use_reserve = order.urgent || order.rank == StartRank::kStarted;
    Resources need = order.need;
    if (order.rank == StartRank::kLate) need.cpu_milli *= 2;
    if (!need.Fits(may_use_reserve ? free : unreserved)) {
      blocking_rank = next->first.rank;
      continue;
    }
    WaitingOrder waiting = std::move(next->second);
    orders_.erase(next);
    return waiting;
  }
  return std::nullopt;
}

template <typename Matches>
std::vector<StartQueue::WaitingOrder> StartQueue::TakeIf(const Matches& matches) {
  std::vector<WaitingOrder> taken;
  for (auto next = orders_.begin(); next != orders_.end();) {
    if (!matches(next->second)) {
      ++next;
      continue;
    }
    taken.push_back(std::move(next->second));
    next = orders_.erase(next);
  }
  return taken;
}

std::vector<StartQueue::WaitingOrder> StartQueue::TakeExpired(TimePoint now) {
  return TakeIf([now](const WaitingOrder& waiting) { return waiting.order.expires <= now; });
}

std::vector<StartQueue::WaitingOrder> StartQueue::TakeOwnedBy(std::string_view owner) {
  return TakeIf([owner](const WaitingOrder& waiting) { return waiting.owner == owner; });
}

std::vector<StartQueue::WaitingOrder> StartQueue::TakeJobOfOthers(std::string_view owner,
                                                                  std::string_view job_id) {
  return TakeIf([owner, job_id](const WaitingOrder& waiting) {
    return waiting.owner != owner && waiting.order.id.task.job_id == job_id;
  });
}

std::vector<StartQueue::WaitingOrder> StartQueue::TakeAll() {
  return TakeIf([](const WaitingOrder&) { return true; });
}

std::optional<StartQueue::WaitingOrder> StartQueue::TakeOrder(std::string_view owner,
                                                              const RunId& id) {
  std::vector<WaitingOrder> taken = TakeIf([&](const WaitingOrder& waiting) {
    return waiting.owner == owner && waiting.order.id == id;
  });
  if (taken.empty()) return std::nullopt;
  return std::move(taken.front());
}

bool StartQueue::ContainsTask(const TaskId& task) const {
  return std::any_of(orders_.begin(), orders_.end(),
                     [&](const auto& entry) { return entry.second.order.id.task == task; });
}

std::vector<RunId> StartQueue::RunIdsOf(std::string_view owner) const {
  std::vector<RunId> ids;
  for (const auto& [key, waiting] : orders_) {
    if (waiting.owner == owner) ids.push_back(waiting.order.id);
  }
  return ids;
}

std::vector<std::string> StartQueue::JobsOfOthers(std::string_view owner,
                                                  TimePoint received_by) const {
  std::vector<std::string> jobs;
  for (const auto& [key, waiting] : orders_) {
    if (waiting.owner == owner || waiting.order.job_received > received_by) continue;
    jobs.push_back(waiting.order.id.task.job_id);
  }
  return jobs;
}

WaitingNeeds StartQueue::waiting_needs() const {
  WaitingNeeds needs;
  for (const auto& [key, waiting] : orders_) {
    if (key.rank == StartRank::kLate) {
      needs.late_cpu_milli += waiting.order.need.cpu_milli;
      continue;
    }
    needs.all_cpu_milli += waiting.order.need.cpu_milli;
    if (waiting.order.urgent) needs.urgent_only_cpu_milli += waiting.order.need.cpu_milli;
    if (key.rank <= StartRank::kUrgent) needs.urgent_cpu_milli += waiting.order.need.cpu_milli;
  }
  return needs;
}

TimePoint StartQueue::next_expiry() const {
  TimePoint next = TimePoint::max();
  for (const auto& [key, waiting] : orders_) next = std::min(next, waiting.order.expires);
  return next;
}

}  // namespace zinniamux::core
