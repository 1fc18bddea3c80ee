// ShardDispatcher: queueing, placement, executor health and retry budget, through the public
// interface.
#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "core/shard_dispatcher.h"

namespace {

using namespace zinniamux::core;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

struct Shard {
  explicit Shard(const ShardDispatcher::Options& options = {}) : dispatcher(options, clock) {
    config.version = 1;
    for (const char* team : {"anvil", "birch"}) config.teams[team];
    config.jobs["stock"];
    dispatcher.OnConfig(config);
  }

  void Attach(const std::string& id, std::uint32_t slots, std::uint32_t memory_mb = 0) {
    AgentHello hello{.agent_id = id, .incarnation = 1, .rack = "rack-" + id};
    hello.executor = {
        .executor_id = id + "-executor", .available = true, .slots = slots, .memory_mb = memory_mb};
    dispatcher.OnAgentAttached(hello);
  }

  JobAnswer Submit(const std::string& id, const std::string& team, std::size_t tasks,
                   std::uint32_t memory_mb = 0) {
    Submission submission{.id = id, .team = team, .job = "stock"};
    submission.deadline = clock.now() + seconds(30);
    submission.tasks.resize(tasks, {.run_time = milliseconds(100), .memory_mb = memory_mb});
    return dispatcher.Submit(submission);
  }

  template <typename Action>
  std::vector<Action> TakeActionsOf() {
    std::vector<Action> taken;
    for (DispatcherAction& action : dispatcher.TakeActions()) {
      if (auto* match = std::get_if<Action>(&action)) taken.push_back(std::move(*match));
    }
    return taken;
  }

  // Reports one outcome for each task dispatched since the last call. The tasks of `failing_agent`
  // fail. Returns the number of tasks per agent.
  std::map<std::string, std::size_t> FinishDispatchedTasks(const std::string& failing_agent = "") {
    std::map<std::string, std::size_t> tasks;
    for (const SendDispatch& dispatch : TakeActionsOf<SendDispatch>()) {
      tasks[dispatch.agent_id] += dispatch.order.tasks.size();
      for (const DispatchTask& task : dispatch.order.tasks) {
        const bool fails = dispatch.agent_id == failing_agent;
        TaskOutcome outcome{.key = {dispatch.order.submission_id, task.task_index},
                            .state = fails ? TaskState::kFailed : TaskState::kFinished,
                            .run_time = milliseconds(100),
                            .job = dispatch.order.facts};
        dispatcher.OnOutcomes(dispatch.agent_id, {outcome});
      }
    }
    return tasks;
  }

  ManualClock clock;
  DispatchConfig config;
  ShardDispatcher dispatcher;
};

}  // namespace

// Guards against one dispatch message per task where one per agent is enough.
Test(shard_dispatcher_policy, tasks_of_a_job_for_one_agent_are_dispatched_together) {
  Shard shard;
  shard.Attach("a", 4);
  shard.Attach("b", 4);
  shard.Submit("x", "anvil", 6);
  const auto dispatches = shard.TakeActionsOf<SendDispatch>();
  cr_assert_eq(dispatches.size(), 2U);
  cr_assert_eq(dispatches[0].order.tasks.size(), 3U);
  cr_assert_eq(dispatches[1].order.tasks.size(), 3U);
}

// Guards against a team that waits until all tasks of another team have started.
Test(shard_dispatcher_policy, a_team_does_not_wait_for_another_teams_job) {
  Shard shard;
  shard.Submit("x", "anvil", 100);
  shard.Submit("y", "birch", 2);
  shard.Attach("a", 4);
  const auto dispatches = shard.TakeActionsOf<SendDispatch>();
  cr_assert_eq(dispatches.size(), 2U);
  cr_assert_eq(dispatches[0].order.tasks.size(), 2U);
  cr_assert_eq(dispatches[1].order.tasks.size(), 2U);
}

