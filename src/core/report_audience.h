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
// comes or goes. Not thread-safe.
class ReportAudience {
 public:
  struct Options {
    // Each executor is shared by so many entries. Fewer leave an entry without room while others
    // have some; more make views older.
    std::size_t close_entries = 4;
    // Between two reports to close entries, for each of them: at most 250 a second in all.
    std::chrono::milliseconds pause_per_entry{4};
  };

  ReportAudience(const Options& options, std::string_view agent_id);

  // An entry is connected, or not any more. True if other entries are close now.
  bool Add(const std::string& entry_id);
  bool Remove(const std::string& entry_id);

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
  // Invariant: the entries with the highest hashes, at most options_.close_entries.
  std::set<std::string> close_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_REPORT_AUDIENCE_H_
