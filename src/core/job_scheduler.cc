// Admission, placement and completion of jobs.
#include "core/job_scheduler.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <limits>
#include <utility>

namespace zinniamux::core {

using std::chrono::milliseconds;

JobScheduler::JobScheduler(const Options& options, const Clock& clock)
    : options_(options),
      clock_(clock),
      started_(clock.now()),
      wait_policy_(options.wait),
      late_admission_(options.late),
      displacement_(options.displacement),
      placement_({.availability_zone = options.availability_zone}),
      placement_random_(options.placement_seed),
      locality_(options.locality),
      work_(options.work),
      stale_requests_(options.budget.isolation_limit()),
      last_input_(started_) {}

// --- Admission

Duration JobScheduler::EstimatedRunTime(const JobRequest& request, const JobStep& step) const {
  return estimator_.For(request.queue, step.estimate).run_time;
}

Duration JobScheduler::CriticalPath(const JobRequest& request) const {
  std::vector<Duration> ends;
  Duration longest{0};
  for (const JobStep& step : request.steps) {
    Duration start{0};
    for (const std::uint32_t earlier : step.after) start = std::max(start, ends[earlier]);
    ends.push_back(start + EstimatedRunTime(request, step));
    longest = std::max(longest, ends.back());
  }
  return longest;
}

bool JobScheduler::HasExecutors(const std::string& service) const {
  return std::any_of(views_.begin(), views_.end(), [&](const ExecutorView* view) {
    return view->takes_work() && view->report().service == service;
  });
}

JobReason JobScheduler::ReasonForLackOfRoom(const Job& job) const {
  return HasExecutors(job.request.service) ? JobReason::kOverloaded : JobReason::kNoExecutors;
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
  if (shutdown_at_ &&
      clock_.now() + wait_policy_.Objective(request, CriticalPath(request)) > *shutdown_at_) {
    return JobReason::kShuttingDown;
  }
  if (jobs_.size() >= options_.max_jobs) return JobReason::kOverloaded;
  if (!work_.HasRoomFor(WorkBudget::CostOf(request), UnreportedRuns())) {
    return JobReason::kNoMemory;
  }
  // Estimates are off by tens of percent, but half the estimated time is too short.
  constexpr int kReachableDivisor = 2;
  if (request.deadline < clock_.now() + CriticalPath(request) / kReachableDivisor) {
    return JobReason::kDeadline;
  }
  const TimePoint held_until = HoldEndOf(request);
  if (held_until != TimePoint() &&
      held_until >= wait_policy_.LatestStart(request, CriticalPath(request), ReceivedAt(request))) {
    return JobReason::kIsolated;
  }
  if (InStartupGrace()) return std::nullopt;
  if (!HasExecutors(request.service)) return JobReason::kNoExecutors;
  if (!CanEverRun(request)) return JobReason::kNeverRunnable;
  return std::nullopt;
}

std::size_t JobScheduler::UnreportedRuns() const {
  std::size_t runs = 0;
  for (const auto& [id, supervisor] : supervisors_) {
    runs += supervisor.runs.size() + supervisor.orphaned_runs.size();
  }
  return runs - std::min(runs, ordered_tasks_);
}

std::size_t JobScheduler::work_bytes() const {
  return work_.job_bytes() + UnreportedRuns() * WorkBudget::kRunBytes;
}

void JobScheduler::NoteInput() {
  const TimePoint now = clock_.now();
  // Until the first supervisor has come, nothing was ordered.
  if (!supervisors_.empty() && now - last_input_ > options_.budget.isolation_limit()) {
    const TimePoint began = IsSettling() ? isolation_->began : last_input_;
    isolation_ = Isolation{.began = began, .ended = now};
    stale_requests_.OnIsolation(began, now);
    actions_.emplace_back(IsolationEnded{.length = now - last_input_});
  }
  last_input_ = now;
}

TimePoint JobScheduler::InputHandled() const {
  const TimePoint now = clock_.now();
  // Without jobs, no input matters to a run.
  if (jobs_.empty()) return now;
  // While nothing arrives, it is unknown what is on its way.
  const TimePoint handled = std::min(input_handled_.value_or(now), last_input_);
  return IsSettling() ? std::min(handled, isolation_->began) : handled;
}

bool JobScheduler::OnJob(JobRequest request) {
  NoteInput();
  if (const auto known = jobs_.find(request.id); known != jobs_.end()) {
    if (HoldEndOf(request) == TimePoint()) Release(known->second);
    return false;
  }
  if (const std::optional<JobReason> reason = ReasonToRefuse(request)) {
    Refuse(request, *reason, Duration(0));
    return true;
  }
  if (!RefuseDisplaced(request)) Accept(std::move(request));
  return true;
}

TimePoint JobScheduler::HoldEndOf(const JobRequest& request) const {
  const TimePoint now = clock_.now();
  const bool is_known = request.connection_used_at != TimePoint();
  if (!is_known || !stale_requests_.MayBeStale(request.connection_used_at, now)) return {};
  return now + options_.budget.close_limit();
}

void JobScheduler::Release(Job& job) {
  if (job.held_until == TimePoint()) return;
  job.held_until = {};
  should_retry_waiting_ = true;
  SupersedeElsewhere(job);
}

void JobScheduler::Accept(JobRequest request) {
  const std::string id = request.id;
  if (late_admission_.enabled()) late_admission_.OnArrival(clock_.now());
  Job& job = jobs_[id];
  job.work_bytes = WorkBudget::CostOf(request);
  work_.Add(job.work_bytes);
  job.arrived_after = input_handled_.value_or(clock_.now());
  job.received = ReceivedAt(request);
  const Duration critical_path = CriticalPath(request);
  job.held_until = HoldEndOf(request);
  job.was_held = job.held_until != TimePoint();
  job.latest_start = wait_policy_.LatestStart(request, critical_path, job.received);
  // The hold is no wait for room.
  job.start_by =
      wait_policy_.StartBy(request, critical_path, std::max(job.received, job.held_until));
  job.start_by = std::min(job.start_by, job.latest_start);
  job.objective = job.received + wait_policy_.Objective(request, critical_path);
  for (const JobStep& step : request.steps) {
    Step state;
    state.tasks.resize(step.count);
    state.estimate = EstimatedRunTime(request, step);
    job.steps.push_back(std::move(state));
  }
  job.request = std::move(request);
  if (job.held_until == TimePoint()) SupersedeElsewhere(job);
  UnblockSteps(job);
}

void JobScheduler::SupersedeElsewhere(Job& job) {
  const std::string& id = job.request.id;
  job.awaits_earlier_copy = run_elsewhere_.contains(id);
  if (!job.awaits_earlier_copy) return;
  SupersedeJob action{.job_id = id};
  for (const auto& [supervisor_id, supervisor] : supervisors_) {
    if (supervisor.view.attached()) action.agent_ids.push_back(supervisor_id);
  }
  actions_.emplace_back(std::move(action));
}

void JobScheduler::NoteHeard(Supervisor& supervisor) {
  const TimePoint now = clock_.now();
  if (now - supervisor.heard_at > options_.budget.isolation_limit()) supervisor.heard_since = now;
  supervisor.heard_at = now;
}

void JobScheduler::NoteRuns(Supervisor& supervisor) const {
  supervisor.view.set_is_at_run_limit(supervisor.runs.size() + supervisor.orphaned_runs.size() >=
                                      options_.max_runs_per_supervisor);
}

bool JobScheduler::HasNamed(const Supervisor& supervisor, const Job& job, const RunId& id) const {
  const TimePoint ordered_at = job.steps[id.task.step].tasks[id.task.index].ordered_at;
  return supervisor.heard_since <=
         std::max(job.received + options_.budget.notice_age(), ordered_at);
}

bool JobScheduler::IsNamed(const Job& job) const {
  if (job.ordered == 0) return false;
  const TimePoint heard_by = clock_.now() - options_.budget.isolation_limit();
  for (std::uint32_t s = 0; s < job.steps.size(); ++s) {
    for (std::uint32_t i = 0; i < job.steps[s].tasks.size(); ++i) {
      const Task& task = job.steps[s].tasks[i];
      if (task.state != TaskState::kOrdered) continue;
      const Supervisor& supervisor = supervisors_.at(task.supervisor_id);
      const RunId id{.task = {.job_id = job.request.id, .step = s, .index = i}, .run = task.run};
      const bool is_heard = supervisor.view.attached() && supervisor.heard_at >= heard_by &&
                            supervisor.heard_at > task.ordered_at;
      if (is_heard && supervisor.runs.contains(id) && HasNamed(supervisor, job, id)) return true;
    }
  }
  return false;
}

TimePoint JobScheduler::LatestOrder(const Job& job) const {
  if (IsNamed(job)) return TimePoint::max();
  return std::max<TimePoint>(job.received + options_.budget.run_end(), job.named_until);
}

void JobScheduler::SetJobsOfOthers(Supervisor& supervisor, std::vector<std::string> jobs) {
  for (const std::string& id : jobs) ++run_elsewhere_[id];
  for (const std::string& id : supervisor.jobs_of_others) {
    const auto found = run_elsewhere_.find(id);
    if (--found->second > 0) continue;
    run_elsewhere_.erase(found);
    const auto job = jobs_.find(id);
    if (job == jobs_.end() || !job->second.awaits_earlier_copy) continue;
    job->second.awaits_earlier_copy = false;
    should_retry_waiting_ = true;
  }
  supervisor.jobs_of_others = std::move(jobs);
}

milliseconds JobScheduler::RetryAfter(const std::string& job_id, Duration expected_wait) const {
  // The hash spreads the retries of callers that are refused at the same time.
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
  task.supervisor_id.clear();
  ++step.ready;
  ++job.ready;
}

void JobScheduler::Enqueue(Job& job) {
  const std::string& id = job.request.id;
  if (job.ready == 0 || queue_keys_.contains(id)) return;
  const QueueKey key = KeyOf(job);
  ++next_job_number_;
  queue_.emplace(key, QueuedJob{.job = &job});
  queue_keys_.emplace(id, key);
}

void JobScheduler::Dequeue(Job& job) {
  const auto key = queue_keys_.find(job.request.id);
  if (key == queue_keys_.end()) return;
  queue_.erase(key->second);
  queue_keys_.erase(key);
}

StartRank JobScheduler::RankOf(const Job& job) const {
  if (job.is_late) return StartRank::kLate;
  if (MayHaveRun(job) || job.has_waited_for_rack) return StartRank::kStarted;
  return job.request.urgent ? StartRank::kUrgent : StartRank::kNormal;
}

JobScheduler::QueueKey JobScheduler::KeyOf(const Job& job) const {
  return {RankOf(job), MayHaveRun(job) ? job.received : job.start_by, next_job_number_};
}

std::optional<Duration> JobScheduler::ExpectedWait(const Job& job) const {
  for (std::size_t i = 0; i < job.steps.size(); ++i) {
    if (job.steps[i].ready == 0) continue;
    RoomPlacement::Query query{.service = job.request.service,
                               .step = &job.request.steps[i],
                               .rank = RankOf(job),
                               .median_pace = median_pace_};
    AddSpeeds(job, job.steps[i], query);
    const Duration wait = placement_.ShortestWait(views_, query);
    if (wait == Duration::max()) return std::nullopt;
    return wait;
  }
  return Duration(0);
}

// --- Shortage of room

bool JobScheduler::RefuseDisplaced(const JobRequest& request) {
  if (!displacement_.enabled() || InStartupGrace()) return false;
  double core_time = 0;
  for (const JobStep& step : request.steps) {
    core_time += static_cast<double>(step.count * step.need.cpu_milli) *
                 std::chrono::duration<double>(EstimatedRunTime(request, step)).count();
  }
  const TimePoint now = clock_.now();
  if (!displacement_.ShouldRefuse(request.service, request.queue, core_time, now)) return false;
  // The larger the pressure, the later the caller should come back.
  const auto wait = std::chrono::duration_cast<Duration>(
      options_.wait.max_retry_after * displacement_.Pressure(request.service, now));
  Refuse(request, JobReason::kOverloaded, wait);
  std::get<AnswerJob>(actions_.back()).displaced = true;
  return true;
}

void JobScheduler::ObserveRoom() {
  if (!late_admission_.enabled() && !displacement_.enabled()) return;
  std::map<std::string, LateAdmission::Room> rooms;
  for (const ExecutorView* view : views_) {
    const ExecutorReport& report = view->report();
    if (!view->takes_work()) continue;
    LateAdmission::Room& room = rooms[report.service];
    room.capacity_cpu_milli += report.capacity.cpu_milli;
    room.spare_cpu_milli +=
        view->free().cpu_milli - report.waiting.all_cpu_milli - report.kept_cpu_milli;
    room.competitors = std::max(room.competitors, report.close_entries);
  }
  for (const auto& [service, room] : rooms) {
    late_admission_.Observe(service, room, clock_.now());
    displacement_.Observe(service, room, clock_.now());
  }
}

bool JobScheduler::HoldAsLate(Job& job) {
  if (!late_admission_.enabled() || job.is_late || MayHaveRun(job)) return false;
  const auto core_time_of = [](const Job& of) {
    double core_time = 0;
    for (std::size_t i = 0; i < of.steps.size(); ++i) {
      core_time += static_cast<double>(of.steps[i].ready * of.request.steps[i].need.cpu_milli) *
                   std::chrono::duration<double>(of.steps[i].estimate).count();
    }
    return core_time;
  };
  // A dispatcher that has just started misses objectives for lack of views, not of room.
  if (!InStartupGrace()) late_admission_.OnMiss(clock_.now());
  double held_core_time = core_time_of(job);
  for (auto late = queue_.lower_bound({StartRank::kLate, TimePoint::min(), 0});
       late != queue_.end(); ++late) {
    held_core_time += core_time_of(*late->second.job);
  }
  LateAdmission::Candidate candidate{.critical_path = CriticalPath(job.request),
                                     .objective = job.objective - job.received,
                                     .received = job.received,
                                     .deadline = job.request.deadline,
                                     .latest_order = job.received + options_.budget.run_end()};
  for (std::size_t i = 0; i < job.steps.size(); ++i) {
    candidate.cpu_milli += job.steps[i].ready * job.request.steps[i].need.cpu_milli;
  }
  const std::optional<LateAdmission::Limits> limits =
      late_admission_.Admit(job.request.service, candidate, held_core_time, clock_.now());
  if (!limits) return false;
  Dequeue(job);
  job.is_late = true;
  job.start_by = limits->start_by;
  job.latest_start = limits->latest_start;
  Enqueue(job);
  return true;
}

// --- Placement

void JobScheduler::AddSpeeds(const Job& job, const Step& step, RoomPlacement::Query& query) const {
  if (!speeds_.is_active()) return;
  query.speeds = &speeds_;
  // The mean of the queue, not the job's own estimate: choosing executors by estimates that are off
  // would leave slow ones the tasks that take longer than estimated, and make them look slower.
  const RunTimeEstimator::Estimate mean = estimator_.For(job.request.queue, Duration(0));
  query.run_time = mean.learned ? mean.run_time : step.estimate;
  // Estimates are for the median executor, objectives for one of mean speed.
  const Duration longer = std::chrono::duration_cast<Duration>(
      (query.run_time * speeds_.mean_pace() - step.estimate) * job.request.stretch);
  query.time_left = job.objective - clock_.now() + longer;
}

void JobScheduler::PlaceQueuedJobs(bool retry_waiting) {
  if (queue_.empty() || orders_paused_until_ || IsSettling()) return;
  median_pace_ = RoomPlacement::MedianPace(views_);
  speeds_.Update(views_, clock_.now());
  unmet_needs_.clear();
  if (retry_waiting) waiting_needs_.clear();
  const std::size_t unsent_bytes =
      options_.unsent_order_bytes ? options_.unsent_order_bytes() : std::size_t{0};
  for (auto next = queue_.begin(); next != queue_.end();) {
    QueuedJob& queued = (next++)->second;
    if (queued.is_waiting && !retry_waiting) continue;
    // The job may be answered, which removes it from the queue.
    Job& job = *queued.job;
    queued.is_waiting = true;
    if (job.awaits_earlier_copy || job.held_until != TimePoint()) continue;
    if (clock_.now() > LatestOrder(job)) {
      RefuseOrAbandon(job, JobReason::kIsolated);
      continue;
    }
    if (MustHoldOrders(job, unsent_bytes)) {
      should_retry_waiting_ = true;
      continue;
    }
    const UnmetNeed* unmet = FindUnmetNeed(job);
    const bool found_none = unmet != nullptr || !PlaceJob(job);
    if (job.ready == 0) {
      Dequeue(job);
      continue;
    }
    AddWaitingJob(job);
    if (MayHaveRun(job) || job.has_waited_for_rack || InStartupGrace()) continue;
    const Duration wait =
        unmet != nullptr ? unmet->wait : ExpectedWait(job).value_or(Duration::max());
    if (found_none && unmet == nullptr) AddUnmetNeed(job, wait);
    // If no executor will have room in time, waiting would only delay other jobs.
    if (job.is_late || wait <= job.start_by - clock_.now()) continue;
    if (!HoldAsLate(job)) RefuseOrAbandon(job, ReasonForLackOfRoom(job));
  }
}

bool JobScheduler::MustHoldOrders(const Job& job, std::size_t unsent_bytes) const {
  const std::size_t earlier = unsent_bytes + new_order_bytes_;
  return earlier > 0 &&
         earlier + WorkBudget::OrderBytes(job.request, job.ready) > WorkBudget::kMaxOrderBytes;
}

double JobScheduler::MaxPace(const Job& job) const {
  RoomPlacement::Query query;
  AddSpeeds(job, job.steps.front(), query);
  if (query.speeds == nullptr) return std::numeric_limits<double>::infinity();
  return std::chrono::duration<double>(query.time_left) / std::max(query.run_time, Duration(1));
}

bool JobScheduler::MayHelpWaitingJobs(const ExecutorView& view) const {
  return view.takes_work() &&
         std::any_of(waiting_needs_.begin(), waiting_needs_.end(), [&view](const auto& waiting) {
           const auto& [rank, least] = waiting;
           return view.ExpectedWait(least.need, rank) <= least.max_wait;
         });
}

void JobScheduler::AddWaitingJob(const Job& job) {
  const StartRank rank = RankOf(job);
  const auto [found, is_new] = waiting_needs_.try_emplace(rank);
  WaitingNeed& least = found->second;
  least.max_wait = std::max(least.max_wait, MaxOrderWait(job, rank));
  bool first = is_new;
  for (std::size_t i = 0; i < job.steps.size(); ++i) {
    if (job.steps[i].ready == 0) continue;
    const Resources& need = job.request.steps[i].need;
    if (std::exchange(first, false)) least.need = need;
    least.need.cpu_milli = std::min(least.need.cpu_milli, need.cpu_milli);
    least.need.memory_mb = std::min(least.need.memory_mb, need.memory_mb);
    least.need.gpus = std::min(least.need.gpus, need.gpus);
  }
}

const JobScheduler::UnmetNeed* JobScheduler::FindUnmetNeed(const Job& job) const {
  if (job.steps.size() != 1) return nullptr;
  const JobStep& step = job.request.steps.front();
  const StartRank rank = RankOf(job);
  const Duration max_wait = MaxOrderWait(job, rank);
  const double max_pace = MaxPace(job);
  const auto found =
      std::find_if(unmet_needs_.begin(), unmet_needs_.end(), [&](const UnmetNeed& unmet) {
        return unmet.rank == rank && unmet.wait > max_wait && unmet.need.Fits(step.need) &&
               unmet.max_pace >= max_pace && unmet.service == job.request.service &&
               unmet.required_label == step.required_label &&
               unmet.preferred_rack == step.preferred_rack;
      });
  return found == unmet_needs_.end() ? nullptr : &*found;
}

void JobScheduler::AddUnmetNeed(const Job& job, Duration wait) {
  if (job.steps.size() != 1 || clock_.now() >= job.latest_start) return;
  const Step& step = job.steps.front();
  // These see fewer executors than others; see ChooseExecutor and PlaceStep.
  const bool is_restricted = std::any_of(step.tasks.begin(), step.tasks.end(), [&](const Task& t) {
    return !t.last_failed_on.empty() || t.room_refusals >= options_.max_room_refusals;
  });
  const JobStep& requested_step = job.request.steps.front();
  if (is_restricted || requested_step.max_per_executor > 0) return;
  unmet_needs_.push_back({.max_pace = MaxPace(job),
                          .service = job.request.service,
                          .required_label = requested_step.required_label,
                          .preferred_rack = requested_step.preferred_rack,
                          .need = requested_step.need,
                          .rank = RankOf(job),
                          .wait = wait});
}

Duration JobScheduler::MaxOrderWait(const Job& job) const {
  if (job.is_late) {
    return std::min<Duration>(job.start_by - clock_.now(), options_.budget.order_expiry());
  }
  const Duration left = job.start_by - clock_.now();
  // No other order overtakes an urgent one, so its expected wait is reliable.
  if (job.request.urgent) return left;
  const double limit = std::chrono::duration<double>(job.objective - job.received).count() *
                       order_wait_limit_.share();
  return std::min(left, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(limit)));
}

