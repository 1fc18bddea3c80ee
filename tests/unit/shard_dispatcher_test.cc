// ShardDispatcher: each rule of the task and job states, one event at a time.
#include "core/shard_dispatcher.h"

#include <criterion/criterion.h>

#include <set>
#include <string>
#include <variant>
#include <vector>

namespace {

using namespace zinniamux::core;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kEpoch = 5;

Submission MakeSubmission(const std::string& id, std::size_t tasks) {
  Submission submission;
  submission.id = id;
  submission.team = "team";
  submission.job = "job";
  submission.deadline = ManualClock().now() + seconds(20);
  submission.tasks.resize(tasks);
  submission.content_hash = 77;
  return submission;
}

Submission MakeHold(const std::string& id) {
  Submission submission = MakeSubmission(id, 1);
  submission.job = "hold";
  submission.idempotent = false;
  submission.request_key = "billet-1";
  return submission;
}

AgentHello MakeHello(const std::string& id, std::uint64_t incarnation, std::uint32_t slots = 2) {
  AgentHello hello;
  hello.agent_id = id;
  hello.incarnation = incarnation;
  hello.executor = {.executor_id = id + "-executor", .available = true, .slots = slots};
  hello.epoch = 1;
  return hello;
}

TaskOutcome MakeOutcome(const std::string& id, std::uint32_t index, TaskState state) {
  TaskOutcome outcome;
  outcome.key = {id, index};
  outcome.state = state;
  if (state == TaskState::kFinished) outcome.result = "result-" + std::to_string(index);
  if (state != TaskState::kRevoked) outcome.job = {.task_count = 1, .content_hash = 77};
  return outcome;
}

// A dispatcher with its clock, and the actions of the last Take.
struct Shard {
  explicit Shard(ShardDispatcher::Options options = {})
      : dispatcher(Prepare(std::move(options)), clock) {
    DispatchConfig config;
    config.version = 1;
    config.teams["team"] = {};
    config.jobs["job"] = {.team = "team"};
    config.jobs["hold"] = {.team = "team", .idempotent = false};
    dispatcher.OnConfig(config);
  }

  static ShardDispatcher::Options Prepare(ShardDispatcher::Options options) {
    options.epoch = kEpoch;
    return options;
  }

  // The actions of one kind since the last call; the others are dropped.
  template <typename Action>
  std::vector<Action> Take() {
    std::vector<Action> taken;
    for (DispatcherAction& action : dispatcher.TakeActions()) {
      if (auto* match = std::get_if<Action>(&action)) taken.push_back(std::move(*match));
    }
    return taken;
  }

  void Outcome(const std::string& agent, const std::string& id, std::uint32_t index,
               TaskState state) {
    dispatcher.OnOutcomes(agent, {MakeOutcome(id, index, state)});
  }

  void Refuse(const std::string& agent, const std::string& id, RefusalReason reason,
              std::uint64_t epoch = 0) {
    dispatcher.OnRefusal(agent, std::vector<TaskKey>{{id, 0}}, reason, epoch);
  }

  JobAnswer Answer(const std::string& id) { return *dispatcher.Fetch(id); }

  ManualClock clock;
  ShardDispatcher dispatcher;
};

}  // namespace

// Guards against a second start of a task whose dispatch may have arrived before the stream broke.
Test(shard_dispatcher, reattached_agent_is_asked_and_task_is_not_moved) {
  Shard shard;
  shard.dispatcher.OnAgentAttached(MakeHello("a", 1));
  shard.dispatcher.Submit(MakeSubmission("x", 1));
  cr_assert(shard.Take<SendDispatch>().size() == 1);
  shard.dispatcher.OnAgentDetached("a");
  shard.dispatcher.OnAgentAttached(MakeHello("b", 1));
  cr_assert(shard.Take<SendDispatch>().empty());
  shard.dispatcher.OnAgentAttached(MakeHello("a", 1));
  const auto reconciles = shard.Take<SendReconcile>();
  cr_assert(reconciles.size() == 1);
  cr_assert(reconciles[0].tasks == std::vector<TaskKey>({{"x", 0}}));
  shard.Outcome("a", "x", 0, TaskState::kRevoked);
  const auto dispatches = shard.Take<SendDispatch>();
  cr_assert(dispatches.size() == 1);
  cr_assert(dispatches[0].agent_id == "b");
}

