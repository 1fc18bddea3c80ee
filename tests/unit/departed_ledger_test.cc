// ShardDispatcher: the final ledger of an agent that left gracefully ends the recovery.
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

const AgentInstance kDeparted{.agent_id = "agent-1", .incarnation = 7};

Submission Order(const ManualClock& clock) {
  Submission submission{.id = "order-1",
                        .team = "shops",
                        .job = "stock-lookup",
                        .deadline = clock.now() + std::chrono::seconds(10)};
  submission.tasks.resize(1);
  submission.content_hash = ContentHash(submission);
  return submission;
}

std::unique_ptr<ShardDispatcher> TakenOver(const ManualClock& clock) {
  auto dispatcher = std::make_unique<ShardDispatcher>(
      ShardDispatcher::Options{.epoch = 2,
                               .expected_agents = {zinniamux::core::InstanceName(kDeparted)}},
      clock);
  DispatchConfig config{.version = 1};
  config.teams["shops"];
  config.jobs["stock-lookup"];
  dispatcher->OnConfig(std::move(config));
  return dispatcher;
}

}  // namespace

// Guards against refusing every unknown id for the whole recovery window after a planned
// replacement of an agent and of the owner.
Test(departed_ledger, ends_the_recovery_and_supplies_results) {
  const ManualClock clock;
  const auto dispatcher = TakenOver(clock);
  const Submission order = Order(clock);
  cr_assert(dispatcher->recovering());
  cr_assert(dispatcher->Submit(order).error.kind == ErrorKind::kRecovering);
  cr_assert_eq(dispatcher->UnheardInstances().size(), 1);
  dispatcher->OnDepartedLedger(
      kDeparted, {TaskOutcome{.key = {order.id, 0},
                              .state = TaskState::kFinished,
                              .result = "in stock",
                              .job = {.task_count = 1, .content_hash = order.content_hash}}});
  cr_assert(!dispatcher->recovering());
  const JobAnswer answer = dispatcher->Submit(order);
  cr_assert(answer.state == JobState::kComplete);
  cr_assert(answer.results.front() == "in stock");
}

// Guards against taking the ledger of one incarnation for that of another.
Test(departed_ledger, of_another_incarnation_does_not_end_the_recovery) {
  const ManualClock clock;
  const auto dispatcher = TakenOver(clock);
  dispatcher->OnDepartedLedger({.agent_id = "agent-1", .incarnation = 8}, {});
  cr_assert(dispatcher->recovering());
}