JobScheduler::Choice JobScheduler::ChooseExecutor(const Job& job, const Task& task,
                                                  RoomPlacement::Query query) {
  const TimePoint now = clock_.now();
  const bool started = query.rank == StartRank::kStarted || (job.is_late && job.any_run_started);
  // The task would end after the objective.
  if (!started && now >= job.latest_start) return {};
  const bool may_be_refused = task.room_refusals < options_.max_room_refusals;
  query.include_close = close_trust_.is_trusted(now);
  query.include_others = may_be_refused && others_trust_.is_trusted(now);
  if (ExecutorView* free = placement_.ChooseWithRoom(views_, query, placement_random_)) {
    return {.view = free, .at_once = may_be_refused};
  }
  const Duration limit = MaxOrderWait(job, query.rank);
  if (limit <= Duration(0)) return {};
  // While other dispatchers compete for the same room, jobs that are neither urgent nor started
  // leave headroom for theirs.
  if (!query.include_close && query.rank == StartRank::kNormal) {
    query.headroom_cpu_milli = query.step->need.cpu_milli;
  }
  return {.view = placement_.ChooseShortestWait(views_, query, limit, placement_random_)};
}

void JobScheduler::ChooseGroupRack(const Job& job, Step& step, const RoomPlacement::Query& query) {
  if (step.ready < step.tasks.size()) return;
  step.group_rack = locality_.ChooseRack(views_, query, step.ready,
                                         {.queue = job.request.queue,
                                          .declared = query.step->estimate,
                                          .remote_wait = placement_.ShortestWait(views_, query),
                                          .objective = job.objective,
                                          .now = clock_.now()});
}

