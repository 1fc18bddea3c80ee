// ShardDispatcher: state transitions of tasks and jobs, one event at a time.
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

Submission MakeNonIdempotentSubmission(const std::string& id) {
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

// A dispatcher with its clock and a configuration.
struct Shard {
  explicit Shard(ShardDispatcher::Options options = {})
      : dispatcher(WithEpoch(std::move(options)), clock) {
    DispatchConfig config;
    config.version = 1;
    config.teams["team"] = {};
    config.jobs["job"] = {.team = "team"};
    config.jobs["hold"] = {.team = "team", .idempotent = false};
    dispatcher.OnConfig(config);
  }

  static ShardDispatcher::Options WithEpoch(ShardDispatcher::Options options) {
    options.epoch = kEpoch;
    return options;
  }

  // Returns the actions of one type since the last call and discards all others.
  template <typename Action>
  std::vector<Action> TakeActionsOf() {
    std::vector<Action> taken;
    for (DispatcherAction& action : dispatcher.TakeActions()) {
      if (auto* match = std::get_if<Action>(&action)) taken.push_back(std::move(*match));
    }
    return taken;
  }

  void ReportOutcome(const std::string& agent, const std::string& id, std::uint32_t index,
                     TaskState state) {
    dispatcher.OnOutcomes(agent, {MakeOutcome(id, index, state)});
  }

  void ReportRefusal(const std::string& agent, const std::string& id, RefusalReason reason,
                     std::uint64_t epoch = 0) {
    dispatcher.OnRefusal(agent, std::vector<TaskKey>{{id, 0}}, reason, epoch);
  }

  JobAnswer Answer(const std::string& id) { return *dispatcher.Fetch(id); }

  ManualClock clock;
  ShardDispatcher dispatcher;
};

}  // namespace

// Guards against a second start of a task whose dispatch may have arrived before the connection was
// lost.
Test(shard_dispatcher, task_stays_with_its_agent_until_reattached_agent_reports) {
  Shard shard;
  shard.dispatcher.OnAgentAttached(MakeHello("a", 1));
  shard.dispatcher.Submit(MakeSubmission("x", 1));
  cr_assert(shard.TakeActionsOf<SendDispatch>().size() == 1);
  shard.dispatcher.OnAgentDetached("a");
  shard.dispatcher.OnAgentAttached(MakeHello("b", 1));
  cr_assert(shard.TakeActionsOf<SendDispatch>().empty());
  shard.dispatcher.OnAgentAttached(MakeHello("a", 1));
  const auto reconciles = shard.TakeActionsOf<SendReconcile>();
  cr_assert(reconciles.size() == 1);
  cr_assert(reconciles[0].tasks == std::vector<TaskKey>({{"x", 0}}));
  shard.ReportOutcome("a", "x", 0, TaskState::kRevoked);
  const auto dispatches = shard.TakeActionsOf<SendDispatch>();
  cr_assert(dispatches.size() == 1);
  cr_assert(dispatches[0].agent_id == "b");
}

// Guards against a second start of a task whose agent restarted without its records.
Test(shard_dispatcher, new_incarnation_makes_its_tasks_unknown) {
  Shard shard;
  shard.dispatcher.OnAgentAttached(MakeHello("a", 1));
  shard.dispatcher.Submit(MakeSubmission("x", 1));
  shard.dispatcher.OnAgentDetached("a");
  shard.dispatcher.OnAgentAttached(MakeHello("a", 2));
  cr_assert(shard.Answer("x").error.kind == ErrorKind::kOutcomeUnknown);
  cr_assert(!shard.Answer("x").not_run);
  cr_assert(shard.TakeActionsOf<SendDispatch>().size() == 1);
  cr_assert(shard.dispatcher.running_tasks() == 0);
}

