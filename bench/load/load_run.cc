// Deployment, load and figures of one run.
#include "load/load_run.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "load/central_queue.h"
#include "load/open_loop_caller.h"
#include "load/process_usage.h"
#include "load/trace.h"
#include "support/deployment.h"
#include "support/start_records.h"

namespace zinniamux::bench {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::size_t kExecutors = 11;
constexpr std::size_t kSlots = 8;
constexpr std::size_t kEntries = 3;
constexpr milliseconds kDeadline{10'000};

// Delays and settings of one of the two users' deployments.
struct Site {
  std::vector<std::string> availability_zones;
  microseconds zone_delay;
  microseconds caller_delay;
  milliseconds result_hold;
};

Site SiteOf(const std::string& deployment) {
  if (deployment == "arkivhylse") {
    return {{"oslo", "drammen", "hamar"}, microseconds(1000), microseconds(1000), milliseconds(0)};
  }
  if (deployment == "tonewood") {
    return {
        {"kolkata", "siliguri", "howrah"}, microseconds(500), microseconds(3000), milliseconds(30)};
  }
  throw std::invalid_argument("unknown deployment '" + deployment + "'");
}

std::string ConfigBody(const Site& site, const std::string& policy) {
  return json{{"teams", {{"shops", {{"weight", 1.0}}}, {"makers", {{"weight", 1.0}}}}},
              {"jobs",
               {{"stock-lookup", {{"team", "shops"}, {"idempotent", true}}},
                {"certificate", {{"team", "makers"}, {"idempotent", true}}}}},
              {"policy", {{"placement", policy}, {"result_hold_ms", site.result_hold.count()}}}}
      .dump();
}

double Quantile(std::vector<double> values, double quantile) {
  if (values.empty()) return 0;
  const auto rank = static_cast<std::size_t>(
      std::min(std::ceil(quantile * static_cast<double>(values.size())) - 1,
               static_cast<double>(values.size() - 1)));
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(rank),
                   values.end());
  return values[rank];
}

double Rounded(double value, double unit = 0.001) { return std::round(value / unit) * unit; }

// Sums the samples of each message kind over all entries' metrics pages.
std::map<std::string, double> MessageCounts(testing::Deployment& deployment) {
  std::map<std::string, double> counts;
  for (std::size_t index = 0; index < deployment.entry_count(); ++index) {
    std::istringstream page(deployment.Admin(index, "GET", "/metrics").body);
    std::string line;
    const std::string prefix = "zinniamux_messages_total{kind=\"";
    while (std::getline(page, line)) {
      if (!line.starts_with(prefix)) continue;
      const std::size_t end = line.find('"', prefix.size());
      const std::size_t space = line.rfind(' ');
      counts[line.substr(prefix.size(), end - prefix.size())] += std::stod(line.substr(space + 1));
    }
  }
  // A request and an answer each.
  counts["store"] = 2.0 * static_cast<double>(deployment.PlatformRequests());
  return counts;
}

double Total(const std::map<std::string, double>& counts) {
  double total = 0;
  for (const auto& [kind, count] : counts) total += count;
  return total;
}

struct RoleUsage {
  double processor_seconds = 0;
  double largest_resident_mb = 0;
};

RoleUsage UsageOfEntries(testing::Deployment& deployment) {
  RoleUsage usage;
  for (std::size_t index = 0; index < deployment.entry_count(); ++index) {
    const ProcessUsage process = UsageOf(deployment.entry(index).process->id());
    usage.processor_seconds += process.processor_time.count();
    usage.largest_resident_mb = std::max(usage.largest_resident_mb, process.resident_mb);
  }
  return usage;
}

RoleUsage UsageOfAgents(testing::Deployment& deployment) {
  RoleUsage usage;
  for (std::size_t index = 0; index < deployment.agent_count(); ++index) {
    const ProcessUsage process = UsageOf(deployment.agent(index).process->id());
    usage.processor_seconds += process.processor_time.count();
    usage.largest_resident_mb = std::max(usage.largest_resident_mb, process.resident_mb);
  }
  return usage;
}

// Figures of the answers.
struct AnswerFigures {
  std::vector<double> slowdowns;
  std::vector<double> central_slowdowns;
  std::size_t tasks = 0;
  std::size_t refused = 0;
  std::size_t failed = 0;
  std::size_t lost = 0;
  double useful_ms = 0;
  std::map<std::string, std::size_t> errors;
};

AnswerFigures Evaluate(const std::vector<TraceJob>& trace, const std::vector<JobOutcome>& outcomes,
                       const Site& site) {
  AnswerFigures figures;
  const std::vector<Milliseconds> central = CentralQueueResponses(trace, kExecutors * kSlots);
  const Milliseconds delays =
      2 * Milliseconds(site.caller_delay) + 2 * Milliseconds(site.zone_delay);
  for (std::size_t index = 0; index < trace.size(); ++index) {
    const TraceJob& job = trace[index];
    const JobOutcome& outcome = outcomes[index];
    const Milliseconds ideal = Milliseconds(job.longest()) + delays;
    figures.tasks += job.tasks.size();
    figures.central_slowdowns.push_back((central[index] + delays) / ideal);
    if (outcome.whole) {
      figures.slowdowns.push_back(outcome.response / ideal);
      if (outcome.response <= kDeadline) {
        for (const TraceTask& task : job.tasks) {
          figures.useful_ms += static_cast<double>(task.length.count());
        }
      }
    } else if (outcome.state.empty()) {
      ++figures.lost;
    } else {
      ++figures.errors[outcome.error_kind];
      const bool refused = outcome.error_kind == "overloaded" ||
                           outcome.error_kind == "quota_exceeded" ||
                           outcome.error_kind == "queue_timeout";
      ++(refused ? figures.refused : figures.failed);
    }
  }
  return figures;
}

double OfferedMs(const std::vector<TraceJob>& trace) {
  double offered = 0;
  for (const TraceJob& job : trace) {
    for (const TraceTask& task : job.tasks) offered += static_cast<double>(task.length.count());
  }
  return offered;
}

// One request and one answer per job and agent that it used.
std::size_t MessageFloor(const testing::StartRecords& records) { return 2 * records.job_agents(); }

}  // namespace

