// The whole path with real processes: answers, resubmission, refusals and graceful stops.
#include <criterion/criterion.h>

#include <nlohmann/json.hpp>

#include "support/caller.h"
#include "support/deployment.h"
#include "support/fault_round.h"
#include "support/start_records.h"

namespace {

using std::chrono::milliseconds;
using zinniamux::testing::Caller;
using zinniamux::testing::Deployment;
using zinniamux::testing::Fault;
using zinniamux::testing::FaultByName;
using zinniamux::testing::JobPlan;
using zinniamux::testing::JobReport;
using zinniamux::testing::RoundReport;
using zinniamux::testing::RunFaultRound;
using zinniamux::testing::StartRecords;
using zinniamux::testing::WaitFor;

JobPlan Plan(const std::string& id, std::size_t tasks, milliseconds length) {
  return {.id = id, .task_lengths = std::vector<milliseconds>(tasks, length)};
}

JobReport RunOne(Deployment& deployment, const JobPlan& plan) {
  Caller caller({.entry_ports = deployment.caller_ports()});
  caller.Submit(plan);
  return caller.Finish().front();
}

void AssertClean(const RoundReport& round) {
  cr_assert(round.clean(), "%s", round.ToJson().c_str());
  cr_assert_eq(round.unanswered, 0, "%s", round.ToJson().c_str());
}

}  // namespace

TestSuite(integration, .timeout = 180);

// Guards against an answer that is not whole, and against a second start on resubmission through
// the other entry.
Test(integration, resubmission_through_another_entry_gets_the_same_answer) {
  Deployment deployment({});
  for (int attempt = 0; attempt < 2; ++attempt) {
    const JobReport report = RunOne(deployment, Plan("order-1", 20, milliseconds(20)));
    cr_assert_str_eq(report.state.c_str(), "complete");
    cr_assert(!report.wrong_results);
  }
  const StartRecords records(deployment.directory());
  cr_assert_eq(records.total(), 20);
  cr_assert_eq(records.duplicate_starts(), 0);
}

// Guards against a second run of one request key under another submission id.
Test(integration, request_key_runs_once) {
  Deployment deployment({});
  JobPlan hold = Plan("hold-1", 1, milliseconds(10));
  hold.team = "makers";
  hold.job = "reservation-hold";
  hold.idempotent = false;
  hold.request_key = "billet-7";
  cr_assert_str_eq(RunOne(deployment, hold).state.c_str(), "complete");
  hold.id = "hold-2";
  const JobReport second = RunOne(deployment, hold);
  cr_assert_str_eq(second.error_kind.c_str(), "duplicate_request");
  cr_assert_eq(StartRecords(deployment.directory()).StartsOf("hold-2"), 0);
}

// Guards against a non-idempotent request that runs without a durable claim while the store is
// down, and against idempotent work that stops with the store.
Test(integration, store_outage_refuses_only_non_idempotent_requests) {
  Deployment deployment({});
  deployment.SetPlatformFault(R"({"mode":"down"})");
  cr_assert_str_eq(RunOne(deployment, Plan("order-1", 4, milliseconds(10))).state.c_str(),
                   "complete");
  JobPlan hold = Plan("hold-1", 1, milliseconds(10));
  hold.team = "makers";
  hold.job = "reservation-hold";
  hold.idempotent = false;
  hold.request_key = "billet-7";
  Caller caller({.entry_ports = deployment.caller_ports(), .resubmit = false});
  caller.Submit(hold);
  const JobReport refused = caller.Finish().front();
  cr_assert_str_eq(refused.error_kind.c_str(), "store_unavailable");
  cr_assert_eq(StartRecords(deployment.directory()).StartsOf("hold-1"), 0);
}

// Guards against a caller that loses its answer because the owner died, and against tasks that the
// new owner starts again.
Test(integration, killed_owner_doubles_nothing) {
  const Fault* const faults[] = {FaultByName("kill_owner")};
  AssertClean(RunFaultRound({.seed = 11}, faults));
}

// Guards against an owner that was paused past its lease and starts work when it resumes.
Test(integration, paused_owner_is_fenced) {
  const Fault* const faults[] = {FaultByName("pause_owner")};
  AssertClean(RunFaultRound({.seed = 12}, faults));
}

// Guards against connections that go silent for good and hold tasks or answers back.
Test(integration, silent_connections_are_replaced) {
  const Fault* const faults[] = {FaultByName("silent_connections")};
  AssertClean(RunFaultRound({.seed = 13}, faults));
}

// Guards against a planned stop of the owner or of an agent that cuts requests off.
Test(integration, graceful_stops_cut_off_nothing) {
  const Fault* const faults[] = {FaultByName("stop_owner"), FaultByName("stop_agent")};
  RoundReport round = RunFaultRound({.seed = 14}, faults);
  AssertClean(round);
  // The plan repeats some request keys under new ids; only those may fail.
  cr_assert_eq(round.complete + round.errors["duplicate_request"], round.submitted, "%s",
               round.ToJson().c_str());
}

// Guards against a planned stop of an entry without a shard, or of an executor, that loses
// requests.
Test(integration, stops_of_standby_and_executor_cut_off_nothing) {
  const Fault* const faults[] = {FaultByName("stop_standby"), FaultByName("stop_executor")};
  RoundReport round = RunFaultRound({.seed = 16}, faults);
  AssertClean(round);
  cr_assert_eq(round.complete + round.errors["duplicate_request"], round.submitted, "%s",
               round.ToJson().c_str());
}

// Guards against a lost answer of the store that doubles a claim or loses a takeover.
Test(integration, lost_store_answers_double_nothing) {
  const Fault* const faults[] = {FaultByName("store_loses_answers"), FaultByName("kill_owner")};
  AssertClean(RunFaultRound({.seed = 15}, faults));
}

// Guards against an exit that hangs or fails when all processes stop at once.
Test(integration, all_processes_stop_gracefully) {
  Deployment deployment({});
  cr_assert(deployment.StopGracefully());
}

// Guards against two conflicting publishes that both win, and against a configuration that is not
// in force in every entry.
Test(integration, one_of_two_conflicting_publishes_wins) {
  Deployment deployment({});
  const auto publish = [&](std::size_t entry, const std::string& token) {
    const nlohmann::json body{{"base_version", 1},
                              {"token", token},
                              {"author", token},
                              {"body",
                               {{"teams", {{"shops", {{"weight", 2.0}}}}},
                                {"jobs", {{"stock-lookup", {{"team", "shops"}}}}}}}};
    return deployment.Admin(entry, "POST", "/v1/config", body.dump()).status;
  };
  const int first = publish(0, "first");
  const int second = publish(1, "second");
  cr_assert_eq(first, 200);
  cr_assert_eq(second, 409);
  for (std::size_t entry = 0; entry < deployment.entry_count(); ++entry) {
    cr_assert(WaitFor([&] {
      const auto body =
          nlohmann::json::parse(deployment.Admin(entry, "GET", "/v1/config").body, nullptr, false);
      return body.is_object() && body.value("version", 0) == 2;
    }));
  }
}