// Guards against slots that are released twice or never.
Test(shard_dispatcher, slots_are_freed_once) {
  Shard shard;
  shard.dispatcher.OnAgentAttached(MakeHello("a", 1, 1));
  shard.dispatcher.Submit(MakeSubmission("x", 3));
  cr_assert(shard.TakeActionsOf<SendDispatch>().size() == 1);
  shard.ReportOutcome("a", "x", 0, TaskState::kFinished);
  shard.ReportOutcome("a", "x", 0, TaskState::kFinished);
  cr_assert(shard.TakeActionsOf<SendDispatch>().size() == 1);
  cr_assert(shard.dispatcher.running_tasks() == 1);
  shard.dispatcher.OnAgentDetached("a");
  shard.dispatcher.OnAgentAttached(MakeHello("a", 1, 1));
  shard.ReportOutcome("a", "x", 1, TaskState::kRunning);
  cr_assert(shard.dispatcher.running_tasks() == 1);
  cr_assert(shard.TakeActionsOf<SendDispatch>().empty());
}

// Guards against a second placement of a task that its agent has already started.
Test(shard_dispatcher, task_already_started_is_not_placed_again) {
  Shard shard;
  shard.dispatcher.OnAgentAttached(MakeHello("a", 1));
  shard.dispatcher.Submit(MakeSubmission("x", 1));
  shard.dispatcher.OnAgentAttached(MakeHello("b", 1));
  shard.TakeActionsOf<SendDispatch>();
  shard.ReportRefusal("a", "x", RefusalReason::kAlreadyStarted);
  const std::vector<DispatcherAction> actions = shard.dispatcher.TakeActions();
  cr_assert(actions.size() == 1);
  cr_assert(std::holds_alternative<SendReconcile>(actions[0]));
}

// Guards against a late refusal that requeues a task which was dispatched to another agent since.
Test(shard_dispatcher, refusal_by_a_former_agent_is_ignored) {
  Shard shard;
  shard.dispatcher.OnAgentAttached(MakeHello("a", 1));
  shard.dispatcher.Submit(MakeSubmission("x", 1));
  shard.ReportRefusal("a", "x", RefusalReason::kLeaving);
  shard.dispatcher.OnAgentAttached(MakeHello("b", 1));
  cr_assert(shard.TakeActionsOf<SendDispatch>().back().agent_id == "b");
  shard.ReportRefusal("a", "x", RefusalReason::kLeaving);
  cr_assert(shard.TakeActionsOf<SendDispatch>().empty());
  cr_assert(shard.dispatcher.running_tasks() == 1);
}

// Guards against continuous dispatches to an agent that refuses all of them.
Test(shard_dispatcher, agent_is_paused_after_a_refusal) {
  Shard shard;
  shard.dispatcher.OnAgentAttached(MakeHello("a", 1));
  shard.dispatcher.Submit(MakeSubmission("x", 1));
  shard.ReportRefusal("a", "x", RefusalReason::kExecutorDown);
  shard.dispatcher.OnTimer();
  cr_assert(shard.TakeActionsOf<SendDispatch>().size() == 1);
  ExecutorStatus status = MakeHello("a", 1).executor;
  status.connections = 1;
  shard.dispatcher.OnExecutorStatus("a", status);
  cr_assert(shard.TakeActionsOf<SendDispatch>().size() == 1);
  shard.ReportRefusal("a", "x", RefusalReason::kNotAuthorised);
  shard.clock.Advance(seconds(2));
  shard.dispatcher.OnTimer();
  cr_assert(shard.TakeActionsOf<SendDispatch>().size() == 1);
}

// Guards against an owner that continues to place tasks after another entry took over the shard.
Test(shard_dispatcher, owner_stops_when_an_agent_reports_a_higher_epoch) {
  Shard shard;
  shard.dispatcher.OnAgentAttached(MakeHello("a", 1));
  shard.dispatcher.Submit(MakeSubmission("x", 1));
  shard.ReportRefusal("a", "x", RefusalReason::kStaleEpoch, kEpoch);
  cr_assert(!shard.dispatcher.superseded());
  shard.dispatcher.TakeActions();
  shard.ReportRefusal("a", "x", RefusalReason::kStaleEpoch, kEpoch + 1);
  cr_assert(shard.dispatcher.superseded());
  shard.dispatcher.Submit(MakeSubmission("y", 1));
  shard.dispatcher.OnTimer();
  cr_assert(shard.TakeActionsOf<SendDispatch>().empty());
  // The next owner may start tasks that are still in this queue.
  shard.dispatcher.Cancel("x");
  cr_assert(!shard.Answer("x").not_run);
}

