// Reading and checking of the settings file.
#include "adapters/settings.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <utility>

#include "adapters/checked_object.h"
#include "adapters/checked_yaml.h"

namespace zinniamux::adapters {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::size_t kMaxUrlBytes = 512;
constexpr std::size_t kMaxPathBytes = 4096;
constexpr std::int64_t kMaxShards = 1024;
constexpr std::int64_t kMaxThreads = 64;
constexpr std::int64_t kMaxDrainNoticeMs = 60'000;
// Below 3 s, a lost heartbeat would already stop an agent; see kSilenceLimit of the connections.
constexpr std::int64_t kMinIsolationLimitMs = 3'000;
// A new owner counts on agents that stop within 10 s; see ShardDispatcher::Options.
constexpr std::int64_t kMaxIsolationLimitMs = 10'000;
constexpr std::int64_t kMaxExplainBytes = 256LL << 20U;
constexpr std::int64_t kMaxBodyBytes = 1LL << 20U;
constexpr std::int64_t kMinBodyBytes = 1024;
constexpr std::int64_t kMaxLogQueueLines = 1'000'000;
constexpr std::array<std::string_view, 4> kRoles{"entry", "agent", "dispatcher", "supervisor"};
constexpr std::array<std::string_view, 4> kLogLevels{"debug", "info", "warning", "error"};

ListenAddress ReadAddress(CheckedObject& object, std::string_view key) {
  if (!object.Has(key)) {
    object.Text(key, kMaxUrlBytes);
    return {};
  }
  const std::optional<ListenAddress> address = ParseAddress(object.Text(key, kMaxUrlBytes, ""));
  if (!address) object.Reject(key, kAddressRule);
  return address.value_or(ListenAddress{});
}

std::vector<std::string> ReadAddresses(CheckedObject& object, std::string_view key,
                                       const DocumentContext& context) {
  std::vector<std::string> addresses;
  object.Items(key, [&](const json& item, const std::string& path) {
    const std::string text = item.is_string() ? item.get<std::string>() : std::string();
    if (!ParseAddress(text)) {
      context.problems.Add(context.Place(path), path, Shortened(item), kAddressRule);
      return;
    }
    if (std::find(addresses.begin(), addresses.end(), text) != addresses.end()) {
      context.problems.Add(context.Place(path), path, Shortened(item) + " a second time",
                           "each address once");
      return;
    }
    addresses.push_back(text);
  });
  return addresses;
}

// With `optional`, an explicitly empty text runs the process without a store.
std::string ReadStore(CheckedObject& object, bool optional) {
  constexpr std::string_view kScheme = "http://";
  std::string url = object.Text("store", kMaxUrlBytes);
  if (optional && url.empty()) return url;
  while (url.ends_with('/')) url.pop_back();
  if (!url.starts_with(kScheme) || !ParseAddress(std::string_view(url).substr(kScheme.size()))) {
    object.Reject("store",
                  optional ? "http://IP:PORT, or \"\" to run without a store" : "http://IP:PORT");
  }
  return url;
}

EntryLimits ReadLimits(CheckedObject object) {
  EntryLimits limits;
  limits.max_body_bytes = static_cast<std::size_t>(
      object.Integer("max_body_bytes", kMinBodyBytes, kMaxBodyBytes, kMaxBodyBytes));
  limits.max_explain_bytes =
      static_cast<std::size_t>(object.Integer("max_explain_bytes", 0, kMaxExplainBytes,
                                              static_cast<std::int64_t>(limits.max_explain_bytes)));
  object.Finish();
  return limits;
}

EntrySettings ReadEntry(CheckedObject object, const DocumentContext& context) {
  EntrySettings entry;
  entry.id = object.Id("id");
  entry.availability_zone = object.Id("availability_zone");
  entry.caller = ReadAddress(object, "caller");
  entry.admin = ReadAddress(object, "admin");
  entry.rpc = ReadAddress(object, "rpc");
  entry.rpc_advertised = object.Text("rpc_advertised", kMaxUrlBytes, "");
  if (!entry.rpc_advertised.empty() && !ParseAddress(entry.rpc_advertised)) {
    object.Reject("rpc_advertised", kAddressRule);
  }
  entry.peers = ReadAddresses(object, "peers", context);
  entry.store_url = ReadStore(object, /*optional=*/false);
  entry.shards = static_cast<std::uint32_t>(object.Integer("shards", 1, kMaxShards, 1));
  entry.drain_notice = milliseconds(
      object.Integer("drain_notice_ms", 0, kMaxDrainNoticeMs, entry.drain_notice.count()));
  entry.threads =
      static_cast<std::uint32_t>(object.Integer("threads", 1, kMaxThreads, entry.threads));
  if (std::optional<CheckedObject> limits = object.Object("limits")) {
    entry.limits = ReadLimits(*std::move(limits));
  }
  object.Finish();
  return entry;
}

AgentSettings ReadAgent(CheckedObject object, const DocumentContext& context) {
  AgentSettings agent;
  agent.id = object.Id("id");
  agent.availability_zone = object.Id("availability_zone");
  agent.rack = object.Id("rack", "");
  agent.shard = static_cast<std::uint32_t>(object.Integer("shard", 0, kMaxShards - 1, 0));
  agent.local = ReadAddress(object, "local");
  agent.entries = ReadAddresses(object, "entries", context);
  if (agent.entries.empty()) object.Reject("entries", "a list of at least one address");
  agent.store_url = ReadStore(object, /*optional=*/true);
  agent.isolation_limit =
      milliseconds(object.Integer("isolation_limit_ms", kMinIsolationLimitMs, kMaxIsolationLimitMs,
                                  agent.isolation_limit.count()));
  object.Finish();
  return agent;
}

LeaseBounds ReadBounds(CheckedObject object) {
  constexpr std::int64_t kMaxBoundMs = 600'000;
  LeaseBounds bounds;
  const auto read = [&object](std::string_view key, milliseconds& value) {
    value = milliseconds(object.Integer(key, 1, kMaxBoundMs, value.count()));
  };
  read("lease_ms", bounds.lease);
  read("stop_ms", bounds.stop_time);
  read("retransmit_ms", bounds.retransmit);
  // The value is empty where the deployment has no such bound.
  if (object.HasValue("evacuate_ms")) {
    bounds.evacuate = milliseconds(object.Integer("evacuate_ms", 1, kMaxBoundMs, 1));
  }
  const auto run_ends = core::RunEndBudget::For(
      {.retransmit = bounds.retransmit, .max_lease = bounds.lease, .stop_time = bounds.stop_time});
  if (run_ends) {
    bounds.run_ends = *run_ends;
  } else {
    object.Reject("retransmit_ms", "times that fit together: " + run_ends.error().message);
  }
  constexpr double kMaxSpreadFactor = 100;
  bounds.spread_factor = object.OptionalNumber("spread_factor", 1, kMaxSpreadFactor).value_or(0);
  constexpr double kMaxGraceSeconds = 600;
  const double grace = object.Number("grace_s", 0, kMaxGraceSeconds,
                                     std::chrono::duration<double>(bounds.grace).count());
  bounds.grace = std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(grace));
  object.Finish();
  return bounds;
}

