// Start, lease and stop decisions of a supervisor.
#include "core/run_supervisor.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace zinniamux::core {

using std::chrono::milliseconds;

RunSupervisor::RunSupervisor(const Options& options, const Clock& clock, const Clock& executor_pace)
    : options_(options),
      clock_(clock),
      executor_pace_(executor_pace),
      fencing_token_(options.fencing_token),
      run_budget_(options.run_budget),
      queue_(options.max_waiting),
      superseded_jobs_(options.budget) {}

std::string_view NameOf(StopReason reason) {
  switch (reason) {
    case StopReason::kOrdered:
      return "ordered";
    case StopReason::kOwnerGone:
      return "owner_gone";
    case StopReason::kOwnerRefuses:
      return "owner_refuses";
    case StopReason::kOwnerSilent:
      return "owner_silent";
    case StopReason::kStartUnanswered:
      return "start_unanswered";
    case StopReason::kSuperseded:
      return "superseded";
  }
  return "unknown";
}

bool RunSupervisor::OnExecutorStatus(const LeasedExecutor& status) {
  if (executor_) {
    if (status.born_ms < executor_->born_ms) return false;
    const bool same_incarnation =
        status.born_ms == executor_->born_ms && status.id == executor_->id;
    if (same_incarnation && status.sequence <= executor_->sequence) return false;
    departing_ = false;
    if (status.id != executor_->id) {
      ForgetExecutor(RunOutcome::kBroken);
    } else if (!same_incarnation) {
      BeginIncarnation(status.born_ms);
      UpdateExecutorClock(status.clock);
      holds_.clear();
    }
  }
  const bool is_new = !executor_;
  const bool changed = is_new || executor_->draining != status.draining ||
                       executor_->capacity != status.capacity ||
                       executor_->labels != status.labels || executor_->service != status.service ||
                       executor_->zone != status.zone;
  executor_ = status;
  cold_until_ = clock_.now() + status.cold_left;
  if (is_new) needs_first_poll_ = true;
  // A status may have been delayed. Without calls, it keeps the estimate close.
  if (is_new || status.clock > ExecutorNow()) UpdateExecutorClock(status.clock);
  if (changed) actions_.emplace_back(ReportChanged{});
  StartWaitingOrders();
  SendDueHolds();
  return true;
}

void RunSupervisor::OnExecutorLeft(const std::string& executor_id) {
  if (!executor_ || executor_->id != executor_id) return;
  if (runs_.empty()) return ForgetDepartedExecutor();
  // The call may have been delayed since an earlier incarnation. The executor's answers tell.
  departing_ = true;
  needs_first_poll_ = true;
  StartWaitingOrders();
  SendDueHolds();
  actions_.emplace_back(ReportChanged{});
}

void RunSupervisor::ForgetDepartedExecutor() {
  ForgetExecutor(RunOutcome::kStopped);
  StartWaitingOrders();
  actions_.emplace_back(ReportChanged{});
}

void RunSupervisor::BeginIncarnation(std::int64_t born_ms) {
  // The id is the same, so starts that were in flight may run in the new incarnation. The next poll
  // shows which runs it has; the others ended with the earlier incarnation.
  executor_->born_ms = born_ms;
  executor_->sequence = 0;
  departing_ = false;
  // Calls that were on their way, also late ones, are refused from the first call with this token.
  ++fencing_token_;
  last_seen_ = acknowledged_ = 0;
  unknown_runs_.clear();
  found_unconfirmed_.clear();
  actions_.emplace_back(ExecutorRestarted{
      .born_ms = born_ms,
      .runs = runs_.size(),
      .unanswered_starts = static_cast<std::size_t>(std::count_if(
          runs_.begin(), runs_.end(),
          [this](const auto& entry) { return revoked_starts_.contains(entry.first); }))});
  // It is unknown which of them the earlier incarnation has run.
  for (auto& [id, run] : runs_) {
    run.may_have_run = true;
    run.lost_in_crash = run.lost_in_crash || IsLostInCrash(run);
    run.seen_running = false;
    if ((run.start_unanswered || run.start_pending) && run.state == State::kStopped) {
      // The new incarnation does not know that it was stopped.
      run.state = State::kStopping;
      run.next_stop_at = clock_.now();
    }
  }
  // The new incarnation does not know that these were revoked.
  for (const auto& [id, until] : revoked_starts_) {
    if (!runs_.contains(id)) unknown_runs_[id] = {.next_stop_at = clock_.now()};
  }
  consecutive_unanswered_ = 0;
  executor_is_down_ = false;
  executor_answered_ = false;
  pace_ = PaceMeter();
  needs_first_poll_ = true;
  next_hold_at_ = {};
  actions_.emplace_back(ReportChanged{});
}

