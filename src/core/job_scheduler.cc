// Admission, placement and completion of jobs.
#include "core/job_scheduler.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace zinniamux::core {

using std::chrono::milliseconds;

JobScheduler::JobScheduler(const Options& options, const Clock& clock)
    : options_(options),
      clock_(clock),
      started_(clock.now()),
      wait_policy_(options.wait),
      placement_({.availability_zone = options.availability_zone}),
      placement_random_(options.placement_seed) {}

// --- Admission

Duration JobScheduler::EstimateOf(const JobRequest& request, const JobStep& step) const {
  return estimator_.For(request.queue, step.estimate).run_time;
}

Duration JobScheduler::ChainOf(const JobRequest& request) const {
  std::vector<Duration> ends;
  Duration longest{0};
  for (const JobStep& step : request.steps) {
    Duration start{0};
    for (const std::uint32_t earlier : step.after) start = std::max(start, ends[earlier]);
    ends.push_back(start + EstimateOf(request, step));
    longest = std::max(longest, ends.back());
  }
  return longest;
}

bool JobScheduler::HasExecutors(const std::string& service) const {
  return std::any_of(views_.begin(), views_.end(), [&](const ExecutorView* view) {
    return view->takes_work() && view->report().service == service;
  });
}

bool JobScheduler::CanEverRun(const JobRequest& request) const {
  return std::all_of(request.steps.begin(), request.steps.end(), [&](const JobStep& step) {
    return std::any_of(views_.begin(), views_.end(), [&](const ExecutorView* view) {
      const std::string& label = step.required_label;
      return view->report().service == request.service && step.need.Fits(view->report().capacity) &&
             (label.empty() || view->HasLabel(label));
    });
  });
}

std::optional<JobReason> JobScheduler::ReasonToRefuse(const JobRequest& request) const {
  if (end_ && clock_.now() + wait_policy_.Objective(request, ChainOf(request)) > *end_) {
    return JobReason::kShuttingDown;
  }
  if (jobs_.size() >= options_.max_jobs) return JobReason::kOverloaded;
  // Estimates are off by tens of percent; half of one is out of reach.
  constexpr int kReachableDivisor = 2;
  if (request.deadline < clock_.now() + ChainOf(request) / kReachableDivisor) {
    return JobReason::kDeadline;
  }
  if (IsStarting()) return std::nullopt;
  if (!HasExecutors(request.service)) return JobReason::kNoExecutors;
  if (!CanEverRun(request)) return JobReason::kNeverRunnable;
  return std::nullopt;
}

bool JobScheduler::OnJob(JobRequest request) {
  if (jobs_.contains(request.id)) return false;
  if (const std::optional<JobReason> reason = ReasonToRefuse(request)) {
    Refuse(request, *reason, Duration(0));
    return true;
  }
  Accept(std::move(request));
  return true;
}

void JobScheduler::Accept(JobRequest request) {
  const std::string id = request.id;
  Job& job = jobs_[id];
  job.received = request.arrived == TimePoint() ? clock_.now() : request.arrived;
  const Duration chain = ChainOf(request);
  job.start_by = wait_policy_.StartBy(request, chain, job.received);
  job.order_wait = wait_policy_.OrderWait(request, chain);
  job.latest_start = wait_policy_.LatestStart(request, chain, job.received);
  job.objective = job.received + wait_policy_.Objective(request, chain);
  for (const JobStep& step : request.steps) {
    Step state;
    state.tasks.resize(step.count);
    state.estimate = EstimateOf(request, step);
    job.steps.push_back(std::move(state));
  }
  job.request = std::move(request);
  UnblockSteps(job);
}

milliseconds JobScheduler::RetryAfter(const std::string& job_id, Duration expected_wait) const {
  // The hash spreads the returns of callers that are refused at the same time.
  constexpr std::size_t kSpreadSteps = 1024;
  const double spread =
      static_cast<double>(std::hash<std::string>()(job_id) % kSpreadSteps) / kSpreadSteps;
  return wait_policy_.RetryAfter(expected_wait, spread);
}