core::LateAdmission::Options ReadLateAdmission(CheckedObject object) {
  // Longer than any hold that is worth a late answer, and than any burst.
  constexpr std::int64_t kMaxHoldMs = 60'000;
  constexpr std::int64_t kMinHorizonMs = 100;
  constexpr std::int64_t kMaxHorizonMs = 60'000;
  constexpr double kMaxObjectiveFactor = 10;
  core::LateAdmission::Options late;
  late.enabled = object.Bool("enabled", late.enabled);
  late.objective_factor =
      object.Number("objective_factor", 1, kMaxObjectiveFactor, late.objective_factor);
  late.max_hold = milliseconds(object.Integer("max_hold_ms", 1, kMaxHoldMs, late.max_hold.count()));
  late.min_spare_share = object.Number("min_spare_share", 0, 1, late.min_spare_share);
  late.max_miss_share = object.Number("max_miss_share", 0, 1, late.max_miss_share);
  late.horizon = milliseconds(
      object.Integer("horizon_ms", kMinHorizonMs, kMaxHorizonMs, late.horizon.count()));
  object.Finish();
  return late;
}

core::DisplacementAdmission::Options ReadDisplacementAdmission(CheckedObject object) {
  constexpr double kMinShortShare = 0.001;
  constexpr double kMaxLargeFactor = 100;
  constexpr std::int64_t kMinHorizonMs = 100;
  constexpr std::int64_t kMaxHorizonMs = 60'000;
  core::DisplacementAdmission::Options displacement;
  displacement.enabled = object.Bool("enabled", displacement.enabled);
  displacement.short_share =
      object.Number("short_share", kMinShortShare, 1, displacement.short_share);
  displacement.large_factor =
      object.Number("large_factor", 1, kMaxLargeFactor, displacement.large_factor);
  displacement.queue_floor = object.Number("queue_floor", 0, 1, displacement.queue_floor);
  displacement.zone_floor = object.Number("zone_floor", 0, 1, displacement.zone_floor);
  displacement.horizon = milliseconds(
      object.Integer("horizon_ms", kMinHorizonMs, kMaxHorizonMs, displacement.horizon.count()));
  object.Finish();
  return displacement;
}

