// The tasks of one shard that wait for a slot.
#ifndef ZINNIAMUX_CORE_JOB_QUEUE_H_
#define ZINNIAMUX_CORE_JOB_QUEUE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "core/dispatch_config.h"
#include "core/team_quota.h"

namespace zinniamux::core {

// A weighted fair queue over teams: start-time fair queueing, charged with the estimated run time
// of each task. Within a team, jobs are served in arrival order or by least remaining work.
// Operations cost O(log n) in the number of teams and of jobs, unless stated otherwise.
//
// A job is kept from Push to Remove, also while none of its tasks waits, so that a refused task
// returns to its former position.
class JobQueue {
 public:
  struct Options {
    // With JobOrder::kLeastRemaining, a job is never overtaken by one that arrived this much later.
    Duration age_bound = std::chrono::seconds(5);
  };

  struct NewJob {
    std::string submission_id;
    std::string team;
    TimePoint arrival;
    // Estimated run time of each task of the job, by task index.
    std::vector<Duration> task_costs;
    // The waiting tasks, in the order in which they are to start.
    std::vector<std::uint32_t> waiting;
  };

  // The work that is served until a team's work is done.
  struct ServiceDemand {
    // The team's own work, and the work of other teams that fair queueing serves in the same time.
    Duration work{0};
    // Slots occupied by teams that have reached their limit of running tasks and start no more.
    std::uint32_t slots_of_limited_teams = 0;
  };

  // The views are valid until the job is removed.
  struct QueuedTask {
    std::string_view submission_id;
    std::string_view team;
    std::uint32_t task_index = 0;
    Duration cost{0};
  };

  JobQueue() : JobQueue(Options()) {}
  explicit JobQueue(const Options& options);
  JobQueue(const JobQueue&) = delete;
  JobQueue& operator=(const JobQueue&) = delete;

  // Applies weights, limits and the job order. O(n log n) if the order changes.
  void Configure(const DispatchConfig& config);
  // Adds a job; a job that is already in the queue is ignored.
  void Push(NewJob job);
  // Removes the next task, and charges its team for it. Empty if no team that may run has a task.
  std::optional<QueuedTask> Pop();
  // Puts a popped task back at the front of its job and refunds the charge to the team. Ignored for
  // an unknown job.
  void Requeue(std::string_view submission_id, std::uint32_t task_index);
  // A task of the team occupies a slot, whether it was popped here or by an earlier owner.
  void OnTaskStarted(std::string_view team);
  // A task of the team freed its slot.
  void OnTaskEnded(std::string_view team);
  // Removes a job and its waiting tasks.
  void Remove(std::string_view submission_id);

  // Excludes a job from Pop until Release; its tasks still count as waiting.
  void Hold(std::string_view submission_id);
  void Release(std::string_view submission_id);
  // Excludes a job from Pop until ResumeDeferred, so that a task that fits no free executor does
  // not block the tasks behind it.
  void Defer(std::string_view submission_id);
  void ResumeDeferred();

  // Number of waiting tasks.
  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  std::uint32_t running() const { return running_; }
  // Moving average of the estimated run times of popped tasks; zero before the first.
  Duration mean_cost() const { return Duration(static_cast<Duration::rep>(mean_cost_)); }
  // Null for an unknown team.
  const TeamQuota* quota(std::string_view team) const;
  // Estimated run time of all waiting tasks of the team.
  Duration queued_work(std::string_view team) const;
  // Demand until the team's waiting work and `extra_work` are done. O(number of teams).
  ServiceDemand DemandOf(std::string_view team, Duration extra_work) const;
  // The number of tasks that the other teams may still queue within their reserved shares of
  // `bound`. O(number of teams).
  std::uint64_t ReservedByOthers(std::string_view team, std::uint64_t bound) const;

 private:
  struct Job;
  struct JobRank {
    // Earlier ranks are served first.
    TimePoint rank;
    std::uint64_t sequence = 0;
    bool operator<(const JobRank& other) const {
      return rank != other.rank ? rank < other.rank : sequence < other.sequence;
    }
  };

  struct Team {
    std::string name;
    std::uint32_t ordinal = 0;
    bool configured = false;
    TeamQuota quota;
    // Start tag of the team's next task, in virtual time.
    double start_tag = 0;
    // Set if and only if the team is in eligible_teams_, under exactly this key.
    bool eligible = false;
    // The jobs with waiting tasks, except held and deferred ones.
    std::map<JobRank, Job*> jobs;
    std::uint32_t known_jobs = 0;
    Duration queued_work{0};
  };

  struct Job {
    std::string submission_id;
    Team* team = nullptr;
    TimePoint arrival;
    std::uint64_t sequence = 0;
    std::vector<Duration> task_costs;
    // The next task to start is the last element.
    std::vector<std::uint32_t> waiting;
    Duration remaining{0};
    JobRank rank;
    // Set if and only if the job is in team->jobs, under `rank`.
    bool ordered = false;
    bool held = false;
    bool deferred = false;
  };

  struct TeamRank {
    double start_tag = 0;
    std::uint32_t ordinal = 0;
    bool operator<(const TeamRank& other) const {
      return start_tag != other.start_tag ? start_tag < other.start_tag : ordinal < other.ordinal;
    }
  };

  struct StringHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>()(text);
    }
  };

  Team& FindOrAddTeam(std::string_view name);
  const Team* FindTeam(std::string_view name) const;
  Job* FindJob(std::string_view submission_id);
  JobRank RankOf(const Job& job) const;
  void AddToOrder(Job& job);
  void RemoveFromOrder(Job& job);
  void UpdateEligibility(Team& team);
  void RemoveEligible(Team& team);

  const Options options_;
  JobOrder job_order_ = JobOrder::kFifo;
  std::map<std::string, Team, std::less<>> teams_;
  std::unordered_map<std::string, Job, StringHash, std::equal_to<>> jobs_;
  // The teams that have an ordered job and may run one more task.
  std::map<TeamRank, Team*> eligible_teams_;
  std::vector<std::string> deferred_jobs_;
  // Start tag of the last popped task; never decreases.
  double virtual_time_ = 0;
  double max_finish_tag_ = 0;
  std::uint64_t next_sequence_ = 0;
  std::uint32_t next_ordinal_ = 0;
  std::size_t size_ = 0;
  std::uint32_t running_ = 0;
  double mean_cost_ = 0;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_JOB_QUEUE_H_