void JobScheduler::Refuse(const JobRequest& request, JobReason reason, Duration expected_wait) {
  const JobReply answer{.job_id = request.id,
                        .result = JobResult::kRefused,
                        .reason = reason,
                        .retry_after = RetryAfter(request.id, expected_wait)};
  actions_.emplace_back(AnswerJob{.answer = answer, .queue = request.queue});
}

// --- The queue

void JobScheduler::UnblockSteps(Job& job) {
  for (std::size_t i = 0; i < job.steps.size(); ++i) {
    Step& step = job.steps[i];
    if (step.tasks.empty() || step.tasks.front().state != TaskState::kBlocked) continue;
    const auto& after = job.request.steps[i].after;
    const bool open = std::all_of(after.begin(), after.end(), [&](std::uint32_t earlier) {
      return job.steps[earlier].done == job.steps[earlier].tasks.size();
    });
    if (!open) continue;
    for (Task& task : step.tasks) MakeReady(job, step, task);
  }
  Enqueue(job);
}

void JobScheduler::MakeReady(Job& job, Step& step, Task& task) {
  task.state = TaskState::kReady;
  task.agent_id.clear();
  ++step.ready;
  ++job.ready;
}

void JobScheduler::Enqueue(Job& job) {
  const std::string& id = job.request.id;
  if (job.ready == 0 || queue_keys_.contains(id)) return;
  const QueueKey key = KeyOf(job);
  ++next_job_number_;
  queue_.emplace(key, id);
  queue_keys_.emplace(id, key);
}

void JobScheduler::Dequeue(Job& job) {
  const auto key = queue_keys_.find(job.request.id);
  if (key == queue_keys_.end()) return;
  queue_.erase(key->second);
  queue_keys_.erase(key);
}

StartRank JobScheduler::RankOf(const Job& job) const {
  if (MayHaveRun(job)) return StartRank::kStarted;
  return job.request.urgent ? StartRank::kUrgent : StartRank::kNormal;
}

JobScheduler::QueueKey JobScheduler::KeyOf(const Job& job) const {
  return {RankOf(job), MayHaveRun(job) ? job.received : job.start_by, next_job_number_};
}

std::optional<Duration> JobScheduler::ExpectedWait(const Job& job) const {
  for (std::size_t i = 0; i < job.steps.size(); ++i) {
    if (job.steps[i].ready == 0) continue;
    const Duration wait = placement_.LeastWait(views_, {.service = job.request.service,
                                                        .step = &job.request.steps[i],
                                                        .rank = RankOf(job),
                                                        .median_pace = median_pace_});
    if (wait == Duration::max()) return std::nullopt;
    return wait;
  }
  return Duration(0);
}

// --- Placement

void JobScheduler::Place() {
  if (queue_.empty()) return;
  median_pace_ = RoomPlacement::MedianPace(views_);
  std::vector<std::string> waiting;
  waiting.reserve(queue_.size());
  for (const auto& [key, id] : queue_) waiting.push_back(id);
  for (const std::string& id : waiting) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) continue;
    Job& job = found->second;
    PlaceJob(job);
    if (job.ready == 0) {
      Dequeue(job);
    } else if (!MayHaveRun(job) && !IsStarting()) {
      // If no executor will have room in time, waiting would only take room from others.
      const std::optional<Duration> wait = ExpectedWait(job);
      if (!wait || clock_.now() + *wait > job.start_by) GiveUp(job, JobReason::kOverloaded);
    }
  }
}

JobScheduler::Choice JobScheduler::ChooseExecutor(const Job& job, const Task& task,
                                                  RoomPlacement::Query query) {
  const TimePoint now = clock_.now();
  const bool started = query.rank == StartRank::kStarted;
  // Its tasks would end after the objective.
  if (!started && now >= job.latest_start) return {};
  const bool may_miss = task.missed_room < options_.max_missed_room;
  query.tries_close = close_trust_.holds(now);
  query.tries_others = may_miss && others_trust_.holds(now);
  if (ExecutorView* free = placement_.Choose(views_, query, placement_random_)) {
    return {.view = free, .at_once = may_miss};
  }
  const Duration limit =
      started ? options_.order_expiry : std::min(job.order_wait, job.start_by - now);
  if (limit <= Duration(0)) return {};
  // While others order on the same room, orders that are neither urgent nor started come last.
  if (!query.tries_close && query.rank == StartRank::kNormal) {
    query.headroom_cpu_milli = query.step->need.cpu_milli;
  }
  return {.view = placement_.ChooseSoonest(views_, query, limit, placement_random_)};
}

