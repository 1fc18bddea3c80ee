// JobQueue: conservation of tasks, weighted fairness, limits and order.
#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/job_queue.h"
#include "property/property.h"

namespace {

using std::chrono::milliseconds;
using zinniamux::core::DispatchConfig;
using zinniamux::core::Duration;
using zinniamux::core::JobOrder;
using zinniamux::core::JobQueue;
using zinniamux::core::TimePoint;
using zinniamux::tests::CheckProperty;

// Submission id and task index.
using TaskId = std::pair<std::string, std::uint32_t>;

const std::vector<std::string> kTeams{"anvil", "birch", "cedar"};

TimePoint At(int ms) { return TimePoint(milliseconds(ms)); }

JobQueue::NewJob MakeJob(std::string id, std::string team, int arrival_ms,
                         const std::vector<Duration>& costs) {
  JobQueue::NewJob job{.submission_id = std::move(id),
                       .team = std::move(team),
                       .arrival = At(arrival_ms),
                       .task_costs = costs,
                       .waiting = {}};
  for (std::uint32_t index = 0; index < costs.size(); ++index) job.waiting.push_back(index);
  return job;
}

std::vector<Duration> RandomCosts(int max_tasks) {
  std::vector<Duration> costs(*rc::gen::inRange(1, max_tasks + 1));
  for (Duration& cost : costs) cost = milliseconds(*rc::gen::inRange(50, 1000));
  return costs;
}

// The tasks of live jobs by state, as the operations determine it.
struct Model {
  std::map<std::string, std::string> team_of;
  std::set<TaskId> waiting;
  std::set<TaskId> running;
  std::set<std::string> removed;

  std::uint32_t Running(const std::string& team) const {
    return std::count_if(running.begin(), running.end(),
                         [&](const TaskId& key) { return team_of.at(key.first) == team; });
  }
};

template <typename Set>
TaskId AnyOf(const Set& set) {
  return *std::next(set.begin(), *rc::gen::inRange<std::size_t>(0, set.size()));
}

void PopOne(JobQueue& queue, Model& model, const DispatchConfig& config) {
  const auto task = queue.Pop();
  if (!task) {
    for (const TaskId& key : model.waiting) {
      const std::string& team = model.team_of.at(key.first);
      const std::uint32_t limit = config.teams.at(team).max_running_tasks;
      RC_ASSERT(limit > 0U);
      RC_ASSERT(model.Running(team) == limit);
    }
    return;
  }
  const TaskId key{std::string(task->submission_id), task->task_index};
  RC_ASSERT(model.waiting.erase(key) == 1U);
  model.running.insert(key);
  queue.OnTaskStarted(task->team);
  const std::uint32_t limit = config.teams.at(std::string(task->team)).max_running_tasks;
  RC_ASSERT(limit == 0 || model.Running(std::string(task->team)) <= limit);
}

void RemoveJob(JobQueue& queue, Model& model, const std::string& id) {
  queue.Remove(id);
  model.removed.insert(id);
  std::erase_if(model.waiting, [&](const TaskId& key) { return key.first == id; });
}

}  // namespace

