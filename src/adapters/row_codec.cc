// Reading and writing of table rows.
#include "adapters/row_codec.h"

#include <nlohmann/json.hpp>

namespace zinniamux::adapters {
namespace {

using nlohmann::json;

// A row that cannot be read is treated like a table that does not answer: nothing is decided on it.
core::Error Unreadable(const json::exception& error) {
  return {core::ErrorKind::kStoreUnavailable, std::string("unreadable row: ") + error.what(), {}};
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
    const json root = json::parse(text);
    return core::ShardRow{.epoch = root.at("epoch").get<std::uint64_t>(),
                          .owner = {.entry_id = root.at("owner_id").get<std::string>(),
                                    .incarnation = root.at("incarnation").get<std::uint64_t>(),
                                    .rpc_address = root.at("rpc_address").get<std::string>()}};
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
  try {
    const json root = json::parse(row.value);
    core::VersionedEntryRow result{.version = row.version};
    result.row.entry = {.entry_id = row.key.substr(kEntryRowPrefix.size()),
                        .incarnation = root.at("incarnation").get<std::uint64_t>(),
                        .rpc_address = root.at("rpc_address").get<std::string>()};
    result.row.counter = root.at("counter").get<std::uint64_t>();
    return result;
  } catch (const json::exception& error) {
    return tl::unexpected(Unreadable(error));
  }
}

std::string AgentsRowJson(std::uint64_t epoch, const std::vector<std::string>& agent_ids) {
  return json{{"epoch", epoch}, {"agents", agent_ids}}.dump();
}

core::Result<std::set<std::string>> ParseAgentsRow(std::string_view text) {
  try {
    return json::parse(text).at("agents").get<std::set<std::string>>();
  } catch (const json::exception& error) {
    return tl::unexpected(Unreadable(error));
  }
}

}  // namespace zinniamux::adapters
