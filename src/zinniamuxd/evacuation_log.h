// Log lines of zones that are evacuated or restored.
#ifndef ZINNIAMUX_ZINNIAMUXD_EVACUATION_LOG_H_
#define ZINNIAMUX_ZINNIAMUXD_EVACUATION_LOG_H_

#include <cstddef>
#include <functional>
#include <set>
#include <string>

#include "adapters/json_log.h"
#include "core/zone_evacuation.h"

namespace zinniamux::daemon {

// Writes one line for each zone in which `state` differs from the zones evacuated before. `source`
// names who has told the state. `executors_in` gives the number of executors that this process
// knows in a zone: with none, the row may name a zone that does not exist.
void LogEvacuation(adapters::JsonLog& log, const std::set<std::string>& before,
                   const core::EvacuationState& state, const std::string& source,
                   const std::function<std::size_t(const std::string& zone)>& executors_in);

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_EVACUATION_LOG_H_