void JobScheduler::PlaceJob(Job& job) {
  const StartRank rank = RankOf(job);
  bool complete = true;
  for (std::uint32_t s = 0; s < job.steps.size(); ++s) {
    complete = PlaceStep(job, s, rank) && complete;
  }
  // A job of which only some tasks start in time is late, and has taken room from others.
  if (!complete && rank != StartRank::kStarted) TakeBackOrders(job);
  for (auto& [key, start] : gathering_) {
    if (start.at_once) {
      TrustOf(agents_.at(start.agent_id).view).NoteOrders(start.starts.size(), clock_.now());
    }
    actions_.emplace_back(std::move(start));
  }
  gathering_.clear();
}

bool JobScheduler::PlaceStep(Job& job, std::uint32_t step_index, StartRank rank) {
  Step& step = job.steps[step_index];
  if (step.ready == 0) return true;
  const JobStep& wanted = job.request.steps[step_index];
  std::map<std::string, std::uint32_t> on_agent;
  if (wanted.max_per_executor > 0) {
    for (const Task& task : step.tasks) {
      if (task.state == TaskState::kOrdered) ++on_agent[task.agent_id];
    }
  }
  for (std::uint32_t index = 0; index < step.tasks.size() && step.ready > 0; ++index) {
    Task& task = step.tasks[index];
    if (task.state != TaskState::kReady) continue;
    const auto allows = [&](const ExecutorView& view) {
      if (view.agent_id() == task.avoid) return false;
      if (health_.standing(view.agent_id()) == ExecutorHealth::Standing::kEjected) return false;
      return wanted.max_per_executor == 0 || on_agent[view.agent_id()] < wanted.max_per_executor;
    };
    const Choice choice = ChooseExecutor(job, task,
                                         {.service = job.request.service,
                                          .step = &wanted,
                                          .rank = rank,
                                          .median_pace = median_pace_,
                                          .allows = allows});
    // Tasks of a step are alike, so the next one fits nowhere either, unless this one avoids an
    // executor of its own.
    if (choice.view == nullptr && task.avoid.empty()) break;
    if (choice.view == nullptr) continue;
    if (wanted.max_per_executor > 0) ++on_agent[choice.view->agent_id()];
    Order(job, step_index, index, rank, choice);
  }
  return step.ready == 0;
}

void JobScheduler::TakeBackOrders(Job& job) {
  for (const auto& [key, start] : gathering_) {
    Agent& agent = agents_.at(start.agent_id);
    agent.view.OnOrderDropped(start.order);
    Step& step = job.steps[start.step];
    for (const StartTasks::Start& each : start.starts) {
      agent.runs.erase({.task = {.job_id = job.request.id, .step = start.step, .index = each.index},
                        .run = each.run});
      --step.tasks[each.index].run;
      --job.ordered;
      MakeReady(job, step, step.tasks[each.index]);
    }
  }
  job.first_ordered = {};
  gathering_.clear();
}

void JobScheduler::Order(Job& job, std::uint32_t step_index, std::uint32_t index, StartRank rank,
                         const Choice& choice) {
  Agent& agent = agents_.at(choice.view->agent_id());
  Step& step = job.steps[step_index];
  Task& task = step.tasks[index];
  const TimePoint now = clock_.now();
  const JobStep& wanted = job.request.steps[step_index];
  TimePoint expires = std::min(now + options_.order_expiry, job.request.deadline);
  if (rank != StartRank::kStarted) expires = std::min(expires, job.latest_start);
  StartTasks& start = gathering_[{step_index, agent.view.agent_id(), choice.at_once}];
  if (start.starts.empty()) {
    start = StartTasks{.agent_id = agent.view.agent_id(),
                       .order = next_order_++,
                       .job_id = job.request.id,
                       .step = step_index,
                       .spec = job.request.spec,
                       .need = wanted.need,
                       .estimate = std::chrono::duration_cast<milliseconds>(step.estimate),
                       .expires = expires,
                       .at_once = choice.at_once,
                       .rank = rank,
                       .urgent = job.request.urgent};
  }
  ++task.run;
  task.state = TaskState::kOrdered;
  task.ordered_at = now;
  task.agent_id = agent.view.agent_id();
  --step.ready;
  --job.ready;
  ++job.ordered;
  if (job.first_ordered == TimePoint()) job.first_ordered = now;
  start.starts.push_back({.index = index, .run = task.run});
  agent.view.OnOrder(start.order, wanted.need);
  agent.runs.insert(
      {.task = {.job_id = job.request.id, .step = step_index, .index = index}, .run = task.run});
}