void RunSupervisor::ForgetExecutor(RunOutcome outcome) {
  // All runs ended with that incarnation of the executor.
  for (auto run = runs_.begin(); run != runs_.end();) {
    const bool crashed = outcome == RunOutcome::kBroken && IsLostInCrash(run->second);
    run = FinishRun(run, crashed ? RunOutcome::kExecutorCrashed : outcome);
  }
  unknown_runs_.clear();
  found_unconfirmed_.clear();
  holds_.clear();
  consecutive_unanswered_ = 0;
  executor_is_down_ = false;
  last_seen_ = acknowledged_ = 0;
  next_hold_at_ = {};
  pace_ = PaceMeter();
  // It may come back under the same id.
  ++fencing_token_;
  departing_ = false;
  needs_first_poll_ = false;
  executor_answered_ = false;
  executor_.reset();
}

void RunSupervisor::OnOwnerHeard(const std::string& owner, TimePoint input_handled) {
  TimePoint& known = owner_input_handled_[owner];
  known = std::max(known, std::min(input_handled, clock_.now()));
}

void RunSupervisor::OnOwnerLost(const std::string& owner) {
  LoseOwner(owner, StopReason::kOwnerGone, RunOutcome::kWithdrawn);
}

void RunSupervisor::OnOwnerRefuses(const std::string& owner) {
  // If it lives, it may order them elsewhere.
  LoseOwner(owner, StopReason::kOwnerRefuses, RunOutcome::kNotAccepting);
}

void RunSupervisor::LoseOwner(const std::string& owner, StopReason reason,
                              RunOutcome order_outcome) {
  RefuseOrders(queue_.TakeOwnedBy(owner), order_outcome);
  for (auto& [id, run] : runs_) {
    if (run.owner == owner) BeginStop(id, run, reason, RunOutcome::kStopped);
  }
  owner_input_handled_.erase(owner);
  SendDueHolds();
}

void RunSupervisor::OnJobSuperseded(const std::string& owner, const std::string& job_id) {
  superseded_jobs_.OnSuperseded(owner, job_id, clock_.now());
  RefuseOrders(queue_.TakeJobOfOthers(owner, job_id), RunOutcome::kWithdrawn);
  for (auto& [id, run] : runs_) {
    if (run.owner == owner || id.task.job_id != job_id) continue;
    BeginStop(id, run, StopReason::kSuperseded, RunOutcome::kStopped);
  }
  SendDueHolds();
}

std::vector<std::string> RunSupervisor::JobsOfOthers(const std::string& owner) const {
  const TimePoint received_by = clock_.now() - options_.budget.notice_age();
  std::set<std::string> jobs;
  for (std::string& job : queue_.JobsOfOthers(owner, received_by)) jobs.insert(std::move(job));
  for (std::string& job : superseded_jobs_.JobsOfOthers(owner, clock_.now())) {
    jobs.insert(std::move(job));
  }
  for (const auto& [id, run] : runs_) {
    if (run.owner != owner && run.order.job_received <= received_by) jobs.insert(id.task.job_id);
  }
  for (const auto& [id, run] : unknown_runs_) {
    if (run.is_listed) jobs.insert(id.task.job_id);
  }
  return {jobs.begin(), jobs.end()};
}

bool RunSupervisor::accepting() const {
  return executor_ && !executor_->draining && !stopped_accepting_ && !needs_first_poll_ &&
         !IsSilent() && !in_evacuated_zone();
}

const std::string& RunSupervisor::executor_zone() const {
  const bool has_announced = executor_ && !executor_->zone.empty();
  return has_announced ? executor_->zone : options_.availability_zone;
}

milliseconds RunSupervisor::cold_left() const {
  const Duration left = std::max(cold_until_ - clock_.now(), Duration(0));
  return std::chrono::ceil<milliseconds>(left);
}

bool RunSupervisor::OnEvacuation(EvacuationState state) {
  const bool was_accepting = accepting();
  if (!evacuation_.Take(std::move(state))) return false;
  StartWaitingOrders();
  if (was_accepting != accepting()) actions_.emplace_back(ReportChanged{});
  return true;
}

Resources RunSupervisor::free_room() const {
  if (!executor_) return {};
  Resources free = executor_->capacity;
  free -= used_;
  return free;
}

std::optional<RunOutcome> RunSupervisor::ReasonToRefuse(const std::string& owner,
                                                        const RunOrder& order) const {
  if (!accepting()) return RunOutcome::kNotAccepting;
  // The owner counts as silent, or the lease in force would keep the run alive for too long.
  const TimePoint end = RunEndOf(owner);
  const TimePoint silent_at = end - options_.budget.run_end() + options_.budget.silence();
  if (silent_at < clock_.now() || end < RequestedLeaseEnd()) return RunOutcome::kNotAccepting;
  if (clock_.now() > order.expires) return RunOutcome::kExpired;
  if (!order.need.Fits(executor_->capacity)) return RunOutcome::kNoRoom;
  if (queue_.ContainsTask(order.id.task)) return RunOutcome::kOutdated;
  // Another run of the task is here already, or this order arrived twice.
  const auto same_task = runs_.lower_bound({order.id.task, 0});
  if (same_task != runs_.end() && same_task->first.task == order.id.task) {
    return RunOutcome::kOutdated;
  }
  return std::nullopt;
}

