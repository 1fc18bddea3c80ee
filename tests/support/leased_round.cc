// Load, faults and judgement of one round with leased execution.
#include "support/leased_round.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>
#include <utility>

#include "adapters/steady_clock.h"
#include "support/deployment.h"
#include "support/leased_deployment.h"
#include "support/resending_caller.h"
#include "support/run_records.h"

namespace zinniamux::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using Kind = LeasedFault::Kind;

constexpr int kOk = 200;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

// What happens when, from the start of the round.
using Timeline = std::multimap<milliseconds, std::function<void()>>;

// A zone that was evacuated from the row's write to its removal.
struct Evacuation {
  std::size_t zone = 0;
  core::TimePoint from;
  core::TimePoint until = core::TimePoint::max();
};

void AddEvacuation(const LeasedFault& fault, LeasedDeployment& deployment, Timeline& timeline,
                   std::vector<Evacuation>& evacuations) {
  timeline.emplace(fault.at, [&deployment, &evacuations, zone = fault.target] {
    deployment.SetEvacuated(zone, true);
    evacuations.push_back({.zone = zone, .from = adapters::SteadyClock().now()});
  });
  timeline.emplace(fault.at + fault.length, [&deployment, &evacuations, zone = fault.target] {
    const core::TimePoint now = adapters::SteadyClock().now();
    deployment.SetEvacuated(zone, false);
    for (Evacuation& each : evacuations) {
      if (each.zone == zone) each.until = std::min(each.until, now);
    }
  });
}

void JudgeEvacuations(const std::vector<Evacuation>& evacuations, const RunRecords& records,
                      std::size_t executors, LeasedRoundReport& report) {
  std::map<std::string, std::size_t> zones;
  for (std::size_t index = 0; index < executors; ++index) {
    zones[LeasedDeployment::ExecutorId(index)] = index % LeasedDeployment::kZones;
  }
  for (const RunRecords::Record& record : records.records()) {
    for (const Evacuation& each : evacuations) {
      if (zones.at(record.executor) != each.zone || record.start < each.from) continue;
      if (record.start >= each.until) {
        ++report.restored_starts;
        continue;
      }
      const auto late = std::chrono::duration_cast<milliseconds>(record.start - each.from);
      ++report.evacuated_starts;
      report.last_evacuated_start = std::max(report.last_evacuated_start, late);
      if (late > LeasedDeployment::kEvacuate) ++report.evacuated_late;
    }
  }
}

void AddFault(const LeasedFault& fault, LeasedDeployment& deployment, Timeline& timeline) {
  const auto add = [&](std::function<void()> begin, std::function<void()> heal) {
    timeline.emplace(fault.at, std::move(begin));
    timeline.emplace(fault.at + fault.length, std::move(heal));
  };
  const std::size_t target = fault.target;
  switch (fault.kind) {
    case Kind::kFreezeSupervisor:
      return add([&deployment, target] { deployment.supervisor(target).Signal(SIGSTOP); },
                 [&deployment, target] { deployment.supervisor(target).Signal(SIGCONT); });
    case Kind::kFreezeDispatcher:
      return add([&deployment, target] { deployment.dispatcher(target).Signal(SIGSTOP); },
                 [&deployment, target] { deployment.dispatcher(target).Signal(SIGCONT); });
    case Kind::kCutDispatcher:
      return add([&deployment, target] { deployment.rpc_link(target).SetBlackhole(true); },
                 [&deployment, target] { deployment.rpc_link(target).SetBlackhole(false); });
    case Kind::kResetCallers:
      timeline.emplace(fault.at, [&deployment, target] {
        deployment.caller_link(target).ResetOpenConnections();
      });
      return;
    case Kind::kKillSupervisor:
      return add([&deployment, target] { deployment.supervisor(target).Kill(); },
                 [&deployment, target] { deployment.StartSupervisor(target); });
    case Kind::kResetExecutorAnswers:
      timeline.emplace(fault.at, [&deployment, target] {
        deployment.executor_link(target).ResetOpenConnectionsAtAnswer();
      });
      return;
    case Kind::kEvacuateZone:
      // See AddEvacuation.
      return;
  }
}

