// Entry side of leased execution: admits jobs, orders the starts of their tasks, and answers them.
#ifndef ZINNIAMUX_CORE_JOB_SCHEDULER_H_
#define ZINNIAMUX_CORE_JOB_SCHEDULER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "core/clock.h"
#include "core/executor_health.h"
#include "core/executor_view.h"
#include "core/job_request.h"
#include "core/room_placement.h"
#include "core/run.h"
#include "core/run_time_estimator.h"
#include "core/view_trust.h"
#include "core/wait_policy.h"

namespace zinniamux::core {

// Starts of tasks of one step on one agent.
struct StartTasks {
  std::string agent_id;
  std::uint64_t order = 0;
  std::string job_id;
  std::uint32_t step = 0;
  std::string spec;
  Resources need;
  std::chrono::milliseconds estimate{0};
  // The runs do not start after this time.
  TimePoint expires;
  // Room is expected to be free. Runs without room are refused, to be placed on another executor.
  bool at_once = false;
  StartRank rank = StartRank::kNormal;
  bool urgent = false;
  struct Start {
    std::uint32_t index = 0;
    std::uint32_t run = 0;
  };
  std::vector<Start> starts;
};

struct StopTask {
  std::string agent_id;
  RunId id;
};

// The job is over; its caller gets this answer.
struct AnswerJob {
  JobReply answer;
  std::string queue;
  // From its arrival to the first order and to the answer.
  Duration waited{0};
  Duration took{0};
  // Of a refused job: how long its tasks would have waited at the best executor, 0 if unknown.
  Duration expected_wait{0};
  std::uint32_t failed_runs = 0;
  std::uint32_t refused_starts = 0;
};

// The standing of an executor has changed.
struct ExecutorJudged {
  ExecutorHealth::Change change;
};

using SchedulerAction = std::variant<StartTasks, StopTask, AnswerJob, ExecutorJudged>;

// The jobs that one entry has accepted, until each is answered. Jobs are not stored: if the entry
// is lost, its agents stop their runs and the callers hand the jobs in again. Rules that it keeps:
// - A task has one run at a time. It is ordered again only after its agent has reported the end of
//   the run, or when the run is over for certain because its agent has been away for `lost_after`.
// - A job is refused only if none of its tasks was ever ordered, or every order is known not to
//   have started anything.
// - Nothing is ordered after the job's deadline, and an order expires at the agent.
// Not thread-safe.
class JobScheduler {
 public:
  struct Options {
    std::string availability_zone;
    // Differs between entries; see RoomPlacement::ChooseSoonest.
    std::uint32_t placement_seed = 1;
    WaitPolicy::Options wait;
    // An agent that went away has ended every run by then: its silence limit, one lease on a clock
    // that is 2 % slow, and the time of a stop.
    std::chrono::milliseconds lost_after{2100};
    // Orders wait for room on an executor for this time at most, and are then placed anew. It must
    // be less than the silence after which an agent counts as lost: one that was frozen would
    // otherwise start what has been ordered elsewhere since.
    std::chrono::milliseconds order_expiry{400};
    // Answers that are repeated to callers that send a job again.
    std::chrono::milliseconds answer_memory{10'000};
    std::size_t max_remembered = 20'000;
    // Jobs that are accepted and not answered.
    std::size_t max_jobs = 20'000;
    // Orders of one task that agents refuse, before the job is given up.
    std::uint32_t max_refused_starts = 30;
    // Orders of one task that are refused for want of room, before the next one waits. Views of
    // executors that are not close are right more often than not while there is room.
    std::uint32_t max_missed_room = 6;
    // After its start an entry knows few executors or none. For so long, jobs wait until they would
    // be late instead of being refused for want of executors. Supervisors connect within tenths of
    // a second, also after the loss of all VMs.
    std::chrono::milliseconds starting{1000};
    // A run is moved off an executor whose pace is this many times the median.
    double move_ratio = 3.0;
  };

