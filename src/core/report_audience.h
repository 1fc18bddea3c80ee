// Chooses the dispatchers to which a supervisor reports every change of room.
#ifndef ZINNIAMUX_CORE_REPORT_AUDIENCE_H_
#define ZINNIAMUX_CORE_REPORT_AUDIENCE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "core/clock.h"

namespace zinniamux::core {

// Load pattern: tens of dispatchers place short tasks on hundreds of executors. A supervisor's
// processor time limits its reports per second. Divided among 35 dispatchers, they leave views
// 140 ms old, while a short task takes 60 ms. So each supervisor has a few close dispatchers, which
// get every change; the others get a report with each heartbeat and with each answer to their
// orders.
//
// The close dispatchers are those with the highest hash of both names (rendezvous hashing), so that
// every dispatcher has about the same number of close executors, and few pairs change when a
// dispatcher is added or removed. A dispatcher with few executors requests every change of all of
// them: otherwise it would have two or three close ones, and refuse jobs although other executors
// have room. Not thread-safe.
class ReportAudience {
 public:
  struct Options {
    // Number of close dispatchers. With fewer, a dispatcher may find no room while others have
    // some; with more, views are older.
    std::size_t close_entries = 4;
    // Time between two reports of changes, per close dispatcher: at most 250 messages per second in
    // all.
    std::chrono::milliseconds pause_per_entry{4};
  };

  // A dispatcher with this many executors or fewer requests every change of all of them. With four
  // close dispatchers of eight, half of the executors would be close to each.
  static constexpr std::size_t kFewExecutors = 16;

  ReportAudience(const Options& options, std::string_view agent_id);

  // Adds or removes a connected dispatcher. Returns true if the set of close dispatchers changed.
  bool Add(const std::string& dispatcher_id);
  bool Remove(const std::string& dispatcher_id);
  // Sets whether the dispatcher requests every change. Returns true if the set of close dispatchers
  // changed.
  bool SetWanted(const std::string& dispatcher_id, bool requested);

  bool IsClose(const std::string& dispatcher_id) const { return close_.contains(dispatcher_id); }
  const std::set<std::string>& close() const { return close_; }
  // Shortest time between two reports of changes.
  std::chrono::milliseconds pause() const {
    return options_.pause_per_entry * static_cast<int>(close_.size());
  }

 private:
  bool UpdateClose();

  const Options options_;
  const std::uint64_t seed_;
  // Connected dispatchers by their hash.
  std::multimap<std::uint64_t, std::string> dispatchers_;
  // Invariant: each is connected.
  std::set<std::string> requested_by_;
  // Invariant: the options_.close_entries dispatchers with the highest hashes, or all if they are
  // fewer, and those in requested_by_.
  std::set<std::string> close_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_REPORT_AUDIENCE_H_