std::string RunLoad(const RunOptions& options) {
  const Site site = SiteOf(options.deployment);
  testing::Deployment deployment({.entries = kEntries,
                                  .agents = kExecutors,
                                  .slots = kSlots,
                                  .availability_zones = site.availability_zones,
                                  .zone_delay = site.zone_delay,
                                  .caller_delay = site.caller_delay,
                                  .config_body = ConfigBody(site, options.policy)});
  const std::vector<TraceJob> trace = MakeTrace({.seed = options.seed,
                                                 .slots = kExecutors * kSlots,
                                                 .load = options.load,
                                                 .duration = options.duration,
                                                 .id_prefix = "load-"});
  const std::map<std::string, double> messages_before = MessageCounts(deployment);
  const RoleUsage entries_before = UsageOfEntries(deployment);
  const RoleUsage agents_before = UsageOfAgents(deployment);
  const auto begin = std::chrono::steady_clock::now();
  OpenLoopCaller caller(deployment.caller_ports(), kDeadline);
  const std::vector<JobOutcome> outcomes = caller.Run(trace);
  const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
  const RoleUsage entries = UsageOfEntries(deployment);
  const RoleUsage agents = UsageOfAgents(deployment);
  std::map<std::string, double> messages = MessageCounts(deployment);
  for (const auto& [kind, count] : messages_before) messages[kind] -= count;

  const AnswerFigures figures = Evaluate(trace, outcomes, site);
  const testing::StartRecords records(deployment.directory());
  const auto started = static_cast<double>(std::max<std::size_t>(records.total(), 1));
  const double floor = static_cast<double>(MessageFloor(records));
  // The work that was offered, but no more than the slots can do until the last deadline.
  const double slot_ms =
      Milliseconds(options.duration + kDeadline).count() * static_cast<double>(kExecutors * kSlots);
  const double capacity_ms = std::min(OfferedMs(trace), slot_ms);
  return ordered_json{
      {"deployment", options.deployment},
      {"policy", options.policy},
      {"load", options.load},
      {"seed", options.seed},
      {"jobs", trace.size()},
      {"tasks", figures.tasks},
      {"slowdown_p50", Rounded(Quantile(figures.slowdowns, 0.5))},
      {"slowdown_p99", Rounded(Quantile(figures.slowdowns, 0.99))},
      {"central_p50", Rounded(Quantile(figures.central_slowdowns, 0.5))},
      {"central_p99", Rounded(Quantile(figures.central_slowdowns, 0.99))},
      {"messages_per_task", Rounded(Total(messages) / started)},
      {"messages_floor", Rounded(floor / started)},
      {"wasted_messages_per_task", Rounded((Total(messages) - floor) / started)},
      {"messages_by_kind", messages},
      {"goodput", Rounded(figures.useful_ms / capacity_ms)},
      {"refused", figures.refused},
      {"failed", figures.failed},
      {"errors", figures.errors},
      {"entry_cpu_per_task_us",
       Rounded((entries.processor_seconds - entries_before.processor_seconds) * 1e6 / started, 1)},
      {"agent_cpu_percent", Rounded((agents.processor_seconds - agents_before.processor_seconds) *
                                        100 / (elapsed.count() * static_cast<double>(kExecutors)),
                                    0.01)},
      {"rss_mb",
       {{"entry", Rounded(entries.largest_resident_mb, 0.1)},
        {"agent", Rounded(agents.largest_resident_mb, 0.1)}}},
      {"lost", figures.lost},
      {"duplicate_starts", records.duplicate_starts()}}
      .dump();
}

