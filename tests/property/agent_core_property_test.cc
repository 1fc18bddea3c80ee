// AgentCore under arbitrary orders of messages from owners, old owners and the executor.
#include <deque>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "core/agent_core.h"
#include "property/property.h"

namespace {

using namespace zinniamux::core;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using zinniamux::tests::CheckProperty;

constexpr int kSteps = 120;
constexpr std::uint32_t kSlots = 3;

// Drives one agent with random events and asserts what holds after each of them. Entries are as
// many as epochs: the entry "entry-N" owns epoch N.
class Driver {
 public:
  Driver() : core_({.agent_id = "agent-1", .incarnation = 1, .ledger_limits = {}}, clock_) {
    core_.OnAnnounce(Executor(), std::nullopt);
    core_.TakeActions();
  }

  void Step() {
    KeepAuthorised();
    const std::uint64_t epoch_before = core_.epoch();
    const std::uint64_t config_before = core_.config_version();
    switch (*rc::gen::inRange(0, 11)) {
      case 0:
      case 1:
      case 2:
      case 3:
        Dispatch();
        break;
      case 4:
        epoch_ = RandomEpoch();
        core_.OnRevoke(Entry(epoch_), epoch_, std::vector<TaskKey>{RandomTask()});
        break;
      case 5:
        epoch_ = RandomEpoch();
        core_.OnReconcile(Entry(epoch_), epoch_, std::vector<TaskKey>{RandomTask(), RandomTask()});
        break;
      case 6:
        epoch_ = RandomEpoch();
        core_.OnFence(Entry(epoch_), epoch_);
        break;
      case 7:
      case 8:
        EndTask();
        break;
      case 9:
        core_.OnAttached(Entry(RandomEpoch()));
        break;
      default:
        clock_.Advance(milliseconds(*rc::gen::inRange(0, 400)));
        core_.OnTimer();
    }
    RC_ASSERT(core_.epoch() >= epoch_before);
    RC_ASSERT(core_.config_version() >= config_before);
    Observe();
  }

  void Drain() {
    draining_ = true;
    core_.SetDraining(true);
  }

 private:
  static ExecutorStatus Executor() {
    return {.executor_id = "executor-1", .slots = kSlots, .connections = kSlots};
  }
  static std::string Entry(std::uint64_t epoch) { return "entry-" + std::to_string(epoch); }
  static std::uint64_t RandomEpoch() { return *rc::gen::inRange<std::uint64_t>(1, 5); }
  static TaskKey RandomTask() {
    return {"order-" + std::to_string(*rc::gen::inRange(0, 4)), *rc::gen::inRange(0U, 3U)};
  }

  // The isolation limit has tests of its own.
  void KeepAuthorised() {
    core_.OnRoster("entry-1", 1, {});
    core_.OnEntryHeard("entry-1");
  }

