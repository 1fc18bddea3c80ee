// Keys and values of configuration rows.
#include "core/config_record.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>

#include "core/row_fields.h"

namespace zinniamux::core {
namespace {

constexpr std::size_t kRecordFieldCount = 5;

std::string ToHex(std::span<const unsigned char> bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const unsigned char byte : bytes) {
    text += kDigits[byte >> 4U];
    text += kDigits[byte & 15U];
  }
  return text;
}

}  // namespace

std::string ConfigVersionKey(std::uint64_t version) {
  return std::string(kConfigVersionPrefix) + SortableNumber(version);
}

std::string ConfigObjectKey(std::string_view body) {
  XXH128_canonical_t hash;
  XXH128_canonicalFromHash(&hash, XXH3_128bits(body.data(), body.size()));
  return "config/" + ToHex(hash.digest);
}

std::string FormatConfigRecord(const ConfigRecord& record) {
  return JoinFields({std::to_string(record.version), record.token, record.author,
                     std::to_string(record.published_at.time_since_epoch().count()),
                     record.object_key});
}

std::optional<ConfigRecord> ParseConfigRecord(std::string_view value) {
  std::vector<std::string> fields = SplitFields(value);
  if (fields.size() != kRecordFieldCount) return std::nullopt;
  const auto version = ParseNumber<std::uint64_t>(fields[0]);
  const auto published_at = ParseNumber<std::int64_t>(fields[3]);
  if (!version || *version == 0 || !published_at) return std::nullopt;
  return ConfigRecord{.version = *version,
                      .token = std::move(fields[1]),
                      .author = std::move(fields[2]),
                      .published_at = WallTime(std::chrono::milliseconds(*published_at)),
                      .object_key = std::move(fields[4])};
}

std::vector<ConfigRecord> ParseConfigHistory(std::span<const TableRow> rows) {
  std::vector<ConfigRecord> history;
  for (const TableRow& row : rows) {
    auto record = ParseConfigRecord(row.value);
    if (record) history.push_back(std::move(*record));
  }
  std::ranges::sort(history, std::ranges::greater(), &ConfigRecord::version);
  return history;
}

}  // namespace zinniamux::core