// Guards against a retained retryable error that is returned to every later resubmission.
Test(shard_dispatcher, retryable_failure_before_any_start_is_admitted_again) {
  Shard shard;
  shard.dispatcher.Submit(MakeNonIdempotentSubmission("h"));
  shard.dispatcher.OnClaimDecided("h", ClaimDecision::kUnavailable);
  cr_assert(shard.Answer("h").error.kind == ErrorKind::kStoreUnavailable);
  cr_assert(shard.Answer("h").not_run);
  cr_assert(!shard.dispatcher.Submit(MakeNonIdempotentSubmission("h")).finished());
  cr_assert(shard.TakeActionsOf<PersistClaim>().size() == 2);
}

// Guards against a start of a non-idempotent request before its request key is claimed.
Test(shard_dispatcher, non_idempotent_job_waits_for_its_claim) {
  Shard shard;
  shard.dispatcher.OnAgentAttached(MakeHello("a", 1));
  shard.dispatcher.Submit(MakeNonIdempotentSubmission("h"));
  shard.dispatcher.OnTimer();
  cr_assert(shard.TakeActionsOf<SendDispatch>().empty());
  shard.dispatcher.OnClaimDecided("h", ClaimDecision::kGranted);
  cr_assert(shard.TakeActionsOf<SendDispatch>().size() == 1);
  shard.dispatcher.Submit(MakeNonIdempotentSubmission("h2"));
  shard.dispatcher.OnClaimDecided("h2", ClaimDecision::kDuplicate);
  cr_assert(shard.Answer("h2").error.kind == ErrorKind::kDuplicateRequest);
  cr_assert(!shard.Answer("h2").not_run);
  cr_assert(shard.TakeActionsOf<SendDispatch>().empty());
}

// Guards against a non-idempotent request that is started without a claim of its request key.
Test(shard_dispatcher, request_key_must_match_idempotence) {
  Shard shard;
  Submission without_key = MakeNonIdempotentSubmission("k1");
  without_key.request_key.clear();
  Submission with_key = MakeSubmission("k2", 1);
  with_key.request_key = "billet-1";
  Submission wrong_job_kind = MakeSubmission("k3", 1);
  wrong_job_kind.job = "hold";
  for (const Submission& submission : {without_key, with_key, wrong_job_kind}) {
    const JobAnswer answer = shard.dispatcher.Submit(submission);
    cr_assert(answer.error.kind == ErrorKind::kInvalidRequest);
    cr_assert(answer.not_run);
  }
}

