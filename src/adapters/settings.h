// The daemon's settings, read from a YAML file at start. See docs/operations.md for every key.
#ifndef ZINNIAMUX_ADAPTERS_SETTINGS_H_
#define ZINNIAMUX_ADAPTERS_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/error_kind.h"

namespace zinniamux::adapters {

// An address that the process listens on.
struct ListenAddress {
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;
};

// Settings of the entry role.
struct EntrySettings {
  std::string id;
  std::string availability_zone;
  ListenAddress caller;
  ListenAddress admin;
  ListenAddress rpc;
  // host:port under which other processes reach `rpc`; empty if it is the same address.
  std::string rpc_advertised;
  // rpc addresses (host:port) of the other entries known at start.
  std::vector<std::string> peers;
  // Base URL of the platform's service; empty only in tests.
  std::string store_url;
  std::uint32_t shards = 1;
  std::chrono::milliseconds drain_notice{2000};
};

// Settings of the agent role.
struct AgentSettings {
  std::string id;
  std::string availability_zone;
  std::string rack;
  std::uint32_t shard = 0;
  // Where the executor announces itself, and the admin endpoints.
  ListenAddress local;
  // rpc addresses (host:port) of the entries known at start.
  std::vector<std::string> entries;
  std::string store_url;
  std::chrono::milliseconds isolation_limit{10'000};
};

struct LogSettings {
  std::string file;
  std::string level = "info";
};

// Invariant: exactly one of `entry` and `agent` is set.
struct Settings {
  std::optional<EntrySettings> entry;
  std::optional<AgentSettings> agent;
  LogSettings log;
};

// Reads and checks a settings file.
core::Result<Settings> LoadSettings(const std::string& path);

}  // namespace zinniamux::adapters

#endif  // ZINNIAMUX_ADAPTERS_SETTINGS_H_