// --- Runs

void JobScheduler::OnRunUpdate(const std::string& agent_id, const RunId& id, RunOutcome outcome,
                               Duration elapsed) {
  const auto agent = agents_.find(agent_id);
  if (agent == agents_.end() || agent->second.runs.erase(id) == 0) return;
  if (outcome == RunOutcome::kNoRoom) TrustOf(agent->second.view).NoteMiss(clock_.now());
  OnRunOver(agent->second, id, outcome, elapsed);
}

void JobScheduler::OnRunOver(const Agent& agent, const RunId& id, RunOutcome outcome,
                             Duration elapsed) {
  const auto found = jobs_.find(id.task.job_id);
  if (found == jobs_.end()) return;
  Job& job = found->second;
  const std::string queue = job.request.queue;
  const bool judged = outcome == RunOutcome::kDone || outcome == RunOutcome::kFailed ||
                      outcome == RunOutcome::kUnhealthy;
  if (judged) {
    const auto change =
        health_.Record(agent.view.agent_id(), queue, outcome != RunOutcome::kDone, clock_.now());
    if (change) actions_.emplace_back(ExecutorJudged{*change});
  }
  if (outcome == RunOutcome::kDone) {
    estimator_.Observe(queue, job.request.steps[id.task.step].estimate, elapsed);
  }
  OnTaskOver(job, id, outcome);
}

void JobScheduler::OnTaskOver(Job& job, const RunId& id, RunOutcome outcome) {
  Step& step = job.steps[id.task.step];
  Task& task = step.tasks[id.task.index];
  if (task.state != TaskState::kOrdered || task.run != id.run) return;
  --job.ordered;
  if (HasStarted(outcome)) job.worked_on = true;
  if (outcome == RunOutcome::kDone) {
    task.state = TaskState::kDone;
    ++job.done;
    if (++step.done < step.tasks.size()) return;
    const bool complete = std::all_of(job.steps.begin(), job.steps.end(), [](const Step& each) {
      return each.done == each.tasks.size();
    });
    if (complete) return End(job, JobResult::kComplete, JobReason::kNone);
    return UnblockSteps(job);
  }
  if (outcome == RunOutcome::kFailed) {
    ++job.failed_runs;
    if (++task.failed >= job.request.attempts) {
      return End(job, JobResult::kFailed, JobReason::kAttemptsUsedUp);
    }
  }
  if (outcome == RunOutcome::kFailed || outcome == RunOutcome::kUnhealthy) {
    task.avoid = task.agent_id;
  }
  if (!HasStarted(outcome)) {
    ++job.refused_starts;
    if (outcome == RunOutcome::kNoRoom) ++task.missed_room;
    // Runs of an earlier sending of the job count up from 1 as well.
    constexpr std::uint32_t kRunSkip = 100;
    if (outcome == RunOutcome::kOutdated) task.run += kRunSkip;
    if (++task.refused >= options_.max_refused_starts) {
      return End(job, MayHaveRun(job) ? JobResult::kAbandoned : JobResult::kRefused,
                 JobReason::kOverloaded);
    }
  }
  MakeReady(job, step, task);
  Enqueue(job);
}

void JobScheduler::End(Job& job, JobResult result, JobReason reason, Duration expected_wait) {
  StopRuns(job);
  Dequeue(job);
  const TimePoint now = clock_.now();
  AnswerJob action{.answer = {.job_id = job.request.id, .result = result, .reason = reason},
                   .queue = job.request.queue,
                   .took = now - job.received,
                   .expected_wait = expected_wait,
                   .failed_runs = job.failed_runs,
                   .refused_starts = job.refused_starts};
  action.waited = (job.first_ordered == TimePoint() ? now : job.first_ordered) - job.received;
  if (result == JobResult::kRefused) {
    action.answer.retry_after = RetryAfter(job.request.id, expected_wait);
  } else {
    Remember(action.answer);
  }
  const std::string id = job.request.id;
  actions_.emplace_back(std::move(action));
  jobs_.erase(id);
}

