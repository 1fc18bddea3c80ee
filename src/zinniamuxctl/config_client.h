// The configuration as an entry's admin port gives it.
#ifndef ZINNIAMUX_ZINNIAMUXCTL_CONFIG_CLIENT_H_
#define ZINNIAMUX_ZINNIAMUXCTL_CONFIG_CLIENT_H_

#include <cstdint>
#include <string>

#include "core/dispatch_config.h"
#include "zinniamuxctl/api_client.h"

namespace zinniamux::ctl {

// The answer of GET /v1/config. Version 0 without teams and jobs if nothing was published yet.
struct CurrentConfig {
  ApiAnswer answer;
  std::uint64_t version = 0;
  // The body as JSON.
  nlohmann::json body;
  // The configuration that the body describes; defaults if it cannot be read.
  core::DispatchConfig config;

  bool ok() const { return answer.ok(); }
};

// Reads the configuration in force.
CurrentConfig ReadCurrentConfig(ApiClient& client);

}  // namespace zinniamux::ctl

#endif  // ZINNIAMUX_ZINNIAMUXCTL_CONFIG_CLIENT_H_
