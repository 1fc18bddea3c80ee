// Reading of the configuration in force.
#include "zinniamuxctl/config_client.h"

#include "adapters/config_codec.h"

namespace zinniamux::ctl {

CurrentConfig ReadCurrentConfig(ApiClient& client) {
  CurrentConfig current{.answer = client.Get("/v1/config")};
  const nlohmann::json& answer = current.answer.body;
  if (!current.ok() || !answer.is_object()) return current;
  if (answer.contains("version") && answer["version"].is_number_unsigned()) {
    current.version = answer["version"].get<std::uint64_t>();
  }
  if (answer.contains("body")) current.body = answer["body"];
  if (auto config = adapters::ParseConfig(current.body.dump(), current.version)) {
    current.config = *std::move(config);
  }
  return current;
}

}  // namespace zinniamux::ctl
