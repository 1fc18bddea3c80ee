// The table rows of claims: `claim/<shard>/<epoch>/<sequence>`.
#ifndef ZINNIAMUX_CORE_CLAIM_ROW_H_
#define ZINNIAMUX_CORE_CLAIM_ROW_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/config_record.h"

namespace zinniamux::core {

// The claims committed by one transaction.
struct ClaimRow {
  struct Claim {
    std::string request_key;
    std::string submission_id;
  };

  // Identifies the process that wrote the row.
  std::string token;
  WallTime claimed_at;
  std::vector<Claim> claims;
};

// The keys of a shard's rows sort by epoch, then by sequence.
std::string ClaimRowPrefix(std::uint32_t shard);
std::string ClaimRowKey(std::uint32_t shard, std::uint64_t epoch, std::uint64_t sequence);

std::string FormatClaimRow(const ClaimRow& row);
// Empty if the row was not written by FormatClaimRow.
std::optional<ClaimRow> ParseClaimRow(std::string_view value);

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_CLAIM_ROW_H_
