// Rules for the parts of a configuration. Job files, team files and the published body share them.
#ifndef ZINNIAMUX_ADAPTERS_CONFIG_RULES_H_
#define ZINNIAMUX_ADAPTERS_CONFIG_RULES_H_

#include <array>
#include <string_view>

#include "adapters/checked_object.h"
#include "core/dispatch_config.h"

namespace zinniamux::adapters {

// In the order of PlacementPolicyKind and JobOrder.
inline constexpr std::array<std::string_view, 4> kPlacementNames{"late_binding", "random",
                                                                 "round_robin", "least_loaded"};
inline constexpr std::array<std::string_view, 2> kJobOrderNames{"fifo", "least_remaining"};

// Each reads the known fields of one object; fields that are left out have the defaults of
// core::DispatchConfig. The caller calls Finish, after it read fields of its own.
core::TeamConfig ReadTeam(CheckedObject& object);
// Does not read `team`, which job files state once for all their jobs.
core::JobConfig ReadJob(CheckedObject& object);
core::PolicyConfig ReadPolicy(CheckedObject& object);

}  // namespace zinniamux::adapters

#endif  // ZINNIAMUX_ADAPTERS_CONFIG_RULES_H_
