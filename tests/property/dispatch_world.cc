// Message delivery, faults and checks of the in-memory shard.
#include "property/dispatch_world.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>
#include <variant>

namespace zinniamux::tests {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kAgents = 3;
constexpr std::uint32_t kSlots = 2;
// Longer than any run, so that an id never counts as new.
constexpr std::chrono::hours kRetention{10};
constexpr seconds kDeadline{8};
constexpr milliseconds kSilenceLimit{3'000};
constexpr std::array<const char*, 6> kIds{"x1", "x2", "x3", "x4", "hold1", "hold2"};
// Stands for the roster: an agent hears it when it hears the current owner.
constexpr const char* kRoster = "roster";

core::Submission MakeSubmission(const std::string& id, core::TimePoint deadline) {
  core::Submission submission;
  submission.id = id;
  submission.team = "team";
  submission.idempotent = id.front() == 'x';
  submission.job = submission.idempotent ? "job" : "hold";
  // Both holds ask for the same billet.
  if (!submission.idempotent) submission.request_key = "billet";
  submission.deadline = deadline;
  submission.tasks.resize(submission.idempotent ? 3 : 2);
  submission.content_hash = core::ContentHash(submission);
  return submission;
}

std::string ResultOf(const core::TaskKey& key) {
  return key.submission_id + "/" + std::to_string(key.task_index);
}

// A message names its receiver, but for those that go to every entry.
bool IsAddressed(const core::AgentAction& action, const std::string& entry_id) {
  return std::visit(
      [&](const auto& item) {
        if constexpr (requires { item.entry_id; }) return item.entry_id == entry_id;
        return true;
      },
      action);
}

}  // namespace

std::ostream& operator<<(std::ostream& out, const Step& step) {
  constexpr std::array kNames{"DeliverToAgent", "DeliverToEntry", "EndTask",  "Submit",
                              "Cancel",         "Fetch",          "Advance",  "Disconnect",
                              "Connect",        "KillAgent",      "TakeOver", "HandOver",
                              "Store",          "Status",         "Settle"};
  static_assert(kNames.size() == static_cast<std::size_t>(Event::kCount));
  return out << kNames.at(static_cast<std::size_t>(step.event)) << "(" << step.subject << ", "
             << step.variant << ")";
}

DispatchWorld::DispatchWorld() {
  config_.version = 1;
  config_.teams["team"] = {};
  config_.jobs["job"] = {.team = "team"};
  config_.jobs["hold"] = {.team = "team", .idempotent = false};
  config_.policy.retention = kRetention;
  StartOwner();
  for (std::size_t index = 0; index < kAgents; ++index) {
    agents_.emplace_back().id = "agent" + std::to_string(index);
    StartAgent(agents_.back());
    Connect(agents_.back(), 0, /*keep_received=*/false);
  }
  CollectActions();
}

void DispatchWorld::StartOwner() {
  const std::uint64_t epoch = entries_.size() + 1;
  core::ShardDispatcher::Options options{.epoch = epoch,
                                         .expected_agents = agents_row_,
                                         .recovery_window = kRetention + std::chrono::hours(1),
                                         .require_persisted_agents = true,
                                         .ownership_validity = kSilenceLimit};
  Entry entry{.id = "entry" + std::to_string(epoch), .epoch = epoch, .dispatcher = nullptr};
  entry.dispatcher = std::make_unique<core::ShardDispatcher>(options, clock_);
  entry.dispatcher->OnConfig(config_);
  entries_.push_back(std::move(entry));
}

void DispatchWorld::StartAgent(Agent& agent) {
  ++agent.incarnation;
  agent.running.clear();
  agent.core = std::make_unique<core::AgentCore>(
      core::AgentCore::Options{.agent_id = agent.id, .incarnation = agent.incarnation}, clock_);
  agent.core->OnRoster(kRoster, 1, {});
  agent.core->OnEntryHeard(kRoster);
  agent.core->OnExecutorStatus({.executor_id = agent.id + "-executor",
                                .available = true,
                                .slots = kSlots,
                                .connections = kSlots});
}

void DispatchWorld::Connect(Agent& agent, std::size_t entry, bool keep_received) {
  if (entries_[entry].dispatcher == nullptr) return;
  std::deque<core::DispatcherAction> late;
  Stream& stream = agent.streams[entry];
  if (keep_received) {
    late = std::move(stream.late_to_agent);
    std::ranges::move(stream.to_agent, std::back_inserter(late));
  }
  Disconnect(agent, entry);
  stream = {.open = true, .to_agent = {}, .late_to_agent = std::move(late), .to_entry = {}};
  entries_[entry].dispatcher->OnAgentAttached(agent.core->Hello());
  agent.core->OnAttached(entries_[entry].id);
}

void DispatchWorld::Disconnect(Agent& agent, std::size_t entry) {
  Stream& stream = agent.streams[entry];
  if (!stream.open) return;
  stream = {};
  if (entries_[entry].dispatcher) entries_[entry].dispatcher->OnAgentDetached(agent.id);
}

void DispatchWorld::DeliverToAgent(Agent& agent, std::size_t entry, bool late) {
  Stream& stream = agent.streams[entry];
  auto& queue = late ? stream.late_to_agent : stream.to_agent;
  if (queue.empty()) return;
  core::DispatcherAction action = std::move(queue.front());
  queue.pop_front();
  if (!late && entry + 1 == entries_.size()) agent.core->OnEntryHeard(kRoster);
  const std::string& from = entries_[entry].id;
  const std::uint64_t epoch = entries_[entry].epoch;
  if (auto* dispatch = std::get_if<core::SendDispatch>(&action)) {
    agent.core->OnDispatch(from, std::move(dispatch->order));
  } else if (const auto* revoke = std::get_if<core::SendRevoke>(&action)) {
    agent.core->OnRevoke(from, epoch, revoke->tasks);
  } else if (std::holds_alternative<core::SendFence>(action)) {
    agent.core->OnFence(from, epoch);
  } else if (const auto* reconcile = std::get_if<core::SendReconcile>(&action)) {
    agent.core->OnReconcile(from, epoch, reconcile->tasks);
  } else if (const auto* ack = std::get_if<core::SendResultAck>(&action)) {
    agent.core->OnResultAck(from, ack->tasks);
  }
}

void DispatchWorld::DeliverToEntry(Agent& agent, std::size_t entry) {
  Stream& stream = agent.streams[entry];
  if (stream.to_entry.empty()) return;
  FromAgent message = std::move(stream.to_entry.front());
  stream.to_entry.pop_front();
  core::ShardDispatcher& dispatcher = *entries_[entry].dispatcher;
  dispatcher.OnAgentTime(agent.id, message.sent_time);
  if (const auto* refusal = std::get_if<core::SendRefusal>(&message.action)) {
    dispatcher.OnRefusal(agent.id, refusal->tasks, refusal->reason, refusal->epoch);
  } else if (auto* results = std::get_if<core::SendResults>(&message.action)) {
    dispatcher.OnOutcomes(agent.id, std::move(results->outcomes));
  } else if (auto* reply = std::get_if<core::SendReconcileReply>(&message.action)) {
    dispatcher.OnOutcomes(agent.id, std::move(reply->outcomes));
  } else if (auto* fenced = std::get_if<core::SendFenceReply>(&message.action)) {
    dispatcher.OnLedger(agent.id, fenced->epoch, std::move(fenced->records), fenced->last_part);
  } else if (const auto* status = std::get_if<core::BroadcastStatus>(&message.action)) {
    dispatcher.OnExecutorStatus(agent.id, status->status);
  }
}

void DispatchWorld::EndTask(Agent& agent, std::uint32_t task, std::uint32_t variant) {
  if (agent.running.empty()) return;
  const auto chosen = agent.running.begin() + task % agent.running.size();
  core::TaskOutcome outcome{.key = *chosen};
  agent.running.erase(chosen);
  switch (variant % 16) {
    case 13:
      outcome.state = core::TaskState::kFailed;
      break;
    case 14:
      outcome.state = core::TaskState::kUnknown;
      break;
    case 15:
      // The executor refused the connection and so never saw the task.
      outcome.state = core::TaskState::kRevoked;
      starts_.erase(outcome.key);
      break;
    default:
      outcome.state = core::TaskState::kFinished;
      outcome.result = ResultOf(outcome.key);
  }
  agent.core->OnTaskEnded(std::move(outcome));
}

void DispatchWorld::Submit(std::uint32_t subject, std::uint32_t variant) {
  const std::string id = kIds.at(subject % kIds.size());
  // Some callers reach an owner that was replaced without noticing.
  const bool to_former_owner = variant % 4 == 3 && entries_.size() > 1;
  Entry& entry = to_former_owner ? entries_[entries_.size() - 2] : owner();
  if (entry.dispatcher == nullptr) return;
  core::Submission submission = MakeSubmission(id, clock_.now() + kDeadline);
  if (submitted_.insert(id).second && variant % 2 == 1) submission.attempt = 1;
  claimed_not_run_.erase(id);
  Check(entry.dispatcher->Submit(std::move(submission)));
}

void DispatchWorld::TakeOver(bool stale_owner_lives) {
  const std::size_t former = entries_.size() - 1;
  if (stale_owner_lives) {
    // It was silent for the limit before another entry took over.
    clock_.Advance(kSilenceLimit);
  } else {
    for (Agent& agent : agents_) agent.streams[former] = {};
    entries_[former].dispatcher.reset();
  }
  StartOwner();
}

void DispatchWorld::HandOver() {
  core::ShardDispatcher& former = *owner().dispatcher;
  former.Freeze();
  const std::vector<core::Submission> waiting = former.UnfinishedSubmissions();
  StartOwner();
  for (const core::Submission& submission : waiting) Check(owner().dispatcher->Submit(submission));
}

void DispatchWorld::ChangeStatus(Agent& agent, std::uint32_t variant) {
  core::ExecutorStatus status = agent.core->executor();
  // A refused connection makes the executor count as lost until it announces itself.
  status.available = variant % 4 != 0;
  status.leaving = variant % 4 == 1;
  status.slots = 1 + variant / 4 % kSlots;
  agent.core->OnExecutorStatus(status);
}

void DispatchWorld::Settle() {
  const std::size_t current = entries_.size() - 1;
  for (Agent& agent : agents_) {
    if (!agent.streams[current].open) Connect(agent, current, /*keep_received=*/false);
  }
  CollectActions();
  while (DeliverRound()) {
  }
}

void DispatchWorld::RunStore(std::uint32_t variant) {
  if (store_queue_.empty()) return;
  StoreRequest request = std::move(store_queue_.front());
  store_queue_.pop_front();
  Entry& entry = entries_[request.entry];
  if (entry.dispatcher == nullptr) return;
  const bool store_down = variant % 8 == 7;
  const bool answer_lost = variant % 8 == 6;
  const bool committed = !store_down && entry.epoch == owner().epoch;
  if (const auto* persist = std::get_if<core::PersistAgents>(&request.action)) {
    if (committed) agents_row_ = persist->instances;
    if (committed && !answer_lost) entry.dispatcher->OnAgentsPersisted(persist->instances);
    // The daemon repeats the write until it has an answer.
    if (entry.epoch == owner().epoch && (store_down || answer_lost)) {
      store_queue_.push_front(std::move(request));
    }
    return;
  }
  const auto& claim = std::get<core::PersistClaim>(request.action);
  core::ClaimDecision decision = core::ClaimDecision::kUnavailable;
  if (committed) {
    const auto holder = claims_.try_emplace(claim.request_key, claim.submission_id).first;
    const bool granted = holder->second == claim.submission_id;
    decision = granted ? core::ClaimDecision::kGranted : core::ClaimDecision::kDuplicate;
    if (answer_lost) decision = core::ClaimDecision::kUnavailable;
  }
  entry.dispatcher->OnClaimDecided(claim.submission_id, decision);
}

void DispatchWorld::Advance(milliseconds time) {
  clock_.Advance(time);
  owner().dispatcher->OnOwnershipConfirmed(clock_.now());
  for (Entry& entry : entries_) {
    if (entry.dispatcher) entry.dispatcher->OnTimer();
  }
  for (Agent& agent : agents_) {
    const Stream& stream = agent.streams[entries_.size() - 1];
    // A heartbeat follows all messages of the stream.
    if (stream.open && stream.to_agent.empty()) agent.core->OnEntryHeard(kRoster);
    agent.core->OnTimer();
  }
}

void DispatchWorld::Run(const Step& step) {
  Agent& agent = agents_[step.subject % kAgents];
  // Of the entries, the last two matter most.
  const std::size_t entry =
      step.variant % 3 == 2 && entries_.size() > 1 ? entries_.size() - 2 : entries_.size() - 1;
  core::ShardDispatcher* dispatcher = entries_[entry].dispatcher.get();
  const std::string id = kIds.at(step.subject % kIds.size());
  switch (step.event) {
    case Event::kDeliverToAgent:
      return DeliverToAgent(agent, entry, step.variant % 4 == 3), CollectActions();
    case Event::kDeliverToEntry:
      return DeliverToEntry(agent, entry), CollectActions();
    case Event::kEndTask:
      return EndTask(agent, step.variant / 16, step.variant), CollectActions();
    case Event::kSubmit:
      return Submit(step.subject, step.variant), CollectActions();
    case Event::kCancel:
    case Event::kFetch: {
      if (dispatcher == nullptr) return;
      const auto answer =
          step.event == Event::kCancel ? dispatcher->Cancel(id) : dispatcher->Fetch(id);
      if (answer) Check(*answer);
      return CollectActions();
    }
    case Event::kAdvance:
      return Advance(milliseconds(step.variant % 1500)), CollectActions();
    case Event::kDisconnect:
      return Disconnect(agent, entry);
    case Event::kConnect:
      return Connect(agent, entry, step.variant % 2 == 1), CollectActions();
    case Event::kKillAgent:
      for (std::size_t other = 0; other < entries_.size(); ++other) Disconnect(agent, other);
      return StartAgent(agent);
    case Event::kTakeOver:
      return TakeOver(step.variant % 2 == 1), CollectActions();
    case Event::kHandOver:
      return HandOver(), CollectActions();
    case Event::kStore:
      return RunStore(step.variant), CollectActions();
    case Event::kStatus:
      return ChangeStatus(agent, step.variant), CollectActions();
    case Event::kSettle:
      return Settle();
    case Event::kCount:
      return;
  }
}

void DispatchWorld::CollectActions() {
  for (std::size_t entry = 0; entry < entries_.size(); ++entry) Collect(entry);
  for (Agent& agent : agents_) Collect(agent);
}

void DispatchWorld::Collect(std::size_t entry) {
  if (entries_[entry].dispatcher == nullptr) return;
  const auto to_agent = [&](const std::string& agent_id, core::DispatcherAction action) {
    const auto agent = std::ranges::find(agents_, agent_id, &Agent::id);
    Stream& stream = agent->streams[entry];
    if (stream.open) stream.to_agent.push_back(std::move(action));
  };
  for (core::DispatcherAction& action : entries_[entry].dispatcher->TakeActions()) {
    std::visit(
        [&](auto& item) {
          using Item = std::decay_t<decltype(item)>;
          if constexpr (requires { item.agent_id; }) {
            to_agent(item.agent_id, action);
          } else if constexpr (std::is_same_v<Item, core::DeliverAnswer>) {
            Check(item.answer);
          } else if constexpr (!std::is_same_v<Item, core::LogDecision>) {
            store_queue_.push_back({entry, action});
          }
        },
        action);
  }
}

void DispatchWorld::Collect(Agent& agent) {
  std::vector<core::AgentAction> actions = agent.core->TakeActions();
  const milliseconds sent_time = agent.core->sent_time();
  for (core::AgentAction& action : actions) {
    if (const auto* start = std::get_if<core::StartTask>(&action)) {
      agent.running.push_back(start->key);
      OnStart(start->key);
      continue;
    }
    for (auto& [entry, stream] : agent.streams) {
      if (stream.open && IsAddressed(action, entries_[entry].id)) {
        stream.to_entry.push_back({action, sent_time});
      }
    }
  }
}

void DispatchWorld::OnStart(const core::TaskKey& key) {
  if (++starts_[key] > 1) Violate("P1: task " + ResultOf(key) + " started twice");
  if (claimed_not_run_.contains(key.submission_id)) {
    Violate("P4: " + ResultOf(key) + " started after \"not run\"");
  }
  if (key.submission_id.front() == 'x') return;
  // Both holds have the same request key.
  const std::string other = key.submission_id == "hold1" ? "hold2" : "hold1";
  for (const auto& [started, count] : starts_) {
    if (started.submission_id == other) Violate("P5: both holds of one request key started");
  }
}

void DispatchWorld::Check(const core::JobAnswer& answer) {
  const std::string& id = answer.submission_id;
  if (answer.state == core::JobState::kComplete) {
    completed_.insert(id);
    const std::size_t tasks = MakeSubmission(id, {}).tasks.size();
    if (answer.results.size() != tasks) Violate("P2: " + id + " is complete with a task missing");
    for (std::uint32_t index = 0; index < answer.results.size(); ++index) {
      if (answer.results[index] != ResultOf({id, index})) Violate("P3: wrong result for " + id);
    }
    return;
  }
  if (!answer.results.empty()) Violate("P2: " + id + " has results but is not complete");
  if (!answer.not_run) return;
  claimed_not_run_.insert(id);
  for (const auto& [started, count] : starts_) {
    if (started.submission_id == id) Violate("P4: \"not run\", but " + id + " was started");
  }
}

void DispatchWorld::Violate(std::string what) {
  if (violation_.empty()) violation_ = std::move(what);
}

bool DispatchWorld::DeliverRound() {
  bool progress = !store_queue_.empty();
  RunStore(0);
  const std::size_t current = entries_.size() - 1;
  for (Agent& agent : agents_) {
    Stream& stream = agent.streams[current];
    progress |= !stream.to_agent.empty() || !stream.to_entry.empty();
    DeliverToAgent(agent, current, /*late=*/false);
    DeliverToEntry(agent, current);
    CollectActions();
  }
  return progress;
}

void DispatchWorld::Heal() {
  for (Agent& agent : agents_) {
    agent.streams.clear();
    ChangeStatus(agent, 7);
  }
  // Tasks end, paused agents and delayed tasks are tried again, and the last deadlines pass.
  for (int round = 0; round < 15; ++round) {
    Settle();
    for (Agent& agent : agents_) {
      while (!agent.running.empty()) EndTask(agent, 0, 0);
    }
    Advance(seconds(1));
    Settle();
  }
  core::ShardDispatcher& dispatcher = *owner().dispatcher;
  if (dispatcher.superseded()) Violate("the current owner believes that it was replaced");
  if (dispatcher.running_tasks() > 0) Violate("a slot is taken, but nothing runs");
  if (dispatcher.queued_tasks() > 0) Violate("a task is queued, but slots are free");
  if (!dispatcher.UnfinishedSubmissions().empty()) Violate("a job outlived its deadline");
  core::Submission fresh = MakeSubmission("x-fresh", clock_.now() + kDeadline);
  fresh.attempt = 1;
  Check(dispatcher.Submit(std::move(fresh)));
  for (int round = 0; round < 5; ++round) {
    Settle();
    for (Agent& agent : agents_) {
      while (!agent.running.empty()) EndTask(agent, 0, 0);
    }
  }
  if (!completed_.contains("x-fresh")) Violate("new work is not done after everything was healed");
}

}  // namespace zinniamux::tests