void RunSupervisor::OnOrder(const std::string& owner, const RunOrder& order) {
  owner_input_handled_.try_emplace(owner, clock_.now());
  if (const std::optional<RunOutcome> reason = ReasonToRefuse(owner, order)) {
    return RefuseOrder(owner, order.id, *reason);
  }
  StartQueue::WaitingOrder waiting{.owner = owner, .order = order};
  if (order.job_received == TimePoint()) waiting.order.job_received = clock_.now();
  if (superseded_jobs_.IsSuperseded(owner, order.id.task.job_id, waiting.order.job_received)) {
    return RefuseOrder(owner, order.id, RunOutcome::kWithdrawn);
  }
  if (!run_budget_.Add(order)) {
    ++orders_without_memory_;
    return RefuseOrder(owner, order.id, RunOutcome::kNoRoom);
  }
  if (!queue_.Add(std::move(waiting))) {
    run_budget_.Remove(order);
    return RefuseOrder(owner, order.id, RunOutcome::kNoRoom);
  }
  StartWaitingOrders();
  if (!order.at_once) return;
  if (auto left = queue_.TakeOrder(owner, order.id)) {
    RefuseOrders({*std::move(left)},
                 CanLeaseStarts() ? RunOutcome::kNoRoom : RunOutcome::kNotAccepting);
  }
}

void RunSupervisor::StartWaitingOrders() {
  if (!accepting()) return RefuseOrders(queue_.TakeAll(), RunOutcome::kNotAccepting);
  RefuseOrders(queue_.TakeExpired(clock_.now()), RunOutcome::kExpired);
  UpdateUrgentUse();
  while (CanLeaseStarts()) {
    auto next = queue_.TakeNextFitting(free_room(), kept_cpu_milli());
    if (!next) break;
    BeginRun(*std::move(next));
    UpdateUrgentUse();
  }
}

void RunSupervisor::UpdateUrgentUse() {
  const TimePoint now = clock_.now();
  reserve_.Update(urgent_used_milli_ + queue_.waiting_needs().urgent_only_cpu_milli, now);
  urgent_release_.Update(RunReleaseRate(true) - RunReleaseRate(false), now);
}

std::int64_t RunSupervisor::kept_cpu_milli() const {
  return executor_ ? reserve_.ReservedCpuMilli(executor_->capacity.cpu_milli, clock_.now()) : 0;
}

void RunSupervisor::BeginRun(StartQueue::WaitingOrder waiting) {
  const RunId id = waiting.order.id;
  used_ += waiting.order.need;
  if (waiting.order.urgent) urgent_used_milli_ += waiting.order.need.cpu_milli;
  Run run{.owner = std::move(waiting.owner),
          .order = std::move(waiting.order),
          .started_at = clock_.now()};
  // Not with the next heartbeat only: its caller may have sent the job again already.
  if (run.order.job_received + options_.budget.notice_age() <= clock_.now()) {
    actions_.emplace_back(ReportChanged{});
  }
  SendStart(runs_.emplace(id, std::move(run)).first->second);
}

void RunSupervisor::RefuseOrders(const std::vector<StartQueue::WaitingOrder>& orders,
                                 RunOutcome outcome) {
  for (const StartQueue::WaitingOrder& each : orders) {
    run_budget_.Remove(each.order);
    RefuseOrder(each.owner, each.order.id, outcome);
  }
}

void RunSupervisor::RefuseOrder(const std::string& owner, const RunId& id, RunOutcome outcome) {
  actions_.emplace_back(RunUpdate{.owner = owner, .id = id, .outcome = outcome});
}

void RunSupervisor::SendStart(Run& run) {
  run.state = State::kStarting;
  run.state_since = clock_.now();
  run.fencing_token = fencing_token_;
  run.born_ms = executor_->born_ms;
  run.start_pending = true;
  const std::optional<ExecutorTime> lease_until = RenewLease();
  actions_.emplace_back(CallStart{
      .id = run.order.id,
      .spec = run.order.spec,
      .executor_id = executor_->id,
      // The executor refuses a lease that is over.
      .lease_until = lease_until.value_or(ExecutorNow()),
      .fencing_token = fencing_token_,
      .answer_limit = AnswerTimeLimit(options_.min_start_limit, options_.max_start_limit)});
}

milliseconds RunSupervisor::AnswerTimeLimit(milliseconds min, milliseconds max) const {
  const std::chrono::duration<double> limit(mean_answer_seconds_ * options_.answer_time_factor);
  return std::clamp(std::chrono::duration_cast<milliseconds>(limit), min, max);
}

void RunSupervisor::OnStopOrder(const std::string& owner, const RunId& id) {
  if (auto waiting = queue_.TakeOrder(owner, id)) {
    return RefuseOrders({*std::move(waiting)}, RunOutcome::kWithdrawn);
  }
  const auto run = runs_.find(id);
  if (run == runs_.end() || run->second.owner != owner) return;
  BeginStop(id, run->second, StopReason::kOrdered, RunOutcome::kStopped);
  SendDueHolds();
}

