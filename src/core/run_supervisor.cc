// Start, hold and stop decisions of an agent.
#include "core/run_supervisor.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace zinniamux::core {

using std::chrono::milliseconds;

RunSupervisor::RunSupervisor(const Options& options, const Clock& clock)
    : options_(options),
      clock_(clock),
      fencing_token_(options.fencing_token),
      queue_(options.max_waiting) {}

bool RunSupervisor::OnExecutorStatus(const LeasedExecutor& status) {
  if (executor_) {
    if (status.born_ms < executor_->born_ms) return false;
    const bool same_life = status.born_ms == executor_->born_ms && status.id == executor_->id;
    if (same_life && status.sequence <= executor_->sequence) return false;
    if (status.id != executor_->id) {
      ForgetExecutor(RunOutcome::kBroken);
    } else if (!same_life) {
      BeginLifetime(status.born_ms);
      holds_.clear();
    }
  }
  const bool is_new = !executor_;
  const bool changed = is_new || executor_->draining != status.draining ||
                       executor_->capacity != status.capacity ||
                       executor_->labels != status.labels || executor_->service != status.service;
  executor_ = status;
  if (is_new) {
    needs_first_look_ = true;
    clock_offset_ =
        status.clock - std::chrono::duration_cast<milliseconds>(clock_.now().time_since_epoch());
  }
  if (changed) actions_.emplace_back(ReportChanged{});
  StartWaiting();
  MaybeHold();
  return true;
}

void RunSupervisor::OnExecutorLeft(const std::string& executor_id) {
  if (!executor_ || executor_->id != executor_id) return;
  ForgetExecutor(RunOutcome::kStopped);
  executor_.reset();
  StartWaiting();
  actions_.emplace_back(ReportChanged{});
}

void RunSupervisor::BeginLifetime(std::int64_t born_ms) {
  // The id is the same, so starts that were on their way may run in the new lifetime. The next look
  // shows which runs are there; the others ended with the earlier lifetime.
  executor_->born_ms = born_ms;
  executor_->sequence = 0;
  last_seen_ = acknowledged_ = 0;
  unknown_stops_.clear();
  // What the earlier lifetime has run is not known any more.
  for (auto& [id, run] : runs_) {
    run.may_have_run = true;
    run.seen_running = false;
  }
  // The new lifetime knows nothing of the stops that revoked these.
  for (const auto& [id, until] : revoked_starts_) unknown_stops_.emplace(id, clock_.now());
  unanswered_ = 0;
  pace_ = PaceMeter();
  needs_first_look_ = true;
  next_hold_at_ = {};
  actions_.emplace_back(ReportChanged{});
}

void RunSupervisor::ForgetExecutor(RunOutcome outcome) {
  // What ran there ended with that lifetime.
  for (auto run = runs_.begin(); run != runs_.end();) run = Finish(run, outcome);
  unknown_stops_.clear();
  holds_.clear();
  unanswered_ = 0;
  last_seen_ = acknowledged_ = 0;
  next_hold_at_ = {};
  pace_ = PaceMeter();
  executor_.reset();
}

void RunSupervisor::OnOwnerHeard(const std::string& owner) { owner_heard_[owner] = clock_.now(); }

void RunSupervisor::OnOwnerLost(const std::string& owner) {
  owner_heard_.erase(owner);
  RefuseWaiting(queue_.TakeOf(owner), RunOutcome::kWithdrawn);
  for (auto& [id, run] : runs_) {
    if (run.owner == owner) BeginStop(id, run, RunOutcome::kStopped);
  }
  MaybeHold();
}

bool RunSupervisor::accepting() const {
  return executor_ && !executor_->draining && !stopping_ && !needs_first_look_ &&
         unanswered_ <= kMaxUnanswered;
}

Resources RunSupervisor::free_room() const {
  if (!executor_) return {};
  Resources free = executor_->capacity;
  free -= used_;
  return free;
}

