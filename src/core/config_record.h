// The table rows of the configuration: `config/current` and one `config/version/<version>` for each
// version of the history.
#ifndef ZINNIAMUX_CORE_CONFIG_RECORD_H_
#define ZINNIAMUX_CORE_CONFIG_RECORD_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/table_store.h"

namespace zinniamux::core {

// Milliseconds since 1970, for display and for ages that span process restarts.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

// One published version. Rows of both kinds contain this record.
struct ConfigRecord {
  std::uint64_t version = 0;
  // Chosen by the publisher; a retry of the same publish repeats it.
  std::string token;
  std::string author;
  WallTime published_at;
  // Key of the body in the object store.
  std::string object_key;
};

constexpr std::string_view kCurrentConfigKey = "config/current";
constexpr std::string_view kConfigVersionPrefix = "config/version/";

// The keys sort by version.
std::string ConfigVersionKey(std::uint64_t version);
// The object key of a body, derived from a hash of its content.
std::string ConfigObjectKey(std::string_view body);

std::string FormatConfigRecord(const ConfigRecord& record);
// Empty if the row was not written by FormatConfigRecord.
std::optional<ConfigRecord> ParseConfigRecord(std::string_view value);
// The history from the rows under kConfigVersionPrefix, newest first. Malformed rows are skipped.
std::vector<ConfigRecord> ParseConfigHistory(std::span<const TableRow> rows);

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_CONFIG_RECORD_H_