void RunSupervisor::BeginStop(const RunId& id, Run& run, StopReason reason,
                              RunOutcome outcome_if_not_started) {
  if (run.state == State::kStopping || run.state == State::kStopped) return;
  const auto heard = owner_input_handled_.find(run.owner);
  const Duration unheard =
      heard == owner_input_handled_.end() ? Duration(0) : clock_.now() - heard->second;
  actions_.emplace_back(
      RunStopping{.owner = run.owner, .id = id, .reason = reason, .unheard = unheard});
  run.state = State::kStopping;
  run.outcome_if_not_started = outcome_if_not_started;
  run.stopping_since = clock_.now();
  run.stop_reason = reason;
  run.must_end_by = RunEndOf(run.owner);
  SendStop(id, run);
}

void RunSupervisor::SendStop(const RunId& id, Run& run) {
  run.state_since = clock_.now();
  run.next_stop_at = clock_.now() + options_.stop_retry;
  actions_.emplace_back(
      CallStop{.id = id, .executor_id = executor_->id, .fencing_token = fencing_token_});
}

void RunSupervisor::OnConnectionRefused() { call_was_refused_ = true; }

void RunSupervisor::OnStartAnswer(const RunId& id, StartAnswer answer,
                                  std::optional<ExecutorTime> clock, bool resent) {
  RecordAnswer(answer != StartAnswer::kNone);
  if (resent && answer != StartAnswer::kStarted) answer = StartAnswer::kNone;
  const auto found = runs_.find(id);
  if (answer == StartAnswer::kNone || resent) {
    // With which token a run that is over was started is not known any more.
    RevokeUnansweredCall(found == runs_.end() ? fencing_token_ : found->second.fencing_token);
  }
  if (found == runs_.end()) return;
  Run& run = found->second;
  run.start_pending = false;
  // A late answer may be of an earlier incarnation, which had another clock.
  if (clock && run.born_ms == executor_->born_ms) UpdateExecutorClock(*clock);
  if (answer == StartAnswer::kStarted) run.seen_running = true;
  if (answer != StartAnswer::kNone && run.state == State::kStarting) {
    constexpr double kWeight = 0.2;
    const double seconds = std::chrono::duration<double>(clock_.now() - run.state_since).count();
    mean_answer_seconds_ += (seconds - mean_answer_seconds_) * kWeight;
  }
  if (answer == StartAnswer::kNone && !run.seen_running) {
    revoked_starts_[id] = clock_.now() + options_.late_execution_limit;
    run.start_unanswered = true;
  }
  if (run.state != State::kStarting) return;
  switch (answer) {
    case StartAnswer::kStarted:
      run.state = State::kRunning;
      run.state_since = clock_.now();
      break;
    case StartAnswer::kFenced:
      // The token may have risen while the call was on its way. Otherwise an earlier process of
      // this supervisor had a clock that ran ahead: no other process calls this executor.
      if (run.fencing_token == fencing_token_) {
        fencing_token_ += std::max<std::uint64_t>(1, fencing_token_ / 1024);
      }
      [[fallthrough]];
    case StartAnswer::kLeaseExpired:
      // It has not started, and would be sent again.
      if (in_evacuated_zone()) {
        FinishRun(found, RunOutcome::kNotAccepting);
        break;
      }
      if (clock_.now() <= run.order.expires && CanLeaseStarts()) return SendStart(run);
      FinishRun(found, RunOutcome::kExpired);
      break;
    case StartAnswer::kNoRoom:
      FinishRun(found, RunOutcome::kNoRoom);
      break;
    case StartAnswer::kOutdated:
      FinishRun(found, RunOutcome::kOutdated);
      break;
    case StartAnswer::kUnhealthy:
    case StartAnswer::kRejected:
      FinishRun(found, RunOutcome::kUnhealthy);
      break;
    case StartAnswer::kNone:
      if (run.seen_running) {
        // Only the answer was lost; a poll has shown the run.
        run.state = State::kRunning;
        run.state_since = clock_.now();
        break;
      }
      BeginStop(id, run, StopReason::kStartUnanswered, RunOutcome::kStartUnanswered);
      break;
  }
  StartWaitingOrders();
  SendDueHolds();
}

void RunSupervisor::OnStopAnswer(const RunId& id, bool answered) {
  RecordAnswer(answered);
  if (!answered) return StartWaitingOrders();
  unknown_runs_.erase(id);
  const auto found = runs_.find(id);
  if (found != runs_.end() && found->second.state == State::kStopping) {
    found->second.state = State::kStopped;
    found->second.state_since = clock_.now();
  }
  StartWaitingOrders();
  SendDueHolds();
}

