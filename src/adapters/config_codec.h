// JSON of a published configuration, as the object store keeps it.
#ifndef ZINNIAMUX_ADAPTERS_CONFIG_CODEC_H_
#define ZINNIAMUX_ADAPTERS_CONFIG_CODEC_H_

#include <string>
#include <string_view>

#include "core/dispatch_config.h"
#include "core/error_kind.h"

namespace zinniamux::adapters {

// Parses and checks a configuration's body. The version is not part of the body.
core::Result<core::DispatchConfig> ParseConfig(std::string_view body, std::uint64_t version);

}  // namespace zinniamux::adapters

#endif  // ZINNIAMUX_ADAPTERS_CONFIG_CODEC_H_
