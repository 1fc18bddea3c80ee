// Orders and ends of the modelled dispatcher.
#include "model/dispatcher_model.h"

#include <string>
#include <utility>

namespace zinniamux::model {

namespace {

// As JobScheduler's, which skips 100: runs of another dispatcher have the same numbers.
constexpr std::uint8_t kRunSkip = 4;
// Nothing is ordered beyond, so that there are finitely many states.
constexpr std::uint8_t kMaxRun = 12;
// Longer silences count as this one.
constexpr Steps kLongestSilence = 100;
// TCP sends again after 200 ms at least.
constexpr Steps kMinResend = 4;

}  // namespace

DispatcherModel::DispatcherModel(const Options& options, std::size_t index, State& state,
                                 Journal* journal)
    : options_(options),
      index_(index),
      world_(state),
      state_(state.dispatchers[index]),
      journal_(journal) {}

void DispatcherModel::Advance() {
  const Limits& limits = options_.limits;
  if (state_.is_frozen != 0) {
    state_.frozen_for = Older(state_.frozen_for, static_cast<Steps>(limits.stall + 1));
  }
  state_.input_age = Older(state_.input_age, limits.silence);
  state_.isolation_age = Older(state_.isolation_age, limits.silence);
  state_.stale_left = Less(state_.stale_left);
  state_.hold_left = Less(state_.hold_left);
  if (index_ == 0 && world_.request_left != 0) {
    state_.silent_for = Older(state_.silent_for, kLongestSilence);
  }
  for (Steps& heard : state_.heard) heard = Older(heard, limits.lost_after);
  for (Link& link : world_.links[index_]) {
    link.frame_age = Older(link.frame_age, limits.run_end);
    if (link.order == OrderState::kNone) continue;
    link.order_left = Less(link.order_left);
    // Refused when it is looked at, which makes no difference here.
    if (link.order_left == 0) link.EndOrder(Refusal::kNotStarted);
  }
}

void DispatcherModel::Handle() {
  const bool has_read = ReadRequest();
  for (std::size_t supervisor = 0; supervisor < kSides; ++supervisor) HandleReports(supervisor);
  if (HasJob() && state_.isolation_age != kNever &&
      state_.isolation_age >= options_.limits.silence) {
    EndJob("gives up its job after an isolation");
  }
  if (state_.job == JobState::kOrdered &&
      state_.heard[state_.target] >= options_.limits.lost_after) {
    Note([&] { return std::string("takes its run for ended: supervisor lost"); });
    state_.job = JobState::kReady;
  }
  const bool is_paused = state_.is_paused != 0 && options_.rules.contains(Rule::kStallPause);
  state_.is_paused = 0;
  if (state_.job == JobState::kReady && !is_paused && state_.hold_left == 0) {
    if (state_.isolation_age != kNever) {
      EndJob("refuses its job after an isolation");
    } else {
      Order();
    }
  }
  // A close that came with the request is handled a turn later.
  if (HasClosed() && !has_read) {
    world_.close_left = 0;
    EndJob("handles the closed connection");
  }
  for (std::size_t supervisor = 0; supervisor < kSides; ++supervisor) SendFrame(supervisor);
}

bool DispatcherModel::ReadRequest() {
  if (state_.job != JobState::kUnread) return false;
  const bool was_held = index_ == 0 && world_.request_left != 0;
  if (was_held && (!world_.IsConnected(index_) || world_.request_left > 1)) return false;
  if (was_held) {
    world_.request_left = 0;
    // The closed connection comes behind it, or after a loss. Sooner ones are events.
    if (world_.close_left == kNever) world_.close_left = kMinResend + 1;
  }
  if (HasClosed() && options_.rules.contains(Rule::kDropUnread)) {
    world_.close_left = 0;
    EndJob("drops the unread request");
    return false;
  }
  const bool is_old =
      index_ == 0 && world_.close_left > 1 && state_.input_age > options_.limits.isolation;
  if (is_old && !options_.faults.contains(Fault::kOldRequest)) {
    EndJob("drops the request of a caller that has left");
    return false;
  }
  Note([&] { return std::string("reads the request"); });
  NoteInput();
  if (was_held && state_.stale_left > 0 && options_.rules.contains(Rule::kHoldStale)) {
    state_.hold_left = options_.limits.close;
  }
  state_.job = JobState::kReady;
  state_.isolation_age = kNever;
  return true;
}

void DispatcherModel::NoteInput() {
  if (state_.input_age > options_.limits.isolation && HasJob() &&
      options_.rules.contains(Rule::kIsolation)) {
    Note([&] { return std::string("was isolated"); });
    state_.isolation_age = state_.input_age;
  }
  if (state_.silent_for > options_.limits.isolation) {
    // The request comes in less than one step more.
    state_.stale_left = static_cast<Steps>(state_.silent_for + kMinResend + 1);
  }
  state_.silent_for = 0;
  state_.input_age = 0;
}

bool DispatcherModel::IsHeld(std::size_t supervisor) const {
  if (state_.target != supervisor) return false;
  const SupervisorState& holder = world_.supervisors[supervisor];
  if (holder.is_forgotten != 0) return false;
  if (holder.state != RunState::kNone && holder.owner == index_ && holder.run == state_.run) {
    return true;
  }
  return world_.links[index_][supervisor].order != OrderState::kNone;
}

void DispatcherModel::HandleReports(std::size_t supervisor) {
  const SupervisorState& peer = world_.supervisors[supervisor];
  Link& link = world_.links[index_][supervisor];
  if (std::exchange(link.has_report, std::uint8_t{0}) == 0) return;
  NoteInput();
  state_.heard[supervisor] = 0;
  const Refusal refusal = std::exchange(link.refusal, Refusal::kNone);
  if (state_.job == JobState::kOrdered && state_.target == supervisor && !IsHeld(supervisor)) {
    Note([&] {
      return "learns that run " + std::to_string(state_.run) + " has ended or was refused";
    });
    state_.job = JobState::kReady;
    // The core may choose any supervisor.
    if (peer.is_forgotten != 0) state_.prefers_other = 1 - state_.prefers_other;
    // The core takes the next number. Here, refusals would use up the numbers.
    if (refusal == Refusal::kNotStarted) --state_.run;
    if (refusal == Refusal::kNotStarted || refusal == Refusal::kUnhealthy) {
      state_.prefers_other = 1 - state_.prefers_other;
    }
    if (refusal == Refusal::kOutdated) {
      state_.run = static_cast<std::uint8_t>(state_.run + kRunSkip);
    }
  }
  const bool is_current =
      state_.job == JobState::kOrdered && state_.target == supervisor && peer.run == state_.run;
  if (peer.state != RunState::kNone && peer.owner == index_ && !is_current) {
    link.stop_run = peer.run;
  }
}

void DispatcherModel::Order() {
  if (state_.run >= kMaxRun) return;
  const auto run = static_cast<std::uint8_t>(state_.run + 1);
  std::size_t supervisor = state_.prefers_other == 0 ? index_ : 1 - index_;
  // A supervisor counts as connected until it was silent.
  if (state_.heard[supervisor] > options_.limits.silence) supervisor = 1 - supervisor;
  if (state_.heard[supervisor] > options_.limits.silence) return;
  Link& link = world_.links[index_][supervisor];
  if (link.order != OrderState::kNone) return;
  Note([&] {
    return "orders run " + std::to_string(run) + " at supervisor " + std::to_string(supervisor);
  });
  state_.run = run;
  state_.target = static_cast<std::uint8_t>(supervisor);
  state_.job = JobState::kOrdered;
  link.order = OrderState::kSent;
  link.order_run = run;
  link.order_left = options_.limits.order_expiry;
}

void DispatcherModel::EndJob(std::string_view reason) {
  Note([&] { return std::string(reason); });
  if (state_.job == JobState::kOrdered) {
    Link& link = world_.links[index_][state_.target];
    // A stop that is sent during a cut is sent again after it.
    if (world_.IsConnected(index_)) link.stop_run = state_.run;
  }
  state_.job = JobState::kOver;
  state_.isolation_age = kNever;
}

Steps DispatcherModel::HandledInputAge() const {
  if (!HasJob() || !options_.rules.contains(Rule::kIsolatedInput)) return 0;
  if (state_.isolation_age != kNever) return state_.isolation_age;
  return state_.input_age > options_.limits.isolation ? state_.input_age : Steps{0};
}

void DispatcherModel::SendFrame(std::size_t supervisor) {
  // A silent connection is closed.
  if (!world_.IsConnected(index_) || state_.heard[supervisor] > options_.limits.silence) return;
  Link& link = world_.links[index_][supervisor];
  link.frame_age = HandledInputAge();
  if (link.order == OrderState::kSent) link.order = OrderState::kArrived;
}

}  // namespace zinniamux::model
