// Repetitions are left out.
#include "zinniamuxd/unreadable_row_log.h"

#include <nlohmann/json.hpp>

namespace zinniamux::daemon {

void UnreadableRowLog::Write(const core::UnreadableRow& row) {
  {
    const std::lock_guard lock(mutex_);
    const auto known = reasons_.find(row.key);
    if (known != reasons_.end() && known->second == row.reason) return;
    if (known == reasons_.end() && reasons_.size() >= kMaxRows) reasons_.clear();
    reasons_[row.key] = row.reason;
  }
  log_.Write(adapters::LogLevel::kWarning, "row_unreadable",
             {{"key", row.key}, {"reason", row.reason}});
}

}  // namespace zinniamux::daemon