// Guards against a task that is lost, handed out twice, handed out after its job was cancelled, or
// held back although its team may run it.
Test(job_queue_property, hands_out_each_waiting_task_once) {
  CheckProperty(7001, "each waiting task is handed out once", [] {
    DispatchConfig config;
    for (const std::string& team : kTeams) {
      config.teams[team].weight = *rc::gen::inRange(1, 5);
      config.teams[team].max_running_tasks = *rc::gen::inRange(0, 4);
    }
    config.policy.job_order = *rc::gen::element(JobOrder::kFifo, JobOrder::kLeastRemaining);
    JobQueue queue;
    queue.Configure(config);
    Model model;
    const int steps = *rc::gen::inRange(1, 120);
    for (int step = 0; step < steps; ++step) {
      const int operation = *rc::gen::inRange(0, 8);
      if (operation == 0) {
        const std::string id = "job-" + std::to_string(step);
        const std::string team = *rc::gen::elementOf(kTeams);
        const std::vector<Duration> costs = RandomCosts(6);
        queue.Push(MakeJob(id, team, step, costs));
        model.team_of[id] = team;
        for (std::uint32_t index = 0; index < costs.size(); ++index) {
          model.waiting.insert({id, index});
        }
      } else if (operation <= 4) {
        PopOne(queue, model, config);
      } else if (!model.running.empty() && operation == 5) {
        const TaskId key = AnyOf(model.running);
        model.running.erase(key);
        queue.OnTaskEnded(model.team_of.at(key.first));
      } else if (!model.running.empty() && operation == 6) {
        const TaskId key = AnyOf(model.running);
        model.running.erase(key);
        queue.OnTaskEnded(model.team_of.at(key.first));
        queue.Requeue(key.first, key.second);
        if (!model.removed.contains(key.first)) model.waiting.insert(key);
      } else if (!model.waiting.empty()) {
        RemoveJob(queue, model, AnyOf(model.waiting).first);
      }
      RC_ASSERT(queue.size() == model.waiting.size());
      RC_ASSERT(queue.running() == model.running.size());
    }
    PopOne(queue, model, config);
  });
}

// Guards against a team that gets more or less than its share while all teams have work.
Test(job_queue_property, serves_busy_teams_by_weight) {
  CheckProperty(7002, "busy teams are served by weight", [] {
    DispatchConfig config;
    for (const std::string& team : kTeams) config.teams[team].weight = *rc::gen::inRange(1, 8);
    JobQueue queue;
    queue.Configure(config);
    for (const std::string& team : kTeams) {
      std::vector<Duration> costs(500);
      for (Duration& cost : costs) cost = milliseconds(*rc::gen::inRange(50, 1000));
      queue.Push(MakeJob(team, team, 0, costs));
    }
    std::map<std::string, double> served;
    for (int step = 0; step < 400; ++step) {
      const auto task = queue.Pop();
      const std::string team(task->team);
      // One in ten is refused by its agent and must not cost the team its turn.
      if (*rc::gen::inRange(0, 10) == 0) {
        queue.Requeue(task->submission_id, task->task_index);
        continue;
      }
      served[team] += std::chrono::duration<double>(task->cost).count();
      // Start-time fair queueing bounds the difference by one longest task of each team.
      for (const std::string& first : kTeams) {
        for (const std::string& second : kTeams) {
          const double first_weight = config.teams[first].weight;
          const double second_weight = config.teams[second].weight;
          const double difference = served[first] / first_weight - served[second] / second_weight;
          RC_ASSERT(std::abs(difference) <= 1.0 / first_weight + 1.0 / second_weight + 1e-6);
        }
      }
    }
  });
}

// Guards against a large job that smaller, younger jobs keep out for ever.
Test(job_queue_property, bounds_overtaking_by_age) {
  CheckProperty(7003, "overtaking is bounded by age", [] {
    constexpr int kAgeBoundMs = 2000;
    DispatchConfig config;
    config.teams["anvil"];
    config.policy.job_order = JobOrder::kLeastRemaining;
    JobQueue queue({.age_bound = milliseconds(kAgeBoundMs)});
    queue.Configure(config);
    std::map<std::string, int> arrivals;
    const int jobs = *rc::gen::inRange(2, 20);
    for (int job = 0; job < jobs; ++job) {
      const std::string id = "job-" + std::to_string(job);
      arrivals[id] = *rc::gen::inRange(0, 10'000);
      queue.Push(MakeJob(id, "anvil", arrivals[id], RandomCosts(40)));
    }
    int latest = 0;
    while (const auto task = queue.Pop()) {
      const int arrival = arrivals.at(std::string(task->submission_id));
      RC_ASSERT(arrival >= latest - kAgeBoundMs);
      latest = std::max(latest, arrival);
    }
  });
}
