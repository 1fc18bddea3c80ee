// Chooses the entries to which an agent reports every change of its room.
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

// Load pattern: tens of entries place short tasks on hundreds of executors. An agent's processor
// time bounds its reports a second. Shared by all entries they left views 140 ms old with 35 of
// them, while a short task takes 60 ms. So each agent has a few close entries, which get every
// change; the others get a report with each heartbeat, and with each answer to an order of theirs.
//
// The close entries are those with the highest hash of both names (rendezvous hashing), so that
// every entry has about the same number of close executors, and that few pairs change when an entry
// comes or goes. An entry in front of few executors asks for the changes of all of them: its share
// would be two or three, and it would refuse jobs beside room that it does not see. Not
// thread-safe.
class ReportAudience {
 public:
  struct Options {
    // Each executor is shared by so many entries. Fewer leave an entry without room while others
    // have some; more make views older.
    std::size_t close_entries = 4;
    // Between two reports to close entries, for each of them: at most 250 a second in all.
    std::chrono::milliseconds pause_per_entry{4};
  };

  // An entry in front of so many executors or fewer asks for all changes. With four close entries
  // of eight, an entry has half of the executors as close ones.
  static constexpr std::size_t kFewExecutors = 16;

  ReportAudience(const Options& options, std::string_view agent_id);

  // An entry is connected, or not any more. True if other entries are close now.
  bool Add(const std::string& entry_id);
  bool Remove(const std::string& entry_id);
  // The entry asks for every change, or does so no more. True if other entries are close now.
  bool SetWanted(const std::string& entry_id, bool wanted);

  bool IsClose(const std::string& entry_id) const { return close_.contains(entry_id); }
  const std::set<std::string>& close() const { return close_; }
  // Least time between two reports of changes.
  std::chrono::milliseconds pause() const {
    return options_.pause_per_entry * static_cast<int>(close_.size());
  }

 private:
  bool Choose();

  const Options options_;
  const std::uint64_t seed_;
  // Connected entries by their hash.
  std::multimap<std::uint64_t, std::string> entries_;
  // Invariant: each is connected.
  std::set<std::string> wanted_by_;
  // Invariant: options_.close_entries of those with the highest hashes, or all if they are fewer,
  // and those in wanted_by_.
  std::set<std::string> close_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_REPORT_AUDIENCE_H_