void JobScheduler::NoteGroupPlacement(Step& step, Choice& choice) {
  if (!choice.locality && locality_.knows_racks()) {
    choice.locality = std::make_unique<LocalityWait::Placement>();
  }
  if (!choice.locality || choice.locality->is_local || step.group_rack.empty()) return;
  // The tasks of the step run in several racks now.
  step.group_rack.clear();
  for (Task& task : step.tasks) {
    if (task.locality) task.locality->is_local = false;
  }
}

JobScheduler::Choice JobScheduler::ChooseNear(const Job& job, const Task& task,
                                              const RoomPlacement::Query& query,
                                              const std::string& rack) {
  const TimePoint now = clock_.now();
  if (query.rank != StartRank::kStarted && now >= job.latest_start) return {};
  auto placement = std::make_unique<LocalityWait::Placement>();
  placement->rack = rack;
  placement->ordered_at = now;
  RoomPlacement::Query near = query;
  near.filter = [&](const ExecutorView& view) {
    return LocalityWait::IsInRack(view, rack) && query.filter(view);
  };
  const bool may_be_refused = task.room_refusals < options_.max_room_refusals;
  near.include_close = close_trust_.is_trusted(now);
  near.include_others = may_be_refused && others_trust_.is_trusted(now);
  Choice choice{.view = placement_.ChooseWithRoom(views_, near, placement_random_),
                .at_once = may_be_refused};
  if (choice.view == nullptr) choice = ChooseExecutor(job, task, query);
  if (choice.view == nullptr) return choice;
  placement->is_local = LocalityWait::IsInRack(*choice.view, rack);
  if (!placement->is_local && !task.has_waited_for_rack) {
    ExecutorView* waits_at = locality_.ChooseWait(
        placement_, views_, near,
        {.queue = job.request.queue,
         .declared = query.step->estimate,
         .remote_wait = choice.view->ExpectedWait(query.step->need, query.rank),
         .objective = job.objective,
         .now = now},
        placement_random_, *placement);
    if (waits_at != nullptr) choice = {.view = waits_at};
  }
  choice.locality = std::move(placement);
  return choice;
}