// Times in the records are of the steady clock, those in the logs are of the system clock.
std::int64_t WallMs(core::TimePoint time) {
  const auto age = adapters::SteadyClock().now() - time;
  const auto wall = std::chrono::system_clock::now().time_since_epoch() - age;
  return std::chrono::duration_cast<milliseconds>(wall).count();
}

std::string TaskText(const core::TaskId& task) {
  return task.job_id + '.' + std::to_string(task.step) + '.' + std::to_string(task.index);
}

json RecordJson(const RunRecords::Record& record) {
  return {{"task", TaskText(record.id.task)},
          {"run", record.id.run},
          {"executor", record.executor},
          {"start_ms", WallMs(record.start)},
          {"end_ms", record.end ? json(WallMs(*record.end)) : json()},
          {"outcome", record.outcome}};
}

json OutcomeJson(const ResendingCaller::Outcome& outcome) {
  json attempts = json::array();
  for (const ResendingCaller::Attempt& attempt : outcome.attempts) {
    attempts.push_back({{"dispatcher", attempt.dispatcher + 1},
                        {"sent_ms", WallMs(attempt.sent)},
                        {"ended_ms", WallMs(attempt.ended)},
                        {"status", attempt.status},
                        {"answer", attempt.answer}});
  }
  return {{"job", outcome.job.id},
          {"tasks", outcome.job.tasks},
          {"task_length_ms", outcome.job.task_length.count()},
          {"attempts", std::move(attempts)}};
}

void JudgeAnswers(const std::vector<ResendingCaller::Outcome>& outcomes, const RunRecords& records,
                  LeasedRoundReport& report) {
  std::set<std::string> started_jobs;
  std::map<std::string, std::set<std::uint32_t>> done_tasks;
  for (const RunRecords::Record& record : records.records()) {
    const core::TaskId& task = record.id.task;
    started_jobs.insert(task.job_id);
    if (record.outcome == NameOf(core::RunOutcome::kDone)) {
      done_tasks[task.job_id].insert(task.index);
    }
  }
  report.unanswered = report.jobs - outcomes.size();
  for (const ResendingCaller::Outcome& outcome : outcomes) {
    const ResendingCaller::Attempt& last = outcome.attempts.back();
    report.resent += outcome.attempts.size() - 1;
    if (last.status == kOk) {
      const json answer = json::parse(last.answer, nullptr, false);
      const std::string state = answer.is_object() ? answer.value("state", "") : "";
      if (state == "failed") {
        ++report.failed;
      } else if (state == "complete") {
        ++report.complete;
        if (done_tasks[outcome.job.id].size() != outcome.job.tasks) ++report.false_complete;
      } else {
        ++report.unexpected_answers;
      }
    } else if (last.status == kServiceUnavailable || last.status == kTooManyRequests) {
      ++report.refused;
      const bool was_started = started_jobs.contains(outcome.job.id);
      // A second copy may be refused after the first one has run.
      if (outcome.attempts.size() == 1 && was_started) ++report.false_refused;
    } else if (outcome.attempts.size() == ResendingCaller::kMaxAttempts) {
      ++report.given_up;
    } else {
      ++report.unexpected_answers;
    }
  }
}

void JudgeRuns(const RunRecords& records, LeasedRoundReport& report) {
  std::map<core::TaskId, std::size_t> runs_of;
  for (const RunRecords::Record& record : records.records()) {
    ++report.runs;
    ++report.outcomes[record.outcome];
    if (++runs_of[record.id.task] == 2) ++report.rerun_tasks;
  }
  report.still_running = records.running();
  const std::vector<RunRecords::Overlap> overlaps = records.Overlaps();
  report.twice = overlaps.size();
  for (const RunRecords::Overlap& overlap : overlaps) {
    report.twice_runs.push_back(
        json::array({RecordJson(overlap.first), RecordJson(overlap.second)}).dump());
  }
}

