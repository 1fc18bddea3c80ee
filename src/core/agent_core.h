// The decisions of one agent: which dispatches it accepts, and whom it tells what.
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
  // Outcomes sent in Results messages, and those among them that were sent again.
  std::uint64_t outcomes_sent = 0;
  std::uint64_t outcomes_resent = 0;
  std::uint64_t result_messages = 0;
};

// The only door to one executor. Not thread-safe: the caller holds the agent's lock.
//
// Outcomes are sent to the owner and kept until it has acknowledged them. An acknowledgement names
// tasks (OnResultAck), or is cumulative: the owner echoes the time stamp of the last message of the
// stream that it processed (OnAcknowledged). Messages of one stream are processed in order, so
// everything stamped earlier has arrived. This needs no message of its own.
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
  // Everything that a new owner has to know about starts on this agent.
  std::vector<TaskOutcome> LedgerRecords() const { return ledger_.Records(); }

  void OnDispatch(std::string_view entry_id, DispatchOrder order);
  // Answered like Reconcile, so that the owner learns whether the task had started.
  void OnRevoke(std::string_view entry_id, std::uint64_t epoch, std::span<const TaskKey> tasks);
  void OnReconcile(std::string_view entry_id, std::uint64_t epoch, std::span<const TaskKey> tasks);
  void OnFence(std::string_view entry_id, std::uint64_t epoch);
  void OnTaskEnded(TaskOutcome outcome);
  void OnTimer();

  // A stream to the entry is open (again). Sends unacknowledged outcomes if it is the owner.
  void OnAttached(std::string_view entry_id);
  void OnResultAck(std::string_view entry_id, std::span<const TaskKey> tasks);
  // The entry has processed every message of its current stream stamped earlier than `agent_time`.
  void OnAcknowledged(std::string_view entry_id, std::chrono::milliseconds agent_time);

  // Any message arrived from the entry.
  void OnEntryHeard(std::string_view entry_id);
  // The live entries, as one entry reports them. An entry leaves the agent's roster only when a
  // reporter that had named it no longer does: absence from the list of an entry that never knew it
  // proves nothing. A reporter with a new incarnation has no earlier list.
  void OnRoster(std::string_view reporter, std::uint64_t incarnation,
                std::span<const std::string> entry_ids);
  // Whether the shard's row must be read now: some entry of the roster is silent and the last read
  // began a while ago.
  bool WantsShardRow() const;
  void OnShardRowRequested();
  // The row was read with this epoch; the read began at `requested_at`.
  void OnShardRow(std::uint64_t epoch, TimePoint requested_at);

  void OnExecutorStatus(const ExecutorStatus& status);
  // The executor announced itself. Once it is leaving, it takes work again only under a new id or
  // with an explicit `leaving` of false; an announcement that was sent before the leave and arrives
  // after it changes nothing.
  void OnAnnounce(ExecutorStatus status, std::optional<bool> leaving);
  void OnExecutorLeave();
  // The executor is not reachable or no longer announces itself.
  void OnExecutorLost();
  // An operator's request.
  void SetDraining(bool draining);
  // The process stops: no new work from now on.
  void BeginShutdown();

  // The actions since the last call, in order. Their messages are stamped with sent_time().
  std::vector<AgentAction> TakeActions();
  std::chrono::milliseconds sent_time() const { return sent_time_; }
  std::chrono::milliseconds AgentTime() const;

  std::size_t running_tasks() const { return running_tasks_; }
  std::size_t unacknowledged() const { return unacknowledged_.size(); }
  const StartLedger& ledger() const { return ledger_; }
  const ExecutorStatus& executor() const { return executor_; }
  // As the entries see it: with drain and shutdown, and at most one slot per connection.
  ExecutorStatus EffectiveStatus() const;
  const AgentCounters& counters() const { return counters_; }
  const std::set<std::string, std::less<>>& roster() const { return roster_; }
  std::uint64_t epoch() const { return epoch_; }
  std::uint64_t config_version() const { return config_version_; }
  bool IsAuthorised(std::uint64_t epoch) const;

 private:
  // Tasks of one job on this agent.
  struct LocalJob {
    std::size_t running = 0;
    std::chrono::milliseconds hold{0};
    std::vector<TaskKey> held;
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

  // False, with an answer to the sender, if the epoch is stale; otherwise adopts epoch and owner.
  bool AdoptEpoch(std::string_view entry_id, std::uint64_t epoch);
  void AdoptOwner(std::string_view entry_id);
  // Removes tasks that have a record from the order and answers for them.
  void RefuseKnownTasks(std::string_view entry_id, DispatchOrder& order);
  std::optional<RefusalReason> RefusalFor(const DispatchOrder& order) const;
  void Refuse(std::string_view entry_id, std::vector<TaskKey> tasks, RefusalReason reason);
  bool SomeEntrySilentFor(Duration limit) const;
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
  std::unordered_map<std::string, LocalJob> jobs_;
  // Ended tasks whose outcome the owner has not acknowledged.
  std::unordered_set<TaskKey, TaskKeyHash> unacknowledged_;
  // Outcomes in the actions not yet taken, and those sent to the current owner on its current
  // stream, by time.
  std::vector<TaskKey> unstamped_;
  std::deque<SentOutcome> in_flight_;
  std::chrono::milliseconds sent_time_{0};

  std::set<std::string, std::less<>> roster_;
  std::map<std::string, RosterReport, std::less<>> roster_reports_;
  std::map<std::string, TimePoint, std::less<>> last_heard_;
  std::optional<TimePoint> row_requested_at_;
  std::optional<TimePoint> row_read_at_;
  std::uint64_t row_epoch_ = 0;

  AgentCounters counters_;
  std::vector<AgentAction> actions_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_AGENT_CORE_H_
