// Settings: a file is checked as a whole before the process starts.
#include "adapters/settings.h"

#include <criterion/criterion.h>

#include "unit/temporary_folder.h"

namespace {

using zinniamux::adapters::LoadSettings;
using zinniamux::adapters::LogLevel;
using zinniamux::adapters::LogOptions;
using zinniamux::adapters::Settings;
using zinniamux::tests::TemporaryFolder;

constexpr const char* kEntry = R"(version: 1
entry:
  id: entry-1
  availability_zone: oslo
  caller: 127.0.0.1:34001
  admin: 127.0.0.1:34002
  rpc: "[::1]:34003"
  peers: ["127.0.0.1:34013"]
  store: http://127.0.0.1:34090/
  shards: 3
  drain_notice_ms: 500
log:
  level: warning
)";

// The message for a file with this content; empty if it is accepted.
std::string MessageFor(const std::string& content) {
  const TemporaryFolder folder("settings");
  const auto settings = LoadSettings(folder.Write("settings.yaml", content));
  return settings ? std::string() : settings.error().message;
}

void AssertReports(const std::string& message, const std::string& part) {
  cr_assert(message.find(part) != std::string::npos, "\"%s\" not found in:\n%s", part.c_str(),
            message.c_str());
}

}  // namespace

// Guards against values that are read into the wrong field or lost.
Test(settings, reads_an_entry) {
  const TemporaryFolder folder("settings_entry");
  const auto settings = LoadSettings(folder.Write("settings.yaml", kEntry));
  cr_assert(settings.has_value());
  cr_assert(settings->entry->id == "entry-1");
  cr_assert(settings->entry->rpc.host == "::1");
  cr_assert_eq(settings->entry->rpc.port, 34003);
  cr_assert_eq(settings->entry->peers.size(), 1U);
  cr_assert(settings->entry->store_url == "http://127.0.0.1:34090");
  cr_assert_eq(settings->entry->shards, 3U);
  cr_assert_eq(settings->entry->drain_notice.count(), 500);
  cr_assert(LogOptions(*settings).level == LogLevel::kWarning);
}

// Guards against a check that stops at the first problem, or names no line, value or rule.
Test(settings, reports_every_problem_with_its_line) {
  const std::string message = MessageFor(R"(version: 1
agent:
  id: agent 1
  availability_zone: oslo
  local: localhost:34001
  entries: ["127.0.0.1:0", "127.0.0.1:34003", "127.0.0.1:34003"]
  store: ""
  shard: -1
  isolation_limit: 10
)");
  AssertReports(message, "settings.yaml:3: agent.id: saw \"agent 1\"; allowed: text of 1 to 128");
  AssertReports(message, "settings.yaml:5: agent.local: saw \"localhost:34001\"; allowed: IP:PORT");
  AssertReports(message, "settings.yaml:6: agent.entries[0]: saw \"127.0.0.1:0\"");
  AssertReports(message,
                "settings.yaml:6: agent.entries[2]: saw \"127.0.0.1:34003\" a second time");
  AssertReports(message, "settings.yaml:8: agent.shard: saw -1; allowed: a whole number from 0");
  AssertReports(message, "settings.yaml:9: agent.isolation_limit: saw an unknown field");
}

// Guards against a process that starts with two roles, none, or a format of another version.
Test(settings, requires_one_role_and_a_known_version) {
  AssertReports(MessageFor("version: 1\n"),
                "entry, agent, dispatcher, supervisor: saw no role; allowed: exactly one role");
  AssertReports(MessageFor(std::string(kEntry) + "agent: {}\n"), "saw several roles");
  AssertReports(MessageFor("version: 2\nentry: {}\n"), ":1: version: saw 2");
  AssertReports(MessageFor("entry: {}\n"), "version: saw nothing");
  AssertReports(MessageFor("version: 1\nentry: {}\n"), ":2: entry.id: saw nothing");
}

// Guards against crashes and silent acceptance of files that are not what they should be.
Test(settings, refuses_malformed_files) {
  AssertReports(MessageFor(""), "document: saw null; allowed: an object");
  AssertReports(MessageFor("version: [1\nentry"), "settings.yaml:");
  AssertReports(MessageFor("version: 1\nversion: 1\n"), ":2: version: saw the name a second time");
  AssertReports(MessageFor("a: &a [x, x]\nb: &b [*a, *a]\nc: *b\n"), "a: saw an unknown field");
  AssertReports(MessageFor(std::string(40, '[') + std::string(40, ']')), "deeply nested");
  const auto missing = LoadSettings("/nonexistent/settings.yaml");
  cr_assert(!missing.has_value());
  AssertReports(missing.error().message, "/nonexistent/settings.yaml: cannot be read");
}

