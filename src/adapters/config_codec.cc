// Parsing of a configuration's JSON body.
#include "adapters/config_codec.h"

#include <nlohmann/json.hpp>

namespace zinniamux::adapters {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

core::TeamConfig ParseTeam(const json& item) {
  return {.weight = item.value("weight", 1.0),
          .max_queued_tasks = item.value("max_queued_tasks", 0U),
          .max_running_tasks = item.value("max_running_tasks", 0U)};
}

core::JobConfig ParseJob(const json& item) {
  return {.team = item.value("team", std::string()),
          .idempotent = item.value("idempotent", true),
          .run_time = milliseconds(item.value("run_ms", 100)),
          .time_limit = milliseconds(item.value("time_limit_ms", 30'000)),
          .max_tasks = item.value("max_tasks", 500U),
          .memory_mb = item.value("memory_mb", 0U)};
}

}  // namespace

core::Result<core::DispatchConfig> ParseConfig(std::string_view body, std::uint64_t version) {
  try {
    const json root = json::parse(body);
    core::DispatchConfig config;
    config.version = version;
    for (const auto& [name, item] : root.at("teams").items()) config.teams[name] = ParseTeam(item);
    for (const auto& [name, item] : root.at("jobs").items()) config.jobs[name] = ParseJob(item);
    return config;
  } catch (const json::exception& error) {
    return tl::unexpected(core::Error{
        core::ErrorKind::kInvalidRequest, std::string("configuration: ") + error.what(), {}});
  }
}

}  // namespace zinniamux::adapters