bool JobScheduler::PlaceJob(Job& job) {
  ++placements_tried_;
  const StartRank rank = RankOf(job);
  const bool may_be_partial = MayHaveRun(job);
  // No supervisor names the job because of an order that is made here.
  const TimePoint latest_order = LatestOrder(job);
  bool complete = true;
  for (std::uint32_t s = 0; s < job.steps.size(); ++s) {
    complete = PlaceStep(job, s, rank, latest_order) && complete;
  }
  const bool found_any = !unsent_starts_.empty();
  // Placing only some tasks would make the job late and waste the room they use.
  if (!complete && !may_be_partial) RollBackOrders(job);
  for (auto& [key, start] : unsent_starts_) {
    // Misses of late orders say nothing about the room that other orders find.
    if (start.at_once && rank != StartRank::kLate) {
      ViewTrustFor(supervisors_.at(start.agent_id).view)
          .RecordOrders(start.starts.size(), clock_.now());
    }
    new_order_bytes_ += WorkBudget::OrderBytes(job.request, start.starts.size());
    actions_.emplace_back(std::move(start));
  }
  unsent_starts_.clear();
  return found_any;
}

bool JobScheduler::PlaceStep(Job& job, std::uint32_t step_index, StartRank rank,
                             TimePoint latest_order) {
  Step& step = job.steps[step_index];
  if (step.ready == 0) return true;
  const JobStep& requested_step = job.request.steps[step_index];
  std::map<std::string, std::uint32_t> tasks_per_supervisor;
  if (requested_step.max_per_executor > 0) {
    for (const Task& task : step.tasks) {
      if (task.state == TaskState::kOrdered) ++tasks_per_supervisor[task.supervisor_id];
    }
  }
  const bool depends_on_rack = locality_.DependsOnRack(requested_step);
  const bool is_group = requested_step.preferred_rack.empty();
  for (std::uint32_t index = 0; index < step.tasks.size() && step.ready > 0; ++index) {
    Task& task = step.tasks[index];
    if (task.state != TaskState::kReady) continue;
    const auto filter = [&](const ExecutorView& view) {
      if (view.is_at_run_limit() || view.agent_id() == task.last_failed_on) return false;
      if (health_.standing(view.agent_id()) == ExecutorHealth::Standing::kEjected) return false;
      return requested_step.max_per_executor == 0 ||
             tasks_per_supervisor[view.agent_id()] < requested_step.max_per_executor;
    };
    RoomPlacement::Query query{.service = job.request.service,
                               .step = &requested_step,
                               .rank = rank,
                               .median_pace = median_pace_,
                               .filter = filter};
    AddSpeeds(job, step, query);
    if (depends_on_rack && is_group) ChooseGroupRack(job, step, query);
    Choice choice = depends_on_rack && !(is_group && step.group_rack.empty())
                        ? ChooseNear(job, task, query,
                                     is_group ? step.group_rack : requested_step.preferred_rack)
                        : ChooseExecutor(job, task, std::move(query));
    // Tasks of a step are identical, so the others cannot be placed either, unless this one avoids
    // an executor.
    if (choice.view == nullptr && task.last_failed_on.empty()) break;
    if (choice.view == nullptr) continue;
    if (requested_step.max_per_executor > 0) ++tasks_per_supervisor[choice.view->agent_id()];
    if (depends_on_rack && is_group) NoteGroupPlacement(step, choice);
    OrderStart(job, step_index, index, rank, latest_order, std::move(choice));
  }
  return step.ready == 0;
}