RunSupervisor::Runs::iterator RunSupervisor::FinishRun(Runs::iterator run, RunOutcome outcome) {
  if (outcome == RunOutcome::kStopped) {
    const StopReason reason = run->second.stop_reason;
    const bool is_given_up =
        reason == StopReason::kOwnerSilent || reason == StopReason::kSuperseded;
    if (is_given_up) outcome = RunOutcome::kOwnerSilent;
    if (reason == StopReason::kStartUnanswered) outcome = RunOutcome::kStartUnanswered;
  }
  const RunOrder& order = run->second.order;
  used_ -= order.need;
  run_budget_.Remove(order);
  if (order.urgent) urgent_used_milli_ -= order.need.cpu_milli;
  const Duration elapsed = clock_.now() - run->second.started_at;
  const double estimate = std::chrono::duration<double>(run->second.order.estimate).count();
  if (outcome == RunOutcome::kDone && estimate > 0) {
    const double ratio = std::chrono::duration<double>(elapsed).count() / estimate;
    const auto& sampled = run->second.sampled_pace;
    if (!sampled || PaceMeter::HasChanged(*sampled, ratio)) pace_.AddSample(ratio, clock_.now());
  }
  NoteEndOfRun(run->second, run->first, outcome);
  actions_.emplace_back(RunUpdate{
      .owner = run->second.owner, .id = run->first, .outcome = outcome, .elapsed = elapsed});
  // The other dispatcher waits for it.
  if (run->second.stop_reason == StopReason::kSuperseded) actions_.emplace_back(ReportChanged{});
  return runs_.erase(run);
}

void RunSupervisor::NoteEndOfRun(const Run& run, const RunId& id, RunOutcome outcome) {
  // After kOwnerSilent the job is given up, and another dispatcher may wait for its end.
  if (!HasStarted(outcome) || outcome == RunOutcome::kOwnerSilent) return;
  const TimePoint now = clock_.now();
  if (run.order.job_received + options_.budget.notice_age() > now) return;
  superseded_jobs_.OnRunEnded(run.owner, id.task.job_id, now);
}

void RunSupervisor::ProcessEndedRun(const EndedRun& ended) {
  if (ended.number <= last_seen_) return;
  last_seen_ = ended.number;
  unknown_runs_.erase(ended.id);
  const auto run = runs_.find(ended.id);
  if (run != runs_.end()) FinishRun(run, ended.outcome);
}

void RunSupervisor::SamplePace(Run& run) {
  // One sample per run, once it has run long enough to measure its speed.
  constexpr double kMinElapsedShare = 0.5;
  constexpr double kMinSeconds = 0.03;
  const TimePoint now = clock_.now();
  const double estimate = std::chrono::duration<double>(run.order.estimate).count();
  const double elapsed = std::chrono::duration<double>(now - run.started_at).count();
  if (run.sampled_pace || estimate <= 0) return;
  if (elapsed < std::max(kMinSeconds, kMinElapsedShare * estimate)) return;
  run.sampled_pace = elapsed / estimate * 100 / std::max(run.percent, 1);
  pace_.AddSample(*run.sampled_pace, now);
}

void RunSupervisor::ReportUnconfirmedRun(const RunId& id, bool was_reported) {
  if (!found_unconfirmed_.insert(id).second) return;
  const auto revoked = revoked_starts_.find(id);
  UnconfirmedRunFound found{.id = id, .was_reported = was_reported};
  if (revoked != revoked_starts_.end()) {
    found.since_unanswered = clock_.now() + options_.late_execution_limit - revoked->second;
  }
  actions_.emplace_back(std::move(found));
}

void RunSupervisor::ReconcileRunning(std::span<const RunningRun> running, TimePoint sent_at) {
  const TimePoint now = clock_.now();
  for (const RunningRun& listed : running) {
    const auto found = runs_.find(listed.id);
    if (found == runs_.end()) {
      // Left behind by an earlier process of the supervisor, or a start that was executed late.
      const auto [unknown, is_new] = unknown_runs_.try_emplace(
          listed.id, UnknownRun{.next_stop_at = now + options_.stop_retry});
      unknown->second.is_listed = true;
      ReportUnconfirmedRun(listed.id, true);
      if (!is_new) continue;
      actions_.emplace_back(
          CallStop{.id = listed.id, .executor_id = executor_->id, .fencing_token = fencing_token_});
      continue;
    }
    Run& run = found->second;
    if (!run.seen_running && revoked_starts_.contains(listed.id)) {
      ReportUnconfirmedRun(listed.id, false);
    }
    run.seen_running = true;
    run.start_unanswered = false;
    run.lost_in_crash = false;
    run.percent = listed.percent;
    if (run.state == State::kStopped && run.state_since + options_.budget.stop_time() < sent_at) {
      // The stop had no effect: the executor had seen a higher fencing token.
      run.state = State::kStopping;
      SendStop(listed.id, run);
    }
    SamplePace(run);
  }
  std::set<RunId> listed_ids;
  for (const RunningRun& listed : running) listed_ids.insert(listed.id);
  EndMissingRuns(listed_ids, sent_at);
}