void JobScheduler::StopRuns(const Job& job) {
  for (std::uint32_t s = 0; s < job.steps.size(); ++s) {
    for (std::uint32_t i = 0; i < job.steps[s].tasks.size(); ++i) {
      const Task& task = job.steps[s].tasks[i];
      if (task.state != TaskState::kOrdered) continue;
      actions_.emplace_back(StopTask{
          .agent_id = task.agent_id,
          .id = {.task = {.job_id = job.request.id, .step = s, .index = i}, .run = task.run}});
    }
  }
}

void JobScheduler::GiveUp(Job& job, JobReason reason) {
  if (MayHaveRun(job)) return End(job, JobResult::kAbandoned, reason);
  End(job, JobResult::kRefused, reason, ExpectedWait(job).value_or(Duration(0)));
}

void JobScheduler::AbandonAll() {
  while (!jobs_.empty()) GiveUp(jobs_.begin()->second, JobReason::kShuttingDown);
}

void JobScheduler::OnCancel(const std::string& job_id) {
  const auto found = jobs_.find(job_id);
  if (found != jobs_.end()) End(found->second, JobResult::kAbandoned, JobReason::kCancelled);
}

// --- Slow executors

void JobScheduler::MoveStragglers() {
  const double median = median_pace_ = RoomPlacement::MedianPace(views_);
  for (auto& [agent_id, agent] : agents_) {
    const double pace = agent.view.report().pace;
    if (!agent.view.attached() || pace < median * options_.move_ratio) continue;
    for (const RunId& id : agent.runs) {
      const auto found = jobs_.find(id.task.job_id);
      if (found == jobs_.end()) continue;
      Job& job = found->second;
      Step& step = job.steps[id.task.step];
      Task& task = step.tasks[id.task.index];
      if (task.run != id.run || !ShouldMove(job, step, task, pace, median)) continue;
      // The task becomes ready again when the agent reports the end of this run.
      task.moved = true;
      actions_.emplace_back(StopTask{.agent_id = agent_id, .id = id});
    }
  }
}

bool JobScheduler::ShouldMove(const Job& job, const Step& step, const Task& task, double pace,
                              double median_pace) {
  if (task.state != TaskState::kOrdered || task.moved) return false;
  const TimePoint now = clock_.now();
  const auto scaled = [&step](double ratio) {
    return std::chrono::duration_cast<Duration>(step.estimate * ratio);
  };
  const TimePoint end_here = task.ordered_at + scaled(pace);
  const TimePoint end_elsewhere = now + scaled(median_pace);
  if (end_here <= job.objective || end_elsewhere >= end_here) return false;
  const JobStep& wanted = job.request.steps[static_cast<std::size_t>(&step - job.steps.data())];
  return placement_.Choose(views_,
                           {.service = job.request.service,
                            .step = &wanted,
                            .rank = StartRank::kStarted,
                            .median_pace = median_pace},
                           placement_random_) != nullptr;
}

// --- Agents

void JobScheduler::OnAgentAttached(const std::string& agent_id,
                                   const std::string& availability_zone, std::uint64_t incarnation,
                                   std::span<const RunId> held_runs) {
  auto [found, is_new] = agents_.try_emplace(agent_id);
  Agent& agent = found->second;
  if (is_new) {
    agent.view = ExecutorView(agent_id, availability_zone);
    health_.Add(agent_id);
    views_.clear();
    for (auto& [id, each] : agents_) views_.push_back(&each.view);
  }
  agent.view.set_attached(true);
  agent.view.ForgetOrders();
  if (!is_new && agent.incarnation != incarnation) {
    // The earlier process may be gone without a sign; what it started ends with its lease.
    agent.orphans.merge(agent.runs);
    agent.runs.clear();
    if (agent.lost_at == TimePoint()) agent.lost_at = clock_.now() + options_.lost_after;
  } else {
    std::set<RunId> lost;
    const std::set<RunId> held(held_runs.begin(), held_runs.end());
    std::set_difference(agent.runs.begin(), agent.runs.end(), held.begin(), held.end(),
                        std::inserter(lost, lost.end()));
    for (const RunId& id : lost) agent.runs.erase(id);
    LoseRuns(agent, lost);
    if (agent.orphans.empty()) agent.lost_at = {};
  }
  agent.incarnation = incarnation;
}

