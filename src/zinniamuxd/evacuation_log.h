// Log lines of zones that are evacuated or restored.
#ifndef ZINNIAMUX_ZINNIAMUXD_EVACUATION_LOG_H_
#define ZINNIAMUX_ZINNIAMUXD_EVACUATION_LOG_H_

#include <set>
#include <string>

#include "adapters/json_log.h"
#include "core/zone_evacuation.h"

namespace zinniamux::daemon {

// Writes one line for each zone in which `state` differs from the zones evacuated before. `source`
// names who has told the state.
void LogEvacuation(adapters::JsonLog& log, const std::set<std::string>& before,
                   const core::EvacuationState& state, const std::string& source);

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_EVACUATION_LOG_H_