// Guards against a key that is accepted but missing from the list of allowed keys.
Test(settings, reads_the_advertised_address) {
  const TemporaryFolder folder("settings");
  const std::string path = folder.Write("settings.yaml",
                                        "version: 1\n"
                                        "entry:\n"
                                        "  id: entry-1\n"
                                        "  availability_zone: oslo\n"
                                        "  caller: 127.0.0.1:4001\n"
                                        "  admin: 127.0.0.1:4002\n"
                                        "  rpc: 127.0.0.1:4003\n"
                                        "  rpc_advertised: 10.0.0.7:4003\n"
                                        "  store: http://127.0.0.1:4000\n");
  const auto settings = LoadSettings(path);
  cr_assert(settings.has_value());
  cr_assert(settings->entry->rpc_advertised == "10.0.0.7:4003");
}

// Guards against times of a deployment that are replaced by others in silence: the runs of two
// copies of a job would overlap.
Test(settings, refuses_times_that_do_not_fit_together) {
  const std::string message = MessageFor(R"(version: 1
supervisor:
  id: supervisor-1
  availability_zone: oslo
  local: 127.0.0.1:34001
  metrics: 127.0.0.1:34002
  executor: 127.0.0.1:34003
  service: orders
  store: http://127.0.0.1:34090
  bounds:
    retransmit_ms: 1150
)");
  AssertReports(message, "retransmit_ms");
  AssertReports(message, "1150 ms");
  AssertReports(message, "less than the 800 ms");
}

// Guards against a deployment without the bound that cannot start, as its template leaves the value
// empty, and against a bound that is lost in silence.
Test(settings, reads_an_empty_evacuation_bound_as_off) {
  const auto read = [](const std::string& line) {
    const TemporaryFolder folder("settings");
    return LoadSettings(folder.Write("settings.yaml", R"(version: 1
dispatcher:
  id: dispatcher-1
  availability_zone: oslo
  caller: 127.0.0.1:34001
  readiness: 127.0.0.1:34002
  rpc: 127.0.0.1:34003
  metrics: 127.0.0.1:34004
  store: http://127.0.0.1:34090
  bounds:
    grace_s: 6
)" + line));
  };
  for (const std::string line : {"", "    evacuate_ms:\n", "    evacuate_ms: \n",
                                 "    evacuate_ms: \"\"\n", "    evacuate_ms: null\n"}) {
    const auto settings = read(line);
    cr_assert(settings.has_value(), "%s", line.c_str());
    cr_assert_not(settings->dispatcher->bounds.evacuate.has_value(), "%s", line.c_str());
  }
  const auto settings = read("    evacuate_ms: 5000\n");
  cr_assert_eq(settings->dispatcher->bounds.evacuate->count(), 5000);
  for (const std::string line : {"    evacuate_ms: 0\n", "    evacuate_ms: soon\n"}) {
    cr_assert_not(read(line).has_value(), "%s", line.c_str());
  }
}

// Guards against a deployment whose bounds come from the environment and are ignored, and against
// an empty variable that counts as a value.
Test(settings, takes_bounds_from_the_environment) {
  const TemporaryFolder folder("settings");
  const std::string file = folder.Write("settings.yaml", R"(version: 1
dispatcher:
  id: dispatcher-1
  availability_zone: oslo
  caller: 127.0.0.1:34001
  readiness: 127.0.0.1:34002
  rpc: 127.0.0.1:34003
  metrics: 127.0.0.1:34004
  store: http://127.0.0.1:34090
)");
  setenv("ZINNIAMUX_EVACUATE_MS", "", 1);
  cr_assert_not(LoadSettings(file)->dispatcher->bounds.evacuate.has_value());
  setenv("ZINNIAMUX_EVACUATE_MS", "5000", 1);
  setenv("ZINNIAMUX_SPREAD_FACTOR", "1.5", 1);
  const auto settings = LoadSettings(file);
  cr_assert_eq(settings->dispatcher->bounds.evacuate->count(), 5000);
  cr_assert_eq(settings->dispatcher->bounds.spread_factor, 1.5);
  setenv("ZINNIAMUX_EVACUATE_MS", "soon", 1);
  cr_assert_not(LoadSettings(file).has_value());
}

// Guards against limits of late admission that are ignored or out of range, and against jobs that
// are held in deployments that do not ask for it.
Test(settings, reads_the_admission_of_a_dispatcher) {
  const std::string dispatcher = R"(version: 1
dispatcher:
  id: dispatcher-1
  availability_zone: oslo
  caller: 127.0.0.1:34001
  readiness: 127.0.0.1:34002
  rpc: 127.0.0.1:34003
  metrics: 127.0.0.1:34004
  store: http://127.0.0.1:34090
)";
  const TemporaryFolder folder("settings_admission");
  const auto plain = LoadSettings(folder.Write("plain.yaml", dispatcher));
  cr_assert(plain.has_value());
  cr_assert_not(plain->dispatcher->admission.late.enabled);
  const auto late = LoadSettings(folder.Write(
      "late.yaml", dispatcher + "  admission:\n    late: {enabled: true, horizon_ms: 700}\n"));
  cr_assert(late.has_value());
  cr_assert(late->dispatcher->admission.late.enabled);
  cr_assert_eq(late->dispatcher->admission.late.horizon.count(), 700);
  const std::string message =
      MessageFor(dispatcher + "  admission:\n    late: {min_spare_share: 1.5}\n");
  AssertReports(message, "min_spare_share");
  cr_assert_not(plain->dispatcher->admission.displacement.enabled);
  const auto displacement = LoadSettings(folder.Write(
      "displacement.yaml",
      dispatcher + "  admission:\n    displacement: {enabled: true, queue_floor: 0.7}\n"));
  cr_assert(displacement.has_value());
  cr_assert(displacement->dispatcher->admission.displacement.enabled);
  cr_assert_eq(displacement->dispatcher->admission.displacement.queue_floor, 0.7);
  AssertReports(MessageFor(dispatcher + "  admission:\n    displacement: {short_share: 0}\n"),
                "short_share");
}

