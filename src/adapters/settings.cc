// Reading of the settings file.
#include "adapters/settings.h"

#include <yaml-cpp/yaml.h>

namespace zinniamux::adapters {
namespace {

ListenAddress ReadListen(const YAML::Node& node) {
  const std::string text = node.as<std::string>();
  const std::size_t colon = text.rfind(':');
  return {text.substr(0, colon), static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)))};
}

EntrySettings ReadEntry(const YAML::Node& node) {
  EntrySettings entry;
  entry.id = node["id"].as<std::string>();
  entry.availability_zone = node["availability_zone"].as<std::string>();
  entry.caller = ReadListen(node["caller"]);
  entry.admin = ReadListen(node["admin"]);
  entry.rpc = ReadListen(node["rpc"]);
  entry.rpc_advertised = node["rpc_advertised"].as<std::string>("");
  entry.peers = node["peers"].as<std::vector<std::string>>(std::vector<std::string>{});
  entry.store_url = node["store"].as<std::string>("");
  return entry;
}

AgentSettings ReadAgent(const YAML::Node& node) {
  AgentSettings agent;
  agent.id = node["id"].as<std::string>();
  agent.availability_zone = node["availability_zone"].as<std::string>();
  agent.rack = node["rack"].as<std::string>("");
  agent.local = ReadListen(node["local"]);
  agent.entries = node["entries"].as<std::vector<std::string>>();
  agent.store_url = node["store"].as<std::string>("");
  return agent;
}

}  // namespace

core::Result<Settings> LoadSettings(const std::string& path) {
  try {
    const YAML::Node root = YAML::LoadFile(path);
    Settings settings;
    if (root["entry"]) settings.entry = ReadEntry(root["entry"]);
    if (root["agent"]) settings.agent = ReadAgent(root["agent"]);
    if (root["log"]) {
      settings.log.file = root["log"]["file"].as<std::string>("");
      settings.log.level = root["log"]["level"].as<std::string>("info");
    }
    return settings;
  } catch (const std::exception& error) {
    return tl::unexpected(
        core::Error{core::ErrorKind::kInvalidRequest, path + ": " + error.what(), {}});
  }
}

}  // namespace zinniamux::adapters