void JobScheduler::RollBackOrders(Job& job) {
  for (const auto& [key, start] : unsent_starts_) {
    Supervisor& supervisor = supervisors_.at(start.agent_id);
    supervisor.view.OnOrderCancelled(start.order);
    Step& step = job.steps[start.step];
    for (const StartTasks::Start& each : start.starts) {
      supervisor.runs.erase(
          {.task = {.job_id = job.request.id, .step = start.step, .index = each.index},
           .run = each.run});
      --step.tasks[each.index].run;
      --job.ordered;
      --ordered_tasks_;
      MakeReady(job, step, step.tasks[each.index]);
    }
    NoteRuns(supervisor);
  }
  job.first_ordered = {};
  unsent_starts_.clear();
}

void JobScheduler::OrderStart(Job& job, std::uint32_t step_index, std::uint32_t index,
                              StartRank rank, TimePoint latest_order, Choice choice) {
  Supervisor& supervisor = supervisors_.at(choice.view->agent_id());
  Step& step = job.steps[step_index];
  Task& task = step.tasks[index];
  const TimePoint now = clock_.now();
  const JobStep& requested_step = job.request.steps[step_index];
  TimePoint expires = std::min(now + options_.budget.order_expiry(), job.request.deadline);
  const bool has_run = rank == StartRank::kStarted || (job.is_late && job.any_run_started);
  if (!has_run) expires = std::min(expires, job.latest_start);
  const LocalityWait::Placement* locality = choice.locality.get();
  if (locality != nullptr && locality->wait) expires = std::min(expires, locality->wait->until);
  // The supervisor refuses an order that is late on its way.
  expires = std::min(expires, latest_order);
  StartTasks& start = unsent_starts_[{step_index, supervisor.view.agent_id(), choice.at_once}];
  if (start.starts.empty()) {
    start = StartTasks{
        .agent_id = supervisor.view.agent_id(),
        .order = next_order_++,
        .job_id = job.request.id,
        .step = step_index,
        .spec = job.request.spec,
        .need = requested_step.need,
        .estimate = std::chrono::duration_cast<milliseconds>(
            locality == nullptr ? step.estimate
                                : locality_.Estimate(job.request.queue, requested_step.estimate,
                                                     step.estimate, *locality)),
        .expires = expires,
        .at_once = choice.at_once,
        .rank = rank,
        .urgent = job.request.urgent && !job.is_late,
        .job_received = job.received};
  }
  RunId id{.task = {.job_id = job.request.id, .step = step_index, .index = index},
           .run = ++task.run};
  // A run of an earlier submission of the job may not have ended there.
  while (supervisor.runs.contains(id) || supervisor.orphaned_runs.contains(id)) {
    id.run = ++task.run;
  }
  task.state = TaskState::kOrdered;
  task.ordered_at = now;
  task.at_once = choice.at_once;
  task.locality = std::move(choice.locality);
  task.may_wait =
      !choice.at_once && rank == StartRank::kNormal && (locality == nullptr || !locality->wait);
  task.supervisor_id = supervisor.view.agent_id();
  --step.ready;
  --job.ready;
  ++job.ordered;
  ++ordered_tasks_;
  if (job.first_ordered == TimePoint()) job.first_ordered = now;
  start.starts.push_back({.index = index, .run = task.run});
  supervisor.view.OnOrder(start.order, requested_step.need);
  supervisor.runs.insert(std::move(id));
  NoteRuns(supervisor);
}

// --- Runs

