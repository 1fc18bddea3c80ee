// Decision logic of the agent: accepts or refuses dispatches and delivers task outcomes.
#ifndef ZINNIAMUX_CORE_AGENT_CORE_H_
#define ZINNIAMUX_CORE_AGENT_CORE_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/agent_action.h"
#include "core/clock.h"
#include "core/dispatch_order.h"
#include "core/executor_info.h"
#include "core/start_ledger.h"

namespace zinniamux::core {

inline constexpr std::size_t kRefusalReasonCount =
    static_cast<std::size_t>(RefusalReason::kRevoked) + 1;

// Totals since the start of the process.
struct AgentCounters {
  std::uint64_t starts = 0;
  // Refused dispatches by RefusalReason.
  std::array<std::uint64_t, kRefusalReasonCount> refusals{};
  // Outcomes sent in Results messages, and how many of them were retransmissions.
  std::uint64_t outcomes_sent = 0;
  std::uint64_t outcomes_resent = 0;
  std::uint64_t result_messages = 0;
};

// Controls every task start at one executor. Not thread-safe: the caller holds the agent's lock.
//
// Outcomes are sent to the owner and kept until it has acknowledged them. An acknowledgement names
// tasks (OnResultAck), or is cumulative: the owner echoes the time stamp of the last message of the
// stream that it processed (OnAcknowledged). Messages of one stream are processed in order, so
// everything stamped earlier has arrived, and no separate acknowledgement message is needed.
class AgentCore {
 public:
  struct Options {
    std::string agent_id;
    std::uint64_t incarnation = 0;
    std::uint32_t shard = 0;
    std::string availability_zone;
    std::string rack;
    std::chrono::milliseconds isolation_limit{10'000};
    StartLedger::Limits ledger_limits;
  };

  AgentCore(Options options, const Clock& clock);

  AgentHello Hello() const;
  // All start records, as a new owner needs them.
  std::vector<TaskOutcome> LedgerRecords() const { return ledger_.Records(); }

  void OnDispatch(std::string_view entry_id, DispatchOrder order);
  // Answered like Reconcile, so that the owner learns whether each task had started.
  void OnRevoke(std::string_view entry_id, std::uint64_t epoch, std::span<const TaskKey> tasks);
  void OnReconcile(std::string_view entry_id, std::uint64_t epoch, std::span<const TaskKey> tasks);
  void OnFence(std::string_view entry_id, std::uint64_t epoch);
  void OnTaskEnded(TaskOutcome outcome);
  void OnTimer();

  // A stream to the entry was opened or reopened. Sends unacknowledged outcomes if it is the owner.
  void OnAttached(std::string_view entry_id);
  void OnResultAck(std::string_view entry_id, std::span<const TaskKey> tasks);
  // The entry has processed every message of its current stream stamped earlier than `agent_time`.
  void OnAcknowledged(std::string_view entry_id, std::chrono::milliseconds agent_time);

  // Any message arrived from the entry.
  void OnEntryHeard(std::string_view entry_id);
  // The live entries according to one reporting entry. An entry is removed from the agent's roster
  // only when a reporter that listed it before no longer does; a reporter that never listed it may
  // not know it. Reports of different incarnations of a reporter are not compared.
  void OnRoster(std::string_view reporter, std::uint64_t incarnation,
                std::span<const std::string> entry_ids);
  // Whether to read the shard row now: an entry of the roster is silent, and no read was requested
  // recently.
  bool WantsShardRow() const;
  void OnShardRowRequested();
  // The shard row was read and holds this epoch; the read began at `requested_at`.
  void OnShardRow(std::uint64_t epoch, TimePoint requested_at);

  void OnExecutorStatus(const ExecutorStatus& status);
  // The executor announced itself. A leaving executor accepts work again only under a new id or
  // with an explicit `leaving` of false, so that a delayed announcement from before the leave has
  // no effect.
  void OnAnnounce(ExecutorStatus status, std::optional<bool> leaving);
  void OnExecutorLeave();
  // The executor is not reachable or no longer announces itself.
  void OnExecutorLost();
  // An operator requested or ended the drain.
  void SetDraining(bool draining);
  // The process is shutting down: new work is refused from now on.
  void BeginShutdown();