void JobScheduler::LoseRuns(const Agent& agent, const std::set<RunId>& lost) {
  for (const RunId& id : lost) OnRunOver(agent, id, RunOutcome::kLapsed, Duration(0));
}

void JobScheduler::OnAgentDetached(const std::string& agent_id) {
  const auto found = agents_.find(agent_id);
  if (found == agents_.end()) return;
  found->second.view.set_attached(false);
  found->second.lost_at = clock_.now() + options_.lost_after;
}

void JobScheduler::OnReport(const std::string& agent_id, ExecutorReport report) {
  const auto found = agents_.find(agent_id);
  if (found == agents_.end()) return;
  // Of the entries that see the same room, one takes the last of it on average.
  const std::uint32_t rivals = std::max<std::uint32_t>(report.close_entries, 1);
  ExecutorView& view = found->second.view;
  view.OnReport(std::move(report));
  view.set_takes_last_room(
      std::uniform_int_distribution<std::uint32_t>(1, rivals)(placement_random_) == 1);
}

// --- Time

void JobScheduler::OnTimer() {
  const TimePoint now = clock_.now();
  std::vector<std::string> late;
  for (const auto& [id, job] : jobs_) {
    const bool waits = !MayHaveRun(job);
    if (job.request.deadline <= now || (waits && job.start_by <= now)) late.push_back(id);
  }
  for (const std::string& id : late) {
    Job& job = jobs_.at(id);
    const bool overloaded = HasExecutors(job.request.service);
    const JobReason refusal = overloaded ? JobReason::kOverloaded : JobReason::kNoExecutors;
    GiveUp(job, MayHaveRun(job) ? JobReason::kDeadline : refusal);
  }
  for (const ExecutorHealth::Change& change : health_.OnTimer(now)) {
    actions_.emplace_back(ExecutorJudged{change});
  }
  for (auto& [id, agent] : agents_) {
    if (agent.lost_at == TimePoint() || agent.lost_at > now) continue;
    agent.lost_at = {};
    LoseRuns(agent, std::exchange(agent.orphans, {}));
    if (!agent.view.attached()) LoseRuns(agent, std::exchange(agent.runs, {}));
  }
  ForgetOldAnswers();
  MoveStragglers();
  Place();
}

void JobScheduler::Remember(const JobReply& answer) {
  remembered_[answer.job_id] = answer;
  remembered_order_.emplace_back(clock_.now() + options_.answer_memory, answer.job_id);
}

void JobScheduler::ForgetOldAnswers() {
  while (!remembered_order_.empty() && (remembered_order_.front().first <= clock_.now() ||
                                        remembered_order_.size() > options_.max_remembered)) {
    remembered_.erase(remembered_order_.front().second);
    remembered_order_.pop_front();
  }
}

std::optional<JobReply> JobScheduler::Remembered(const std::string& job_id) const {
  const auto found = remembered_.find(job_id);
  if (found == remembered_.end()) return std::nullopt;
  return found->second;
}

std::size_t JobScheduler::PendingOf(const std::string& queue) const {
  return static_cast<std::size_t>(std::count_if(jobs_.begin(), jobs_.end(), [&](const auto& entry) {
    return entry.second.request.queue == queue && !MayHaveRun(entry.second);
  }));
}

std::size_t JobScheduler::agents_accepting() const {
  return static_cast<std::size_t>(std::count_if(
      views_.begin(), views_.end(), [](const ExecutorView* view) { return view->takes_work(); }));
}

std::vector<const ExecutorView*> JobScheduler::executors() const {
  return {views_.begin(), views_.end()};
}

std::vector<SchedulerAction> JobScheduler::TakeActions() { return std::exchange(actions_, {}); }

}  // namespace zinniamux::core