  void Dispatch() {
    epoch_ = RandomEpoch();
    const TaskKey task = RandomTask();
    DispatchOrder order{.epoch = epoch_,
                        .config_version = *rc::gen::inRange<std::uint64_t>(1, 4),
                        .submission_id = task.submission_id,
                        .start_by = core_.AgentTime() + milliseconds(*rc::gen::inRange(-100, 500)),
                        .result_hold = milliseconds(*rc::gen::inRange(0, 2) * 200),
                        .retention = milliseconds(600'000)};
    order.tasks.push_back({.task_index = task.task_index});
    if (*rc::gen::arbitrary<bool>()) order.tasks.push_back({.task_index = RandomTask().task_index});
    const bool stale = order.epoch < core_.epoch() || order.config_version < core_.config_version();
    const bool late = core_.AgentTime() > order.start_by;
    core_.OnDispatch(Entry(epoch_), std::move(order));
    may_start_ = !stale && !late && !draining_;
  }

  void EndTask() {
    if (running_.empty()) return;
    const TaskKey key = *running_.begin();
    running_.erase(key);
    const TaskState state = *rc::gen::element(TaskState::kFinished, TaskState::kFinished,
                                              TaskState::kFailed, TaskState::kRevoked);
    core_.OnTaskEnded({.key = key, .state = state});
    core_.OnAnnounce(Executor(), std::nullopt);
  }

  void Observe() {
    for (const AgentAction& action : core_.TakeActions()) {
      if (const auto* start = std::get_if<StartTask>(&action)) {
        RC_ASSERT(may_start_);
        RC_ASSERT(started_.insert(start->key).second);
        RC_ASSERT(!revoked_.contains(start->key));
        running_.insert(start->key);
      } else if (const auto* reply = std::get_if<SendReconcileReply>(&action)) {
        for (const TaskOutcome& outcome : reply->outcomes) ObserveOutcome(outcome);
      } else if (const auto* fence = std::get_if<SendFenceReply>(&action)) {
        RC_ASSERT(fence->accepted == (epoch_ == core_.epoch()));
        for (const TaskOutcome& outcome : fence->records) ObserveOutcome(outcome);
      } else if (const auto* refusal = std::get_if<SendRefusal>(&action)) {
        ObserveRefusal(*refusal);
      }
    }
    may_start_ = false;
    RC_ASSERT(core_.running_tasks() == running_.size());
    RC_ASSERT(running_.size() <= kSlots);
  }

  void ObserveOutcome(const TaskOutcome& outcome) {
    if (outcome.state == TaskState::kRevoked) {
      revoked_.insert(outcome.key);
      RC_ASSERT(!running_.contains(outcome.key));
      return;
    }
    RC_ASSERT(started_.contains(outcome.key));
    RC_ASSERT((outcome.state == TaskState::kRunning) == running_.contains(outcome.key));
  }

  // "Not started" must be true of every task that the owner may then place elsewhere. A stale owner
  // places nothing more.
  void ObserveRefusal(const SendRefusal& refusal) {
    if (refusal.reason == RefusalReason::kStaleEpoch) return;
    for (const TaskKey& key : refusal.tasks) {
      if (refusal.reason == RefusalReason::kAlreadyStarted) {
        RC_ASSERT(started_.contains(key));
        continue;
      }
      RC_ASSERT(!running_.contains(key));
      RC_ASSERT(refusal.reason == RefusalReason::kRevoked || !started_.contains(key));
    }
  }

  ManualClock clock_;
  AgentCore core_;
  std::uint64_t epoch_ = 0;
  bool may_start_ = false;
  bool draining_ = false;
  std::unordered_set<TaskKey, TaskKeyHash> started_;
  std::unordered_set<TaskKey, TaskKeyHash> running_;
  std::unordered_set<TaskKey, TaskKeyHash> revoked_;
};

// A stream that may end at any message, and the owner behind it.
class Delivery {
 public:
  Delivery() : core_({.agent_id = "agent-1", .incarnation = 1, .ledger_limits = {}}, clock_) {
    core_.OnAnnounce({.executor_id = "executor-1", .slots = 500, .connections = 500}, std::nullopt);
    core_.OnRoster("entry-1", 1, {});
  }

  void Step() {
    core_.OnEntryHeard("entry-1");
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
        StartTask();
        break;
      case 1:
      case 2:
        EndTask();
        break;
      case 3:
        Process();
        break;
      case 4:
        // The owner's heartbeat.
        core_.OnAcknowledged("entry-1", last_processed_);
        break;
      default:
        *rc::gen::inRange(0, 4) == 0 ? Reattach() : clock_.Advance(milliseconds(1));
    }
    core_.OnTimer();
    Send();
  }

  void Settle() {
    Reattach();
    clock_.Advance(milliseconds(1000));
    core_.OnTimer();
    Send();
    while (!stream_.empty()) Process();
    RC_ASSERT(known_ == ended_);
  }

 private:
  struct Message {
    milliseconds stamp;
    std::vector<TaskKey> outcomes;
  };

  void StartTask() {
    DispatchOrder order{.epoch = 1,
                        .config_version = 1,
                        .submission_id = "order-" + std::to_string(*rc::gen::inRange(0, 3)),
                        .start_by = core_.AgentTime() + milliseconds(1),
                        .result_hold = milliseconds(*rc::gen::inRange(0, 3)),
                        .retention = milliseconds(600'000)};
    order.tasks.push_back({.task_index = next_index_++});
    running_.push_back({order.submission_id, order.tasks[0].task_index});
    core_.OnDispatch("entry-1", std::move(order));
  }

  void EndTask() {
    if (running_.empty()) return;
    ended_.insert(running_.front());
    core_.OnTaskEnded({.key = running_.front(), .state = TaskState::kFinished});
    running_.pop_front();
  }

  void Send() {
    for (const AgentAction& action : core_.TakeActions()) {
      Message message{.stamp = core_.sent_time(), .outcomes = {}};
      if (const auto* results = std::get_if<SendResults>(&action)) {
        for (const TaskOutcome& outcome : results->outcomes) {
          message.outcomes.push_back(outcome.key);
        }
      }
      stream_.push_back(std::move(message));
    }
  }

  void Process() {
    if (stream_.empty()) return;
    last_processed_ = stream_.front().stamp;
    known_.insert(stream_.front().outcomes.begin(), stream_.front().outcomes.end());
    stream_.pop_front();
  }

  // The old stream ends with whatever is in it. The owner echoes nothing of a new stream yet.
  void Reattach() {
    stream_.clear();
    last_processed_ = milliseconds(0);
    // Hello is the first message of a stream.
    stream_.push_back({.stamp = core_.AgentTime(), .outcomes = {}});
    core_.OnAttached("entry-1");
    Send();
  }

  ManualClock clock_;
  AgentCore core_;
  std::uint32_t next_index_ = 0;
  std::deque<Message> stream_;
  milliseconds last_processed_{0};
  std::deque<TaskKey> running_;
  std::unordered_set<TaskKey, TaskKeyHash> ended_;
  std::unordered_set<TaskKey, TaskKeyHash> known_;
};

}  // namespace

// Guards against a second start, a start after "not started" was answered, and any effect of a
// lower epoch or configuration version or of a late dispatch, in every order of messages.
Test(agent_core_property, starts_each_task_at_most_once) {
  CheckProperty(20'260'101, "agent starts each task at most once", [] {
    Driver driver;
    for (int step = 0; step < kSteps; ++step) driver.Step();
  });
}

// Guards against a start after the agent was told to take no new work.
Test(agent_core_property, starts_nothing_after_draining) {
  CheckProperty(20'260'102, "agent starts nothing after draining", [] {
    Driver driver;
    const int steps = *rc::gen::inRange(0, kSteps);
    for (int step = 0; step < steps; ++step) driver.Step();
    driver.Drain();
    for (int step = 0; step < kSteps; ++step) driver.Step();
  });
}

// Guards against an outcome that is lost because a stream ended, wherever it was on its way.
Test(agent_core_property, loses_no_outcome_with_a_stream) {
  CheckProperty(20'260'103, "agent delivers every outcome", [] {
    Delivery delivery;
    for (int step = 0; step < kSteps; ++step) delivery.Step();
    delivery.Settle();
  });
}
