// The part of the published configuration that controls dispatching.
#ifndef ZINNIAMUX_CORE_DISPATCH_CONFIG_H_
#define ZINNIAMUX_CORE_DISPATCH_CONFIG_H_

#include <cstdint>
#include <map>
#include <string>

#include "core/clock.h"

namespace zinniamux::core {

// Limits of one team. Zero means unlimited.
struct TeamConfig {
  double weight = 1.0;
  std::uint32_t max_queued_tasks = 0;
  std::uint32_t max_running_tasks = 0;

  bool operator==(const TeamConfig&) const = default;
};

// One job kind, as its job file declares it.
struct JobConfig {
  std::string team;
  bool idempotent = true;
  // Initial estimate for submissions that declare no run time.
  std::chrono::milliseconds run_time{100};
  // A task is abandoned after this time; its outcome is then unknown.
  std::chrono::milliseconds time_limit{30'000};
  std::uint32_t max_tasks = 500;
  std::uint32_t memory_mb = 0;

  bool operator==(const JobConfig&) const = default;
};

enum class JobOrder { kFifo, kLeastRemaining };

enum class PlacementPolicyKind { kLateBinding, kRandom, kRoundRobin, kLeastLoaded };

struct PolicyConfig {
  PlacementPolicyKind placement = PlacementPolicyKind::kLateBinding;
  JobOrder job_order = JobOrder::kFifo;
  // How long an agent may delay a result to send it together with others of the same job.
  std::chrono::milliseconds result_hold{0};
  // A job fails if none of its tasks was dispatched within this time after its arrival.
  std::chrono::milliseconds queue_time_limit{30'000};
  // Answers and start records are kept this long after a job's end.
  std::chrono::milliseconds retention{60'000};
  // A submission with a later deadline is refused. A new owner waits at least this long for agents
  // that it cannot reach, so a large value prolongs recovery.
  std::chrono::milliseconds max_deadline{60'000};

  bool operator==(const PolicyConfig&) const = default;
};

// A complete configuration. Invariant: `version` never decreases within a process.
struct DispatchConfig {
  std::uint64_t version = 0;
  std::map<std::string, TeamConfig> teams;
  std::map<std::string, JobConfig> jobs;
  PolicyConfig policy;

  bool operator==(const DispatchConfig&) const = default;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_DISPATCH_CONFIG_H_