void JobScheduler::OnRunUpdate(const std::string& supervisor_id, const RunId& id,
                               RunOutcome outcome, Duration elapsed) {
  NoteInput();
  const auto supervisor = supervisors_.find(supervisor_id);
  if (supervisor == supervisors_.end() || supervisor->second.runs.erase(id) == 0) return;
  NoteRuns(supervisor->second);
  const auto job = jobs_.find(id.task.job_id);
  const bool is_late = job != jobs_.end() && job->second.is_late;
  if (outcome == RunOutcome::kNoRoom && !is_late) {
    ViewTrustFor(supervisor->second.view).RecordRefusal(clock_.now());
  }
  NoteHeard(supervisor->second);
  OnRunEnded(supervisor->second, id, outcome, elapsed, true);
}

void JobScheduler::OnRunEnded(const Supervisor& supervisor, const RunId& id, RunOutcome outcome,
                              Duration elapsed, bool is_reported) {
  // Every submission of a job numbers its runs from 1.
  if (!IsCurrentRun(supervisor.view.agent_id(), id)) return;
  Job& job = jobs_.at(id.task.job_id);
  const std::string queue = job.request.queue;
  const bool counts_for_health = outcome == RunOutcome::kDone || outcome == RunOutcome::kFailed ||
                                 outcome == RunOutcome::kUnhealthy ||
                                 outcome == RunOutcome::kStartUnanswered;
  if (counts_for_health) {
    const auto change = health_.Record(supervisor.view.agent_id(), queue,
                                       outcome != RunOutcome::kDone, clock_.now());
    if (change) actions_.emplace_back(ExecutorJudged{*change});
  }
  Task& task = job.steps[id.task.step].tasks[id.task.index];
  const Duration declared = job.request.steps[id.task.step].estimate;
  Duration local = elapsed;
  if (task.locality) {
    local = locality_.LocalTime(queue, declared, *task.locality, elapsed);
    if (!locality_.OnRunEnded(queue, declared, *task.locality, outcome, elapsed, clock_.now())) {
      task.has_waited_for_rack = job.has_waited_for_rack = true;
    }
  }
  if (outcome == RunOutcome::kDone) {
    estimator_.Observe(queue, declared, speeds_.AtMedianPace(local, supervisor.view));
  }
  RecordOrderWait(job, id, outcome, elapsed);
  if (HasStarted(outcome)) {
    const bool is_named = is_reported && HasNamed(supervisor, job, id);
    job.named_until = is_named ? clock_.now() + options_.budget.repeat_limit() : TimePoint();
  }
  // Such an order does not wait at its supervisor, so it has expired on its way.
  const bool was_late =
      outcome == RunOutcome::kExpired && job.steps[id.task.step].tasks[id.task.index].at_once;
  if (was_late) job.named_until = {};
  ApplyOutcome(job, id, outcome);
}

void JobScheduler::RecordOrderWait(const Job& job, const RunId& id, RunOutcome outcome,
                                   Duration elapsed) {
  const Task& task = job.steps[id.task.step].tasks[id.task.index];
  if (!task.may_wait) return;
  if (outcome == RunOutcome::kExpired) order_wait_limit_.RecordStart(false);
  if (outcome != RunOutcome::kDone) return;
  order_wait_limit_.RecordStart(clock_.now() - elapsed <= job.start_by);
}

void JobScheduler::ApplyOutcome(Job& job, const RunId& id, RunOutcome outcome) {
  Step& step = job.steps[id.task.step];
  Task& task = step.tasks[id.task.index];
  --job.ordered;
  --ordered_tasks_;
  if (HasStarted(outcome)) job.any_run_started = true;
  if (outcome == RunOutcome::kDone) {
    task.state = TaskState::kDone;
    ++job.done;
    if (++step.done < step.tasks.size()) return;
    const bool complete = std::all_of(job.steps.begin(), job.steps.end(), [](const Step& each) {
      return each.done == each.tasks.size();
    });
    if (complete) return FinishJob(job, JobResult::kComplete, JobReason::kNone);
    return UnblockSteps(job);
  }
  if (outcome == RunOutcome::kFailed) {
    ++job.failed_runs;
    if (++task.failed_runs >= job.request.attempts) {
      return FinishJob(job, JobResult::kFailed, JobReason::kAttemptsUsedUp);
    }
  }
  if (WasOwnerSilent(task, outcome)) return RefuseOrAbandon(job, JobReason::kIsolated);
  if (outcome == RunOutcome::kExecutorCrashed &&
      ++task.executor_crashes >= options_.max_executor_crashes) {
    return FinishJob(job, JobResult::kFailed, JobReason::kExecutorsCrashed);
  }
  if (outcome == RunOutcome::kFailed || outcome == RunOutcome::kUnhealthy ||
      outcome == RunOutcome::kStartUnanswered) {
    task.last_failed_on = task.supervisor_id;
  }
  if (!HasStarted(outcome)) {
    ++job.refused_starts;
    if (outcome == RunOutcome::kNoRoom) ++task.room_refusals;
    // The run number is in use: runs of an earlier submission of the job were numbered from 1, too.
    constexpr std::uint32_t kRunSkip = 100;
    if (outcome == RunOutcome::kOutdated) task.run += kRunSkip;
    if (++task.refused_starts >= options_.max_refused_starts) {
      return FinishJob(job, MayHaveRun(job) ? JobResult::kAbandoned : JobResult::kRefused,
                       JobReason::kOverloaded);
    }
  }
  MakeReady(job, step, task);
  Enqueue(job);
}

void JobScheduler::FinishJob(Job& job, JobResult result, JobReason reason, Duration expected_wait) {
  StopRuns(job);
  Dequeue(job);
  const TimePoint now = clock_.now();
  AnswerJob action{.answer = {.job_id = job.request.id, .result = result, .reason = reason},
                   .queue = job.request.queue,
                   .took = now - job.received,
                   .expected_wait = expected_wait,
                   .failed_runs = job.failed_runs,
                   .refused_starts = job.refused_starts,
                   .held_late = job.is_late,
                   .held_stale = job.was_held};
  action.waited = (job.first_ordered == TimePoint() ? now : job.first_ordered) - job.received;
  if (result == JobResult::kRefused) {
    action.answer.retry_after = RetryAfter(job.request.id, expected_wait);
  } else {
    RememberAnswer(action.answer);
  }
  const std::string id = job.request.id;
  actions_.emplace_back(std::move(action));
  work_.Remove(job.work_bytes);
  ordered_tasks_ -= job.ordered;
  jobs_.erase(id);
}

