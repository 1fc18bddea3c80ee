// Admission, fair queueing and run-time estimates together, under load in virtual time.
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <iostream>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "core/admission_controller.h"
#include "core/job_queue.h"
#include "core/run_time_estimator.h"
#include "property/property.h"
#include "support/job_traces.h"
#include "support/lease_world.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using zinniamux::core::AdmissionController;
using zinniamux::core::DispatchConfig;
using zinniamux::core::Duration;
using zinniamux::core::EstimateJob;
using zinniamux::core::JobConfig;
using zinniamux::core::JobEstimate;
using zinniamux::core::JobQueue;
using zinniamux::core::RunTimeEstimator;
using zinniamux::core::Submission;
using zinniamux::core::TimePoint;
using zinniamux::testing::CountKind;
using zinniamux::testing::KindCount;
using zinniamux::testing::LeaseWorld;
using zinniamux::tests::CheckProperty;

constexpr std::uint32_t kSlots = 88;
constexpr seconds kHorizon{60};
// Goodput is measured after the queue has reached its steady length.
constexpr seconds kWarmUp{10};
constexpr milliseconds kDeadline{4000};

// Offered load of each team in parts of the capacity.
using Load = std::map<std::string, double>;

struct Outcome {
  int submitted = 0;
  int completed = 0;
  // Run time of the tasks of jobs that were completed by their deadline after the warm-up.
  double useful_seconds = 0;
};

// Executors with one shared set of slots, and jobs of three kinds per team whose declared run times
// are off by up to four times.
class Simulation {
 public:
  Simulation(const Load& load, std::uint64_t seed) : load_(load), random_(seed) {
    config_.version = 1;
    for (const auto& [team, part] : load) {
      config_.teams[team].weight = 1;
      for (int kind = 0; kind < 3; ++kind) {
        const std::string name = team + std::to_string(kind);
        config_.jobs[name] = JobConfig{.team = team};
        run_seconds_[name] = Uniform(0.05, 0.6);
        declared_factor_[name] = std::pow(4.0, Uniform(-1, 1));
      }
    }
    queue_.Configure(config_);
  }

  std::map<std::string, Outcome> Run() {
    for (const auto& [team, part] : load_) ScheduleArrival(team);
    while (!events_.empty() && events_.top().time < TimePoint(kHorizon)) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.time;
      if (event.team.empty()) {
        EndTask(event);
      } else {
        Arrive(event.team);
      }
      StartTasks();
    }
    return outcomes_;
  }

 private:
  struct Event {
    TimePoint time;
    // Set for an arrival.
    std::string team;
    std::string job;
    std::uint32_t task = 0;
    bool operator<(const Event& other) const { return time > other.time; }
  };

  struct Job {
    Submission submission;
    std::vector<Duration> run_times;
    std::size_t done = 0;
    bool expired = false;
  };

  double Uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  static Duration Seconds(double value) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
  }

  void ScheduleArrival(const std::string& team) {
    double mean_work = 0;
    constexpr double kMeanTasks = 10.5;
    for (int kind = 0; kind < 3; ++kind) {
      mean_work += run_seconds_[team + std::to_string(kind)] * kMeanTasks / 3;
    }
    const double rate = load_.at(team) * kSlots / mean_work;
    const double gap = std::exponential_distribution<double>(rate)(random_);
    events_.push({.time = now_ + Seconds(gap), .team = team});
  }

  void Arrive(const std::string& team) {
    ScheduleArrival(team);
    Job job;
    job.submission.id = "job-" + std::to_string(next_job_++);
    job.submission.team = team;
    job.submission.job = team + std::to_string(static_cast<int>(Uniform(0, 3)));
    job.submission.deadline = now_ + kDeadline;
    job.submission.tasks.resize(static_cast<std::size_t>(Uniform(1, 21)));
    const double run_seconds = run_seconds_[job.submission.job];
    for (auto& task : job.submission.tasks) {
      const Duration run_time = Seconds(run_seconds * Uniform(0.5, 1.5));
      job.run_times.push_back(run_time);
      const double declared = declared_factor_[job.submission.job] * run_seconds * 1000;
      task.run_time = milliseconds(static_cast<int>(declared));
    }
    ++outcomes_[team].submitted;
    const JobEstimate estimate =
        EstimateJob(job.submission, config_.jobs[job.submission.job], estimator_);
    const AdmissionController::Situation situation{
        .config = config_,
        .queue = queue_,
        .capacity = {.open_slots = kSlots, .free_slots = kSlots - queue_.running()},
        .now = now_};
    if (admission_.CheckLoad(job.submission, estimate, situation)) return;
    JobQueue::NewJob new_job{.submission_id = job.submission.id,
                             .team = team,
                             .arrival = now_,
                             .task_costs = estimate.task_costs};
    for (std::uint32_t index = 0; index < job.run_times.size(); ++index) {
      new_job.waiting.push_back(index);
    }
    queue_.Push(std::move(new_job));
    jobs_.emplace(job.submission.id, std::move(job));
  }

  void StartTasks() {
    while (queue_.running() < kSlots) {
      const auto task = queue_.Pop();
      if (!task) return;
      Job& job = jobs_.at(std::string(task->submission_id));
      if (now_ >= job.submission.deadline) {
        job.expired = true;
        queue_.Remove(job.submission.id);
        continue;
      }
      queue_.OnTaskStarted(job.submission.team);
      events_.push({.time = now_ + job.run_times[task->task_index],
                    .job = job.submission.id,
                    .task = task->task_index});
    }
  }

  void EndTask(const Event& event) {
    Job& job = jobs_.at(event.job);
    queue_.OnTaskEnded(job.submission.team);
    const Duration run_time = job.run_times[event.task];
    estimator_.Observe(job.submission.job, job.submission.tasks[event.task].run_time, run_time);
    if (++job.done < job.run_times.size() || job.expired) return;
    queue_.Remove(job.submission.id);
    if (now_ > job.submission.deadline) return;
    Outcome& outcome = outcomes_[job.submission.team];
    ++outcome.completed;
    if (now_ < TimePoint(kWarmUp)) return;
    for (const Duration task : job.run_times) {
      outcome.useful_seconds += std::chrono::duration<double>(task).count();
    }
  }

  const Load load_;
  std::mt19937_64 random_;
  DispatchConfig config_;
  std::map<std::string, double> run_seconds_;
  std::map<std::string, double> declared_factor_;
  JobQueue queue_;
  AdmissionController admission_;
  RunTimeEstimator estimator_;
  TimePoint now_{};
  std::priority_queue<Event> events_;
  std::map<std::string, Job> jobs_;
  std::map<std::string, Outcome> outcomes_;
  int next_job_ = 0;
};