std::optional<RunOutcome> RunSupervisor::ReasonToRefuse(const RunOrder& order) const {
  if (!accepting()) return RunOutcome::kNotAccepting;
  if (clock_.now() > order.expires) return RunOutcome::kExpired;
  if (!order.need.Fits(executor_->capacity)) return RunOutcome::kNoRoom;
  if (queue_.ContainsTask(order.id.task)) return RunOutcome::kOutdated;
  // A higher run of the task is here already, or this one arrived twice.
  const auto same_task = runs_.lower_bound({order.id.task, 0});
  if (same_task != runs_.end() && same_task->first.task == order.id.task) {
    return RunOutcome::kOutdated;
  }
  return std::nullopt;
}

void RunSupervisor::OnOrder(const std::string& owner, const RunOrder& order) {
  OnOwnerHeard(owner);
  if (const std::optional<RunOutcome> reason = ReasonToRefuse(order)) {
    actions_.emplace_back(RunUpdate{.owner = owner, .id = order.id, .outcome = *reason});
    return;
  }
  if (!queue_.Add({.owner = owner, .order = order})) {
    actions_.emplace_back(
        RunUpdate{.owner = owner, .id = order.id, .outcome = RunOutcome::kNoRoom});
    return;
  }
  StartWaiting();
  if (!order.at_once) return;
  if (auto waiting = queue_.Take(owner, order.id)) {
    RefuseWaiting({*std::move(waiting)}, RunOutcome::kNoRoom);
  }
}

void RunSupervisor::StartWaiting() {
  if (!accepting()) return RefuseWaiting(queue_.TakeAll(), RunOutcome::kNotAccepting);
  RefuseWaiting(queue_.TakeExpired(clock_.now()), RunOutcome::kExpired);
  NoteUrgentUse();
  while (auto next = queue_.TakeFitting(free_room(), kept_cpu_milli())) {
    Begin(*std::move(next));
    NoteUrgentUse();
  }
}

void RunSupervisor::NoteUrgentUse() {
  reserve_.Update(urgent_used_milli_ + queue_.waiting_room().urgent_only_cpu_milli, clock_.now());
}

std::int64_t RunSupervisor::kept_cpu_milli() const {
  return executor_ ? reserve_.ReservedCpuMilli(executor_->capacity.cpu_milli, clock_.now()) : 0;
}

void RunSupervisor::Begin(StartQueue::Waiting waiting) {
  const RunId id = waiting.order.id;
  used_ += waiting.order.need;
  if (waiting.order.urgent) urgent_used_milli_ += waiting.order.need.cpu_milli;
  Run run{.owner = std::move(waiting.owner),
          .order = std::move(waiting.order),
          .began_at = clock_.now()};
  SendStart(runs_.emplace(id, std::move(run)).first->second);
}

void RunSupervisor::RefuseWaiting(const std::vector<StartQueue::Waiting>& orders,
                                  RunOutcome outcome) {
  for (const StartQueue::Waiting& each : orders) {
    actions_.emplace_back(RunUpdate{.owner = each.owner, .id = each.order.id, .outcome = outcome});
  }
}

void RunSupervisor::SendStart(Run& run) {
  run.state = State::kStarting;
  run.state_at = clock_.now();
  actions_.emplace_back(
      CallStart{.id = run.order.id,
                .spec = run.order.spec,
                .executor_id = executor_->id,
                .lease_until = RenewLease(),
                .fencing_token = fencing_token_,
                .answer_limit = UsualLimit(options_.least_start_limit, options_.most_start_limit)});
}

milliseconds RunSupervisor::UsualLimit(milliseconds least, milliseconds max) const {
  const std::chrono::duration<double> limit(answer_seconds_ * options_.usual_answer_factor);
  return std::clamp(std::chrono::duration_cast<milliseconds>(limit), least, max);
}

void RunSupervisor::OnStopOrder(const std::string& owner, const RunId& id) {
  OnOwnerHeard(owner);
  if (auto waiting = queue_.Take(owner, id)) {
    return RefuseWaiting({*std::move(waiting)}, RunOutcome::kWithdrawn);
  }
  const auto run = runs_.find(id);
  if (run == runs_.end() || run->second.owner != owner) return;
  BeginStop(id, run->second, RunOutcome::kStopped);
  MaybeHold();
}