// Guards against a restart of a task on an agent that lost its memory.
Test(shard_dispatcher, new_incarnation_makes_its_tasks_unknown) {
  Shard shard;
  shard.dispatcher.OnAgentAttached(MakeHello("a", 1));
  shard.dispatcher.Submit(MakeSubmission("x", 1));
  shard.dispatcher.OnAgentDetached("a");
  shard.dispatcher.OnAgentAttached(MakeHello("a", 2));
  cr_assert(shard.Answer("x").error.kind == ErrorKind::kOutcomeUnknown);
  cr_assert(!shard.Answer("x").not_run);
  cr_assert(shard.Take<SendDispatch>().size() == 1);
  cr_assert(shard.dispatcher.running_tasks() == 0);
}

// Guards against slots that are freed twice or never.
Test(shard_dispatcher, slots_are_freed_once) {
  Shard shard;
  shard.dispatcher.OnAgentAttached(MakeHello("a", 1, 1));
  shard.dispatcher.Submit(MakeSubmission("x", 3));
  cr_assert(shard.Take<SendDispatch>().size() == 1);
  shard.Outcome("a", "x", 0, TaskState::kFinished);
  shard.Outcome("a", "x", 0, TaskState::kFinished);
  cr_assert(shard.Take<SendDispatch>().size() == 1);
  cr_assert(shard.dispatcher.running_tasks() == 1);
  shard.dispatcher.OnAgentDetached("a");
  shard.dispatcher.OnAgentAttached(MakeHello("a", 1, 1));
  shard.Outcome("a", "x", 1, TaskState::kRunning);
  cr_assert(shard.dispatcher.running_tasks() == 1);
  cr_assert(shard.Take<SendDispatch>().empty());
}

// Guards against placing a task again that its agent has started.
Test(shard_dispatcher, already_started_keeps_the_task) {
  Shard shard;
  shard.dispatcher.OnAgentAttached(MakeHello("a", 1));
  shard.dispatcher.Submit(MakeSubmission("x", 1));
  shard.dispatcher.OnAgentAttached(MakeHello("b", 1));
  shard.Take<SendDispatch>();
  shard.Refuse("a", "x", RefusalReason::kAlreadyStarted);
  const std::vector<DispatcherAction> actions = shard.dispatcher.TakeActions();
  cr_assert(actions.size() == 1);
  cr_assert(std::holds_alternative<SendReconcile>(actions[0]));
}

// Guards against an old refusal that frees a task which another agent holds now.
Test(shard_dispatcher, refusal_by_a_former_agent_is_ignored) {
  Shard shard;
  shard.dispatcher.OnAgentAttached(MakeHello("a", 1));
  shard.dispatcher.Submit(MakeSubmission("x", 1));
  shard.Refuse("a", "x", RefusalReason::kLeaving);
  shard.dispatcher.OnAgentAttached(MakeHello("b", 1));
  cr_assert(shard.Take<SendDispatch>().back().agent_id == "b");
  shard.Refuse("a", "x", RefusalReason::kLeaving);
  cr_assert(shard.Take<SendDispatch>().empty());
  cr_assert(shard.dispatcher.running_tasks() == 1);
}

// Guards against a stream of dispatches to an agent that refuses all of them.
Test(shard_dispatcher, refusing_agent_is_paused) {
  Shard shard;
  shard.dispatcher.OnAgentAttached(MakeHello("a", 1));
  shard.dispatcher.Submit(MakeSubmission("x", 1));
  shard.Refuse("a", "x", RefusalReason::kExecutorDown);
  shard.dispatcher.OnTimer();
  cr_assert(shard.Take<SendDispatch>().size() == 1);
  ExecutorStatus status = MakeHello("a", 1).executor;
  status.connections = 1;
  shard.dispatcher.OnExecutorStatus("a", status);
  cr_assert(shard.Take<SendDispatch>().size() == 1);
  shard.Refuse("a", "x", RefusalReason::kNotAuthorised);
  shard.clock.Advance(seconds(2));
  shard.dispatcher.OnTimer();
  cr_assert(shard.Take<SendDispatch>().size() == 1);
}

// Guards against an owner that goes on placing after another has taken the shard over.
Test(shard_dispatcher, higher_epoch_supersedes) {
  Shard shard;
  shard.dispatcher.OnAgentAttached(MakeHello("a", 1));
  shard.dispatcher.Submit(MakeSubmission("x", 1));
  shard.Refuse("a", "x", RefusalReason::kStaleEpoch, kEpoch);
  cr_assert(!shard.dispatcher.superseded());
  shard.dispatcher.TakeActions();
  shard.Refuse("a", "x", RefusalReason::kStaleEpoch, kEpoch + 1);
  cr_assert(shard.dispatcher.superseded());
  shard.dispatcher.Submit(MakeSubmission("y", 1));
  shard.dispatcher.OnTimer();
  cr_assert(shard.Take<SendDispatch>().empty());
  // The successor may start what this queue still holds.
  shard.dispatcher.Cancel("x");
  cr_assert(!shard.Answer("x").not_run);
}