void JobScheduler::StopRuns(const Job& job) {
  for (std::uint32_t s = 0; s < job.steps.size(); ++s) {
    for (std::uint32_t i = 0; i < job.steps[s].tasks.size(); ++i) {
      const Task& task = job.steps[s].tasks[i];
      if (task.state != TaskState::kOrdered) continue;
      actions_.emplace_back(StopTask{
          .agent_id = task.supervisor_id,
          .id = {.task = {.job_id = job.request.id, .step = s, .index = i}, .run = task.run}});
    }
  }
}

void JobScheduler::RefuseOrAbandon(Job& job, JobReason reason) {
  if (MayHaveRun(job)) return FinishJob(job, JobResult::kAbandoned, reason);
  FinishJob(job, JobResult::kRefused, reason, ExpectedWait(job).value_or(Duration(0)));
}

void JobScheduler::AbandonAll() {
  while (!jobs_.empty()) RefuseOrAbandon(jobs_.begin()->second, JobReason::kShuttingDown);
}

void JobScheduler::OnCancel(const std::string& job_id) {
  NoteInput();
  const auto found = jobs_.find(job_id);
  if (found != jobs_.end()) FinishJob(found->second, JobResult::kAbandoned, JobReason::kCancelled);
}

// --- Slow executors

void JobScheduler::MoveStragglers() {
  const double median = median_pace_ = RoomPlacement::MedianPace(views_);
  for (auto& [supervisor_id, supervisor] : supervisors_) {
    const double pace = supervisor.view.report().pace;
    if (!supervisor.view.attached() || pace < median * options_.move_ratio) continue;
    for (const RunId& id : supervisor.runs) {
      if (!IsCurrentRun(supervisor_id, id)) continue;
      Job& job = jobs_.at(id.task.job_id);
      Step& step = job.steps[id.task.step];
      Task& task = step.tasks[id.task.index];
      if (!ShouldMove(job, step, task, pace, median)) continue;
      // The task becomes ready again when the supervisor reports the end of this run.
      task.moved = true;
      actions_.emplace_back(StopTask{.agent_id = supervisor_id, .id = id});
    }
  }
}

bool JobScheduler::ShouldMove(const Job& job, const Step& step, const Task& task, double pace,
                              double median_pace) {
  if (task.moved || job.is_late) return false;
  const TimePoint now = clock_.now();
  const auto scaled = [&step](double ratio) {
    return std::chrono::duration_cast<Duration>(step.estimate * ratio);
  };
  const TimePoint end_here = task.ordered_at + scaled(pace);
  const TimePoint end_elsewhere = now + scaled(median_pace);
  if (end_here <= job.objective || end_elsewhere >= end_here) return false;
  const JobStep& requested_step =
      job.request.steps[static_cast<std::size_t>(&step - job.steps.data())];
  return placement_.ChooseWithRoom(views_,
                                   {.service = job.request.service,
                                    .step = &requested_step,
                                    .rank = StartRank::kStarted,
                                    .median_pace = median_pace},
                                   placement_random_) != nullptr;
}

// --- Supervisors

void JobScheduler::OnAgentAttached(const std::string& supervisor_id,
                                   const std::string& availability_zone, std::uint64_t incarnation,
                                   std::span<const RunId> held_runs) {
  NoteInput();
  auto [found, is_new] = supervisors_.try_emplace(supervisor_id);
  Supervisor& supervisor = found->second;
  if (is_new) {
    supervisor.view = ExecutorView(supervisor_id, availability_zone);
    health_.Add(supervisor_id);
    views_.clear();
    for (auto& [id, each] : supervisors_) views_.push_back(&each.view);
  }
  supervisor.view.set_attached(true);
  supervisor.view.set_in_evacuated_zone(evacuation_.IsEvacuated(supervisor.view.executor_zone()));
  supervisor.view.ClearOrders();
  should_retry_waiting_ = true;
  if (!is_new && supervisor.incarnation != incarnation) {
    // The earlier process may have died without stopping its runs; they end with its lease.
    supervisor.orphaned_runs.merge(supervisor.runs);
    supervisor.runs.clear();
    if (supervisor.runs_over_at == TimePoint()) {
      supervisor.runs_over_at = clock_.now() + options_.budget.lost_after();
    }
  } else {
    std::set<RunId> lost;
    const std::set<RunId> held(held_runs.begin(), held_runs.end());
    std::set_difference(supervisor.runs.begin(), supervisor.runs.end(), held.begin(), held.end(),
                        std::inserter(lost, lost.end()));
    for (const RunId& id : lost) supervisor.runs.erase(id);
    // Without any message for so long, orders may not have arrived for the same reason for which
    // the supervisor did not hear this dispatcher.
    const bool was_silent = clock_.now() - supervisor.heard_at > options_.budget.isolation_limit();
    EndLostRuns(supervisor, lost, was_silent ? RunOutcome::kOwnerSilent : RunOutcome::kLapsed);
  }
  supervisor.incarnation = incarnation;
  NoteHeard(supervisor);
  for (const RunId& id : held_runs) {
    // A hello of an earlier process may have come between two of this one.
    if (supervisor.orphaned_runs.erase(id) > 0) supervisor.runs.insert(id);
    if (IsCurrentRun(supervisor_id, id)) continue;
    // For example, its job was cancelled while there was no connection.
    actions_.emplace_back(StopTask{.agent_id = supervisor_id, .id = id});
  }
  if (supervisor.orphaned_runs.empty()) supervisor.runs_over_at = {};
  NoteRuns(supervisor);
}

bool JobScheduler::IsCurrentRun(const std::string& supervisor_id, const RunId& id) const {
  const auto found = jobs_.find(id.task.job_id);
  if (found == jobs_.end()) return false;
  const std::vector<Step>& steps = found->second.steps;
  if (id.task.step >= steps.size() || id.task.index >= steps[id.task.step].tasks.size()) {
    return false;
  }
  const Task& task = steps[id.task.step].tasks[id.task.index];
  return task.state == TaskState::kOrdered && task.run == id.run &&
         task.supervisor_id == supervisor_id;
}

void JobScheduler::EndLostRuns(const Supervisor& supervisor, const std::set<RunId>& lost,
                               RunOutcome outcome) {
  for (const RunId& id : lost) OnRunEnded(supervisor, id, outcome, Duration(0), false);
}

void JobScheduler::OnAgentDetached(const std::string& supervisor_id) {
  const auto found = supervisors_.find(supervisor_id);
  if (found == supervisors_.end()) return;
  found->second.view.set_attached(false);
  found->second.runs_over_at = clock_.now() + options_.budget.lost_after();
}