double Goodput(const std::map<std::string, Outcome>& outcomes) {
  double useful = 0;
  for (const auto& [team, outcome] : outcomes) useful += outcome.useful_seconds;
  return useful / (kSlots * std::chrono::duration<double>(kHorizon - kWarmUp).count());
}

Load EvenLoad(double total) {
  Load load;
  for (const char* team : {"anvil", "birch", "cedar", "daisy"}) load[team] = total / 4;
  return load;
}

// Counts of all kinds over several seeds, at a share of the executors' room.
KindCount PlayTraces(const zinniamux::core::JobScheduler::Options& scheduler, double load) {
  constexpr std::int64_t kExecutorCpuMilli = 64'000;
  constexpr std::int64_t kTaskCpuMilli = 6200;
  // Processor need of the trace at load 1, and the executors' room.
  constexpr double kRoomPerTraceLoad = 11 * kExecutorCpuMilli / 490'000.0;
  KindCount sum;
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    LeaseWorld world({.seed = seed,
                      .dispatchers = 4,
                      .executor_cpu_milli = std::vector<std::int64_t>(11, kExecutorCpuMilli),
                      .scheduler = scheduler});
    AddTrace(world, {.seed = seed,
                     .begin = seconds(4),
                     .length = seconds(10),
                     .load = load * kRoomPerTraceLoad,
                     .dispatchers = 4,
                     .task_cpu_milli = kTaskCpuMilli});
    world.Run(seconds(24));
    cr_assert(world.violations().empty(), "%s", world.violations().front().c_str());
    const KindCount count = CountKind(world, "");
    sum.asked += count.asked;
    sum.in_time += count.in_time;
    sum.late += count.late;
    sum.refused += count.refused;
  }
  std::cerr << "load " << load << ": in time " << sum.in_time << " late " << sum.late << " refused "
            << sum.refused << " of " << sum.asked << '\n';
  return sum;
}

}  // namespace

// Load pattern: chance clusters at a load of 0.6. Guards against refusals in peaks that end within
// three times the objective, and against late jobs that displace jobs in time.
Test(overload_property, late_jobs_use_room_after_peaks) {
  const KindCount without = PlayTraces({}, 0.6);
  const KindCount with = PlayTraces({.late = {.enabled = true}}, 0.6);
  cr_assert_leq(with.refused, without.refused / 2);
  cr_assert_geq(with.in_time, without.in_time * 998 / 1000);
}

// Load pattern: a steady load of 0.9, at which executors are never filled completely. Guards
// against long jobs that displace many small ones.
Test(overload_property, large_jobs_do_not_displace_many_small_ones) {
  const KindCount without = PlayTraces({}, 0.9);
  const KindCount with = PlayTraces({.displacement = {.enabled = true}}, 0.9);
  cr_assert_leq(with.refused, without.refused * 85 / 100);
  cr_assert_geq(with.in_time, without.in_time);
}

// Guards against overload in which the slots are busy with jobs that miss their deadlines.
Test(overload_property, goodput_holds_above_capacity) {
  CheckProperty(7301, "goodput at 1.3 times capacity", [] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const double below = Goodput(Simulation(EvenLoad(0.95), seed).Run());
    const double above = Goodput(Simulation(EvenLoad(1.3), seed).Run());
    std::cerr << "goodput " << below << " at 0.95, " << above << " at 1.3\n";
    RC_ASSERT(above >= 0.95 * below);
  });
}

// Guards against a team within its share that is refused or late because of a greedy one.
Test(overload_property, a_team_within_its_share_does_not_suffer) {
  CheckProperty(7302, "a team within its share beside a greedy one", [] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    Load load = EvenLoad(0.6);
    load["daisy"] = 0.9;
    auto outcomes = Simulation(load, seed).Run();
    for (const char* team : {"anvil", "birch", "cedar"}) {
      const double completed = outcomes[team].completed;
      // Jobs still under way at the horizon are not completed.
      std::cerr << team << ' ' << completed << " of " << outcomes[team].submitted << '\n';
      RC_ASSERT(completed >= 0.95 * outcomes[team].submitted - 10);
    }
  });
}
