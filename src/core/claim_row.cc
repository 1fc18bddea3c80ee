// Keys and values of claim rows. A value has a header line with token and time, then one line for
// each claim.
#include "core/claim_row.h"

#include "core/row_fields.h"

namespace zinniamux::core {
namespace {

// Removes and returns the text up to the next line break, or all of it.
std::string_view TakeLine(std::string_view& text) {
  const std::string_view line = text.substr(0, text.find('\n'));
  text.remove_prefix(std::min(text.size(), line.size() + 1));
  return line;
}

}  // namespace

std::string ClaimRowPrefix(std::uint32_t shard) { return "claim/" + std::to_string(shard) + "/"; }

std::string ClaimRowKey(std::uint32_t shard, std::uint64_t epoch, std::uint64_t sequence) {
  return ClaimRowPrefix(shard) + SortableNumber(epoch) + "/" + SortableNumber(sequence);
}

std::string FormatClaimRow(const ClaimRow& row) {
  std::string value =
      JoinFields({row.token, std::to_string(row.claimed_at.time_since_epoch().count())});
  for (const ClaimRow::Claim& claim : row.claims) {
    value += '\n';
    value += JoinFields({claim.request_key, claim.submission_id});
  }
  return value;
}

std::optional<ClaimRow> ParseClaimRow(std::string_view value) {
  std::vector<std::string> header = SplitFields(TakeLine(value));
  if (header.size() != 2) return std::nullopt;
  const auto claimed_at = ParseNumber<std::int64_t>(header[1]);
  if (!claimed_at) return std::nullopt;
  ClaimRow row{.token = std::move(header[0]),
               .claimed_at = WallTime(std::chrono::milliseconds(*claimed_at))};
  while (!value.empty()) {
    std::vector<std::string> fields = SplitFields(TakeLine(value));
    if (fields.size() != 2) return std::nullopt;
    row.claims.push_back(
        {.request_key = std::move(fields[0]), .submission_id = std::move(fields[1])});
  }
  return row;
}

}  // namespace zinniamux::core
