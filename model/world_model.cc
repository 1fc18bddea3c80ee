// The steps and events of the lease model.
#include "model/world_model.h"

#include <algorithm>

#include "model/dispatcher_model.h"
#include "model/executor_model.h"
#include "model/supervisor_model.h"

namespace zinniamux::model {

namespace {

using Kind = Event::Kind;

// TCP sends again after 200 ms at least.
constexpr Steps kMinCloseDelay = 4;
// Requests that were sent earlier count as sent then.
constexpr Steps kLongestSent = 100;

bool IsFault(Kind kind) { return static_cast<std::size_t>(kind) < kFaultCount; }

// The connection was reset before its request was read. Only the dispatcher's host can tell the
// caller so, which means that the reset has reached the dispatcher's socket.
bool IsResetUnread(const State& state) {
  return state.caller == CallerState::kSentAgain && state.dispatchers[0].job == JobState::kUnread;
}

// Whether a start may be called in the next step.
bool MayStart(const State& state, std::size_t supervisor) {
  if (state.supervisors[supervisor].is_frozen != 0) return false;
  for (std::size_t each = 0; each < kSides; ++each) {
    const JobState job = state.dispatchers[each].job;
    if (job == JobState::kUnread || job == JobState::kReady || job == JobState::kOrdered) {
      return true;
    }
  }
  return state.caller == CallerState::kBroken;
}

}  // namespace

State WorldModel::Initial() const {
  State state;
  state.faults_left = options_.max_faults;
  state.dispatchers[0].job = JobState::kUnread;
  for (std::size_t side = 0; side < kSides; ++side) {
    state.supervisors[side].lease = options_.limits.lease;
    state.executors[side].lease = options_.limits.lease;
  }
  return state;
}

std::vector<Event> WorldModel::EventsOf(const State& state) const {
  std::vector<Event> events;
  const auto add = [&](Kind kind, std::size_t side) {
    events.push_back({.kind = kind, .side = static_cast<std::uint8_t>(side)});
  };
  const auto add_fault = [&](Fault fault, std::size_t side) {
    if (state.faults_left == 0 || !options_.faults.contains(fault)) return;
    add(static_cast<Kind>(fault), side);
  };
  for (std::size_t side = 0; side < kSides; ++side) {
    const bool supervisor_is_frozen = state.supervisors[side].is_frozen != 0;
    const bool dispatcher_is_frozen = state.dispatchers[side].is_frozen != 0;
    if (supervisor_is_frozen) add(Kind::kWakeSupervisor, side);
    if (dispatcher_is_frozen) add(Kind::kWakeDispatcher, side);
    if (!supervisor_is_frozen) add_fault(Fault::kFreezeSupervisor, side);
    if (!dispatcher_is_frozen) add_fault(Fault::kFreezeDispatcher, side);
    if (state.executors[side].path == PathState::kUp) {
      add_fault(Fault::kCutExecutor, side);
      add_fault(Fault::kLoseAnswers, side);
    } else {
      add(Kind::kHealExecutor, side);
    }
    const bool has_delayed =
        state.delayed.run != 0 || state.delays_start[0] != 0 || state.delays_start[1] != 0;
    if (!has_delayed && MayStart(state, side)) add_fault(Fault::kDelayStart, side);
    add_fault(Fault::kRestartExecutor, side);
    const bool is_connected = state.is_cut == 0 && !supervisor_is_frozen && !dispatcher_is_frozen;
    if (is_connected && state.supervisors[side].owner == 0) {
      add_fault(Fault::kRefuseConnection, side);
    }
  }
  if (state.is_cut != 0 && state.dispatchers[0].job == JobState::kUnread &&
      state.request_left == 0 && state.caller == CallerState::kWaiting) {
    add_fault(Fault::kHoldRequest, 0);
  }
  if (state.request_left > 1 && state.request_left != kNever) add(Kind::kRequestArrives, 0);
  if (state.is_cut != 0) {
    add(Kind::kHealDispatcher, 0);
  } else {
    add_fault(Fault::kCutDispatcher, 0);
  }
  if (state.caller == CallerState::kWaiting) add_fault(Fault::kBreakCaller, 0);
  if (state.close_left > 1 && state.close_left != kNever) add(Kind::kCloseArrives, 0);
  if (state.delayed.run != 0) {
    const ExecutorState& executor = state.executors[state.delayed.executor];
    if (state.delayed.lifetime != executor.lifetime && executor.token == 0) {
      add_fault(Fault::kStartFirst, state.delayed.executor);
    } else {
      add(Kind::kDelayedStart, state.delayed.executor);
    }
  }
  return events;
}

void WorldModel::Apply(Event event, State& state, Journal* journal) const {
  if (journal != nullptr) journal->Add("* " + Describe(event));
  if (IsFault(event.kind)) {
    --state.faults_left;
    return ApplyFault(static_cast<Fault>(event.kind), event.side, state, journal);
  }
  switch (event.kind) {
    case Kind::kWakeSupervisor:
      state.supervisors[event.side].is_frozen = 0;
      break;
    case Kind::kWakeDispatcher: {
      DispatcherState& dispatcher = state.dispatchers[event.side];
      dispatcher.is_frozen = 0;
      dispatcher.is_paused = dispatcher.frozen_for > options_.limits.stall ? 1 : 0;
      dispatcher.frozen_for = 0;
      break;
    }
    case Kind::kHealDispatcher:
      state.is_cut = 0;
      if (state.request_left == kNever) {
        state.request_left = static_cast<Steps>(1 + std::max(kMinCloseDelay, state.since_sent));
        break;
      }
      // TCP doubles the time between its attempts, so the next one comes within the time that has
      // passed since the first.
      if (state.close_left == kNever) {
        const bool may_be_late = state.dispatchers[0].input_age > options_.limits.isolation ||
                                 options_.faults.contains(Fault::kLateClose);
        state.close_left = 1;
        if (may_be_late) {
          state.close_left = static_cast<Steps>(1 + std::max(kMinCloseDelay, state.since_break));
        }
      }
      break;
    case Kind::kHealExecutor:
      state.executors[event.side].path = PathState::kUp;
      break;
    case Kind::kCloseArrives:
      state.close_left = 1;
      break;
    case Kind::kRequestArrives:
      state.request_left = 1;
      break;
    case Kind::kDelayedStart:
      CarryOutStart(state);
      break;
    default:
      break;
  }
}

void WorldModel::ApplyFault(Fault fault, std::uint8_t side, State& state, Journal* journal) const {
  switch (fault) {
    case Fault::kFreezeSupervisor:
      state.supervisors[side].is_frozen = 1;
      break;
    case Fault::kFreezeDispatcher:
      state.dispatchers[side].is_frozen = 1;
      break;
    case Fault::kCutDispatcher:
      state.is_cut = 1;
      if (state.close_left != 0 && !IsResetUnread(state)) state.close_left = kNever;
      if (state.request_left != 0) state.request_left = kNever;
      break;
    case Fault::kCutExecutor:
      state.executors[side].path = PathState::kCallsLost;
      break;
    case Fault::kLoseAnswers:
      state.executors[side].path = PathState::kAnswersLost;
      break;
    case Fault::kDelayStart:
      state.delays_start[side] = 1;
      break;
    case Fault::kRestartExecutor:
      ExecutorModel(options_.limits, state.executors[side]).Restart();
      break;
    case Fault::kBreakCaller:
      BreakCaller(state);
      break;
    case Fault::kHoldRequest:
      state.request_left = kNever;
      state.since_sent = 0;
      break;
    case Fault::kRefuseConnection:
      SupervisorModel(options_, side, state, journal).OnOwnerRefuses(0);
      break;
    case Fault::kStartFirst:
      CarryOutStart(state);
      break;
    case Fault::kLateClose:
    case Fault::kOldRequest:
      break;
  }
}

void WorldModel::BreakCaller(State& state) const {
  state.caller = CallerState::kBroken;
  // Its closed connection comes behind the request, and it does not know whether that was read.
  if (state.request_left != 0) {
    state.close_left = kNever;
    return;
  }
  state.close_left = state.is_cut != 0 ? kNever : Steps{1};
  // A caller whose connection was reset before its request was read sends it again at once.
  if (state.dispatchers[0].job == JobState::kUnread && state.is_cut == 0) SendAgain(state);
}

void WorldModel::SendAgain(State& state) const {
  state.caller = CallerState::kSentAgain;
  state.since_break = options_.limits.retransmit;
  state.dispatchers[1].job = JobState::kUnread;
}

void WorldModel::CarryOutStart(State& state) const {
  const DelayedStart start = std::exchange(state.delayed, DelayedStart());
  ExecutorState& executor = state.executors[start.executor];
  // The clock of a new lifetime begins anew, so that the lease counts in full there.
  const Steps lease = start.lifetime == executor.lifetime ? start.lease : options_.limits.lease;
  ExecutorModel(options_.limits, executor).Start(start.run, start.token, lease);
}

bool WorldModel::Advance(State& state, Journal* journal) const {
  for (std::size_t side = 0; side < kSides; ++side) {
    const std::uint8_t run = state.executors[side].run;
    if (ExecutorModel(options_.limits, state.executors[side]).Advance() && journal != nullptr) {
      journal->Add("executor " + std::to_string(side) + " ends run " + std::to_string(run));
    }
    DispatcherModel(options_, side, state, journal).Advance();
    SupervisorModel(options_, side, state, journal).Advance();
  }
  state.delayed.lease = Less(state.delayed.lease);
  if (state.close_left > 1 && state.close_left != kNever) --state.close_left;
  if (state.request_left > 1 && state.request_left != kNever) --state.request_left;
  if (state.request_left != 0) state.since_sent = Older(state.since_sent, kLongestSent);
  if (state.caller == CallerState::kBroken && ++state.since_break >= options_.limits.retransmit) {
    if (journal != nullptr) journal->Add("the caller sends its job to dispatcher 1");
    SendAgain(state);
  }
  for (std::size_t side = 0; side < kSides; ++side) {
    if (state.dispatchers[side].is_frozen == 0) {
      DispatcherModel(options_, side, state, journal).Handle();
    }
  }
  for (std::size_t side = 0; side < kSides; ++side) {
    if (state.supervisors[side].is_frozen == 0) {
      SupervisorModel(options_, side, state, journal).Handle();
    }
  }
  Normalize(state);
  return state.delays_start[0] == 0 && state.delays_start[1] == 0;
}

void WorldModel::Normalize(State& state) {
  for (DispatcherState& dispatcher : state.dispatchers) {
    // Its job comes once.
    if (dispatcher.job != JobState::kOver) continue;
    dispatcher = {.is_frozen = dispatcher.is_frozen, .job = JobState::kOver};
  }
  // Before it has a job, an isolation means nothing to it.
  if (state.dispatchers[1].job == JobState::kNone) state.dispatchers[1].input_age = 0;
  if (state.dispatchers[0].job == JobState::kOver) state.close_left = 0;
  if (state.request_left == 0) state.since_sent = 0;
  if (state.request_left == 0) state.dispatchers[0].silent_for = 0;
  if (state.dispatchers[0].job != JobState::kUnread) state.dispatchers[0].stale_left = 0;
  if (state.dispatchers[0].job != JobState::kReady) state.dispatchers[0].hold_left = 0;
  if (state.caller == CallerState::kSentAgain && state.close_left == 0) state.since_break = 0;
  for (SupervisorState& supervisor : state.supervisors) {
    if (state.delayed.run == 0) supervisor.revoked_run = 0;
  }
}

std::string Describe(Event event) {
  const std::string side = std::to_string(event.side);
  switch (event.kind) {
    case Kind::kFreezeSupervisor:
      return "supervisor " + side + " stands still";
    case Kind::kFreezeDispatcher:
      return "dispatcher " + side + " stands still";
    case Kind::kCutDispatcher:
      return "dispatcher 0 is cut off from callers and supervisors";
    case Kind::kCutExecutor:
      return "executor " + side + " is cut off: calls are lost";
    case Kind::kLoseAnswers:
      return "the answers of executor " + side + " are lost";
    case Kind::kDelayStart:
      return "the next start call to executor " + side + " is delayed";
    case Kind::kRestartExecutor:
      return "executor " + side + " restarts under its id";
    case Kind::kBreakCaller:
      return "the caller's connection breaks";
    case Kind::kHoldRequest:
      return "the request is sent in the cut";
    case Kind::kRefuseConnection:
      return "dispatcher 0 refuses the connection of supervisor " + side;
    case Kind::kStartFirst:
      return "the delayed start is carried out by executor " + side + " before any other call";
    case Kind::kLateClose:
    case Kind::kOldRequest:
      return "not an event";
    case Kind::kWakeSupervisor:
      return "supervisor " + side + " goes on";
    case Kind::kWakeDispatcher:
      return "dispatcher " + side + " goes on";
    case Kind::kHealDispatcher:
      return "dispatcher 0 is connected again";
    case Kind::kHealExecutor:
      return "executor " + side + " is connected again";
    case Kind::kCloseArrives:
      return "the closed connection reaches dispatcher 0";
    case Kind::kRequestArrives:
      return "the request reaches dispatcher 0";
    case Kind::kDelayedStart:
      return "the delayed start reaches executor " + side;
  }
  return "nothing";
}

}  // namespace zinniamux::model
