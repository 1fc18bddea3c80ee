// Event simulation of the shared queue.
#include "overload/shared_queue.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <queue>
#include <tuple>
#include <vector>

namespace zinniamux::bench {
namespace {

using core::Duration;
using testing::KindCount;
using testing::SimulatedJob;

class SharedQueue {
 public:
  SharedQueue(std::span<const SimulatedJob> jobs, std::span<const SharedExecutor> executors)
      : jobs_(jobs), executors_(executors) {
    for (const SharedExecutor& executor : executors) {
      free_.push_back(executor.cpu_milli);
      fastest_ = std::min(fastest_, executor.slowness);
    }
    for (std::size_t i = 0; i < jobs.size(); ++i) events_.push({.time = jobs[i].arrives, .job = i});
  }

  std::map<std::string, KindCount> Serve() {
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      if (event.executor < 0) {
        Enqueue(event.job);
      } else {
        free_[static_cast<std::size_t>(event.executor)] += NeedOf(event.job);
      }
      StartJobs(event.time);
    }
    return counts_;
  }

 private:
  // The arrival of a job, or the end of one of its tasks on an executor.
  struct Event {
    Duration time{0};
    std::size_t job = 0;
    std::int64_t executor = -1;
    bool operator<(const Event& other) const { return time > other.time; }
  };
  struct Waiting {
    bool urgent = false;
    Duration latest_start{0};
    std::size_t job = 0;
    bool operator<(const Waiting& other) const {
      return std::tuple(!urgent, latest_start, job) <
             std::tuple(!other.urgent, other.latest_start, other.job);
    }
  };

  std::int64_t NeedOf(std::size_t job) const {
    return jobs_[job].request.steps.front().need.cpu_milli;
  }

  // The end of the objective.
  static Duration DueAt(const SimulatedJob& job) {
    const Duration longest = *std::max_element(job.run_times.begin(), job.run_times.end());
    return job.arrives + RunTime(longest, job.request.stretch) + job.request.slack;
  }
  static Duration RunTime(Duration run_time, double slowness) {
    return std::chrono::duration_cast<Duration>(run_time * slowness);
  }

  void Enqueue(std::size_t index) {
    const SimulatedJob& job = jobs_[index];
    const Duration longest = *std::max_element(job.run_times.begin(), job.run_times.end());
    ++counts_[job.request.queue].asked;
    waiting_.push_back({job.request.urgent, DueAt(job) - RunTime(longest, fastest_), index});
    std::sort(waiting_.begin(), waiting_.end());
  }

  void StartJobs(Duration now) {
    std::vector<Waiting> left;
    bool blocked = false;
    for (const Waiting& each : waiting_) {
      KindCount& count = counts_[jobs_[each.job].request.queue];
      if (each.latest_start < now) {
        ++count.refused;
      } else if (!blocked && Start(each.job, now)) {
        ++count.in_time;
      } else {
        blocked = true;
        left.push_back(each);
      }
    }
    waiting_ = std::move(left);
  }

  // Starts all tasks of the job, or none.
  bool Start(std::size_t index, Duration now) {
    const std::int64_t need = NeedOf(index);
    std::vector<std::int64_t> free = free_;
    std::vector<Event> ends;
    const Duration left = DueAt(jobs_[index]) - now;
    for (const Duration run_time : jobs_[index].run_times) {
      std::optional<std::size_t> most;
      for (std::size_t i = 0; i < free.size(); ++i) {
        if (free[i] < need || RunTime(run_time, executors_[i].slowness) > left) continue;
        if (!most || free[i] > free[*most]) most = i;
      }
      if (!most) return false;
      free[*most] -= need;
      ends.push_back({.time = now + RunTime(run_time, executors_[*most].slowness),
                      .job = index,
                      .executor = static_cast<std::int64_t>(*most)});
    }
    free_ = std::move(free);
    for (const Event& end : ends) events_.push(end);
    return true;
  }

  std::span<const SimulatedJob> jobs_;
  std::span<const SharedExecutor> executors_;
  double fastest_ = std::numeric_limits<double>::infinity();
  std::vector<std::int64_t> free_;
  std::priority_queue<Event> events_;
  // Sorted by the order in which jobs start.
  std::vector<Waiting> waiting_;
  std::map<std::string, KindCount> counts_;
};

}  // namespace

std::map<std::string, KindCount> ServeFromSharedQueue(std::span<const SimulatedJob> jobs,
                                                      std::span<const SharedExecutor> executors) {
  return SharedQueue(jobs, executors).Serve();
}

}  // namespace zinniamux::bench
