// Paths and JSON of the admin interface.
#include "zinniamuxd/admin_api.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "adapters/caller_codec.h"

namespace zinniamux::daemon {
namespace {

using adapters::HttpRequest;
using adapters::HttpResponder;
using adapters::HttpResponse;
using nlohmann::json;

constexpr std::string_view kExecutorsPath = "/v1/executors";
constexpr std::string_view kDrainSuffix = "/drain";

HttpResponse PlainText(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  response.content_type = "text/plain";
  return response;
}

HttpResponse Json(const json& value) { return {.status = 200, .body = value.dump() + "\n"}; }

core::Error NotFound(std::string message) {
  return {core::ErrorKind::kNotFound, std::move(message), {}};
}

core::Error Invalid(std::string message) {
  return {core::ErrorKind::kInvalidRequest, std::move(message), {}};
}

std::string_view ExecutorState(const core::ExecutorStatus& executor) {
  if (executor.leaving) return "leaving";
  return executor.available ? "available" : "down";
}

json RecordJson(const core::ConfigRecord& record) {
  return {{"version", record.version},
          {"token", record.token},
          {"author", record.author},
          {"time_ms", record.published_at.time_since_epoch().count()},
          {"object", record.object_key}};
}

ConfigService::PublishCallback PublishResponder(const HttpResponder& respond) {
  return [respond](const core::Result<std::uint64_t>& version) {
    respond(version ? Json({{"version", *version}}) : adapters::ToHttp(version.error()));
  };
}

}  // namespace

AdminApi::AdminApi(AgentRegistry& agents, ConfigService& config,
                   std::vector<std::shared_ptr<ShardHost>> shards, Hooks hooks)
    : agents_(agents), config_(config), shards_(std::move(shards)), hooks_(std::move(hooks)) {}

void AdminApi::Serve(const HttpRequest& request, const HttpResponder& respond) {
  const std::string& path = request.path;
  if (path == "/healthz") {
    respond(PlainText(200, "ok\n"));
  } else if (path == "/readyz") {
    const bool ready = hooks_.is_ready();
    respond(PlainText(ready ? 200 : 503, ready ? "ready\n" : "not ready\n"));
  } else if (path == "/metrics") {
    respond(PlainText(200, hooks_.metrics_text()));
  } else if (path == "/v1/shards" && request.method == "GET") {
    respond({.status = 200, .body = ShardsJson()});
  } else if (path == kExecutorsPath && request.method == "GET") {
    respond({.status = 200, .body = ExecutorsJson()});
  } else if (path.starts_with(kExecutorsPath) && path.ends_with(kDrainSuffix) &&
             request.method == "POST") {
    ServeDrain(request, respond);
  } else if (path.starts_with("/v1/config")) {
    ServeConfig(request, respond);
  } else {
    respond(adapters::ToHttp(NotFound("no such path")));
  }
}

void AdminApi::ServeConfig(const HttpRequest& request, const HttpResponder& respond) {
  if (request.path == "/v1/config" && request.method == "POST") {
    ServePublish(request.body, respond);
  } else if (request.path == "/v1/config" && request.method == "GET") {
    const core::ConfigVersion config = config_.in_force();
    json answer{{"version", config.version}};
    if (config.version > 0) answer["body"] = json::parse(config.body, nullptr, false);
    respond(Json(answer));
  } else if (request.path == "/v1/config/history" && request.method == "GET") {
    config_.ReadHistory([respond](const core::Result<std::vector<core::ConfigRecord>>& history) {
      if (!history) {
        respond(adapters::ToHttp(history.error()));
        return;
      }
      json versions = json::array();
      for (const core::ConfigRecord& record : *history) versions.push_back(RecordJson(record));
      respond(Json({{"versions", versions}}));
    });
  } else {
    respond(adapters::ToHttp(NotFound("no such path")));
  }
}

void AdminApi::ServePublish(const std::string& body, const HttpResponder& respond) {
  try {
    const json root = json::parse(body);
    ConfigService::Change change{.base_version = root.at("base_version").get<std::uint64_t>(),
                                 .token = root.value("token", std::string()),
                                 .author = root.value("author", std::string())};
    if (root.contains("target_version")) {
      config_.Rollback(std::move(change), root.at("target_version").get<std::uint64_t>(),
                       PublishResponder(respond));
      return;
    }
    const json& content = root.at("body");
    config_.Publish(std::move(change),
                    content.is_string() ? content.get<std::string>() : content.dump(),
                    PublishResponder(respond));
  } catch (const json::exception& error) {
    respond(adapters::ToHttp(Invalid(
        std::string("body: must have base_version, and body or target_version: ") + error.what())));
  }
}

void AdminApi::ServeDrain(const HttpRequest& request, const HttpResponder& respond) {
  const std::size_t begin = kExecutorsPath.size() + 1;
  if (request.path.size() < begin + kDrainSuffix.size()) {
    respond(adapters::ToHttp(NotFound("no such path")));
    return;
  }
  const std::string id =
      request.path.substr(begin, request.path.size() - begin - kDrainSuffix.size());
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("draining") || !body["draining"].is_boolean()) {
    respond(
        adapters::ToHttp(Invalid(R"(body: must be {"draining": true} or {"draining": false})")));
    return;
  }
  for (const core::AgentHello& agent : agents_.AttachedAgents()) {
    if (agent.executor.executor_id != id) continue;
    v1::EntryMessage message;
    message.mutable_drain()->set_draining(body["draining"].get<bool>());
    agents_.Send(agent.agent_id, std::move(message));
    respond(Json({{"executor_id", id}, {"draining", body["draining"]}}));
    return;
  }
  respond(adapters::ToHttp(NotFound("no executor '" + id + "' is attached to this entry")));
}

std::string AdminApi::ExecutorsJson() const {
  std::map<std::string, core::ShardDispatcher::AgentLoad> loads;
  for (const auto& host : shards_) {
    const auto shard = host->owned_shard();
    if (shard != nullptr) loads.merge(shard->AgentLoads());
  }
  json executors = json::array();
  for (const core::AgentHello& agent : agents_.AttachedAgents()) {
    const auto found = loads.find(agent.agent_id);
    const bool is_owner = found != loads.end();
    executors.push_back({{"executor_id", agent.executor.executor_id},
                         {"agent_id", agent.agent_id},
                         {"shard", agent.shard},
                         {"availability_zone", agent.availability_zone},
                         {"rack", agent.rack},
                         {"slots", agent.executor.slots},
                         // Only the shard's owner knows these two.
                         {"used_slots", is_owner ? json(found->second.used_slots) : json()},
                         {"takes_work", is_owner ? json(found->second.takes_work) : json()},
                         {"state", ExecutorState(agent.executor)}});
  }
  return json{{"executors", executors}}.dump() + "\n";
}

std::string AdminApi::ShardsJson() const {
  json shards = json::array();
  for (const auto& host : shards_) {
    const ShardRoute route = host->route();
    json item{{"shard", host->shard()}, {"owner_missing", route.owner_missing}};
    if (route.owner) {
      item["owner_id"] = route.owner->owner.entry_id;
      item["epoch"] = route.owner->epoch;
      item["rpc_address"] = route.owner->owner.rpc_address;
    }
    if (route.local != nullptr) {
      if (const auto stats = route.local->stats()) {
        item["recovering"] = stats->recovering;
        item["queued_tasks"] = stats->queued_tasks;
        item["running_tasks"] = stats->running_tasks;
      }
    }
    shards.push_back(std::move(item));
  }
  return json{{"shards", shards}}.dump() + "\n";
}

}  // namespace zinniamux::daemon