// Guards against limits that are lost, and against defaults that an ordinary client could meet.
Test(settings, reads_limits_of_input) {
  const std::string dispatcher = R"(version: 1
dispatcher:
  id: dispatcher-1
  availability_zone: oslo
  caller: 127.0.0.1:34001
  readiness: 127.0.0.1:34002
  rpc: 127.0.0.1:34003
  metrics: 127.0.0.1:34004
  store: http://127.0.0.1:34090
)";
  const TemporaryFolder folder("settings_limits");
  const auto defaults = LoadSettings(folder.Write("defaults.yaml", dispatcher));
  cr_assert(defaults.has_value());
  cr_assert(!defaults->dispatcher->limits.max_input_bytes.has_value());
  cr_assert(!defaults->dispatcher->limits.max_work_bytes.has_value());
  cr_assert_geq(defaults->dispatcher->limits.connection.max_head_bytes, 8192U);
  const auto set = LoadSettings(folder.Write(
      "set.yaml", dispatcher + "  limits:\n    max_input_bytes: 8388608\n    max_connections: 100\n"
                               "    max_work_bytes: 9000000\n"
                               "    max_head_bytes: 16384\n    max_fields: 64\n"
                               "    max_chunk_overhead_bytes: 65536\n    stall_ms: 2000\n"));
  cr_assert(set.has_value());
  const auto& limits = set->dispatcher->limits;
  cr_assert_eq(limits.max_input_bytes.value(), 8'388'608U);
  cr_assert_eq(limits.max_work_bytes.value(), 9'000'000U);
  cr_assert_eq(limits.max_connections.value(), 100U);
  cr_assert_eq(limits.connection.max_head_bytes, 16'384U);
  cr_assert_eq(limits.connection.max_fields, 64U);
  cr_assert_eq(limits.connection.max_chunk_overhead_bytes, 65'536U);
  cr_assert_eq(limits.stall_limit.count(), 2000);
  AssertReports(MessageFor(dispatcher + "  limits:\n    max_input_bytes: 1000\n"),
                "max_input_bytes");
  AssertReports(MessageFor(dispatcher + "  limits:\n    max_work_bytes: 8388607\n"),
                "max_work_bytes");
  AssertReports(MessageFor(dispatcher + "  limits:\n    max_inputs: 1000\n"), "max_inputs");
}

// Guards against defaults that do not fit the smallest VMs: 120 MB and 3,075 descriptors.
Test(settings, default_limits_follow_memory_and_descriptors) {
  using zinniamux::adapters::MaxConnections;
  using zinniamux::adapters::MaxInputBytes;
  using zinniamux::adapters::MaxWorkBytes;
  cr_assert_eq(MaxInputBytes(120'000'000), 15'000'000U);
  cr_assert_eq(MaxInputBytes(0), 8U << 20U);
  cr_assert_eq(MaxWorkBytes(120'000'000), 15'000'000U);
  cr_assert_eq(MaxWorkBytes(0), 8U << 20U);
  cr_assert_eq(MaxWorkBytes(32'000'000'000), 64U << 20U);
  cr_assert_eq(MaxInputBytes(32'000'000'000), 64U << 20U);
  cr_assert_eq(MaxConnections(3075), 2563U);
  cr_assert_eq(MaxConnections(256), 128U);
  cr_assert_eq(MaxConnections(1'000'000), 4096U);
}

// Guards against a deployment without a spread factor in which the dispatcher does not start, or in
// which tasks wait for racks.
Test(settings, takes_an_empty_spread_factor_for_none) {
  constexpr const char* kDispatcher = R"(version: 1
dispatcher:
  id: dispatcher-1
  availability_zone: oslo
  caller: 127.0.0.1:34001
  readiness: 127.0.0.1:34002
  rpc: 127.0.0.1:34003
  metrics: 127.0.0.1:34004
  store: http://127.0.0.1:34090
  bounds:
    spread_factor: )";
  const TemporaryFolder folder("settings");
  const std::string empty = folder.Write("empty.yaml", std::string(kDispatcher) + "\n");
  const std::string set = folder.Write("set.yaml", std::string(kDispatcher) + "1.5\n");
  cr_assert_eq(LoadSettings(empty)->dispatcher->bounds.spread_factor, 0);
  cr_assert_eq(LoadSettings(set)->dispatcher->bounds.spread_factor, 1.5);
  AssertReports(MessageFor(std::string(kDispatcher) + "0.5\n"), "spread_factor");
}
