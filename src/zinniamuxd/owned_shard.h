// A shard that this entry owns, for the duration of one epoch.
#ifndef ZINNIAMUX_ZINNIAMUXD_OWNED_SHARD_H_
#define ZINNIAMUX_ZINNIAMUXD_OWNED_SHARD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/shard_dispatcher.h"
#include "core/table_store.h"
#include "zinniamux.pb.h"
#include "zinniamuxd/agent_registry.h"
#include "zinniamuxd/claim_service.h"
#include "zinniamuxd/shard_runtime.h"

namespace zinniamux::daemon {

// Reads the shard's agents from the table, then runs a dispatcher until Close. Thread-safe. Create
// with std::make_shared, because store callbacks may run after its creator has released it.
class OwnedShard : public std::enable_shared_from_this<OwnedShard> {
 public:
  struct Options {
    std::uint32_t shard = 0;
    std::uint64_t epoch = 0;
    // Version of the shard row that names this owner; every write of the owner is conditional on
    // it.
    std::uint64_t row_version = 0;
    // The entry's incarnation.
    std::uint64_t incarnation = 0;
    // The entry's own availability zone; placement prefers it among otherwise equal agents.
    std::string availability_zone;
  };

  // Hooks must not block. `on_action` runs under the shard's lock.
  struct Hooks {
    // Gets decisions and other actions that involve neither agents nor the table.
    std::function<void(core::DispatcherAction)> on_action;
    // Returns the configuration in force, if any.
    std::function<std::optional<core::DispatchConfig>()> current_config;
    // The shard accepts requests from now on.
    std::function<void()> on_running;
    // The table has a newer version of the shard row, so there is a newer epoch.
    std::function<void()> on_row_outdated;
    // An agent reported a newer epoch.
    std::function<void(std::uint64_t epoch)> on_epoch_seen;
    // Gets a message for the log.
    std::function<void(const std::string&)> on_problem;
  };

  OwnedShard(const Options& options, Hooks hooks, core::TableStore& store, AgentRegistry& agents,
             const core::Clock& clock);

  void Start();
  // See ShardRuntime::Close. Returns the jobs that have no final answer.
  std::vector<core::Submission> Close();
  void OnTimer();

  bool running() const { return Runtime() != nullptr; }
  std::uint64_t epoch() const { return options_.epoch; }

  // The callback gets std::nullopt if the shard is not running.
  void Submit(core::Submission submission, core::Duration wait, ShardAnswerCallback callback);
  void Fetch(const std::string& submission_id, core::Duration wait, ShardAnswerCallback callback);
  void Cancel(const std::string& submission_id, const ShardAnswerCallback& callback);

  // Returns whether the shard is running and has a job with this id.
  bool HasJob(const std::string& submission_id) const;

  void OnAgentAttached(const std::string& agent_id);
  void OnAgentDetached(const std::string& agent_id);
  // Returns whether the message was applied.
  bool OnAgentMessage(const std::string& agent_id, v1::AgentMessage message);
  void OnConfig(const core::DispatchConfig& config);
  void OnOwnershipConfirmed(core::TimePoint confirmed_at);

  struct Stats {
    bool recovering = false;
    std::size_t queued_tasks = 0;
    std::size_t running_tasks = 0;
  };
  // std::nullopt if the shard is not running.
  std::optional<Stats> stats() const;
  std::size_t unfinished_jobs() const;
  // Slots in use by agent id; empty if the shard is not running.
  std::map<std::string, core::ShardDispatcher::AgentLoad> AgentLoads() const;

 private:
  struct DepartedLedger {
    core::AgentInstance instance;
    std::vector<core::TaskOutcome> records;
  };

  std::shared_ptr<ShardRuntime> Runtime() const;
  void ReadAgents();
  // Reads the final ledgers of expected instances that are not attached, then starts the
  // dispatcher.
  void ReadDepartedLedgers(const std::set<std::string>& expected_agents);
  void StartDispatcher(std::set<std::string> expected_agents, std::vector<DepartedLedger> departed);
  // Tries again to read the ledgers of instances that have not reported: they may have exited after
  // the takeover began.
  void RereadDepartedLedgers();
  void ReadDepartedLedger(const core::AgentInstance& instance,
                          std::function<void(std::optional<DepartedLedger>)> callback);
  void AttachKnownAgents();
  // Called under the shard's lock.
  void CarryOut(core::DispatcherAction action);
  void ApplyAgentMessage(core::ShardDispatcher& dispatcher, const std::string& agent_id,
                         v1::AgentMessage&& message) const;
  void SendAcknowledgements();
  void WriteAgents();

  const Options options_;
  const Hooks hooks_;
  core::TableStore& store_;
  AgentRegistry& agents_;
  const core::Clock& clock_;
  // Serialises attach and detach events with the registry look-up that they cause, so that the
  // dispatcher ends up with the registry's state.
  std::mutex attach_mutex_;
  mutable std::mutex mutex_;
  // Guarded by mutex_. The runtime is null until the agents row and the final ledgers have been
  // read, and after Close.
  std::shared_ptr<ShardRuntime> runtime_;
  std::shared_ptr<ClaimService> claims_;
  bool closed_ = false;
  std::optional<core::TimePoint> read_agents_at_;
  core::TimePoint acknowledge_at_;
  core::TimePoint reread_ledgers_at_;
  // Acknowledgements not yet sent, by agent.
  std::map<std::string, std::vector<core::TaskKey>> acknowledgements_;
  // The content to write to the agents row; unset while no write is waiting.
  std::optional<std::set<std::string>> agents_to_write_;
  bool writing_agents_ = false;
  core::TimePoint write_agents_at_;
};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_OWNED_SHARD_H_
