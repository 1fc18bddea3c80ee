// JSON of a published configuration, as the object store keeps it.
#ifndef ZINNIAMUX_ADAPTERS_CONFIG_CODEC_H_
#define ZINNIAMUX_ADAPTERS_CONFIG_CODEC_H_

#include <string>
#include <string_view>

#include "core/dispatch_config.h"
#include "core/error_kind.h"

namespace zinniamux::adapters {

// Parses and checks a configuration's body. The version is not part of the body. The error lists
// every problem, separated by "; ".
core::Result<core::DispatchConfig> ParseConfig(std::string_view body, std::uint64_t version);

// The body of a configuration: every field, members sorted by name, no white space. Equal
// configurations give equal bytes, so that their content hashes are equal.
std::string ComposeConfig(const core::DispatchConfig& config);

}  // namespace zinniamux::adapters

#endif  // ZINNIAMUX_ADAPTERS_CONFIG_CODEC_H_
