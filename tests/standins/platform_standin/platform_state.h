// The data of the platform stand-in: table rows and objects, without HTTP.
#ifndef ZINNIAMUX_TESTS_STANDINS_PLATFORM_STANDIN_PLATFORM_STATE_H_
#define ZINNIAMUX_TESTS_STANDINS_PLATFORM_STANDIN_PLATFORM_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/table_store.h"

namespace zinniamux::standins {

// Rows and objects in memory. Not thread-safe; the caller holds a lock.
class PlatformState {
 public:
  std::optional<core::TableRow> Row(const std::string& key) const;
  // In key order.
  std::vector<core::TableRow> Rows(std::string_view prefix) const;
  // Part of Rows: rows with keys above `after`, until their values have `max_bytes` together.
  struct Page {
    std::vector<core::TableRow> rows;
    bool more = false;
  };
  Page RowsAfter(std::string_view prefix, std::string_view after, std::size_t max_bytes) const;
  // Applies all writes and returns true, or applies none if a condition does not hold.
  bool Commit(const core::TableTransaction& transaction);
  // The version of the last change, also a removal, of a row whose key has the prefix.
  std::uint64_t Newest(std::string_view prefix) const;

  void PutObject(const std::string& key, std::string body);
  std::optional<std::string> Object(const std::string& key) const;

 private:
  bool Holds(const core::TableTransaction::Condition& condition) const;

  // One counter for all rows: a row that is deleted and created again never repeats a version.
  std::uint64_t last_version_ = 0;
  std::map<std::string, core::TableRow, std::less<>> rows_;
  // When rows that do not exist any more were removed.
  std::map<std::string, std::uint64_t, std::less<>> removed_;
  std::map<std::string, std::string> objects_;
};

}  // namespace zinniamux::standins

#endif  // ZINNIAMUX_TESTS_STANDINS_PLATFORM_STANDIN_PLATFORM_STATE_H_