// Guards against a retained answer that hides a request which may simply be sent again.
Test(shard_dispatcher, job_that_never_started_is_admitted_again) {
  Shard shard;
  shard.dispatcher.Submit(MakeHold("h"));
  shard.dispatcher.OnClaimDecided("h", ClaimDecision::kUnavailable);
  cr_assert(shard.Answer("h").error.kind == ErrorKind::kStoreUnavailable);
  cr_assert(shard.Answer("h").not_run);
  cr_assert(!shard.dispatcher.Submit(MakeHold("h")).finished());
  cr_assert(shard.Take<PersistClaim>().size() == 2);
}

// Guards against a start of a non-idempotent request before its key is claimed.
Test(shard_dispatcher, non_idempotent_job_waits_for_its_claim) {
  Shard shard;
  shard.dispatcher.OnAgentAttached(MakeHello("a", 1));
  shard.dispatcher.Submit(MakeHold("h"));
  shard.dispatcher.OnTimer();
  cr_assert(shard.Take<SendDispatch>().empty());
  shard.dispatcher.OnClaimDecided("h", ClaimDecision::kGranted);
  cr_assert(shard.Take<SendDispatch>().size() == 1);
  shard.dispatcher.Submit(MakeHold("h2"));
  shard.dispatcher.OnClaimDecided("h2", ClaimDecision::kDuplicate);
  cr_assert(shard.Answer("h2").error.kind == ErrorKind::kDuplicateRequest);
  cr_assert(!shard.Answer("h2").not_run);
  cr_assert(shard.Take<SendDispatch>().empty());
}

// Guards against a non-idempotent request that bypasses its claim.
Test(shard_dispatcher, contradictory_idempotence_is_refused) {
  Shard shard;
  Submission without_key = MakeHold("k1");
  without_key.request_key.clear();
  Submission with_key = MakeSubmission("k2", 1);
  with_key.request_key = "billet-1";
  Submission contradicting = MakeSubmission("k3", 1);
  contradicting.job = "hold";
  for (const Submission& submission : {without_key, with_key, contradicting}) {
    const JobAnswer answer = shard.dispatcher.Submit(submission);
    cr_assert(answer.error.kind == ErrorKind::kInvalidRequest);
    cr_assert(answer.not_run);
  }
}