AdmissionSettings ReadAdmission(CheckedObject object) {
  AdmissionSettings admission;
  if (std::optional<CheckedObject> late = object.Object("late")) {
    admission.late = ReadLateAdmission(*std::move(late));
  }
  if (std::optional<CheckedObject> displacement = object.Object("displacement")) {
    admission.displacement = ReadDisplacementAdmission(*std::move(displacement));
  }
  object.Finish();
  return admission;
}

InputLimits ReadInputLimits(CheckedObject object) {
  // One announcement of 4 MiB beside ordinary requests.
  constexpr std::int64_t kMinInputBytes = 6LL << 20U;
  constexpr std::int64_t kMaxInputBytes = 1LL << 30U;
  // The largest job, and the part that is kept for small ones.
  constexpr std::int64_t kMinWorkBytes = 8LL << 20U;
  constexpr std::int64_t kMaxWorkBytes = 1LL << 30U;
  constexpr std::int64_t kMinConnections = 16;
  constexpr std::int64_t kMaxConnections = 1'000'000;
  // Heads of 8 KiB are always served; the parser itself takes at most 80 KiB.
  constexpr std::int64_t kMinHeadBytes = 8192 + 4096;
  constexpr std::int64_t kMaxHeadBytes = 65'536;
  constexpr std::int64_t kMinFields = 32;
  constexpr std::int64_t kMaxFields = 1000;
  constexpr std::int64_t kMinChunkOverheadBytes = 65'536;
  constexpr std::int64_t kMaxChunkOverheadBytes = 64LL << 20U;
  constexpr std::int64_t kMinStallMs = 1000;
  constexpr std::int64_t kMaxStallMs = 60'000;
  InputLimits limits;
  const auto read_size = [&object](std::string_view key, std::int64_t lowest, std::int64_t highest,
                                   std::size_t fallback) {
    return static_cast<std::size_t>(
        object.Integer(key, lowest, highest, static_cast<std::int64_t>(fallback)));
  };
  if (object.Has("max_input_bytes")) {
    limits.max_input_bytes = read_size("max_input_bytes", kMinInputBytes, kMaxInputBytes, 0);
  }
  if (object.Has("max_work_bytes")) {
    limits.max_work_bytes = read_size("max_work_bytes", kMinWorkBytes, kMaxWorkBytes, 0);
  }
  if (object.Has("max_connections")) {
    limits.max_connections = read_size("max_connections", kMinConnections, kMaxConnections, 0);
  }
  ConnectionLimits& connection = limits.connection;
  connection.max_head_bytes =
      read_size("max_head_bytes", kMinHeadBytes, kMaxHeadBytes, connection.max_head_bytes);
  connection.max_fields = read_size("max_fields", kMinFields, kMaxFields, connection.max_fields);
  connection.max_chunk_overhead_bytes =
      read_size("max_chunk_overhead_bytes", kMinChunkOverheadBytes, kMaxChunkOverheadBytes,
                connection.max_chunk_overhead_bytes);
  limits.stall_limit = milliseconds(
      object.Integer("stall_ms", kMinStallMs, kMaxStallMs, limits.stall_limit.count()));
  object.Finish();
  return limits;
}

DispatcherSettings ReadDispatcher(CheckedObject object) {
  DispatcherSettings dispatcher;
  dispatcher.id = object.Id("id");
  dispatcher.availability_zone = object.Id("availability_zone");
  dispatcher.caller = ReadAddress(object, "caller");
  dispatcher.readiness = ReadAddress(object, "readiness");
  dispatcher.rpc = ReadAddress(object, "rpc");
  dispatcher.metrics = ReadAddress(object, "metrics");
  dispatcher.store_url = ReadStore(object, /*optional=*/false);
  if (std::optional<CheckedObject> bounds = object.Object("bounds")) {
    dispatcher.bounds = ReadBounds(*std::move(bounds));
  }
  if (std::optional<CheckedObject> admission = object.Object("admission")) {
    dispatcher.admission = ReadAdmission(*std::move(admission));
  }
  if (std::optional<CheckedObject> limits = object.Object("limits")) {
    dispatcher.limits = ReadInputLimits(*std::move(limits));
  }
  object.Finish();
  return dispatcher;
}

