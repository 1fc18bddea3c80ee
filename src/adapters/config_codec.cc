// Parsing and composition of a configuration's JSON body.
#include "adapters/config_codec.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "adapters/checked_json.h"
#include "adapters/checked_object.h"
#include "adapters/config_rules.h"

namespace zinniamux::adapters {
namespace {

using nlohmann::json;

core::DispatchConfig ReadConfig(CheckedObject root, const DocumentContext& context) {
  core::DispatchConfig config;
  root.Members("teams", [&](const std::string& name, const json& value, const std::string& path) {
    CheckedObject object(value, path, context);
    config.teams[name] = ReadTeam(object);
    object.Finish();
  });
  root.Members("jobs", [&](const std::string& name, const json& value, const std::string& path) {
    CheckedObject object(value, path, context);
    core::JobConfig job = ReadJob(object);
    job.team = object.Id("team");
    if (!job.team.empty() && !config.teams.contains(job.team)) {
      object.Reject("team", "a name in teams");
    }
    object.Finish();
    config.jobs[name] = std::move(job);
  });
  if (std::optional<CheckedObject> policy = root.Object("policy")) {
    config.policy = ReadPolicy(*policy);
    policy->Finish();
  }
  root.Finish();
  return config;
}

json TeamJson(const core::TeamConfig& team) {
  return {{"weight", team.weight},
          {"max_queued_tasks", team.max_queued_tasks},
          {"max_running_tasks", team.max_running_tasks}};
}

json JobJson(const core::JobConfig& job) {
  return {{"team", job.team},
          {"idempotent", job.idempotent},
          {"run_ms", job.run_time.count()},
          {"time_limit_ms", job.time_limit.count()},
          {"max_tasks", job.max_tasks},
          {"memory_mb", job.memory_mb}};
}

json PolicyJson(const core::PolicyConfig& policy) {
  return {{"placement", kPlacementNames.at(static_cast<std::size_t>(policy.placement))},
          {"job_order", kJobOrderNames.at(static_cast<std::size_t>(policy.job_order))},
          {"result_hold_ms", policy.result_hold.count()},
          {"queue_time_limit_ms", policy.queue_time_limit.count()},
          {"retention_ms", policy.retention.count()},
          {"max_deadline_ms", policy.max_deadline.count()}};
}

}  // namespace

core::Result<core::DispatchConfig> ParseConfig(std::string_view body, std::uint64_t version) {
  const core::Result<json> document = ParseJson(body, {});
  if (!document) return tl::unexpected(document.error());
  ProblemList problems;
  const DocumentContext context{.problems = problems};
  core::DispatchConfig config = ReadConfig(CheckedObject(*document, "", context), context);
  if (!problems.empty()) {
    return tl::unexpected(problems.ToError(core::ErrorKind::kInvalidRequest, "; "));
  }
  config.version = version;
  return config;
}

std::string ComposeConfig(const core::DispatchConfig& config) {
  json body{
      {"teams", json::object()}, {"jobs", json::object()}, {"policy", PolicyJson(config.policy)}};
  for (const auto& [name, team] : config.teams) body["teams"][name] = TeamJson(team);
  for (const auto& [name, job] : config.jobs) body["jobs"][name] = JobJson(job);
  return body.dump();
}

}  // namespace zinniamux::adapters
