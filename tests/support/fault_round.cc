// Load, faults and judgement of one round.
#include "support/fault_round.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

#include "support/caller.h"
#include "support/deployment.h"
#include "support/start_records.h"

namespace zinniamux::testing {
namespace {

using std::chrono::milliseconds;

constexpr int kMaxTasks = 12;
constexpr int kMaxTaskMilliseconds = 300;
constexpr double kNonIdempotentShare = 0.25;
// Share of non-idempotent jobs that reuse the request key of the one before, under a new id.
constexpr double kRepeatedKeyShare = 0.3;

std::vector<JobPlan> DrawPlans(const RoundOptions& options, std::mt19937_64& random) {
  std::uniform_int_distribution<int> task_count(1, kMaxTasks);
  std::uniform_int_distribution<int> length(1, kMaxTaskMilliseconds);
  std::bernoulli_distribution non_idempotent(kNonIdempotentShare);
  std::bernoulli_distribution repeat_key(kRepeatedKeyShare);
  std::vector<JobPlan> plans;
  std::string last_key;
  for (std::size_t index = 0; index < options.jobs; ++index) {
    JobPlan plan;
    plan.id = "job-" + std::to_string(options.seed) + "-" + std::to_string(index);
    for (int count = task_count(random); count > 0; --count) {
      plan.task_lengths.emplace_back(length(random));
    }
    if (non_idempotent(random)) {
      plan.team = "makers";
      plan.job = "reservation-hold";
      plan.idempotent = false;
      const bool repeated = !last_key.empty() && repeat_key(random);
      plan.request_key = repeated ? last_key : "key-" + plan.id;
      last_key = plan.request_key;
    }
    plans.push_back(std::move(plan));
  }
  return plans;
}

// Request keys of which tasks ran under more than one submission id.
std::size_t CountDoubledRequests(std::span<const JobReport> reports, const StartRecords& records) {
  std::map<std::string, std::size_t> runs;
  for (const JobReport& report : reports) {
    if (report.plan.idempotent || records.StartsOf(report.plan.id) == 0) continue;
    ++runs[report.plan.request_key];
  }
  return static_cast<std::size_t>(
      std::count_if(runs.begin(), runs.end(), [](const auto& run) { return run.second > 1; }));
}

void Judge(std::span<const JobReport> reports, const StartRecords& records, bool planned,
           RoundReport& round) {
  for (const JobReport& report : reports) {
    ++round.submitted;
    if (report.state == "complete") ++round.complete;
    if (report.state == "failed") {
      ++round.failed;
      ++round.errors[report.error_kind];
    }
    if (report.state.empty()) ++round.unanswered;
    if (report.not_run) ++round.refused_not_run;
    if (report.not_run && records.StartsOf(report.plan.id) > 0) ++round.false_not_run;
    if (report.wrong_results) ++round.partial_answers;
    round.lost_answers += static_cast<std::size_t>(report.lost_answers);
  }
  if (planned) round.cut_off = round.lost_answers;
  round.duplicate_starts = records.duplicate_starts();
  round.doubled_requests = CountDoubledRequests(reports, records);
}

}  // namespace

bool RoundReport::clean() const {
  return duplicate_starts == 0 && doubled_requests == 0 && false_not_run == 0 &&
         partial_answers == 0 && cut_off == 0;
}

std::string RoundReport::ToJson() const {
  return nlohmann::ordered_json{{"seed", seed},
                                {"faults", faults},
                                {"submitted", submitted},
                                {"complete", complete},
                                {"failed", failed},
                                {"errors", errors},
                                {"refused_not_run", refused_not_run},
                                {"unanswered", unanswered},
                                {"lost_answers", lost_answers},
                                {"duplicate_starts", duplicate_starts},
                                {"doubled_requests", doubled_requests},
                                {"false_not_run", false_not_run},
                                {"partial_answers", partial_answers},
                                {"cut_off", cut_off}}
      .dump();
}

std::vector<const Fault*> DrawFaults(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<const Fault*> drawn;
  for (const Fault& fault : AllFaults()) {
    if (fault.drawn) drawn.push_back(&fault);
  }
  // The first one is "none".
  std::uniform_int_distribution<std::size_t> index(1, drawn.size() - 1);
  const std::size_t first = index(random);
  std::size_t second = index(random);
  while (second == first) second = index(random);
  return {drawn[first], drawn[second]};
}

RoundReport RunFaultRound(const RoundOptions& options, std::span<const Fault* const> faults) {
  RoundReport round{.seed = options.seed};
  bool planned = true;
  for (const Fault* fault : faults) {
    round.faults.emplace_back(fault->name);
    planned = planned && fault->planned;
  }
  std::mt19937_64 random(options.seed);
  Deployment deployment({.entries = options.entries, .agents = options.agents});
  Caller caller(
      {.entry_ports = deployment.caller_ports(), .admin_ports = deployment.admin_ports()});
  const std::vector<JobPlan> plans = DrawPlans(options, random);

  std::thread chaos([&] {
    std::this_thread::sleep_for(options.fault_start);
    for (const Fault* fault : faults) fault->inject(deployment, random);
    std::this_thread::sleep_for(options.fault_time);
    for (const Fault* fault : faults) fault->heal(deployment);
  });
  const milliseconds gap = options.load_time / static_cast<int>(options.jobs);
  for (const JobPlan& plan : plans) {
    caller.Submit(plan);
    std::this_thread::sleep_for(gap);
  }
  chaos.join();
  const std::vector<JobReport> reports = caller.Finish();
  Judge(reports, StartRecords(deployment.directory()), planned, round);
  return round;
}

}  // namespace zinniamux::testing
