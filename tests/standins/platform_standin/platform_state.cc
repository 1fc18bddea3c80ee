// Transactions over rows in memory.
#include "standins/platform_standin/platform_state.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace zinniamux::standins {

std::optional<core::TableRow> PlatformState::Row(const std::string& key) const {
  const auto found = rows_.find(key);
  if (found == rows_.end()) return std::nullopt;
  return found->second;
}

std::vector<core::TableRow> PlatformState::Rows(std::string_view prefix) const {
  return RowsAfter(prefix, "", std::numeric_limits<std::size_t>::max()).rows;
}

PlatformState::Page PlatformState::RowsAfter(std::string_view prefix, std::string_view after,
                                             std::size_t max_bytes) const {
  Page page;
  std::size_t bytes = 0;
  auto row = after < prefix ? rows_.lower_bound(prefix) : rows_.upper_bound(after);
  for (; row != rows_.end() && row->first.starts_with(prefix); ++row) {
    page.more = bytes >= max_bytes;
    if (page.more) break;
    page.rows.push_back(row->second);
    bytes += row->second.value.size();
  }
  return page;
}

bool PlatformState::Commit(const core::TableTransaction& transaction) {
  const bool allowed = std::ranges::all_of(
      transaction.conditions, [this](const auto& condition) { return Holds(condition); });
  if (!allowed) return false;
  for (const auto& put : transaction.puts) {
    rows_[put.key] = {.key = put.key, .value = put.value, .version = ++last_version_};
    removed_.erase(put.key);
  }
  for (const std::string& key : transaction.deletes) {
    if (rows_.erase(key) > 0) removed_[key] = ++last_version_;
  }
  return true;
}

std::uint64_t PlatformState::Newest(std::string_view prefix) const {
  std::uint64_t newest = 0;
  for (const core::TableRow& row : Rows(prefix)) newest = std::max(newest, row.version);
  for (const auto& [key, version] : removed_) {
    if (key.starts_with(prefix)) newest = std::max(newest, version);
  }
  return newest;
}

void PlatformState::PutObject(const std::string& key, std::string body) {
  objects_[key] = std::move(body);
}

std::optional<std::string> PlatformState::Object(const std::string& key) const {
  const auto found = objects_.find(key);
  if (found == objects_.end()) return std::nullopt;
  return found->second;
}

bool PlatformState::Holds(const core::TableTransaction::Condition& condition) const {
  const auto found = rows_.find(condition.key);
  const std::uint64_t version = found == rows_.end() ? 0 : found->second.version;
  return version == condition.version;
}

}  // namespace zinniamux::standins
