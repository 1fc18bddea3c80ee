// ShardDispatcher: the final ledger of an agent that left gracefully ends recovery.
#include <criterion/criterion.h>

#include <memory>

#include "core/shard_dispatcher.h"

namespace {

using zinniamux::core::AgentInstance;
using zinniamux::core::DispatchConfig;
using zinniamux::core::ErrorKind;
using zinniamux::core::JobAnswer;
using zinniamux::core::JobState;
using zinniamux::core::ManualClock;
using zinniamux::core::ShardDispatcher;
using zinniamux::core::Submission;
using zinniamux::core::TaskOutcome;
using zinniamux::core::TaskState;

const AgentInstance kDepartedAgent{.agent_id = "agent-1", .incarnation = 7};

Submission MakeSubmission(const ManualClock& clock) {
  Submission submission{.id = "order-1",
                        .team = "shops",
                        .job = "stock-lookup",
                        .deadline = clock.now() + std::chrono::seconds(10)};
  submission.tasks.resize(1);
  submission.content_hash = ContentHash(submission);
  return submission;
}

std::unique_ptr<ShardDispatcher> MakeDispatcherAfterTakeover(const ManualClock& clock) {
  auto dispatcher = std::make_unique<ShardDispatcher>(
      ShardDispatcher::Options{.epoch = 2,
                               .expected_agents = {zinniamux::core::InstanceName(kDepartedAgent)}},
      clock);
  DispatchConfig config{.version = 1};
  config.teams["shops"];
  config.jobs["stock-lookup"];
  dispatcher->OnConfig(std::move(config));
  return dispatcher;
}

}  // namespace

// Guards against refusing every unknown id for the whole recovery window after a planned
// replacement of both an agent and the owner.
Test(departed_ledger, ends_recovery_and_supplies_results) {
  const ManualClock clock;
  const auto dispatcher = MakeDispatcherAfterTakeover(clock);
  const Submission submission = MakeSubmission(clock);
  cr_assert(dispatcher->recovering());
  cr_assert(dispatcher->Submit(submission).error.kind == ErrorKind::kRecovering);
  cr_assert_eq(dispatcher->UnheardInstances().size(), 1);
  dispatcher->OnDepartedLedger(
      kDepartedAgent,
      {TaskOutcome{.key = {submission.id, 0},
                   .state = TaskState::kFinished,
                   .result = "in stock",
                   .job = {.task_count = 1, .content_hash = submission.content_hash}}});
  cr_assert(!dispatcher->recovering());
  const JobAnswer answer = dispatcher->Submit(submission);
  cr_assert(answer.state == JobState::kComplete);
  cr_assert(answer.results.front() == "in stock");
}

// Guards against accepting the ledger of one incarnation for that of another.
Test(departed_ledger, of_another_incarnation_does_not_end_recovery) {
  const ManualClock clock;
  const auto dispatcher = MakeDispatcherAfterTakeover(clock);
  dispatcher->OnDepartedLedger({.agent_id = "agent-1", .incarnation = 8}, {});
  cr_assert(dispatcher->recovering());
}