  JobScheduler(const Options& options, const Clock& clock);

  // False if a job of that id is being worked on; its answer is for the new caller, too.
  bool OnJob(JobRequest request);
  // The answer of a job that was answered lately.
  std::optional<JobReply> Remembered(const std::string& job_id) const;
  void OnCancel(const std::string& job_id);

  void OnAgentAttached(const std::string& agent_id, const std::string& availability_zone,
                       std::uint64_t incarnation, std::span<const RunId> held_runs);
  void OnAgentDetached(const std::string& agent_id);
  void OnReport(const std::string& agent_id, ExecutorReport report);
  void OnRunUpdate(const std::string& agent_id, const RunId& id, RunOutcome outcome,
                   Duration elapsed);
  // Places what waits. Called once after a batch of events.
  void Place();

  // From now on, jobs that may not be over by `end` are refused.
  void StopAt(TimePoint end) { end_ = end; }
  // Answers every job: refused if nothing of it can have run, abandoned otherwise.
  void AbandonAll();
  void OnTimer();

  std::vector<SchedulerAction> TakeActions();

  bool Knows(const std::string& job_id) const { return jobs_.contains(job_id); }
  std::size_t job_count() const { return jobs_.size(); }
  // Jobs with tasks that are not ordered.
  std::size_t queued_jobs() const { return queue_.size(); }
  // Jobs of the queue without an order.
  std::size_t PendingOf(const std::string& queue) const;
  std::size_t agents_accepting() const;
  // Whether orders that expect room are sent by the views of close executors, and of the others.
  bool trusts_close_views() const { return close_trust_.holds(clock_.now()); }
  bool trusts_other_views() const { return others_trust_.holds(clock_.now()); }
  std::vector<const ExecutorView*> executors() const;

 private:
  enum class TaskState { kBlocked, kReady, kOrdered, kDone };

  struct Task {
    TaskState state = TaskState::kBlocked;
    std::uint32_t run = 0;
    std::uint32_t failed = 0;
    std::uint32_t refused = 0;
    // Orders that were refused for want of room.
    std::uint32_t missed_room = 0;
    std::string agent_id;
    TimePoint ordered_at;
    // The agent on which it failed last.
    std::string avoid;
    // It was stopped on a slow executor to run elsewhere.
    bool moved = false;
  };

  struct Step {
    std::vector<Task> tasks;
    std::uint32_t done = 0;
    std::uint32_t ready = 0;
    Duration estimate{0};
  };

  struct Job {
    JobRequest request;
    std::vector<Step> steps;
    TimePoint received;
    // It is refused unless its tasks are expected to start by then.
    TimePoint start_by;
    TimePoint latest_start;
    // Orders are sent where they are expected to wait no longer.
    Duration order_wait{0};
    // The answer is in time until then.
    TimePoint objective;
    TimePoint first_ordered;
    std::uint32_t ready = 0;
    std::uint32_t ordered = 0;
    std::uint32_t done = 0;
    std::uint32_t failed_runs = 0;
    std::uint32_t refused_starts = 0;
    // An executor has worked on it.
    bool worked_on = false;
  };
  // Within a rank, who must start first comes first.
  struct QueueKey {
    StartRank rank = StartRank::kNormal;
    TimePoint due;
    std::uint64_t number = 0;
    bool operator<(const QueueKey& other) const {
      return std::tie(rank, due, number) < std::tie(other.rank, other.due, other.number);
    }
  };

  struct Agent {
    ExecutorView view;
    std::uint64_t incarnation = 0;
    // Runs that this incarnation holds, or may hold.
    std::set<RunId> runs;
    // Runs of an earlier incarnation, until they are over for certain.
    std::set<RunId> orphans;
    // When the orphans, and the runs of an agent that is away, are over. Unset while it is attached
    // and there are no orphans.
    TimePoint lost_at;
  };

