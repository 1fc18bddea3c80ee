// Rendezvous hashing of entries.
#include "core/report_audience.h"

#include <algorithm>
#include <utility>

#include "core/name_hash.h"

namespace zinniamux::core {

ReportAudience::ReportAudience(const Options& options, std::string_view agent_id)
    : options_(options), seed_(NameHash(agent_id)) {}

bool ReportAudience::Add(const std::string& entry_id) {
  const std::uint64_t hash = NameHash(entry_id, seed_);
  const auto [begin, end] = entries_.equal_range(hash);
  const bool known = std::any_of(begin, end, [&](const auto& e) { return e.second == entry_id; });
  if (known) return false;
  entries_.emplace(hash, entry_id);
  return Choose();
}

bool ReportAudience::Remove(const std::string& entry_id) {
  const auto [begin, end] = entries_.equal_range(NameHash(entry_id, seed_));
  const auto found = std::find_if(begin, end, [&](const auto& e) { return e.second == entry_id; });
  if (found == end) return false;
  entries_.erase(found);
  wanted_by_.erase(entry_id);
  return Choose();
}

bool ReportAudience::SetWanted(const std::string& entry_id, bool wanted) {
  if (wanted == wanted_by_.contains(entry_id)) return false;
  if (wanted) {
    wanted_by_.insert(entry_id);
  } else {
    wanted_by_.erase(entry_id);
  }
  return Choose();
}

bool ReportAudience::Choose() {
  std::set<std::string> chosen;
  for (auto next = entries_.rbegin(); next != entries_.rend(); ++next) {
    if (chosen.size() >= options_.close_entries) break;
    chosen.insert(next->second);
  }
  chosen.insert(wanted_by_.begin(), wanted_by_.end());
  if (chosen == close_) return false;
  close_ = std::move(chosen);
  return true;
}

}  // namespace zinniamux::core