SupervisorSettings ReadSupervisor(CheckedObject object) {
  SupervisorSettings supervisor;
  supervisor.id = object.Id("id");
  supervisor.availability_zone = object.Id("availability_zone");
  supervisor.local = ReadAddress(object, "local");
  supervisor.metrics = ReadAddress(object, "metrics");
  supervisor.executor = AddressText(ReadAddress(object, "executor"));
  supervisor.service = object.Id("service");
  supervisor.store_url = ReadStore(object, /*optional=*/false);
  if (std::optional<CheckedObject> bounds = object.Object("bounds")) {
    supervisor.bounds = ReadBounds(*std::move(bounds));
  }
  if (std::optional<CheckedObject> limits = object.Object("limits")) {
    supervisor.limits = ReadInputLimits(*std::move(limits));
  }
  object.Finish();
  return supervisor;
}

LogSettings ReadLog(CheckedObject object) {
  LogSettings log;
  log.file = object.Text("file", kMaxPathBytes, "");
  const auto info = static_cast<std::size_t>(LogLevel::kInfo);
  log.level = kLogLevels[object.Choice("level", kLogLevels, info)];
  log.queue_lines = static_cast<std::size_t>(object.Integer(
      "queue_lines", 1, kMaxLogQueueLines, static_cast<std::int64_t>(log.queue_lines)));
  object.Finish();
  return log;
}

Settings ReadSettings(CheckedObject root, const DocumentContext& context) {
  Settings settings;
  root.Integer("version", kFileFormatVersion, kFileFormatVersion);
  if (std::optional<CheckedObject> entry = root.Object("entry")) {
    settings.entry = ReadEntry(*std::move(entry), context);
  }
  if (std::optional<CheckedObject> agent = root.Object("agent")) {
    settings.agent = ReadAgent(*std::move(agent), context);
  }
  if (std::optional<CheckedObject> dispatcher = root.Object("dispatcher")) {
    settings.dispatcher = ReadDispatcher(*std::move(dispatcher));
  }
  if (std::optional<CheckedObject> supervisor = root.Object("supervisor")) {
    settings.supervisor = ReadSupervisor(*std::move(supervisor));
  }
  if (std::optional<CheckedObject> log = root.Object("log")) {
    settings.log = ReadLog(*std::move(log));
  }
  const auto roles = std::count_if(kRoles.begin(), kRoles.end(),
                                   [&root](std::string_view role) { return root.Has(role); });
  if (roles != 1) {
    context.problems.Add(context.Place(""), "entry, agent, dispatcher, supervisor",
                         roles == 0 ? "no role" : "several roles", "exactly one role");
  }
  root.Finish();
  return settings;
}

// Bounds that not every deployment has may come from the environment instead of the file. A value
// in the file comes first; an empty variable counts as unset.
void AddBoundsFromEnvironment(json& document) {
  struct Variable {
    const char* name;
    const char* role;
    const char* bound;
  };
  constexpr std::array kVariables{
      Variable{"ZINNIAMUX_EVACUATE_MS", "dispatcher", "evacuate_ms"},
      Variable{"ZINNIAMUX_EVACUATE_MS", "supervisor", "evacuate_ms"},
      Variable{"ZINNIAMUX_SPREAD_FACTOR", "dispatcher", "spread_factor"},
  };
  for (const auto& [name, role, bound] : kVariables) {
    const char* text = std::getenv(name);
    if (text == nullptr || *text == '\0' || !document.is_object()) continue;
    const auto section = document.find(role);
    if (section == document.end() || !section->is_object()) continue;
    json& bounds = (*section)["bounds"];
    if (!bounds.is_null() && !bounds.is_object()) continue;
    json& value = bounds[bound];
    if (!value.is_null()) continue;
    value = json::parse(text, nullptr, /*allow_exceptions=*/false);
    // Reported as a value of the wrong type.
    if (value.is_discarded()) value = text;
  }
}

}  // namespace

core::Result<Settings> LoadSettings(const std::string& path) {
  ProblemList problems;
  DocumentContext context{.problems = problems};
  json document = LoadYamlFile(path, context);
  AddBoundsFromEnvironment(document);
  Settings settings;
  if (problems.empty()) {
    settings = ReadSettings(CheckedObject(document, "", context), context);
  }
  if (problems.empty()) return settings;
  return tl::unexpected(problems.ToError(core::ErrorKind::kInvalidRequest, "\n"));
}

std::string ProcessId(const Settings& settings) {
  if (settings.entry) return settings.entry->id;
  if (settings.agent) return settings.agent->id;
  return settings.dispatcher ? settings.dispatcher->id : settings.supervisor->id;
}

JsonLog::Options LogOptions(const Settings& settings) {
  return {.file = settings.log.file,
          .level = LogLevelFromName(settings.log.level).value_or(LogLevel::kInfo),
          .process = ProcessId(settings),
          .capacity = settings.log.queue_lines};
}

}  // namespace zinniamux::adapters
