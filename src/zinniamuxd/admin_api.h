// The HTTP interface for operators and load balancers.
#ifndef ZINNIAMUX_ZINNIAMUXD_ADMIN_API_H_
#define ZINNIAMUX_ZINNIAMUXD_ADMIN_API_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "adapters/http_message.h"
#include "zinniamuxd/agent_registry.h"
#include "zinniamuxd/config_service.h"
#include "zinniamuxd/shard_host.h"

namespace zinniamux::daemon {

// Serves health, configuration, executors and shards. Thread-safe.
class AdminApi {
 public:
  struct Hooks {
    std::function<bool()> is_ready;
    // Returns the body of GET /metrics.
    std::function<std::string()> metrics_text;
  };

  AdminApi(AgentRegistry& agents, ConfigService& config,
           std::vector<std::shared_ptr<ShardHost>> shards, Hooks hooks);

  void Serve(const adapters::HttpRequest& request, const adapters::HttpResponder& respond);

 private:
  void ServeConfig(const adapters::HttpRequest& request, const adapters::HttpResponder& respond);
  void ServePublish(const std::string& body, const adapters::HttpResponder& respond);
  void ServeDrain(const adapters::HttpRequest& request, const adapters::HttpResponder& respond);
  std::string ExecutorsJson() const;
  std::string ShardsJson() const;

  AgentRegistry& agents_;
  ConfigService& config_;
  const std::vector<std::shared_ptr<ShardHost>> shards_;
  const Hooks hooks_;
};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_ADMIN_API_H_
