// Rendezvous hashing of dispatchers.
#include "core/report_audience.h"

#include <algorithm>
#include <utility>

#include "core/name_hash.h"

namespace zinniamux::core {

ReportAudience::ReportAudience(const Options& options, std::string_view agent_id)
    : options_(options), seed_(NameHash(agent_id)) {}

bool ReportAudience::Add(const std::string& dispatcher_id) {
  const std::uint64_t hash = NameHash(dispatcher_id, seed_);
  const auto [begin, end] = dispatchers_.equal_range(hash);
  const bool known =
      std::any_of(begin, end, [&](const auto& e) { return e.second == dispatcher_id; });
  if (known) return false;
  dispatchers_.emplace(hash, dispatcher_id);
  return UpdateClose();
}

bool ReportAudience::Remove(const std::string& dispatcher_id) {
  const auto [begin, end] = dispatchers_.equal_range(NameHash(dispatcher_id, seed_));
  const auto found =
      std::find_if(begin, end, [&](const auto& e) { return e.second == dispatcher_id; });
  if (found == end) return false;
  dispatchers_.erase(found);
  requested_by_.erase(dispatcher_id);
  return UpdateClose();
}

bool ReportAudience::SetWanted(const std::string& dispatcher_id, bool requested) {
  if (requested == requested_by_.contains(dispatcher_id)) return false;
  if (requested) {
    requested_by_.insert(dispatcher_id);
  } else {
    requested_by_.erase(dispatcher_id);
  }
  return UpdateClose();
}

bool ReportAudience::UpdateClose() {
  std::set<std::string> chosen;
  for (auto next = dispatchers_.rbegin(); next != dispatchers_.rend(); ++next) {
    if (chosen.size() >= options_.close_entries) break;
    chosen.insert(next->second);
  }
  chosen.insert(requested_by_.begin(), requested_by_.end());
  if (chosen == close_) return false;
  close_ = std::move(chosen);
  return true;
}

}  // namespace zinniamux::core
