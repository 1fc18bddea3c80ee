// Comparison of two sets of zones.
#include "zinniamuxd/evacuation_log.h"

#include <nlohmann/json.hpp>

namespace zinniamux::daemon {

void LogEvacuation(adapters::JsonLog& log, const std::set<std::string>& before,
                   const core::EvacuationState& state, const std::string& source,
                   const std::function<std::size_t(const std::string& zone)>& executors_in) {
  const auto write = [&](const char* event, const std::string& zone) {
    log.Write(adapters::LogLevel::kWarning, event,
              nlohmann::json{{"zone", zone},
                             {"version", state.version},
                             {"source", source},
                             {"executors", executors_in(zone)}});
  };
  for (const std::string& zone : state.zones) {
    if (!before.contains(zone)) write("zone_evacuated", zone);
  }
  for (const std::string& zone : before) {
    if (!state.zones.contains(zone)) write("zone_restored", zone);
  }
}

}  // namespace zinniamux::daemon
