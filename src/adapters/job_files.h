// Collects a configuration from the job files and the team file below a set of folders.
#ifndef ZINNIAMUX_ADAPTERS_JOB_FILES_H_
#define ZINNIAMUX_ADAPTERS_JOB_FILES_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/dispatch_config.h"
#include "core/error_kind.h"

namespace zinniamux::adapters {

inline constexpr std::string_view kJobFileSuffix = ".zinniamux.yaml";
inline constexpr std::string_view kTeamFileName = "teams.zinniamux.yaml";

// A configuration and the files it comes from, sorted by path.
struct CollectedConfig {
  core::DispatchConfig config;
  std::vector<std::string> files;
};

// Reads every file below the folders (or named directly) whose name ends in ".zinniamux.yaml",
// except in folders whose name begins with a dot. One of them has to be the team file. The error
// lists every problem of every file, one per line, with file, line, key, value seen and what is
// allowed.
core::Result<CollectedConfig> CollectConfig(std::span<const std::string> folders);

}  // namespace zinniamux::adapters

#endif  // ZINNIAMUX_ADAPTERS_JOB_FILES_H_