void RunSupervisor::EndMissingRuns(const std::set<RunId>& listed_ids, TimePoint sent_at) {
  for (auto run = runs_.begin(); run != runs_.end();) {
    const bool is_missing = !listed_ids.contains(run->first) && run->second.state_since < sent_at;
    if (is_missing && run->second.state == State::kRunning) {
      run = FinishRun(
          run, run->second.lost_in_crash ? RunOutcome::kExecutorCrashed : RunOutcome::kLapsed);
    } else if (is_missing && run->second.state == State::kStopped && !run->second.start_pending) {
      const bool may_have_run = run->second.seen_running || run->second.may_have_run;
      run =
          FinishRun(run, may_have_run ? RunOutcome::kStopped : run->second.outcome_if_not_started);
    } else {
      ++run;
    }
  }
}

void RunSupervisor::OnHoldAnswer(std::uint64_t number, const std::optional<HoldAnswer>& answer) {
  const auto found = holds_.find(number);
  if (found == holds_.end() || !executor_) return;
  const Hold hold = found->second;
  holds_.erase(found);
  RecordAnswer(answer.has_value());
  if (!answer) {
    RevokeUnansweredCall(hold.fencing_token);
    // Limit the rate of calls to a silent executor.
    if (IsSilent()) next_hold_at_ = clock_.now() + options_.stop_retry;
    StartWaitingOrders();
    return SendDueHolds();
  }
  if (number < last_answered_hold_) return SendDueHolds();
  last_answered_hold_ = number;
  if (answer->born_ms != 0 && answer->born_ms < executor_->born_ms) return SendDueHolds();
  if (answer->born_ms > executor_->born_ms) BeginIncarnation(answer->born_ms);
  executor_answered_ = true;
  UpdateExecutorClock(answer->clock);
  acknowledged_ = std::max(acknowledged_, hold.last_seen);
  for (const EndedRun& ended : answer->ended) ProcessEndedRun(ended);
  ReconcileRunning(answer->running, hold.sent_at);
  ReportPaceChange();
  if (needs_first_poll_) {
    needs_first_poll_ = false;
    actions_.emplace_back(ReportChanged{});
  }
  SendDueStops();
  StartWaitingOrders();
  SendDueHolds();
}

bool RunSupervisor::MayRenewLease() const {
  // A renewal whose answer is lost would keep runs alive that are not monitored.
  if (IsSilent()) return false;
  const TimePoint limit = clock_.now() - options_.budget.stop_limit();
  return std::none_of(runs_.begin(), runs_.end(), [&](const auto& entry) {
    return entry.second.state == State::kStopping && entry.second.stopping_since < limit;
  });
}

bool RunSupervisor::NeedsQuickPoll() const {
  TimePoint last_quick = TimePoint::min();
  std::size_t quick_holds = 0;
  for (const auto& [number, hold] : holds_) {
    if (!hold.quick) continue;
    ++quick_holds;
    if (hold.overdue_at > clock_.now()) last_quick = std::max(last_quick, hold.sent_at);
  }
  if (quick_holds >= options_.max_quick_holds) return false;
  return std::any_of(runs_.begin(), runs_.end(), [last_quick](const auto& entry) {
    return entry.second.state == State::kStopped && !entry.second.start_pending &&
           entry.second.state_since > last_quick;
  });
}

bool RunSupervisor::HasEnoughHolds() const {
  if (holds_.size() >= options_.max_holds) return true;
  const TimePoint now = clock_.now();
  const auto in_time = std::count_if(holds_.begin(), holds_.end(), [now](const auto& entry) {
    return entry.second.overdue_at > now;
  });
  const bool answers_get_lost =
      last_unanswered_at_ != TimePoint() && now - last_unanswered_at_ < options_.double_hold_period;
  return in_time >= (answers_get_lost ? 2 : 1);
}

bool RunSupervisor::NeedsPoll() const {
  return !runs_.empty() || !unknown_runs_.empty() || needs_first_poll_ ||
         acknowledged_ < last_seen_;
}

TimePoint RunSupervisor::RunEndOf(const std::string& owner) const {
  const auto heard = owner_input_handled_.find(owner);
  const TimePoint since = heard == owner_input_handled_.end() ? clock_.now() : heard->second;
  return since + options_.budget.run_end();
}

TimePoint RunSupervisor::LatestLeaseEnd() const {
  // Whose run it is, and until when it may go on, is unknown.
  const bool has_unknown = std::any_of(unknown_runs_.begin(), unknown_runs_.end(),
                                       [](const auto& entry) { return entry.second.is_listed; });
  if (has_unknown) return clock_.now();
  TimePoint end = clock_.now() + RunEndBudget::LongestLease(options_.budget.lease());
  for (const auto& [owner, heard] : owner_input_handled_) {
    end = std::min(end, heard + options_.budget.run_end());
  }
  for (const auto& [id, run] : runs_) {
    // Once its stop is answered, the run ends without the lease.
    if (run.state == State::kStopping) end = std::min(end, run.must_end_by);
  }
  return end;
}