void JobScheduler::OnReport(const std::string& supervisor_id, ExecutorReport report) {
  NoteInput();
  const auto found = supervisors_.find(supervisor_id);
  if (found == supervisors_.end()) return;
  NoteHeard(found->second);
  // On average, one of the dispatchers that see the same room may take the last of it.
  const std::uint32_t competitors = std::max<std::uint32_t>(report.close_entries, 1);
  SetJobsOfOthers(found->second, std::exchange(report.jobs_of_others, {}));
  ExecutorView& view = found->second.view;
  view.OnReport(std::move(report));
  view.set_in_evacuated_zone(evacuation_.IsEvacuated(view.executor_zone()));
  view.set_may_take_last_room(
      std::uniform_int_distribution<std::uint32_t>(1, competitors)(placement_random_) == 1);
  should_retry_waiting_ = should_retry_waiting_ || MayHelpWaitingJobs(view);
}

bool JobScheduler::OnEvacuation(EvacuationState state) {
  if (!evacuation_.Take(std::move(state))) return false;
  for (ExecutorView* view : views_) {
    view->set_in_evacuated_zone(evacuation_.IsEvacuated(view->executor_zone()));
  }
  should_retry_waiting_ = true;
  return true;
}

// --- Time

bool JobScheduler::MayStartLate(const Supervisor& supervisor) const {
  return supervisor.view.attached() && !supervisor.orphaned_runs.empty() &&
         !supervisor.view.report().executor_answered &&
         clock_.now() < supervisor.runs_over_at + RunEndBudget::kLateExecution;
}

void JobScheduler::OnStall() {
  // A pause is not extended: a process that gets little processor time at a time would never order.
  if (!orders_paused_until_) orders_paused_until_ = clock_.now() + options_.stall_recovery;
}

void JobScheduler::SettleIsolation() {
  if (!IsSettling() || input_handled_.value_or(clock_.now()) < isolation_->ended) return;
  isolation_->is_settling = false;
  std::vector<std::string> left;
  for (const auto& [id, job] : jobs_) {
    if (MayHaveLeft(job)) left.push_back(id);
  }
  for (const std::string& id : left) RefuseOrAbandon(jobs_.at(id), JobReason::kIsolated);
}

void JobScheduler::OnTimer() {
  const TimePoint now = clock_.now();
  if (orders_paused_until_ && *orders_paused_until_ <= now) orders_paused_until_.reset();
  SettleIsolation();
  for (auto& [id, job] : jobs_) {
    if (job.held_until != TimePoint() && job.held_until <= now) Release(job);
  }
  ObserveRoom();
  std::vector<std::string> late;
  for (const auto& [id, job] : jobs_) {
    const bool is_waiting = !MayHaveRun(job) && !job.has_waited_for_rack;
    if (job.request.deadline <= now || (is_waiting && job.start_by <= now)) late.push_back(id);
  }
  for (const std::string& id : late) {
    Job& job = jobs_.at(id);
    if (job.request.deadline > now && HoldAsLate(job)) continue;
    RefuseOrAbandon(job, MayHaveRun(job) ? JobReason::kDeadline : ReasonForLackOfRoom(job));
  }
  for (const ExecutorHealth::Change& change : health_.OnTimer(now)) {
    actions_.emplace_back(ExecutorJudged{change});
  }
  for (auto& [id, supervisor] : supervisors_) {
    if (supervisor.runs_over_at == TimePoint() || supervisor.runs_over_at > now) continue;
    if (MayStartLate(supervisor)) continue;
    supervisor.runs_over_at = {};
    EndLostRuns(supervisor, std::exchange(supervisor.orphaned_runs, {}), RunOutcome::kLapsed);
    NoteRuns(supervisor);
    if (supervisor.view.attached()) continue;
    SetJobsOfOthers(supervisor, {});
    EndLostRuns(supervisor, std::exchange(supervisor.runs, {}), RunOutcome::kLapsed);
    NoteRuns(supervisor);
  }
  ForgetExpiredAnswers();
  MoveStragglers();
  // Limits and the state of executors change with time, too.
  PlaceQueuedJobs(true);
}

void JobScheduler::RememberAnswer(const JobReply& answer) {
  answers_[answer.job_id] = answer;
  answer_expiries_.emplace_back(clock_.now() + options_.answer_retention, answer.job_id);
}

void JobScheduler::ForgetExpiredAnswers() {
  while (!answer_expiries_.empty() && (answer_expiries_.front().first <= clock_.now() ||
                                       answer_expiries_.size() > options_.max_retained_answers)) {
    answers_.erase(answer_expiries_.front().second);
    answer_expiries_.pop_front();
  }
}

std::optional<JobReply> JobScheduler::Remembered(const std::string& job_id) const {
  const auto found = answers_.find(job_id);
  if (found == answers_.end()) return std::nullopt;
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

bool JobScheduler::has_evacuated_executors() const {
  return std::any_of(views_.begin(), views_.end(), [](const ExecutorView* view) {
    return view->attached() && view->in_evacuated_zone() && !view->report().executor_id.empty();
  });
}

PlacementExplanation JobScheduler::Explain(const JobRequest& request) const {
  const Duration critical_path = CriticalPath(request);
  Job job;
  job.request = request;
  job.received = clock_.now();
  job.start_by = wait_policy_.StartBy(request, critical_path, job.received);
  job.objective = job.received + wait_policy_.Objective(request, critical_path);
  const JobStep& requested_step = request.steps.front();
  RoomPlacement::Query query{.service = request.service,
                             .step = &requested_step,
                             .rank = RankOf(job),
                             .median_pace = RoomPlacement::MedianPace(views_)};
  AddSpeeds(job, {.estimate = EstimatedRunTime(request, requested_step)}, query);
  return ExplainPlacement({.placement = placement_,
                           .locality = locality_,
                           .executors = views_,
                           .query = std::move(query),
                           .is_ejected =
                               [this](const ExecutorView& view) {
                                 return health_.standing(view.agent_id()) ==
                                        ExecutorHealth::Standing::kEjected;
                               },
                           .refusal = ReasonToRefuse(request),
                           .queue = request.queue,
                           .now = job.received,
                           .objective = job.objective,
                           .start_limit = job.start_by - job.received,
                           .order_wait_limit = MaxOrderWait(job)});
}

std::vector<const ExecutorView*> JobScheduler::executors() const {
  return {views_.begin(), views_.end()};
}

std::vector<SchedulerAction> JobScheduler::TakeActions() {
  new_order_bytes_ = 0;
  return std::exchange(actions_, {});
}

}  // namespace zinniamux::core