void RunSupervisor::BeginStop(const RunId& id, Run& run, RunOutcome not_started) {
  if (run.state == State::kStopping || run.state == State::kStopped) return;
  run.state = State::kStopping;
  run.not_started = not_started;
  run.stopping_since = clock_.now();
  SendStop(id, run);
}

void RunSupervisor::SendStop(const RunId& id, Run& run) {
  run.state_at = clock_.now();
  run.next_stop_at = clock_.now() + options_.stop_retry;
  actions_.emplace_back(
      CallStop{.id = id, .executor_id = executor_->id, .fencing_token = fencing_token_});
}

void RunSupervisor::OnStartAnswer(const RunId& id, StartAnswer answer,
                                  std::optional<ExecutorTime> clock) {
  if (clock) NoteClock(*clock);
  NoteAnswered(answer != StartAnswer::kNone);
  const auto found = runs_.find(id);
  if (found == runs_.end()) return;
  Run& run = found->second;
  if (answer == StartAnswer::kStarted) run.seen_running = true;
  if (answer != StartAnswer::kNone && run.state == State::kStarting) {
    constexpr double kWeight = 0.2;
    const double seconds = std::chrono::duration<double>(clock_.now() - run.state_at).count();
    answer_seconds_ += (seconds - answer_seconds_) * kWeight;
  }
  if (run.state != State::kStarting) return;
  switch (answer) {
    case StartAnswer::kStarted:
      run.state = State::kRunning;
      run.state_at = clock_.now();
      break;
    case StartAnswer::kFenced:
      // An earlier agent of this executor had a faster clock. Nobody else calls this executor.
      fencing_token_ += std::max<std::uint64_t>(1, fencing_token_ / 1024);
      SendStart(run);
      return;
    case StartAnswer::kLeaseExpired:
      if (clock_.now() <= run.order.expires) return SendStart(run);
      Finish(found, RunOutcome::kExpired);
      break;
    case StartAnswer::kNoRoom:
      Finish(found, RunOutcome::kNoRoom);
      break;
    case StartAnswer::kOutdated:
      Finish(found, RunOutcome::kOutdated);
      break;
    case StartAnswer::kUnhealthy:
    case StartAnswer::kRejected:
      Finish(found, RunOutcome::kUnhealthy);
      break;
    case StartAnswer::kNone:
      if (run.seen_running) {
        // Only the answer was lost; a look has shown the run.
        run.state = State::kRunning;
        run.state_at = clock_.now();
        break;
      }
      revoked_starts_[id] = clock_.now() + options_.late_orders;
      BeginStop(id, run, RunOutcome::kUnhealthy);
      break;
  }
  StartWaiting();
  MaybeHold();
}

void RunSupervisor::OnStopAnswer(const RunId& id, bool answered) {
  NoteAnswered(answered);
  StartWaiting();
  if (!answered) return;
  unknown_stops_.erase(id);
  const auto found = runs_.find(id);
  if (found == runs_.end() || found->second.state != State::kStopping) return;
  found->second.state = State::kStopped;
  found->second.state_at = clock_.now();
  MaybeHold();
}

RunSupervisor::Runs::iterator RunSupervisor::Finish(Runs::iterator run, RunOutcome outcome) {
  const RunOrder& order = run->second.order;
  used_ -= order.need;
  if (order.urgent) urgent_used_milli_ -= order.need.cpu_milli;
  const Duration elapsed = clock_.now() - run->second.began_at;
  const double estimate = std::chrono::duration<double>(run->second.order.estimate).count();
  if (outcome == RunOutcome::kDone && estimate > 0) {
    pace_.AddSample(std::chrono::duration<double>(elapsed).count() / estimate, clock_.now());
  }
  actions_.emplace_back(RunUpdate{
      .owner = run->second.owner, .id = run->first, .outcome = outcome, .elapsed = elapsed});
  return runs_.erase(run);
}

