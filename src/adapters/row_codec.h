// JSON of the table rows that entries share: shards, entries, and the agents of a shard.
#ifndef ZINNIAMUX_ADAPTERS_ROW_CODEC_H_
#define ZINNIAMUX_ADAPTERS_ROW_CODEC_H_

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/entry_roster.h"
#include "core/error_kind.h"
#include "core/shard_ownership.h"
#include "core/table_store.h"

namespace zinniamux::adapters {

inline constexpr std::string_view kEntryRowPrefix = "entry/";

std::string ShardRowKey(std::uint32_t shard);
std::string AgentsRowKey(std::uint32_t shard);
std::string EntryRowKey(std::string_view entry_id);
// The object that holds the final ledger of an agent instance that left gracefully.
std::string DepartedLedgerKey(std::uint32_t shard, std::string_view instance_name);

// {"epoch", "owner_id", "incarnation", "rpc_address"}.
std::string ToJson(const core::ShardRow& row);
core::Result<core::ShardRow> ParseShardRow(std::string_view json);

// {"incarnation", "rpc_address", "counter"}; the id is part of the key.
std::string ToJson(const core::EntryRow& row);
// Fails also if there is no id, or if nothing can connect to the address.
core::Result<core::VersionedEntryRow> ParseEntryRow(const core::TableRow& row);
// Reports rows that cannot be decoded to `on_unreadable_row` and leaves them out.
std::vector<core::VersionedEntryRow> ParseEntryRows(
    const std::vector<core::TableRow>& rows, const core::UnreadableRowHandler& on_unreadable_row);

// {"epoch", "agents": [id, ...]}.
std::string AgentsRowJson(std::uint64_t epoch, const std::vector<std::string>& agent_ids);
core::Result<std::set<std::string>> ParseAgentsRow(std::string_view json);

}  // namespace zinniamux::adapters

#endif  // ZINNIAMUX_ADAPTERS_ROW_CODEC_H_
