// Log lines about rows of the store that cannot be decoded.
#ifndef ZINNIAMUX_ZINNIAMUXD_UNREADABLE_ROW_LOG_H_
#define ZINNIAMUX_ZINNIAMUXD_UNREADABLE_ROW_LOG_H_

#include <cstddef>
#include <map>
#include <mutex>
#include <string>

#include "adapters/json_log.h"
#include "core/table_store.h"

namespace zinniamux::daemon {

// Rows are read every few seconds, so that a row is logged only when it is new or its reason has
// changed. Thread-safe.
class UnreadableRowLog {
 public:
  // `log` outlives this object.
  explicit UnreadableRowLog(adapters::JsonLog& log) : log_(log) {}

  void Write(const core::UnreadableRow& row);

 private:
  // When more rows than this are remembered, they are forgotten and logged again.
  static constexpr std::size_t kMaxRows = 1024;

  adapters::JsonLog& log_;
  std::mutex mutex_;
  // The reason logged last, by key.
  std::map<std::string, std::string> reasons_;
};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_UNREADABLE_ROW_LOG_H_
