// AgentCore: acceptance, fencing, isolation, and delivery of outcomes.
#include "core/agent_core.h"

#include <criterion/criterion.h>

#include <algorithm>

namespace {

using namespace zinniamux::core;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kEpoch = 5;

// An agent attached to one entry, with an executor of 4 slots.
class Fixture {
 public:
  explicit Fixture(StartLedger::Limits limits = {})
      : core_({.agent_id = "agent-1", .incarnation = 7, .ledger_limits = limits}, clock_) {
    AttachEntry("entry-1");
    core_.OnAnnounce(Executor("executor-1"), std::nullopt);
    core_.TakeActions();
  }

  static ExecutorStatus Executor(std::string id) {
    return {.executor_id = std::move(id), .available = true, .slots = 4, .connections = 4};
  }

  void AttachEntry(const std::string& entry, const std::vector<std::string>& roster = {}) {
    core_.OnEntryHeard(entry);
    core_.OnRoster(entry, 1, roster);
    core_.OnAttached(entry);
  }

  DispatchOrder Order(const std::string& id, const std::vector<std::uint32_t>& indices,
                      milliseconds hold = milliseconds(0)) const {
    DispatchOrder order{.epoch = kEpoch,
                        .config_version = 3,
                        .submission_id = id,
                        .start_by = core_.AgentTime() + milliseconds(1000),
                        .result_hold = hold,
                        .retention = milliseconds(60'000)};
    for (const std::uint32_t index : indices) order.tasks.push_back({.task_index = index});
    return order;
  }

  // The reason of the refusal of a dispatch, if it is refused.
  std::optional<RefusalReason> Dispatch(DispatchOrder order, const std::string& entry = "entry-1") {
    core_.OnDispatch(entry, std::move(order));
    std::optional<RefusalReason> reason;
    for (const SendRefusal& refusal : TakeActionsOf<SendRefusal>()) reason = refusal.reason;
    return reason;
  }

  void Finish(const TaskKey& key, std::string result = "done") {
    core_.OnTaskEnded({.key = key, .state = TaskState::kFinished, .result = std::move(result)});
  }

  // Takes the actions and returns those of one type.
  template <typename Action>
  std::vector<Action> TakeActionsOf() {
    std::vector<Action> found;
    for (AgentAction& action : core_.TakeActions()) {
      if (auto* item = std::get_if<Action>(&action)) found.push_back(std::move(*item));
    }
    return found;
  }

  ManualClock clock_;
  AgentCore core_;
};

}  // namespace

// Guards against a paused owner that starts tasks after another entry took the shard over.
Test(agent_core, refuses_a_lower_epoch_in_every_message) {
  Fixture agent;
  agent.core_.OnFence("entry-2", kEpoch + 1);
  agent.TakeActionsOf<SendFenceReply>();
  cr_assert(agent.Dispatch(agent.Order("order-1", {0})) == RefusalReason::kStaleEpoch);
  const std::vector<TaskKey> tasks{{"order-1", 0}};
  agent.core_.OnRevoke("entry-1", kEpoch, tasks);
  agent.core_.OnReconcile("entry-1", kEpoch, tasks);
  cr_assert(agent.core_.ledger().size() == 0, "a stale owner changed the ledger");
  for (const SendRefusal& refusal : agent.TakeActionsOf<SendRefusal>()) {
    cr_assert(refusal.tasks.empty() && refusal.epoch == kEpoch + 1);
  }
  agent.core_.OnFence("entry-1", kEpoch);
  const auto replies = agent.TakeActionsOf<SendFenceReply>();
  cr_assert(replies.size() == 1 && !replies[0].accepted && replies[0].epoch == kEpoch + 1);
}

// Guards against an owner that dispatches with a configuration older than one the agent has seen.
Test(agent_core, refuses_a_lower_configuration_version) {
  Fixture agent;
  cr_assert(!agent.Dispatch(agent.Order("order-1", {0})));
  DispatchOrder older = agent.Order("order-2", {0});
  older.config_version = 2;
  cr_assert(agent.Dispatch(older) == RefusalReason::kStaleConfig);
}

// Guards against a delayed message that starts a task after its owner gave it up.
Test(agent_core, refuses_a_dispatch_after_its_start_by_time) {
  Fixture agent;
  const DispatchOrder order = agent.Order("order-1", {0});
  agent.clock_.Advance(milliseconds(1001));
  cr_assert(agent.Dispatch(order) == RefusalReason::kLate);
}

// Guards against a refusal reason that lets the owner place a task elsewhere although it has
// started on this agent.
Test(agent_core, refuses_a_started_task_before_any_other_reason) {
  Fixture agent;
  cr_assert(!agent.Dispatch(agent.Order("order-1", {0})));
  agent.core_.SetDraining(true);
  agent.core_.OnDispatch("entry-1", agent.Order("order-1", {0, 1}));
  const auto refusals = agent.TakeActionsOf<SendRefusal>();
  cr_assert(refusals.size() == 2);
  cr_assert(refusals[0].reason == RefusalReason::kAlreadyStarted && refusals[0].tasks.size() == 1);
  cr_assert(refusals[1].reason == RefusalReason::kLeaving && refusals[1].tasks[0].task_index == 1);
}

// Guards against more running tasks than announced connections, and against a full ledger that
// drops records instead of refusing starts.
Test(agent_core, refuses_beyond_slots_connections_and_ledger) {
  Fixture agent({.max_records = 3});
  ExecutorStatus fewer_connections = Fixture::Executor("executor-1");
  fewer_connections.connections = 2;
  agent.core_.OnAnnounce(fewer_connections, std::nullopt);
  cr_assert(agent.core_.Hello().executor.slots == 2);
  cr_assert(agent.Dispatch(agent.Order("order-1", {0, 1, 2})) == RefusalReason::kNoSlot);
  cr_assert(!agent.Dispatch(agent.Order("order-1", {0, 1})));
  agent.Finish({"order-1", 0});
  agent.Finish({"order-1", 1});
  cr_assert(agent.Dispatch(agent.Order("order-2", {0, 1})) == RefusalReason::kNoSlot);
  cr_assert(!agent.Dispatch(agent.Order("order-2", {0})));
}

// Guards against a slot that stays occupied after a refused connection, and against a task that is
// placed on this agent again before the entries know that the executor is down.
Test(agent_core, revokes_a_task_whose_connection_was_refused) {
  Fixture agent;
  cr_assert(!agent.Dispatch(agent.Order("order-1", {0})));
  agent.core_.OnTaskEnded({.key = {"order-1", 0}, .state = TaskState::kRevoked});
  cr_assert(agent.core_.running_tasks() == 0);
  const std::vector<AgentAction> actions = agent.core_.TakeActions();
  cr_assert(actions.size() == 2);
  cr_assert(!std::get<BroadcastStatus>(actions[0]).status.available);
  cr_assert(std::get<SendResults>(actions[1]).outcomes[0].state == TaskState::kRevoked);
}

// Guards against a dispatch that starts a task after a reconcile reported it as not started.
Test(agent_core, reconcile_revokes_tasks_that_have_not_started) {
  Fixture agent;
  cr_assert(!agent.Dispatch(agent.Order("order-1", {0})));
  const std::vector<TaskKey> tasks{{"order-1", 0}, {"order-1", 1}};
  agent.core_.OnReconcile("entry-1", kEpoch, tasks);
  const auto replies = agent.TakeActionsOf<SendReconcileReply>();
  cr_assert(replies.size() == 1 && replies[0].epoch == kEpoch);
  cr_assert(replies[0].outcomes[0].state == TaskState::kRunning);
  cr_assert(replies[0].outcomes[1].state == TaskState::kRevoked);
  cr_assert(agent.Dispatch(agent.Order("order-1", {1})) == RefusalReason::kRevoked);
}

// Guards against a fence reply that exceeds the message limit or omits records.
Test(agent_core, splits_a_large_fence_reply_into_parts) {
  Fixture agent;
  constexpr std::size_t kResultBytes = 300U << 10U;
  for (const std::uint32_t index : {0U, 1U, 2U}) {
    cr_assert(!agent.Dispatch(agent.Order("order-1", {index})));
    agent.Finish({"order-1", index}, std::string(kResultBytes, 'r'));
  }
  agent.core_.OnFence("entry-2", kEpoch + 1);
  const auto parts = agent.TakeActionsOf<SendFenceReply>();
  cr_assert(parts.size() == 3);
  for (const SendFenceReply& part : parts) {
    cr_assert(part.records.size() == 1);
    cr_assert(part.last_part == (&part == &parts.back()));
  }
}

// Guards against a lost answer when the stream breaks with a result in flight.
Test(agent_core, sends_outcomes_again_until_acknowledged) {
  Fixture agent;
  cr_assert(!agent.Dispatch(agent.Order("order-1", {0, 1})));
  agent.Finish({"order-1", 0});
  agent.Finish({"order-1", 1});
  cr_assert(agent.TakeActionsOf<SendResults>().size() == 2);
  agent.core_.OnAttached("entry-1");
  cr_assert(agent.TakeActionsOf<SendResults>()[0].outcomes.size() == 2);
  const std::vector<TaskKey> acknowledged{{"order-1", 0}};
  agent.core_.OnResultAck("entry-2", acknowledged);
  cr_assert(agent.core_.unacknowledged() == 2, "an entry that is not the owner acknowledged");
  agent.core_.OnResultAck("entry-1", acknowledged);
  agent.core_.OnAttached("entry-1");
  const auto resent = agent.TakeActionsOf<SendResults>();
  cr_assert(resent.size() == 1 && resent[0].outcomes.size() == 1);
  cr_assert(resent[0].outcomes[0].key.task_index == 1);
}

// Guards against an echoed time stamp that acknowledges a message with the same or a later stamp,
// or one sent to another owner.
Test(agent_core, echoed_time_stamp_acknowledges_earlier_messages_only) {
  Fixture agent;
  cr_assert(!agent.Dispatch(agent.Order("order-1", {0})));
  agent.Finish({"order-1", 0});
  agent.TakeActionsOf<SendResults>();
  const milliseconds sent = agent.core_.sent_time();
  agent.core_.OnAcknowledged("entry-1", sent);
  cr_assert(agent.core_.unacknowledged() == 1);
  agent.core_.OnFence("entry-2", kEpoch + 1);
  agent.clock_.Advance(seconds(1));
  agent.TakeActionsOf<SendFenceReply>();
  agent.core_.OnAcknowledged("entry-1", sent + seconds(2));
  agent.core_.OnAcknowledged("entry-2", sent + milliseconds(1));
  cr_assert(agent.core_.unacknowledged() == 1);
  agent.core_.OnAcknowledged("entry-2", sent + seconds(2));
  cr_assert(agent.core_.unacknowledged() == 0);
}

// Guards against a shutdown that completes because the previous owner acknowledged, before the new
// owner has the ledger.
Test(agent_core, new_owner_must_acknowledge_the_whole_ledger) {
  Fixture agent;
  cr_assert(!agent.Dispatch(agent.Order("order-1", {0})));
  agent.Finish({"order-1", 0});
  const std::vector<TaskKey> tasks{{"order-1", 0}};
  agent.core_.OnResultAck("entry-1", tasks);
  cr_assert(agent.core_.unacknowledged() == 0);
  agent.core_.OnFence("entry-2", kEpoch + 1);
  cr_assert(agent.core_.unacknowledged() == 1);
}

// Guards against one message per result where the job allows batching, and against a result that is
// held although no other result can follow.
Test(agent_core, batches_results_of_one_job) {
  Fixture agent;
  const milliseconds hold(20);
  cr_assert(!agent.Dispatch(agent.Order("order-1", {0, 1, 2}, hold)));
  agent.Finish({"order-1", 0});
  cr_assert(agent.TakeActionsOf<SendResults>().empty());
  agent.clock_.Advance(hold);
  agent.core_.OnTimer();
  cr_assert(agent.TakeActionsOf<SendResults>().size() == 1);
  agent.Finish({"order-1", 1});
  agent.Finish({"order-1", 2});
  const auto last = agent.TakeActionsOf<SendResults>();
  cr_assert(last.size() == 1 && last[0].outcomes.size() == 2);
}

// Guards against starts by an agent that is partitioned from an entry which may have taken over.
Test(agent_core, refuses_when_isolated) {
  Fixture agent;
  agent.AttachEntry("entry-1", {"entry-2"});
  cr_assert(agent.Dispatch(agent.Order("order-1", {0})) == RefusalReason::kNotAuthorised);
  agent.core_.OnEntryHeard("entry-2");
  cr_assert(!agent.Dispatch(agent.Order("order-1", {0})));
  for (int second = 0; second < 11; ++second) {
    agent.clock_.Advance(seconds(1));
    agent.core_.OnEntryHeard("entry-1");
  }
  cr_assert(agent.Dispatch(agent.Order("order-2", {0})) == RefusalReason::kNotAuthorised);
  agent.core_.OnShardRow(kEpoch, agent.clock_.now());
  cr_assert(!agent.Dispatch(agent.Order("order-2", {0})));
  agent.core_.OnShardRow(kEpoch + 1, agent.clock_.now());
  cr_assert(agent.Dispatch(agent.Order("order-3", {0})) == RefusalReason::kStaleEpoch);
}

// Guards against a shard row that authorises an owner which it does not name.
Test(agent_core, shard_row_authorises_its_own_epoch_only) {
  Fixture agent;
  agent.clock_.Advance(seconds(11));
  agent.core_.OnShardRow(kEpoch, agent.clock_.now());
  DispatchOrder newer = agent.Order("order-1", {0});
  newer.epoch = kEpoch + 1;
  cr_assert(agent.Dispatch(newer) == RefusalReason::kNotAuthorised);
}

// Guards against a shard row that authorises dispatches although its read began longer ago than the
// isolation limit.
Test(agent_core, shard_row_age_counts_from_the_start_of_the_read) {
  Fixture agent;
  const TimePoint requested = agent.clock_.now();
  agent.clock_.Advance(seconds(11));
  agent.core_.OnShardRow(kEpoch, requested);
  cr_assert(agent.Dispatch(agent.Order("order-1", {0})) == RefusalReason::kNotAuthorised);
}

// Guards against reads of the shard row while every entry is heard from, which the store cannot
// sustain for all agents, and against more than one read in 2 s.
Test(agent_core, reads_the_shard_row_only_while_an_entry_is_silent) {
  Fixture agent;
  cr_assert(!agent.core_.WantsShardRow());
  agent.clock_.Advance(milliseconds(3001));
  cr_assert(agent.core_.WantsShardRow());
  agent.core_.OnShardRowRequested();
  cr_assert(!agent.core_.WantsShardRow());
  agent.clock_.Advance(seconds(2));
  cr_assert(agent.core_.WantsShardRow());
  agent.core_.OnEntryHeard("entry-1");
  cr_assert(!agent.core_.WantsShardRow());
}

// Guards against an entry that is dropped from the roster because another entry never knew it.
Test(agent_core, drops_an_entry_only_when_its_reporter_no_longer_lists_it) {
  Fixture agent;
  agent.AttachEntry("entry-1", {"entry-2"});
  agent.AttachEntry("entry-3", {});
  agent.AttachEntry("entry-3", {});
  cr_assert(agent.core_.roster().contains("entry-2"));
  agent.AttachEntry("entry-1", {"entry-3"});
  cr_assert(!agent.core_.roster().contains("entry-2"));
}

// Guards against starts at an unavailable executor, and against a lost executor that never gets
// work again.
Test(agent_core, starts_nothing_while_the_executor_is_lost) {
  Fixture agent;
  agent.core_.OnExecutorLost();
  cr_assert(agent.Dispatch(agent.Order("order-1", {0})) == RefusalReason::kExecutorDown);
  agent.core_.OnAnnounce(Fixture::Executor("executor-1"), std::nullopt);
  cr_assert(!agent.Dispatch(agent.Order("order-1", {0})));
}

// Guards against a message too large for the stream: it would be sent again on every new stream and
// break that as well.
Test(agent_core, fails_a_task_with_an_oversized_result) {
  Fixture agent;
  cr_assert(!agent.Dispatch(agent.Order("order-1", {0})));
  agent.Finish({"order-1", 0}, std::string((1U << 20U) + 1, 'r'));
  const auto results = agent.TakeActionsOf<SendResults>();
  cr_assert(results[0].outcomes[0].state == TaskState::kFailed);
  cr_assert(results[0].outcomes[0].result.empty());
}

// Guards against an epoch of another shard that fences this shard.
Test(agent_core, refuses_a_dispatch_of_another_shard) {
  Fixture agent;
  DispatchOrder other = agent.Order("order-1", {0});
  other.shard = 1;
  other.epoch = kEpoch + 1;
  cr_assert(agent.Dispatch(other) == RefusalReason::kNotAuthorised);
  cr_assert(!agent.Dispatch(agent.Order("order-1", {0})));
}

// Guards against new work for a leaving executor, and against a delayed announcement that cancels
// the leave. A restarted executor gets work again.
Test(agent_core, starts_nothing_while_leaving) {
  Fixture agent;
  agent.core_.OnExecutorLeave();
  cr_assert(agent.TakeActionsOf<BroadcastStatus>()[0].status.leaving);
  agent.core_.OnAnnounce(Fixture::Executor("executor-1"), std::nullopt);
  cr_assert(agent.Dispatch(agent.Order("order-1", {0})) == RefusalReason::kLeaving);
  agent.core_.OnAnnounce(Fixture::Executor("executor-1"), false);
  cr_assert(!agent.Dispatch(agent.Order("order-1", {0})));
  agent.core_.OnExecutorLeave();
  agent.core_.OnAnnounce(Fixture::Executor("executor-2"), std::nullopt);
  cr_assert(!agent.Dispatch(agent.Order("order-1", {1})));
  agent.core_.BeginShutdown();
  agent.core_.OnAnnounce(Fixture::Executor("executor-3"), false);
  cr_assert(agent.Dispatch(agent.Order("order-1", {2})) == RefusalReason::kLeaving);
}