bool RunSupervisor::CanLeaseStarts() const {
  return LatestLeaseEnd() >= clock_.now() + options_.min_start_lease;
}

std::optional<ExecutorTime> RunSupervisor::RenewLease() {
  const TimePoint end = LatestLeaseEnd();
  const milliseconds lease = RunEndBudget::LeaseWithin(end - clock_.now());
  if (lease <= milliseconds(0)) return std::nullopt;
  lease_expires_at_ = std::max(lease_expires_at_, end + (executor_pace_.now() - clock_.now()));
  return ExecutorNow() + lease;
}

void RunSupervisor::RecordAnswer(bool answered) {
  const bool was_accepting = accepting();
  const TimePoint now = clock_.now();
  executor_is_down_ = std::exchange(call_was_refused_, false);
  if (answered) {
    consecutive_unanswered_ = 0;
    last_answer_at_ = now;
  } else {
    last_unanswered_at_ = now;
    ++consecutive_unanswered_;
    if (now - last_answer_at_ < options_.min_silence) {
      consecutive_unanswered_ = std::min(consecutive_unanswered_, kMaxConsecutiveUnanswered);
    }
  }
  if (departing_ && executor_is_down_) {
    EndRuns(RunOutcome::kStopped);
    if (runs_.empty()) ForgetDepartedExecutor();
  }
  if (was_accepting != accepting()) actions_.emplace_back(ReportChanged{});
}

void RunSupervisor::RevokeUnansweredCall(std::uint64_t token) {
  // Calls with an earlier token are revoked already. A closed port has received nothing, and is
  // tried so often that the token would exceed those of later processes, which are Unix times.
  if (token == fencing_token_ && !executor_is_down_) ++fencing_token_;
}

bool RunSupervisor::MayStartLate(const RunId& id, const Run& run) const {
  return run.start_pending || (run.start_unanswered && revoked_starts_.contains(id));
}

void RunSupervisor::EndRuns(RunOutcome outcome) {
  for (auto run = runs_.begin(); run != runs_.end();) {
    run = MayStartLate(run->first, run->second) ? std::next(run) : FinishRun(run, outcome);
  }
}

void RunSupervisor::EndExpiredStarts() {
  const TimePoint now = clock_.now();
  for (const auto& [id, until] : revoked_starts_) {
    const auto run = runs_.find(id);
    if (until >= now || run == runs_.end() || !run->second.start_unanswered) continue;
    FinishRun(run, RunOutcome::kStartUnanswered);
  }
  std::erase_if(revoked_starts_, [now](const auto& start) { return start.second < now; });
}

void RunSupervisor::EndLapsedRuns() {
  if (runs_.empty() || !IsSilent() ||
      clock_.now() < RequestedLeaseEnd() + options_.budget.stop_time()) {
    return;
  }
  for (auto run = runs_.begin(); run != runs_.end();) {
    if (MayStartLate(run->first, run->second)) {
      ++run;
      continue;
    }
    const bool crashed = executor_is_down_ && IsLostInCrash(run->second);
    run = FinishRun(run, crashed ? RunOutcome::kExecutorCrashed : RunOutcome::kLapsed);
  }
  if (departing_ && runs_.empty()) return ForgetDepartedExecutor();
  // The executor may recover and execute an unanswered start.
  needs_first_poll_ = true;
}

void RunSupervisor::ReportPaceChange() {
  // Report only changes that matter for placement, not every sample.
  constexpr double kNotableChange = 0.25;
  const double pace = pace_.value(clock_.now());
  if (std::abs(pace - reported_pace_) <= kNotableChange * std::max(reported_pace_, 1.0)) return;
  reported_pace_ = pace;
  actions_.emplace_back(ReportChanged{});
}

void RunSupervisor::SendDueHolds() {
  if (!executor_ || !NeedsPoll() || clock_.now() < next_hold_at_) return;
  if (NeedsQuickPoll()) SendHold();
  while (!HasEnoughHolds()) SendHold();
}

void RunSupervisor::SendHold() {
  const TimePoint now = clock_.now();
  const bool has_running = std::any_of(runs_.begin(), runs_.end(), [](const auto& entry) {
    return entry.second.state == State::kRunning || entry.second.state == State::kStarting;
  });
  bool confirms_stops = false;
  bool awaits_end = false;
  for (const auto& [id, run] : runs_) {
    if (run.state != State::kStopped) continue;
    confirms_stops = true;
    awaits_end = awaits_end || run.seen_running;
  }
  CallHold call{.number = next_hold_++,
                .executor_id = executor_->id,
                .fencing_token = fencing_token_,
                .last_seen = last_seen_};
  if (has_running && MayRenewLease()) call.lease_until = RenewLease();
  if (has_running && !needs_first_poll_) call.wait = options_.hold_wait;
  // A stopped run ends soon. One that never started has no end; its absence from the answer
  // confirms the stop.
  if (confirms_stops) call.wait = awaits_end ? options_.budget.stop_time() : milliseconds(0);
  const milliseconds limit = AnswerTimeLimit(options_.min_hold_limit, options_.max_hold_limit);
  holds_[call.number] = {.sent_at = now,
                         .overdue_at = now + call.wait + limit,
                         .last_seen = last_seen_,
                         .fencing_token = fencing_token_,
                         .quick = confirms_stops};
  actions_.emplace_back(std::move(call));
}

