// Orders that wait for room on one executor.
#ifndef ZINNIAMUX_CORE_START_QUEUE_H_
#define ZINNIAMUX_CORE_START_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "core/clock.h"
#include "core/run.h"

namespace zinniamux::core {

// Load pattern: several dispatchers order more than an executor has room for, each with a view that
// is tens of milliseconds old. An order that waits here starts as soon as room becomes free; an
// order that is refused costs two messages, and the room is idle until the next one arrives.
// Orders start by rank, then by expiry. One that does not fit blocks those of lower ranks, so that
// small tasks do not starve large or urgent ones. A late order starts only if room for another one
// like it is left. Not thread-safe.
class StartQueue {
 public:
  struct WaitingOrder {
    std::string owner;
    RunOrder order;
  };

  // `capacity` is the highest number of waiting orders.
  explicit StartQueue(std::size_t capacity) : capacity_(capacity) {}

  // Returns false if the queue is full.
  bool Add(WaitingOrder waiting);
  // Removes the next order that may start in `free`. Orders that are neither urgent nor of a
  // started job must leave `reserved_cpu_milli` of it.
  std::optional<WaitingOrder> TakeNextFitting(const Resources& free,
                                              std::int64_t reserved_cpu_milli);
  std::vector<WaitingOrder> TakeExpired(TimePoint now);
  std::vector<WaitingOrder> TakeOwnedBy(std::string_view owner);
  std::vector<WaitingOrder> TakeAll();
  // Orders for the job that belong to other owners.
  std::vector<WaitingOrder> TakeJobOfOthers(std::string_view owner, std::string_view job_id);
  // Removes the order if it is waiting and belongs to this owner.
  std::optional<WaitingOrder> TakeOrder(std::string_view owner, const RunId& id);

  bool ContainsTask(const TaskId& task) const;
  std::vector<RunId> RunIdsOf(std::string_view owner) const;
  // Jobs of other owners that were received by `received_by`.
  std::vector<std::string> JobsOfOthers(std::string_view owner, TimePoint received_by) const;
  std::size_t size() const { return orders_.size(); }
  bool empty() const { return orders_.empty(); }
  // Total needs of the waiting orders.
  WaitingNeeds waiting_needs() const;
  // When the next order expires; TimePoint::max() if the queue is empty.
  TimePoint next_expiry() const;

 private:
  struct Key {
    StartRank rank = StartRank::kNormal;
    TimePoint expires;
    std::uint64_t number = 0;
    bool operator<(const Key& other) const {
      return std::tie(rank, expires, number) < std::tie(other.rank, other.expires, other.number);
    }
  };

  // Removes the orders for which `matches` returns true.
  template <typename Matches>
  std::vector<WaitingOrder> TakeIf(const Matches& matches);

  const std::size_t capacity_;
  std::map<Key, WaitingOrder> orders_;
  std::uint64_t next_number_ = 1;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_START_QUEUE_H_