std::string RunThroughput(std::uint64_t seed, std::size_t tasks_per_second,
                          std::chrono::seconds duration) {
  constexpr std::size_t kTasksPerJob = 50;
  testing::Deployment deployment(
      {.entries = 1, .agents = kExecutors, .slots = 64, .connections = 128});
  std::vector<TraceJob> trace;
  const double gap_ms = 1000.0 * kTasksPerJob / static_cast<double>(tasks_per_second);
  const std::size_t jobs =
      tasks_per_second * static_cast<std::size_t>(duration.count()) / kTasksPerJob;
  for (std::size_t index = 0; index < jobs; ++index) {
    TraceJob job{.id = "throughput-" + std::to_string(index),
                 .team = "shops",
                 .job = "stock-lookup",
                 .arrival = Milliseconds(gap_ms * static_cast<double>(index))};
    job.tasks.resize(kTasksPerJob, {milliseconds(1), milliseconds(1)});
    trace.push_back(std::move(job));
  }
  const RoleUsage before = UsageOfEntries(deployment);
  const auto begin = std::chrono::steady_clock::now();
  OpenLoopCaller caller(deployment.caller_ports(), kDeadline);
  const std::vector<JobOutcome> outcomes = caller.Run(trace);
  const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
  const RoleUsage after = UsageOfEntries(deployment);
  std::vector<double> responses;
  for (const JobOutcome& outcome : outcomes) {
    if (outcome.whole) responses.push_back(outcome.response.count());
  }
  const double cores = (after.processor_seconds - before.processor_seconds) / elapsed.count();
  const auto complete = static_cast<double>(responses.size() * kTasksPerJob);
  return ordered_json{{"run", "throughput"},
                      {"seed", seed},
                      {"offered_tasks_per_s", tasks_per_second},
                      {"tasks_per_s", Rounded(complete / elapsed.count(), 1)},
                      {"jobs", jobs},
                      {"complete", responses.size()},
                      {"response_ms_p50", Rounded(Quantile(responses, 0.5), 0.1)},
                      {"response_ms_p99", Rounded(Quantile(responses, 0.99), 0.1)},
                      {"entry_cores", Rounded(cores, 0.01)},
                      {"entry_rss_mb", Rounded(after.largest_resident_mb, 0.1)},
                      {"entry_cpu_per_task_us",
                       Rounded(cores * elapsed.count() * 1e6 / std::max(complete, 1.0), 0.1)}}
      .dump();
}

std::string RunIdle(std::size_t agents, std::chrono::seconds duration) {
  testing::Deployment deployment({.entries = 1, .agents = agents});
  const RoleUsage entry_before = UsageOfEntries(deployment);
  const RoleUsage agents_before = UsageOfAgents(deployment);
  const std::map<std::string, double> messages_before = MessageCounts(deployment);
  std::this_thread::sleep_for(duration);
  const RoleUsage entry = UsageOfEntries(deployment);
  const RoleUsage all_agents = UsageOfAgents(deployment);
  const double seconds = static_cast<double>(duration.count());
  const auto count = static_cast<double>(agents);
  const double agent_seconds = all_agents.processor_seconds - agents_before.processor_seconds;
  return ordered_json{
      {"run", "idle"},
      {"agents", agents},
      {"entry_rss_mb", Rounded(entry.largest_resident_mb, 0.1)},
      {"entry_cpu_percent",
       Rounded((entry.processor_seconds - entry_before.processor_seconds) * 100 / seconds, 0.01)},
      {"agent_rss_mb", Rounded(all_agents.largest_resident_mb, 0.1)},
      {"agent_cpu_percent", Rounded(agent_seconds * 100 / (seconds * count), 0.01)},
      {"messages_per_s",
       Rounded((Total(MessageCounts(deployment)) - Total(messages_before)) / seconds, 0.1)}}
      .dump();
}

}  // namespace zinniamux::bench