// Guards against deleting a job while its id may still be resubmitted, and against never deleting
// it.
Test(shard_dispatcher, finished_job_is_kept_until_deadline_and_retention) {
  Shard shard;
  shard.dispatcher.OnAgentAttached(MakeHello("a", 1));
  shard.dispatcher.Submit(MakeSubmission("x", 1));
  // 20 s to the deadline and 60 s of retention.
  cr_assert(shard.TakeActionsOf<SendDispatch>().at(0).order.retention == seconds(80));
  shard.ReportOutcome("a", "x", 0, TaskState::kFinished);
  shard.clock.Advance(milliseconds(79'999));
  shard.dispatcher.OnTimer();
  cr_assert(shard.dispatcher.Submit(MakeSubmission("x", 1)).state == JobState::kComplete);
  shard.clock.Advance(milliseconds(1));
  shard.dispatcher.OnTimer();
  cr_assert(shard.dispatcher.known_jobs() == 0);
}

// Guards against placement after a cancel, against one revoke message per task, and against queued
// tasks of deleted jobs.
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
  const auto revokes = shard.TakeActionsOf<SendRevoke>();
  cr_assert(revokes.size() == 1);
  cr_assert(revokes[0].tasks.size() == 10);
  shard.clock.Advance(seconds(100));
  shard.dispatcher.OnTimer();
  shard.dispatcher.OnAgentAttached(MakeHello("b", 1, 10));
  cr_assert(shard.TakeActionsOf<SendDispatch>().empty());
}

// Guards against a second start of a task that an agent with a missing ledger may have started.
Test(shard_dispatcher, recovery_withholds_tasks_until_every_ledger_is_merged) {
  Shard shard({.expected_agents = {"a@1", "b@1"}});
  shard.dispatcher.OnAgentAttached(MakeHello("a", 1));
  cr_assert(shard.TakeActionsOf<SendFence>().size() == 1);
  shard.dispatcher.OnLedger("a", kEpoch, {MakeOutcome("x", 0, TaskState::kFinished)}, true);
  cr_assert(shard.dispatcher.recovering());
  const JobAnswer unknown = shard.dispatcher.Submit(MakeSubmission("y", 1));
  cr_assert(unknown.error.kind == ErrorKind::kRecovering);
  cr_assert(!unknown.not_run);
  Submission first = MakeSubmission("z", 1);
  first.attempt = 1;
  // A resend could reach the previous owner, whose dispatches agents accept for 10 s more.
  cr_assert(shard.dispatcher.Submit(first).error.kind == ErrorKind::kRecovering);
  shard.clock.Advance(milliseconds(10'001));
  shard.dispatcher.Submit(first);
  shard.dispatcher.Submit(MakeSubmission("x", 2));
  auto dispatches = shard.TakeActionsOf<SendDispatch>();
  cr_assert(dispatches.size() == 1);
  cr_assert(dispatches[0].order.submission_id == "z");
  shard.dispatcher.OnAgentAttached(MakeHello("b", 1));
  shard.dispatcher.OnLedger("b", kEpoch, {}, false);
  cr_assert(shard.TakeActionsOf<SendDispatch>().empty());
  shard.dispatcher.OnLedger("b", kEpoch, {}, true);
  cr_assert(!shard.dispatcher.recovering());
  dispatches = shard.TakeActionsOf<SendDispatch>();
  cr_assert(dispatches.size() == 1);
  cr_assert(dispatches[0].order.submission_id == "x");
  cr_assert(dispatches[0].order.tasks[0].task_index == 1);
  shard.ReportOutcome(dispatches[0].agent_id, "x", 1, TaskState::kFinished);
  cr_assert(shard.Answer("x").results == std::vector<std::string>({"result-0", "result-1"}));
}

// Guards against treating the empty ledger of a restarted agent as proof that nothing was started.
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

// Guards against a second start of a non-idempotent request after a takeover.
Test(shard_dispatcher, recovered_non_idempotent_job_is_not_started_again) {
  Shard shard({.expected_agents = {"a@1"}});
  shard.dispatcher.OnAgentAttached(MakeHello("a", 1));
  shard.dispatcher.OnLedger("a", kEpoch, {MakeOutcome("h", 0, TaskState::kRevoked)}, true);
  const JobAnswer answer = shard.dispatcher.Submit(MakeNonIdempotentSubmission("h"));
  cr_assert(answer.error.kind == ErrorKind::kOutcomeUnknown);
  cr_assert(!answer.not_run);
  cr_assert(shard.TakeActionsOf<SendDispatch>().empty());
}

// Guards against a handover during which tasks are started or waiting jobs are lost.
Test(shard_dispatcher, frozen_shard_hands_over_unfinished_jobs) {
  Shard shard;
  Submission first = MakeSubmission("x", 1);
  first.attempt = 1;
  shard.dispatcher.Submit(first);
  shard.dispatcher.Freeze();
  shard.dispatcher.OnAgentAttached(MakeHello("a", 1));
  cr_assert(shard.TakeActionsOf<SendDispatch>().empty());
  const std::vector<Submission> waiting = shard.dispatcher.UnfinishedSubmissions();
  cr_assert(waiting.size() == 1);
  cr_assert(waiting[0].attempt == 0);
  const JobAnswer refused = shard.dispatcher.Submit(MakeSubmission("y", 1));
  cr_assert(refused.error.kind == ErrorKind::kOwnerUnavailable);
  shard.dispatcher.Unfreeze();
  cr_assert(shard.TakeActionsOf<SendDispatch>().size() == 1);
}

// Guards against a false `not_run` from an owner that was paused and replaced in the meantime.
Test(shard_dispatcher, unconfirmed_owner_does_not_answer_not_run) {
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
Test(shard_dispatcher, agent_gets_tasks_only_after_it_is_persisted) {
  Shard shard({.require_persisted_agents = true});
  shard.dispatcher.Submit(MakeSubmission("x", 1));
  shard.dispatcher.OnAgentAttached(MakeHello("a", 1));
  const auto persists = shard.TakeActionsOf<PersistAgents>();
  cr_assert(persists.size() == 1);
  cr_assert(persists[0].instances == std::set<std::string>{"a@1"});
  shard.dispatcher.OnTimer();
  cr_assert(shard.TakeActionsOf<SendDispatch>().empty());
  shard.dispatcher.OnAgentsPersisted({"a@1"});
  cr_assert(shard.TakeActionsOf<SendDispatch>().size() == 1);
}

// Guards against persisted instances whose ledgers a new owner would wait for although they are
// gone.
Test(shard_dispatcher, former_instance_is_removed_after_the_recovery_window) {
  Shard shard({.recovery_window = seconds(100), .require_persisted_agents = true});
  shard.dispatcher.OnAgentAttached(MakeHello("a", 1));
  shard.dispatcher.OnAgentAttached(MakeHello("a", 2));
  cr_assert(shard.TakeActionsOf<PersistAgents>().back().instances ==
            std::set<std::string>({"a@1", "a@2"}));
  shard.clock.Advance(seconds(100));
  shard.dispatcher.OnTimer();
  cr_assert(shard.TakeActionsOf<PersistAgents>().empty());
  shard.clock.Advance(milliseconds(1));
  shard.dispatcher.OnTimer();
  cr_assert(shard.TakeActionsOf<PersistAgents>().back().instances ==
            std::set<std::string>({"a@2"}));
}

// Guards against jobs whose records a new owner deletes while their ids may still be resubmitted.
Test(shard_dispatcher, deadline_beyond_the_recovery_window_is_refused) {
  Shard shard({.max_deadline = seconds(19)});
  const JobAnswer answer = shard.dispatcher.Submit(MakeSubmission("x", 1));
  cr_assert(answer.error.kind == ErrorKind::kInvalidRequest);
  cr_assert(answer.not_run);
}

// Guards against an answer with results of an earlier use of the id for other content.
Test(shard_dispatcher, record_of_other_content_is_not_used) {
  Shard shard;
  shard.dispatcher.OnAgentAttached(MakeHello("a", 1));
  shard.dispatcher.Submit(MakeSubmission("x", 1));
  TaskOutcome other = MakeOutcome("x", 0, TaskState::kFinished);
  other.job.content_hash = 78;
  shard.dispatcher.OnOutcomes("a", {other});
  cr_assert(shard.Answer("x").error.kind == ErrorKind::kSubmissionConflict);
}

// Guards against dispatching more tasks than slots to an agent that runs tasks of an earlier owner.
Test(shard_dispatcher, running_tasks_in_a_ledger_occupy_slots) {
  Shard shard;
  shard.dispatcher.OnAgentAttached(MakeHello("a", 1, 1));
  shard.dispatcher.OnLedger("a", kEpoch, {MakeOutcome("x", 0, TaskState::kRunning)}, true);
  shard.dispatcher.Submit(MakeSubmission("y", 1));
  cr_assert(shard.TakeActionsOf<SendDispatch>().empty());
  shard.ReportOutcome("a", "x", 0, TaskState::kFinished);
  cr_assert(shard.TakeActionsOf<SendDispatch>().size() == 1);
  cr_assert(shard.Answer("x").results == std::vector<std::string>({"result-0"}));
}