void WriteRecords(const std::vector<ResendingCaller::Outcome>& outcomes, const RunRecords& records,
                  const LeasedRoundReport& report, std::int64_t start_ms,
                  const std::filesystem::path& directory) {
  std::ofstream runs(directory / "runs.jsonl");
  for (const RunRecords::Record& record : records.records()) runs << RecordJson(record) << '\n';
  std::ofstream callers(directory / "callers.jsonl");
  for (const ResendingCaller::Outcome& outcome : outcomes) callers << OutcomeJson(outcome) << '\n';
  std::ofstream(directory / "round.json")
      << json{{"start_ms", start_ms}, {"report", json::parse(report.ToJson())}} << '\n';
}

}  // namespace

bool LeasedRoundReport::clean() const {
  return twice == 0 && unanswered == 0 && unexpected_answers == 0 && false_complete == 0 &&
         false_refused == 0 && still_running == 0 && evacuated_late == 0;
}

std::string LeasedRoundReport::ToJson() const {
  nlohmann::ordered_json root{{"seed", seed},
                              {"incident", incident},
                              {"dispatchers", dispatchers},
                              {"supervisors", supervisors},
                              {"faults", faults},
                              {"jobs", jobs},
                              {"complete", complete},
                              {"failed", failed},
                              {"refused", refused},
                              {"given_up", given_up},
                              {"resent", resent},
                              {"runs", runs},
                              {"outcomes", outcomes},
                              {"rerun_tasks", rerun_tasks},
                              {"twice", twice},
                              {"unanswered", unanswered},
                              {"unexpected_answers", unexpected_answers},
                              {"false_complete", false_complete},
                              {"false_refused", false_refused},
                              {"still_running", still_running},
                              {"evacuated_late", evacuated_late},
                              {"evacuated_starts", evacuated_starts},
                              {"last_evacuated_start_ms", last_evacuated_start.count()},
                              {"restored_starts", restored_starts}};
  if (!twice_runs.empty()) root["twice_runs"] = twice_runs;
  if (!directory.empty()) root["directory"] = directory;
  return root.dump();
}

LeasedRoundReport RunLeasedRound(const LeasedPlan& plan, const std::string& daemon) {
  LeasedRoundReport report{.seed = plan.seed,
                           .incident = plan.incident,
                           .dispatchers = plan.dispatchers,
                           .supervisors = plan.supervisors,
                           .jobs = plan.jobs.size()};
  LeasedDeployment deployment({.dispatchers = plan.dispatchers,
                               .supervisors = plan.supervisors,
                               .refuses_second_copies = plan.refuses_second_copies,
                               .daemon = daemon});
  const adapters::SteadyClock clock;
  ResendingCaller caller(deployment.caller_ports(), clock);
  Timeline timeline;
  std::vector<Evacuation> evacuations;
  for (const LeasedFault& fault : plan.faults) {
    report.faults.push_back(fault.Text());
    AddFault(fault, deployment, timeline);
    if (fault.kind == Kind::kEvacuateZone) {
      AddEvacuation(fault, deployment, timeline, evacuations);
    }
  }
  for (const LeasedJob& job : plan.jobs) {
    timeline.emplace(job.at, [&caller, &job] { caller.Submit(job); });
  }
  const core::TimePoint start = clock.now();
  for (const auto& [at, act] : timeline) {
    std::this_thread::sleep_until(start + at);
    act();
  }
  const std::vector<ResendingCaller::Outcome> outcomes = caller.Finish();
  // No caller waits any more: what still runs has to be stopped or lapse. The limit is generous, as
  // a verdict must not depend on the speed of the machine.
  WaitFor([&] { return deployment.records().running() == 0; });
  JudgeAnswers(outcomes, deployment.records(), report);
  JudgeRuns(deployment.records(), report);
  JudgeEvacuations(evacuations, deployment.records(), plan.supervisors, report);
  if (!report.clean()) {
    deployment.KeepDirectory();
    report.directory = deployment.directory().string();
  }
  WriteRecords(outcomes, deployment.records(), report, WallMs(start), deployment.directory());
  return report;
}

}  // namespace zinniamux::testing