void RunSupervisor::StopAccepting() {
  stopped_accepting_ = true;
  StartWaitingOrders();
  actions_.emplace_back(ReportChanged{});
}

void RunSupervisor::OnTimer() {
  const TimePoint now = clock_.now();
  std::vector<std::string> silent_owners;
  for (const auto& [owner, heard] : owner_input_handled_) {
    if (now - heard > options_.budget.silence()) silent_owners.push_back(owner);
  }
  for (const std::string& owner : silent_owners) {
    LoseOwner(owner, StopReason::kOwnerSilent, RunOutcome::kWithdrawn);
  }
  superseded_jobs_.OnTimer(now);
  if (!executor_) return;
  ReportPaceChange();
  EndExpiredStarts();
  EndLapsedRuns();
  // A draining executor takes no work, so nothing is lost if it is still there.
  if (departing_ && (executor_->draining || IsSilent()) && runs_.empty()) ForgetDepartedExecutor();
  StartWaitingOrders();
  SendDueStops();
  SendDueHolds();
}

void RunSupervisor::SendDueStops() {
  if (IsSilent()) return;
  const TimePoint now = clock_.now();
  for (auto& [id, run] : runs_) {
    if (run.state == State::kStopping && run.next_stop_at <= now) SendStop(id, run);
  }
  for (auto& [id, run] : unknown_runs_) {
    if (run.next_stop_at > now) continue;
    run.next_stop_at = now + options_.stop_retry;
    actions_.emplace_back(
        CallStop{.id = id, .executor_id = executor_->id, .fencing_token = fencing_token_});
  }
}

TimePoint RunSupervisor::next_timer() const {
  TimePoint next = queue_.next_expiry();
  if (!runs_.empty() || !queue_.empty()) {
    for (const auto& [owner, heard] : owner_input_handled_) {
      next = std::min(next, heard + options_.budget.silence() + milliseconds(1));
    }
  }
  for (const auto& [id, until] : revoked_starts_) {
    if (runs_.contains(id)) next = std::min(next, until + milliseconds(1));
  }
  if (!IsSilent()) {
    for (const auto& [id, run] : runs_) {
      if (run.state == State::kStopping) next = std::min(next, run.next_stop_at);
    }
    for (const auto& [id, run] : unknown_runs_) next = std::min(next, run.next_stop_at);
  } else if (std::any_of(runs_.begin(), runs_.end(), [this](const auto& entry) {
               return !MayStartLate(entry.first, entry.second);
             })) {
    next = std::min(next, RequestedLeaseEnd() + options_.budget.stop_time());
  }
  if (!executor_ || !NeedsPoll()) return next;
  if (!HasEnoughHolds()) return std::min(next, next_hold_at_);
  if (holds_.size() >= options_.max_holds) return next;
  for (const auto& [number, hold] : holds_) {
    if (hold.overdue_at > clock_.now()) next = std::min(next, hold.overdue_at);
  }
  return next;
}

std::vector<SupervisorAction> RunSupervisor::TakeActions() { return std::exchange(actions_, {}); }

double RunSupervisor::lesser_release_rate() const {
  const double left = release_rate() - urgent_release_.At(clock_.now());
  return std::max(left, RunReleaseRate(false));
}

double RunSupervisor::RunReleaseRate(bool with_urgent) const {
  // With shorter estimates, room would be promised sooner than starts and reports take.
  constexpr double kMinSeconds = 0.01;
  const double pace = pace_.value(clock_.now());
  double rate = 0;
  for (const auto& [id, run] : runs_) {
    if (run.order.urgent && !with_urgent) continue;
    const double estimate = std::chrono::duration<double>(run.order.estimate).count();
    const double seconds = std::max(estimate * (pace > 0 ? pace : 1), kMinSeconds);
    rate += static_cast<double>(run.order.need.cpu_milli) / seconds;
  }
  return rate;
}

std::vector<RunId> RunSupervisor::RunsOf(const std::string& owner) const {
  std::vector<RunId> ids = queue_.RunIdsOf(owner);
  for (const auto& [id, run] : runs_) {
    if (run.owner == owner) ids.push_back(id);
  }
  return ids;
}

ExecutorTime RunSupervisor::ExecutorNow() const {
  const Duration since = executor_pace_.now() - executor_clock_read_at_;
  return executor_clock_ + RunEndBudget::LeaseWithin(since);
}

void RunSupervisor::UpdateExecutorClock(ExecutorTime clock) {
  executor_clock_ = clock;
  executor_clock_read_at_ = executor_pace_.now();
}

}  // namespace zinniamux::core