void RunSupervisor::NoteEnd(const EndedRun& ended) {
  if (ended.number <= last_seen_) return;
  last_seen_ = ended.number;
  unknown_stops_.erase(ended.id);
  const auto run = runs_.find(ended.id);
  if (run != runs_.end()) Finish(run, ended.outcome);
}

void RunSupervisor::NoteProgress(Run& run) {
  // One sample a run, when enough of it is over to tell its speed.
  constexpr double kLeastPart = 0.5;
  constexpr double kLeastSeconds = 0.03;
  const TimePoint now = clock_.now();
  const double estimate = std::chrono::duration<double>(run.order.estimate).count();
  const double elapsed = std::chrono::duration<double>(now - run.began_at).count();
  if (run.pace_noted || estimate <= 0) return;
  if (elapsed < std::max(kLeastSeconds, kLeastPart * estimate)) return;
  run.pace_noted = true;
  pace_.AddSample(elapsed / estimate * 100 / std::max(run.percent, 1), now);
}

void RunSupervisor::NoteRunning(std::span<const RunningRun> running, TimePoint sent_at) {
  const TimePoint now = clock_.now();
  for (const RunningRun& listed : running) {
    const auto found = runs_.find(listed.id);
    if (found == runs_.end()) {
      // Not ours: left behind by an earlier agent, or a start that the executor carried out late.
      if (unknown_stops_.contains(listed.id)) continue;
      unknown_stops_.emplace(listed.id, now + options_.stop_retry);
      actions_.emplace_back(
          CallStop{.id = listed.id, .executor_id = executor_->id, .fencing_token = fencing_token_});
      continue;
    }
    Run& run = found->second;
    run.seen_running = true;
    run.percent = listed.percent;
    NoteProgress(run);
  }
  std::set<RunId> seen;
  for (const RunningRun& listed : running) seen.insert(listed.id);
  SettleMissing(seen, sent_at);
}

