// Comparison of versions.
#include "core/zone_evacuation.h"

#include <utility>

namespace zinniamux::core {

bool ZoneEvacuation::Take(EvacuationState state) {
  if (state.version <= state_.version) return false;
  state_ = std::move(state);
  return true;
}

bool ZoneEvacuation::IsEvacuated(std::string_view zone) const {
  // Asked for each order and report; zones are seldom evacuated.
  return !state_.zones.empty() && state_.zones.contains(std::string(zone));
}

}  // namespace zinniamux::core