  // The actions since the last call, in order. Their messages are stamped with sent_time().
  std::vector<AgentAction> TakeActions();
  std::chrono::milliseconds sent_time() const { return sent_time_; }
  std::chrono::milliseconds AgentTime() const;

  std::size_t running_tasks() const { return running_tasks_; }
  std::size_t unacknowledged() const { return unacknowledged_.size(); }
  const StartLedger& ledger() const { return ledger_; }
  const ExecutorStatus& executor() const { return executor_; }
  // The status reported to entries: includes drain and shutdown, at most one slot per connection.
  ExecutorStatus EffectiveStatus() const;
  const AgentCounters& counters() const { return counters_; }
  const std::set<std::string, std::less<>>& roster() const { return roster_; }
  std::uint64_t epoch() const { return epoch_; }
  std::uint64_t config_version() const { return config_version_; }
  bool IsAuthorised(std::uint64_t epoch) const;

 private:
  // The tasks of one job that run on this agent, and their unsent outcomes.
  struct LocalJob {
    std::size_t running = 0;
    std::chrono::milliseconds result_hold{0};
    // Outcomes held until `flush_at`, to be sent in one message.
    std::vector<TaskKey> held_outcomes;
    TimePoint flush_at;
  };
  struct SentOutcome {
    TaskKey key;
    std::chrono::milliseconds sent_time;
  };
  struct RosterReport {
    std::uint64_t incarnation = 0;
    std::set<std::string, std::less<>> entry_ids;
  };

  // Returns false if the epoch is stale; otherwise adopts the epoch and its owner.
  bool AdoptEpoch(std::string_view entry_id, std::uint64_t epoch);
  void AdoptOwner(std::string_view entry_id);
  // Removes the tasks that have a record from the order, refuses them, and sends the outcomes of
  // those that have ended.
  void RefuseKnownTasks(std::string_view entry_id, DispatchOrder& order);
  std::optional<RefusalReason> RefusalReasonFor(const DispatchOrder& order) const;
  void Refuse(std::string_view entry_id, std::vector<TaskKey> tasks, RefusalReason reason);
  bool IsAnyEntrySilentFor(Duration limit) const;
  void UpdateExecutor(const ExecutorStatus& status, bool draining, bool stopping);
  void FlushJob(const std::string& submission_id);
  void SendOutcomes(std::span<const TaskKey> keys);
  void ResendUnacknowledged();

  const Options options_;
  const Clock& clock_;
  StartLedger ledger_;
  ExecutorStatus executor_;
  bool draining_ = false;
  bool stopping_ = false;
  // The entry with the highest epoch; results go there.
  std::string owner_id_;
  // Highest values seen; they never decrease.
  std::uint64_t epoch_ = 0;
  std::uint64_t config_version_ = 0;
  std::chrono::milliseconds longest_retention_;
  std::size_t running_tasks_ = 0;
  // By submission id.
  std::unordered_map<std::string, LocalJob> jobs_;
  // Ended tasks whose outcome the owner has not acknowledged.
  std::unordered_set<TaskKey, TaskKeyHash> unacknowledged_;
  // Outcomes in the actions not yet taken, which have no time stamp yet.
  std::vector<TaskKey> unsent_outcomes_;
  // Outcomes sent to the current owner on its current stream, by time stamp.
  std::deque<SentOutcome> in_flight_outcomes_;
  std::chrono::milliseconds sent_time_{0};

  std::set<std::string, std::less<>> roster_;
  std::map<std::string, RosterReport, std::less<>> last_roster_reports_;
  std::map<std::string, TimePoint, std::less<>> last_heard_;
  std::optional<TimePoint> row_requested_at_;
  // The last successful read of the shard row: when it began, and the epoch that it returned.
  std::optional<TimePoint> row_read_began_at_;
  std::uint64_t row_epoch_ = 0;

  AgentCounters counters_;
  std::vector<AgentAction> actions_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_AGENT_CORE_H_