// Guards against forgetting a job while its id may still be resubmitted, and against keeping it.
Test(shard_dispatcher, finished_job_is_kept_until_deadline_and_retention) {
  Shard shard;
  shard.dispatcher.OnAgentAttached(MakeHello("a", 1));
  shard.dispatcher.Submit(MakeSubmission("x", 1));
  // 20 s to the deadline and 60 s of retention.
  cr_assert(shard.Take<SendDispatch>().at(0).order.retention == seconds(80));
  shard.Outcome("a", "x", 0, TaskState::kFinished);
  shard.clock.Advance(milliseconds(79'999));
  shard.dispatcher.OnTimer();
  cr_assert(shard.dispatcher.Submit(MakeSubmission("x", 1)).state == JobState::kComplete);
  shard.clock.Advance(milliseconds(1));
  shard.dispatcher.OnTimer();
  cr_assert(shard.dispatcher.known_jobs() == 0);
}

// Guards against placement after cancel, and against a queue that keeps entries of forgotten jobs.
Test(shard_dispatcher, cancelled_jobs_never_start_and_revokes_are_grouped) {
  Shard shard({.agent_queue_depth = 4});
  shard.dispatcher.OnAgentAttached(MakeHello("a", 1, 10));
  for (int job = 0; job < 20; ++job) {
    shard.dispatcher.Submit(MakeSubmission("x" + std::to_string(job), 1));
  }
  cr_assert(shard.dispatcher.queued_tasks() == 10);
  for (int job = 0; job < 20; ++job) {
    const JobAnswer answer = *shard.dispatcher.Cancel("x" + std::to_string(job));
    cr_assert(answer.not_run == (job >= 10));
  }
  cr_assert(shard.dispatcher.queued_tasks() == 0);
  shard.dispatcher.TakeActions();
  shard.dispatcher.OnTimer();
  const auto revokes = shard.Take<SendRevoke>();
  cr_assert(revokes.size() == 1);
  cr_assert(revokes[0].tasks.size() == 10);
  shard.clock.Advance(seconds(100));
  shard.dispatcher.OnTimer();
  shard.dispatcher.OnAgentAttached(MakeHello("b", 1, 10));
  cr_assert(shard.Take<SendDispatch>().empty());
}

// Guards against starting a task again that an agent not heard from may have started.
Test(shard_dispatcher, recovery_withholds_tasks_until_every_ledger_is_in) {
  Shard shard({.expected_agents = {"a@1", "b@1"}});
  shard.dispatcher.OnAgentAttached(MakeHello("a", 1));
  cr_assert(shard.Take<SendFence>().size() == 1);
  shard.dispatcher.OnLedger("a", kEpoch, {MakeOutcome("x", 0, TaskState::kFinished)}, true);
  cr_assert(shard.dispatcher.recovering());
  const JobAnswer unknown = shard.dispatcher.Submit(MakeSubmission("y", 1));
  cr_assert(unknown.error.kind == ErrorKind::kRecovering);
  cr_assert(!unknown.not_run);
  Submission first = MakeSubmission("z", 1);
  first.attempt = 1;
  // Sent again, it could reach the predecessor, which agents obey for 10 s more.
  cr_assert(shard.dispatcher.Submit(first).error.kind == ErrorKind::kRecovering);
  shard.clock.Advance(milliseconds(10'001));
  shard.dispatcher.Submit(first);
  shard.dispatcher.Submit(MakeSubmission("x", 2));
  auto dispatches = shard.Take<SendDispatch>();
  cr_assert(dispatches.size() == 1);
  cr_assert(dispatches[0].order.submission_id == "z");
  shard.dispatcher.OnAgentAttached(MakeHello("b", 1));
  shard.dispatcher.OnLedger("b", kEpoch, {}, false);
  cr_assert(shard.Take<SendDispatch>().empty());
  shard.dispatcher.OnLedger("b", kEpoch, {}, true);
  cr_assert(!shard.dispatcher.recovering());
  dispatches = shard.Take<SendDispatch>();
  cr_assert(dispatches.size() == 1);
  cr_assert(dispatches[0].order.submission_id == "x");
  cr_assert(dispatches[0].order.tasks[0].task_index == 1);
  shard.Outcome(dispatches[0].agent_id, "x", 1, TaskState::kFinished);
  cr_assert(shard.Answer("x").results == std::vector<std::string>({"result-0", "result-1"}));
}

// Guards against taking the empty ledger of a restarted agent for proof that nothing was started.
Test(shard_dispatcher, lost_ledger_fails_withheld_jobs_at_once) {
  Shard shard({.expected_agents = {"a@1", "b@1"}});
  shard.dispatcher.OnAgentAttached(MakeHello("a", 1));
  shard.dispatcher.OnLedger("a", kEpoch, {MakeOutcome("x", 0, TaskState::kFinished)}, true);
  shard.dispatcher.Submit(MakeSubmission("x", 2));
  shard.dispatcher.OnAgentAttached(MakeHello("b", 2));
  shard.dispatcher.OnLedger("b", kEpoch, {}, true);
  cr_assert(shard.Answer("x").error.kind == ErrorKind::kOutcomeUnknown);
  cr_assert(shard.dispatcher.recovering());
  shard.clock.Advance(seconds(131));
  cr_assert(!shard.dispatcher.recovering());
}

// Guards against a second run of a non-idempotent request after a takeover.
Test(shard_dispatcher, recovered_non_idempotent_job_is_not_started_again) {
  Shard shard({.expected_agents = {"a@1"}});
  shard.dispatcher.OnAgentAttached(MakeHello("a", 1));
  shard.dispatcher.OnLedger("a", kEpoch, {MakeOutcome("h", 0, TaskState::kRevoked)}, true);
  const JobAnswer answer = shard.dispatcher.Submit(MakeHold("h"));
  cr_assert(answer.error.kind == ErrorKind::kOutcomeUnknown);
  cr_assert(!answer.not_run);
  cr_assert(shard.Take<SendDispatch>().empty());
}

// Guards against a handover that starts tasks or loses waiting jobs.
Test(shard_dispatcher, frozen_shard_hands_over_unfinished_jobs) {
  Shard shard;
  Submission first = MakeSubmission("x", 1);
  first.attempt = 1;
  shard.dispatcher.Submit(first);
  shard.dispatcher.Freeze();
  shard.dispatcher.OnAgentAttached(MakeHello("a", 1));
  cr_assert(shard.Take<SendDispatch>().empty());
  const std::vector<Submission> waiting = shard.dispatcher.UnfinishedSubmissions();
  cr_assert(waiting.size() == 1);
  cr_assert(waiting[0].attempt == 0);
  const JobAnswer refused = shard.dispatcher.Submit(MakeSubmission("y", 1));
  cr_assert(refused.error.kind == ErrorKind::kOwnerUnavailable);
  shard.dispatcher.Unfreeze();
  cr_assert(shard.Take<SendDispatch>().size() == 1);
}

// Guards against a false "not run" by an owner that was paused and replaced without noticing.
Test(shard_dispatcher, unconfirmed_owner_claims_nothing) {
  Shard shard({.ownership_validity = seconds(3)});
  shard.dispatcher.Submit(MakeSubmission("x", 1));
  shard.dispatcher.Submit(MakeSubmission("y", 1));
  shard.dispatcher.OnOwnershipConfirmed(shard.clock.now());
  shard.clock.Advance(milliseconds(2'999));
  cr_assert(shard.dispatcher.Cancel("x")->not_run);
  shard.clock.Advance(milliseconds(1));
  cr_assert(!shard.dispatcher.Cancel("y")->not_run);
}

// Guards against a dispatch to an agent whose ledger the next owner would not wait for.
Test(shard_dispatcher, agent_gets_work_only_after_the_table_names_it) {
  Shard shard({.require_persisted_agents = true});
  shard.dispatcher.Submit(MakeSubmission("x", 1));
  shard.dispatcher.OnAgentAttached(MakeHello("a", 1));
  const auto persists = shard.Take<PersistAgents>();
  cr_assert(persists.size() == 1);
  cr_assert(persists[0].instances == std::set<std::string>{"a@1"});
  shard.dispatcher.OnTimer();
  cr_assert(shard.Take<SendDispatch>().empty());
  shard.dispatcher.OnAgentsPersisted({"a@1"});
  cr_assert(shard.Take<SendDispatch>().size() == 1);
}

// Guards against agents in the table that a new owner would wait for in vain.
Test(shard_dispatcher, silent_agent_leaves_the_table_after_the_recovery_window) {
  Shard shard({.recovery_window = seconds(100), .require_persisted_agents = true});
  shard.dispatcher.OnAgentAttached(MakeHello("a", 1));
  shard.dispatcher.OnAgentAttached(MakeHello("a", 2));
  cr_assert(shard.Take<PersistAgents>().back().instances == std::set<std::string>({"a@1", "a@2"}));
  shard.clock.Advance(seconds(100));
  shard.dispatcher.OnTimer();
  cr_assert(shard.Take<PersistAgents>().empty());
  shard.clock.Advance(milliseconds(1));
  shard.dispatcher.OnTimer();
  cr_assert(shard.Take<PersistAgents>().back().instances == std::set<std::string>({"a@2"}));
}

// Guards against jobs whose records a new owner forgets before their ids may be reused.
Test(shard_dispatcher, deadline_beyond_the_recovery_window_is_refused) {
  Shard shard({.max_deadline = seconds(19)});
  const JobAnswer answer = shard.dispatcher.Submit(MakeSubmission("x", 1));
  cr_assert(answer.error.kind == ErrorKind::kInvalidRequest);
  cr_assert(answer.not_run);
}

// Guards against results of an earlier use of the id in the answer to another content.
Test(shard_dispatcher, record_of_other_content_is_not_used) {
  Shard shard;
  shard.dispatcher.OnAgentAttached(MakeHello("a", 1));
  shard.dispatcher.Submit(MakeSubmission("x", 1));
  TaskOutcome other = MakeOutcome("x", 0, TaskState::kFinished);
  other.job.content_hash = 78;
  shard.dispatcher.OnOutcomes("a", {other});
  cr_assert(shard.Answer("x").error.kind == ErrorKind::kSubmissionConflict);
}

// Guards against overfilling an agent that still runs tasks of an earlier owner.
Test(shard_dispatcher, running_tasks_in_a_ledger_take_slots) {
  Shard shard;
  shard.dispatcher.OnAgentAttached(MakeHello("a", 1, 1));
  shard.dispatcher.OnLedger("a", kEpoch, {MakeOutcome("x", 0, TaskState::kRunning)}, true);
  shard.dispatcher.Submit(MakeSubmission("y", 1));
  cr_assert(shard.Take<SendDispatch>().empty());
  shard.Outcome("a", "x", 0, TaskState::kFinished);
  cr_assert(shard.Take<SendDispatch>().size() == 1);
  cr_assert(shard.Answer("x").results == std::vector<std::string>({"result-0"}));
}