void RunSupervisor::SettleMissing(const std::set<RunId>& seen, TimePoint sent_at) {
  for (auto run = runs_.begin(); run != runs_.end();) {
    const bool is_missing = !seen.contains(run->first) && run->second.state_at < sent_at;
    if (is_missing && run->second.state == State::kRunning) {
      run = Finish(run, RunOutcome::kLapsed);
    } else if (is_missing && run->second.state == State::kStopped) {
      const bool may_have_run = run->second.seen_running || run->second.may_have_run;
      run = Finish(run, may_have_run ? RunOutcome::kStopped : run->second.not_started);
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
  NoteAnswered(answer.has_value());
  if (!answer) {
    // Calls to a silent executor are paced.
    if (unanswered_ > kMaxUnanswered) next_hold_at_ = clock_.now() + options_.stop_retry;
    StartWaiting();
    return MaybeHold();
  }
  if (number < last_answered_hold_) return MaybeHold();
  last_answered_hold_ = number;
  if (answer->born_ms != 0 && answer->born_ms < executor_->born_ms) return MaybeHold();
  if (answer->born_ms > executor_->born_ms) BeginLifetime(answer->born_ms);
  NoteClock(answer->clock);
  acknowledged_ = std::max(acknowledged_, hold.last_seen);
  for (const EndedRun& ended : answer->ended) NoteEnd(ended);
  NoteRunning(answer->running, hold.sent_at);
  NotePace();
  if (needs_first_look_) {
    needs_first_look_ = false;
    actions_.emplace_back(ReportChanged{});
  }
  StartWaiting();
  MaybeHold();
}

bool RunSupervisor::MayRenew() const {
  // A renewal that is carried out without an answer would keep runs alive that nobody sees.
  if (unanswered_ > kMaxUnanswered) return false;
  const TimePoint limit = clock_.now() - options_.stop_limit;
  return std::none_of(runs_.begin(), runs_.end(), [&](const auto& entry) {
    return entry.second.state == State::kStopping && entry.second.stopping_since < limit;
  });
}

bool RunSupervisor::NeedsQuickLook() const {
  TimePoint last_quick = TimePoint::min();
  std::size_t quick_holds = 0;
  for (const auto& [number, hold] : holds_) {
    if (!hold.quick) continue;
    ++quick_holds;
    if (hold.overdue_at > clock_.now()) last_quick = std::max(last_quick, hold.sent_at);
  }
  if (quick_holds >= options_.max_quick_holds) return false;
  return std::any_of(runs_.begin(), runs_.end(), [last_quick](const auto& entry) {
    return entry.second.state == State::kStopped && entry.second.state_at > last_quick;
  });
}

bool RunSupervisor::HasEnoughHolds() const {
  if (holds_.size() >= options_.max_holds) return true;
  const TimePoint now = clock_.now();
  const auto in_time = std::count_if(holds_.begin(), holds_.end(), [now](const auto& entry) {
    return entry.second.overdue_at > now;
  });
  const bool answers_get_lost =
      last_lost_at_ != TimePoint() && now - last_lost_at_ < options_.doubled_holds;
  return in_time >= (answers_get_lost ? 2 : 1);
}

bool RunSupervisor::NeedsLook() const {
  return !runs_.empty() || !unknown_stops_.empty() || needs_first_look_ ||
         acknowledged_ < last_seen_;
}

ExecutorTime RunSupervisor::RenewLease() {
  constexpr int kDriftDivisor = 50;
  lease_over_at_ =
      clock_.now() + options_.lease + options_.lease / kDriftDivisor + options_.stop_time;
  return ExecutorNow() + options_.lease;
}

void RunSupervisor::NoteAnswered(bool answered) {
  const bool was_accepting = accepting();
  const TimePoint now = clock_.now();
  if (answered) {
    unanswered_ = 0;
    last_answer_at_ = now;
  } else {
    last_lost_at_ = now;
    ++unanswered_;
    if (now - last_answer_at_ < options_.least_silence) {
      unanswered_ = std::min(unanswered_, kMaxUnanswered);
    }
  }
  if (was_accepting != accepting()) actions_.emplace_back(ReportChanged{});
}

void RunSupervisor::EndLapsedRuns() {
  if (runs_.empty() || unanswered_ <= kMaxUnanswered || clock_.now() < lease_over_at_) return;
  for (auto run = runs_.begin(); run != runs_.end();) run = Finish(run, RunOutcome::kLapsed);
  // The executor may come back and carry out a start that it has not answered.
  needs_first_look_ = true;
}

void RunSupervisor::NotePace() {
  // Entries need to know of a change that matters for placement, not of every sample.
  constexpr double kNotableChange = 0.25;
  const double pace = pace_.value(clock_.now());
  if (std::abs(pace - reported_pace_) <= kNotableChange * std::max(reported_pace_, 1.0)) return;
  reported_pace_ = pace;
  actions_.emplace_back(ReportChanged{});
}

void RunSupervisor::MaybeHold() {
  if (!executor_ || !NeedsLook() || clock_.now() < next_hold_at_) return;
  if (NeedsQuickLook()) SendHold();
  while (!HasEnoughHolds()) SendHold();
}

void RunSupervisor::SendHold() {
  const TimePoint now = clock_.now();
  const bool has_running = std::any_of(runs_.begin(), runs_.end(), [](const auto& entry) {
    return entry.second.state == State::kRunning || entry.second.state == State::kStarting;
  });
  bool settles = false;
  bool awaits_stop = false;
  for (const auto& [id, run] : runs_) {
    if (run.state != State::kStopped) continue;
    settles = true;
    awaits_stop = awaits_stop || run.seen_running;
  }
  CallHold call{.number = next_hold_++,
                .executor_id = executor_->id,
                .fencing_token = fencing_token_,
                .last_seen = last_seen_};
  if (has_running && MayRenew()) call.lease_until = RenewLease();
  if (has_running && !needs_first_look_) call.wait = options_.hold_wait;
  // A stopped run ends soon. One that never started has no end; the look itself settles it.
  if (settles) call.wait = awaits_stop ? options_.stop_time : milliseconds(0);
  const milliseconds limit = UsualLimit(options_.least_hold_limit, options_.most_hold_limit);
  holds_[call.number] = {.sent_at = now,
                         .overdue_at = now + call.wait + limit,
                         .last_seen = last_seen_,
                         .quick = settles};
  actions_.emplace_back(std::move(call));
}

void RunSupervisor::StopAccepting() {
  stopping_ = true;
  StartWaiting();
  actions_.emplace_back(ReportChanged{});
}

void RunSupervisor::OnTimer() {
  const TimePoint now = clock_.now();
  std::vector<std::string> silent;
  for (const auto& [owner, heard] : owner_heard_) {
    if (now - heard > options_.owner_silence) silent.push_back(owner);
  }
  for (const std::string& owner : silent) OnOwnerLost(owner);
  if (!executor_) return;
  NotePace();
  std::erase_if(revoked_starts_, [now](const auto& start) { return start.second < now; });
  EndLapsedRuns();
  StartWaiting();
  for (auto& [id, run] : runs_) {
    if (run.state == State::kStopping && run.next_stop_at <= now) SendStop(id, run);
  }
  for (auto& [id, next] : unknown_stops_) {
    if (next > now) continue;
    next = now + options_.stop_retry;
    actions_.emplace_back(
        CallStop{.id = id, .executor_id = executor_->id, .fencing_token = fencing_token_});
  }
  MaybeHold();
}

TimePoint RunSupervisor::next_timer() const {
  TimePoint next = queue_.next_expiry();
  if (!runs_.empty() || !queue_.empty()) {
    for (const auto& [owner, heard] : owner_heard_) {
      next = std::min(next, heard + options_.owner_silence + milliseconds(1));
    }
  }
  for (const auto& [id, run] : runs_) {
    if (run.state == State::kStopping) next = std::min(next, run.next_stop_at);
  }
  for (const auto& [id, at] : unknown_stops_) next = std::min(next, at);
  if (!runs_.empty() && unanswered_ > kMaxUnanswered) next = std::min(next, lease_over_at_);
  if (!executor_ || !NeedsLook()) return next;
  if (!HasEnoughHolds()) return std::min(next, next_hold_at_);
  if (holds_.size() >= options_.max_holds) return next;
  for (const auto& [number, hold] : holds_) {
    if (hold.overdue_at > clock_.now()) next = std::min(next, hold.overdue_at);
  }
  return next;
}

std::vector<SupervisorAction> RunSupervisor::TakeActions() { return std::exchange(actions_, {}); }

double RunSupervisor::release_rate(bool with_urgent) const {
  // Shorter estimates would promise room faster than starts and reports take.
  constexpr double kLeastSeconds = 0.01;
  const double pace = pace_.value(clock_.now());
  double rate = 0;
  for (const auto& [id, run] : runs_) {
    if (run.order.urgent && !with_urgent) continue;
    const double estimate = std::chrono::duration<double>(run.order.estimate).count();
    const double seconds = std::max(estimate * (pace > 0 ? pace : 1), kLeastSeconds);
    rate += static_cast<double>(run.order.need.cpu_milli) / seconds;
  }
  return rate;
}

std::vector<RunId> RunSupervisor::RunsOf(const std::string& owner) const {
  std::vector<RunId> ids = queue_.IdsOf(owner);
  for (const auto& [id, run] : runs_) {
    if (run.owner == owner) ids.push_back(id);
  }
  return ids;
}

ExecutorTime RunSupervisor::ExecutorNow() const {
  return std::chrono::duration_cast<milliseconds>(clock_.now().time_since_epoch()) + clock_offset_;
}

void RunSupervisor::NoteClock(ExecutorTime clock) {
  clock_offset_ = clock - std::chrono::duration_cast<milliseconds>(clock_.now().time_since_epoch());
}

}  // namespace zinniamux::core