  void Accept(JobRequest request);
  std::optional<JobReason> ReasonToRefuse(const JobRequest& request) const;
  void GiveUp(Job& job, JobReason reason);
  void Refuse(const JobRequest& request, JobReason reason, Duration expected_wait);
  std::chrono::milliseconds RetryAfter(const std::string& job_id, Duration expected_wait) const;
  Duration ChainOf(const JobRequest& request) const;
  Duration EstimateOf(const JobRequest& request, const JobStep& step) const;
  void UnblockSteps(Job& job);
  void MakeReady(Job& job, Step& step, Task& task);
  void Enqueue(Job& job);
  void Dequeue(Job& job);
  StartRank RankOf(const Job& job) const;
  QueueKey KeyOf(const Job& job) const;
  // How long the first tasks that wait would have to wait at the best executor, if one can run
  // them.
  std::optional<Duration> ExpectedWait(const Job& job) const;
  void MoveStragglers();
  bool ShouldMove(const Job& job, const Step& step, const Task& task, double pace,
                  double median_pace);
  void PlaceJob(Job& job);
  // False if a task of the step is not placed.
  bool PlaceStep(Job& job, std::uint32_t step_index, StartRank rank);
  // Takes back the orders that were not sent.
  void TakeBackOrders(Job& job);
  struct Choice {
    ExecutorView* view = nullptr;
    bool at_once = false;
  };
  ViewTrust& TrustOf(const ExecutorView& view) {
    return view.report().is_close ? close_trust_ : others_trust_;
  }
  Choice ChooseExecutor(const Job& job, const Task& task, RoomPlacement::Query query);
  void Order(Job& job, std::uint32_t step, std::uint32_t index, StartRank rank,
             const Choice& choice);
  void OnRunOver(const Agent& agent, const RunId& id, RunOutcome outcome, Duration elapsed);
  void OnTaskOver(Job& job, const RunId& id, RunOutcome outcome);
  static bool MayHaveRun(const Job& job) { return job.worked_on || job.ordered > 0; }
  void End(Job& job, JobResult result, JobReason reason, Duration expected_wait = Duration(0));
  void StopRuns(const Job& job);
  void Remember(const JobReply& answer);
  void ForgetOldAnswers();
  void LoseRuns(const Agent& agent, const std::set<RunId>& lost);
  bool IsStarting() const { return clock_.now() < started_ + options_.starting; }
  bool HasExecutors(const std::string& service) const;
  bool CanEverRun(const JobRequest& request) const;

  const Options options_;
  const Clock& clock_;
  const TimePoint started_;
  const WaitPolicy wait_policy_;
  const RoomPlacement placement_;
  std::minstd_rand placement_random_;
  // Of close executors, and of the others.
  ViewTrust close_trust_;
  ViewTrust others_trust_;
  RunTimeEstimator estimator_;
  ExecutorHealth health_;
  std::unordered_map<std::string, Job> jobs_;
  std::map<QueueKey, std::string> queue_;
  std::unordered_map<std::string, QueueKey> queue_keys_;
  std::map<std::string, Agent> agents_;
  // Views of agents_, in its order.
  std::vector<ExecutorView*> views_;
  // RoomPlacement::MedianPace of views_, as of the last placement.
  double median_pace_ = 1;
  // Starts of the job that is being placed, so that a step's tasks on one agent share an order.
  struct OrderKey {
    std::uint32_t step = 0;
    std::string agent_id;
    bool at_once = false;
    bool operator<(const OrderKey& other) const {
      return std::tie(step, agent_id, at_once) <
             std::tie(other.step, other.agent_id, other.at_once);
    }
  };
  std::map<OrderKey, StartTasks> gathering_;
  std::uint64_t next_order_ = 1;
  std::uint64_t next_job_number_ = 1;
  // Set when the process is to end.
  std::optional<TimePoint> end_;
  std::unordered_map<std::string, JobReply> remembered_;
  std::deque<std::pair<TimePoint, std::string>> remembered_order_;
  std::vector<SchedulerAction> actions_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_JOB_SCHEDULER_H_
