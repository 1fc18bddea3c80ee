// One shard in memory: dispatchers of successive epochs, agents, their streams, the table's rows
// and a record of what the executors ran.
#ifndef ZINNIAMUX_TESTS_PROPERTY_DISPATCH_WORLD_H_
#define ZINNIAMUX_TESTS_PROPERTY_DISPATCH_WORLD_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <ostream>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/agent_core.h"
#include "core/shard_dispatcher.h"

namespace zinniamux::tests {

enum class Event {
  kDeliverToAgent,
  kDeliverToEntry,
  kEndTask,
  kSubmit,
  kCancel,
  kFetch,
  kAdvance,
  kDisconnect,
  kConnect,
  kKillAgent,
  kTakeOver,
  kHandOver,
  kStore,
  // The executor announces other slots, leaves or comes back.
  kStatus,
  // Every agent reaches the owner, and all messages arrive.
  kSettle,
  kCount,
};

// One event; the numbers select its subject and its variant.
struct Step {
  Event event = Event::kAdvance;
  std::uint32_t subject = 0;
  std::uint32_t variant = 0;
};

std::ostream& operator<<(std::ostream& out, const Step& step);

// Carries out steps and checks promises P1, P2, P4 and P5 after each of them.
class DispatchWorld {
 public:
  DispatchWorld();

  void Run(const Step& step);
  // Connects everything, lets everything end, and checks that slots and queue are empty and that
  // new work is done.
  void Heal();
  // The first broken promise; empty if there is none.
  const std::string& violation() const { return violation_; }
  std::size_t starts() const { return starts_.size(); }
  std::size_t completed() const { return completed_.size(); }

 private:
  struct Entry {
    std::string id;
    std::uint64_t epoch = 0;
    // Null after the process was killed.
    std::unique_ptr<core::ShardDispatcher> dispatcher;
  };
  struct FromAgent {
    core::AgentAction action;
    std::chrono::milliseconds sent_time;
  };
  struct Stream {
    bool open = false;
    std::deque<core::DispatcherAction> to_agent;
    // Received before the last attach and not yet processed by the agent.
    std::deque<core::DispatcherAction> late_to_agent;
    std::deque<FromAgent> to_entry;
  };
  struct Agent {
    std::string id;
    std::uint64_t incarnation = 0;
    std::unique_ptr<core::AgentCore> core;
    std::vector<core::TaskKey> running;
    // By index of the entry.
    std::map<std::size_t, Stream> streams;
  };
  struct StoreRequest {
    std::size_t entry = 0;
    core::DispatcherAction action;
  };

  Entry& owner() { return entries_.back(); }
  void StartOwner();
  void StartAgent(Agent& agent);
  // `keep_received`: messages that the agent has received are processed after the attach.
  void Connect(Agent& agent, std::size_t entry, bool keep_received);
  void Disconnect(Agent& agent, std::size_t entry);
  void DeliverToAgent(Agent& agent, std::size_t entry, bool late);
  void DeliverToEntry(Agent& agent, std::size_t entry);
  void EndTask(Agent& agent, std::uint32_t task, std::uint32_t variant);
  void Submit(std::uint32_t subject, std::uint32_t variant);
  void TakeOver(bool stale_owner_lives);
  void HandOver();
  void ChangeStatus(Agent& agent, std::uint32_t variant);
  void Settle();
  void RunStore(std::uint32_t variant);
  void Advance(std::chrono::milliseconds time);
  // Moves the actions of all parts into streams, the store and the executors.
  void CollectActions();
  void Collect(std::size_t entry);
  void Collect(Agent& agent);
  void OnStart(const core::TaskKey& key);
  void Check(const core::JobAnswer& answer);
  void Violate(std::string what);
  // Delivers one message of each stream; returns false if there was none.
  bool DeliverRound();

  core::ManualClock clock_;
  core::DispatchConfig config_;
  std::vector<Entry> entries_;
  std::vector<Agent> agents_;
  std::deque<StoreRequest> store_queue_;
  // Rows of the table.
  std::set<std::string> agents_row_;
  std::map<std::string, std::string> claims_;
  // Starts at executors.
  std::unordered_map<core::TaskKey, std::uint32_t, core::TaskKeyHash> starts_;
  std::set<std::string> submitted_;
  std::set<std::string> completed_;
  // Ids of which an answer said "not run" since they were last submitted.
  std::set<std::string> claimed_not_run_;
  std::string violation_;
};

}  // namespace zinniamux::tests

#endif  // ZINNIAMUX_TESTS_PROPERTY_DISPATCH_WORLD_H_
