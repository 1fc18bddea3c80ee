// One shard that this entry owns, under one epoch.
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
// with std::make_shared: answers of the store may come after its end.
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
    // The entry's own zone; placement prefers it among equals.
    std::string availability_zone;
  };

  // Hooks must not block. `on_action` runs under the shard's lock.
  struct Hooks {
    // Decisions and other actions that concern neither agents nor the table.
    std::function<void(core::DispatcherAction)> on_action;
    // The configuration in force.
    std::function<std::optional<core::DispatchConfig>()> config;
    // The shard takes requests from now on.
    std::function<void()> on_running;
    // The table or an agent says that there is a newer epoch.
    std::function<void()> on_row_outdated;
    std::function<void(std::uint64_t epoch)> on_epoch_seen;
    std::function<void(const std::string&)> on_problem;
  };

  OwnedShard(const Options& options, Hooks hooks, core::TableStore& store, AgentRegistry& agents,
             const core::Clock& clock);

  void Start();
  // See ShardRuntime::Close. Returns the jobs without an answer.
  std::vector<core::Submission> Close();
  void OnTimer();

  bool running() const { return Runtime() != nullptr; }
  std::uint64_t epoch() const { return options_.epoch; }

  // The callback gets nothing if the shard is not running.
  void Submit(core::Submission submission, core::Duration wait, RouteCallback callback);
  void Fetch(const std::string& submission_id, core::Duration wait, RouteCallback callback);
  void Cancel(const std::string& submission_id, const RouteCallback& callback);

  // The shard has a job of this id.
  bool Knows(const std::string& submission_id) const;

  void OnAgentAttached(const std::string& agent_id);
  void OnAgentDetached(const std::string& agent_id);
  // Returns whether the message was applied.
  bool OnAgentMessage(const std::string& agent_id, v1::AgentMessage message);
  void OnConfig(const core::DispatchConfig& config);
  void OnOwnershipConfirmed(core::TimePoint confirmed_at);

  struct Figures {
    bool recovering = false;
    std::size_t queued_tasks = 0;
    std::size_t running_tasks = 0;
  };
  // Nothing if the shard is not running.
  std::optional<Figures> figures() const;
  std::size_t unfinished() const;
  // Slots in use by agent id; empty if the shard is not running.
  std::map<std::string, core::ShardDispatcher::AgentLoad> AgentLoads() const;

 private:
  struct DepartedLedger {
    core::AgentInstance instance;
    std::vector<core::TaskOutcome> records;
  };

  std::shared_ptr<ShardRuntime> Runtime() const;
  void ReadAgents();
  // Reads the final ledgers of expected instances that are not attached, then runs the shard.
  void ReadDepartedLedgers(const std::set<std::string>& expected_agents);
  void Run(std::set<std::string> expected_agents, std::vector<DepartedLedger> departed);
  // Looks again for ledgers of instances that left after the takeover began.
  void RereadDepartedLedgers();
  void ReadDepartedLedger(const core::AgentInstance& instance,
                          std::function<void(std::optional<DepartedLedger>)> callback);
  void AttachKnownAgents();
  // Under the shard's lock.
  void CarryOut(core::DispatcherAction action);
  void Apply(core::ShardDispatcher& dispatcher, const std::string& agent_id,
             v1::AgentMessage&& message) const;
  void SendAcknowledgements();
  void WriteAgents();

  const Options options_;
  const Hooks hooks_;
  core::TableStore& store_;
  AgentRegistry& agents_;
  const core::Clock& clock_;
  // Serialises attach and detach events with the look-up of who is attached, so that the dispatcher
  // ends up with the registry's state.
  std::mutex attach_mutex_;
  mutable std::mutex mutex_;
  // Guarded by mutex_. The runtime is unset before the agents row was read and after Close.
  std::shared_ptr<ShardRuntime> runtime_;
  std::shared_ptr<ClaimService> claims_;
  bool closed_ = false;
  std::optional<core::TimePoint> read_agents_at_;
  core::TimePoint acknowledge_at_;
  core::TimePoint reread_ledgers_at_;
  // Acknowledgements not yet sent, by agent.
  std::map<std::string, std::vector<core::TaskKey>> acknowledgements_;
  // The content that the agents row should get; unset once it was written.
  std::optional<std::set<std::string>> agents_to_write_;
  bool writing_agents_ = false;
  core::TimePoint write_agents_at_;
};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_OWNED_SHARD_H_