// Guards against a task that fits no free executor and blocks tasks that do.
Test(shard_dispatcher_policy, a_task_that_fits_no_free_executor_does_not_block_others) {
  Shard shard;
  shard.Attach("large", 1, 8000);
  shard.Submit("x", "anvil", 2, 5000);
  shard.Attach("small", 1, 1000);
  cr_assert_eq(shard.TakeActionsOf<SendDispatch>().size(), 1U);
  shard.Submit("y", "anvil", 1, 500);
  const auto dispatches = shard.TakeActionsOf<SendDispatch>();
  cr_assert_eq(dispatches.size(), 1U);
  cr_assert_eq(dispatches[0].agent_id, "small");
  cr_assert(shard.Submit("z", "anvil", 1, 9000).error.kind == ErrorKind::kNeverRunnable);
}

// Guards against an executor that fails every task and keeps getting tasks, and against one that
// never gets a task again.
Test(shard_dispatcher_policy, a_failing_executor_is_ejected_and_reinstated) {
  Shard shard;
  for (const char* agent : {"a", "b", "c"}) shard.Attach(agent, 2);
  for (int job = 0; job < 30; ++job) {
    shard.Submit("x" + std::to_string(job), "anvil", 3);
    shard.FinishDispatchedTasks("a");
  }
  shard.Submit("y", "anvil", 6);
  cr_assert(!shard.FinishDispatchedTasks().contains("a"));
  shard.clock.Advance(seconds(2));
  shard.dispatcher.OnTimer();
  shard.Submit("z", "anvil", 6);
  cr_assert_eq(shard.FinishDispatchedTasks().at("a"), 1U);
}

// Guards against a task that is refused and dispatched again without end while no task completes.
Test(shard_dispatcher_policy, refused_job_fails_when_the_retry_budget_is_exhausted) {
  Shard shard;
  shard.Attach("a", 1);
  shard.Submit("x", "anvil", 1);
  int dispatches = 0;
  for (int round = 0; round < 50; ++round) {
    for (const SendDispatch& dispatch : shard.TakeActionsOf<SendDispatch>()) {
      ++dispatches;
      const std::vector<TaskKey> tasks{{dispatch.order.submission_id, 0}};
      shard.dispatcher.OnRefusal("a", tasks, RefusalReason::kNoSlot);
    }
    shard.clock.Advance(milliseconds(100));
    shard.dispatcher.OnTimer();
  }
  cr_assert_eq(dispatches, 11);
  const JobAnswer answer = *shard.dispatcher.Fetch("x");
  cr_assert(answer.error.kind == ErrorKind::kOverloaded);
  cr_assert(answer.not_run);
}

// Guards against a team that exceeds its limit of running tasks, and against a limit that also
// stops other teams.
Test(shard_dispatcher_policy, a_team_at_its_running_limit_leaves_slots_to_others) {
  Shard shard;
  shard.config.version = 2;
  shard.config.teams["anvil"].max_running_tasks = 2;
  shard.dispatcher.OnConfig(shard.config);
  shard.Attach("a", 8);
  shard.Submit("x", "anvil", 5);
  shard.Submit("y", "birch", 5);
  std::map<std::string, std::size_t> tasks;
  for (const SendDispatch& dispatch : shard.TakeActionsOf<SendDispatch>()) {
    tasks[dispatch.order.submission_id] += dispatch.order.tasks.size();
  }
  cr_assert_eq(tasks["x"], 2U);
  cr_assert_eq(tasks["y"], 5U);
}

// Guards against placements without a logged reason, and against log records while the decision log
// is off.
Test(shard_dispatcher_policy, placements_are_logged_with_candidates_and_reason) {
  Shard shard;
  for (const char* agent : {"a", "b"}) shard.Attach(agent, 2);
  shard.Submit("x", "anvil", 1);
  const auto logs = shard.TakeActionsOf<LogDecision>();
  cr_assert_eq(logs.size(), 1U);
  const DecisionRecord& record = logs[0].record;
  cr_assert(record.decision == DecisionRecord::Decision::kPlaced);
  cr_assert(!record.executor_id.empty() && !record.reason.empty());
  cr_assert(std::any_of(record.candidates.begin(), record.candidates.end(), [&](const auto& item) {
    return item.executor_id == record.executor_id && item.free_slots == 2;
  }));
  Shard without_decision_log({.log_decisions = false});
  without_decision_log.Attach("a", 2);
  without_decision_log.Submit("x", "anvil", 1);
  cr_assert(without_decision_log.TakeActionsOf<LogDecision>().empty());
}
