// The daemon's settings, read from a YAML file at start. See docs/OPERATIONS.md for every key.
#ifndef ZINNIAMUX_ADAPTERS_SETTINGS_H_
#define ZINNIAMUX_ADAPTERS_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "adapters/input_limits.h"
#include "adapters/json_log.h"
#include "adapters/listen_address.h"
#include "core/displacement_admission.h"
#include "core/error_kind.h"
#include "core/late_admission.h"
#include "core/run_end_budget.h"

namespace zinniamux::adapters {

// Bounds on what an entry accepts and keeps.
struct EntryLimits {
  // Body of a submission or a configuration.
  std::size_t max_body_bytes = 1U << 20U;
  // Decisions kept for `explain`.
  std::size_t max_explain_bytes = 16U << 20U;
};

// Settings of the entry role.
struct EntrySettings {
  std::string id;
  std::string availability_zone;
  ListenAddress caller;
  ListenAddress admin;
  ListenAddress rpc;
  // host:port under which other processes reach `rpc`; empty if it is the same address.
  std::string rpc_advertised;
  // rpc addresses (host:port) of the other entries known at start.
  std::vector<std::string> peers;
  // Base URL of the platform's service.
  std::string store_url;
  std::uint32_t shards = 1;
  std::chrono::milliseconds drain_notice{2000};
  // Threads of the caller port.
  std::uint32_t threads = 2;
  EntryLimits limits;
};

// Settings of the agent role.
struct AgentSettings {
  std::string id;
  std::string availability_zone;
  std::string rack;
  std::uint32_t shard = 0;
  // Where the executor announces itself, and the admin endpoints.
  ListenAddress local;
  // rpc addresses (host:port) of the entries known at start.
  std::vector<std::string> entries;
  std::string store_url;
  std::chrono::milliseconds isolation_limit{10'000};
};

struct LogSettings {
  std::string file;
  std::string level = "info";
  // Lines that may wait for the log's thread.
  std::size_t queue_lines = 8192;
};

// Times that the deployment guarantees or asks for; both leased roles need them.
struct LeaseBounds {
  // Longest lease that executors grant.
  std::chrono::milliseconds lease{1000};
  // Executors end a stopped run within this time.
  std::chrono::milliseconds stop_time{50};
  // A caller without an answer repeats its job after this time.
  std::chrono::milliseconds retransmit{1300};
  // Run time of a task away from the rack of its data, or of a step's tasks in several racks,
  // divided by the one in the rack. 0: not stated, and no task waits for a rack.
  double spread_factor = 0;
  // A process is killed this long after SIGTERM.
  std::chrono::milliseconds grace{6000};
  // Nothing starts in an evacuated zone later than this after the store has acknowledged its row.
  // Unset if zones are not evacuated: the rows are not read then.
  std::optional<std::chrono::milliseconds> evacuate;
  // Derived from the times above.
  core::RunEndBudget run_ends;
};

// Which jobs a dispatcher accepts when room is short.
struct AdmissionSettings {
  core::LateAdmission::Options late;
  core::DisplacementAdmission::Options displacement;
};

// Settings of the dispatcher role: an entry of a deployment with leased execution.
struct DispatcherSettings {
  std::string id;
  std::string availability_zone;
  ListenAddress caller;
  // Where the load balancer asks for readiness.
  ListenAddress readiness;
  // Where supervisors connect.
  ListenAddress rpc;
  ListenAddress metrics;
  std::string store_url;
  LeaseBounds bounds;
  AdmissionSettings admission;
  InputLimits limits;
};

// Settings of the supervisor role: the agent beside an executor that runs tasks under leases.
struct SupervisorSettings {
  std::string id;
  std::string availability_zone;
  // Where the executor announces itself.
  ListenAddress local;
  ListenAddress metrics;
  // host:port at which the executor takes calls, and the service that it must belong to.
  std::string executor;
  std::string service;
  std::string store_url;
  LeaseBounds bounds;
  InputLimits limits;
};

// Invariant: exactly one of `entry` and `agent` is set.
struct Settings {
  std::optional<EntrySettings> entry;
  std::optional<AgentSettings> agent;
  std::optional<DispatcherSettings> dispatcher;
  std::optional<SupervisorSettings> supervisor;
  LogSettings log;
};

// Reads and checks a settings file. The error lists every problem, one per line, each with file,
// line, key, value seen and what is allowed.
core::Result<Settings> LoadSettings(const std::string& path);

// The id in the settings of the role.
std::string ProcessId(const Settings& settings);

// The options of the process's log.
JsonLog::Options LogOptions(const Settings& settings);

}  // namespace zinniamux::adapters

#endif  // ZINNIAMUX_ADAPTERS_SETTINGS_H_
