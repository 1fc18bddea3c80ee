// Reading and writing of table rows.
#include "adapters/row_codec.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "adapters/checked_json.h"
#include "adapters/listen_address.h"

namespace zinniamux::adapters {
namespace {

using nlohmann::json;

// A row that cannot be read is treated like a table that does not answer: nothing is decided on it.
core::Error Unreadable(const std::string& reason) {
  return {core::ErrorKind::kStoreUnavailable, "unreadable row: " + reason, {}};
}

core::Error Unreadable(const json::exception& error) {
  return Unreadable(std::string(error.what()));
}

// More than the store keeps in a row.
constexpr JsonLimits kRowLimits{.max_bytes = 16U << 20U};

constexpr char kNumberRule[] = "a number is not an integer from 0 to 2^64 - 1";

// Nothing if the member is negative, has a fraction, or is too large.
std::optional<std::uint64_t> UnsignedMember(const json& root, const char* name) {
  const json& value = root.at(name);
  if (!value.is_number_unsigned()) return std::nullopt;
  return value.get<std::uint64_t>();
}

}  // namespace

std::string ShardRowKey(std::uint32_t shard) { return "shard/" + std::to_string(shard); }

std::string AgentsRowKey(std::uint32_t shard) { return "agents/" + std::to_string(shard); }

std::string DepartedLedgerKey(std::uint32_t shard, std::string_view instance_name) {
  return "ledger/" + std::to_string(shard) + "/" + std::string(instance_name);
}

std::string EntryRowKey(std::string_view entry_id) {
  return std::string(kEntryRowPrefix) + std::string(entry_id);
}

std::string ToJson(const core::ShardRow& row) {
  return json{{"epoch", row.epoch},
              {"owner_id", row.owner.entry_id},
              {"incarnation", row.owner.incarnation},
              {"rpc_address", row.owner.rpc_address}}
      .dump();
}

core::Result<core::ShardRow> ParseShardRow(std::string_view text) {
  try {
    const core::Result<json> root = ParseJson(text, kRowLimits);
    if (!root) return tl::unexpected(Unreadable(root.error().message));
    const auto epoch = UnsignedMember(*root, "epoch");
    const auto incarnation = UnsignedMember(*root, "incarnation");
    if (!epoch || !incarnation) return tl::unexpected(Unreadable(kNumberRule));
    return core::ShardRow{.epoch = *epoch,
                          .owner = {.entry_id = root->at("owner_id").get<std::string>(),
                                    .incarnation = *incarnation,
                                    .rpc_address = root->at("rpc_address").get<std::string>()}};
  } catch (const json::exception& error) {
    return tl::unexpected(Unreadable(error));
  }
}

std::string ToJson(const core::EntryRow& row) {
  return json{{"incarnation", row.entry.incarnation},
              {"rpc_address", row.entry.rpc_address},
              {"counter", row.counter}}
      .dump();
}

core::Result<core::VersionedEntryRow> ParseEntryRow(const core::TableRow& row) {
  if (!row.key.starts_with(kEntryRowPrefix) || row.key.size() == kEntryRowPrefix.size()) {
    return tl::unexpected(Unreadable("the key has no id"));
  }
  try {
    const core::Result<json> root = ParseJson(row.value, kRowLimits);
    if (!root) return tl::unexpected(Unreadable(root.error().message));
    const auto incarnation = UnsignedMember(*root, "incarnation");
    const auto counter = UnsignedMember(*root, "counter");
    if (!incarnation || !counter) return tl::unexpected(Unreadable(kNumberRule));
    core::VersionedEntryRow result{.version = row.version};
    result.row.entry = {.entry_id = row.key.substr(kEntryRowPrefix.size()),
                        .incarnation = *incarnation,
                        .rpc_address = root->at("rpc_address").get<std::string>()};
    result.row.counter = *counter;
    if (!ParseAddress(result.row.entry.rpc_address)) {
      return tl::unexpected(Unreadable("rpc_address is not " + std::string(kAddressRule)));
    }
    return result;
  } catch (const json::exception& error) {
    return tl::unexpected(Unreadable(error));
  }
}

std::vector<core::VersionedEntryRow> ParseEntryRows(
    const std::vector<core::TableRow>& rows, const core::UnreadableRowHandler& on_unreadable_row) {
  std::vector<core::VersionedEntryRow> entries;
  for (const core::TableRow& row : rows) {
    auto entry = ParseEntryRow(row);
    if (entry) {
      entries.push_back(*std::move(entry));
    } else {
      on_unreadable_row({.key = row.key, .reason = entry.error().message});
    }
  }
  return entries;
}

std::string AgentsRowJson(std::uint64_t epoch, const std::vector<std::string>& agent_ids) {
  return json{{"epoch", epoch}, {"agents", agent_ids}}.dump();
}

core::Result<std::set<std::string>> ParseAgentsRow(std::string_view text) {
  try {
    const core::Result<json> root = ParseJson(text, kRowLimits);
    if (!root) return tl::unexpected(Unreadable(root.error().message));
    return root->at("agents").get<std::set<std::string>>();
  } catch (const json::exception& error) {
    return tl::unexpected(Unreadable(error));
  }
}

}  // namespace zinniamux::adapters
