// Start, lease and stop decisions of the modelled supervisor.
#include "model/supervisor_model.h"

#include <algorithm>

namespace zinniamux::model {

SupervisorModel::SupervisorModel(const Options& options, std::size_t index, State& state,
                                 Journal* journal)
    : options_(options),
      index_(index),
      world_(state),
      state_(state.supervisors[index]),
      executor_(state.executors[index]),
      calls_(options.limits, executor_),
      journal_(journal) {}

void SupervisorModel::Advance() {
  const Limits& limits = options_.limits;
  for (Steps& heard : state_.heard) heard = Older(heard, limits.run_end);
  state_.lease = Less(state_.lease);
  state_.must_end = Less(state_.must_end);
  const auto longest_state =
      static_cast<Steps>(std::max(limits.stop_limit, limits.start_answer) + 1);
  const bool has_call = state_.state == RunState::kStarting || state_.state == RunState::kStopping;
  if (has_call) state_.state_age = Older(state_.state_age, longest_state);
  state_.executor_silence =
      Older(state_.executor_silence, static_cast<Steps>(limits.executor_silence + 1));
}

void SupervisorModel::Handle() {
  for (std::size_t owner = 0; owner < kSides; ++owner) ReadFrames(owner);
  // Executors announce a new lifetime themselves.
  if (CarriesOut() && executor_.lifetime != state_.lifetime) BeginLifetime();
  if (HasAnswers()) Poll();
  for (std::size_t owner = 0; owner < kSides; ++owner) HandleOrder(owner);
  for (std::size_t owner = 0; owner < kSides; ++owner) {
    Link& link = world_.links[owner][index_];
    if (link.stop_run == 0) continue;
    if (state_.owner == owner && state_.run == link.stop_run) BeginStop("ordered");
    link.stop_run = 0;
  }
  LoseSilentOwners();
  if (state_.state == RunState::kStarting && state_.state_age > options_.limits.start_answer) {
    state_.revoked_run = state_.run;
    BeginStop("start not answered");
  }
  const bool is_silent = state_.executor_silence > options_.limits.executor_silence;
  // EndLapsedRuns. The stop time after the lease is left out, so that it ends sooner.
  if (is_silent && state_.lease == 0 && state_.state != RunState::kNone) {
    EndRun("lapsed");
    state_.needs_poll = 1;
  }
  CallStop();
  const bool stop_is_late =
      state_.state == RunState::kStopping && state_.state_age > options_.limits.stop_limit;
  if (!is_silent && !stop_is_late) {
    const Steps lease = RenewLease();
    if (CarriesOut()) calls_.Hold(state_.token, lease);
  }
  for (std::size_t owner = 0; owner < kSides; ++owner) {
    if (world_.IsConnected(owner)) world_.links[owner][index_].has_report = 1;
  }
}

void SupervisorModel::ReadFrames(std::size_t owner) {
  Link& link = world_.links[owner][index_];
  if (link.frame_age == kNever) return;
  const Steps age = options_.rules.contains(Rule::kHandledInput)
                        ? std::min(link.frame_age, options_.limits.run_end)
                        : Steps{0};
  // kNever is the highest age.
  state_.heard[owner] = std::min(state_.heard[owner], age);
  link.frame_age = kNever;
}

void SupervisorModel::BeginLifetime() {
  state_.needs_poll = 1;
  state_.lifetime = executor_.lifetime;
  if (options_.rules.contains(Rule::kFencing)) ++state_.token;
  // The new lifetime does not know that it was revoked.
  if (state_.revoked_run != 0) calls_.Stop(state_.revoked_run, state_.token);
}

void SupervisorModel::Poll() {
  state_.executor_silence = 0;
  state_.needs_poll = 0;
  // Any answered call shows the token; the renewal of the lease follows.
  calls_.Hold(state_.token, 0);
  const bool is_listed = state_.state != RunState::kNone && executor_.run == state_.run;
  if (executor_.run != 0 && !is_listed) {
    Note([&] { return "stops unknown run " + std::to_string(executor_.run); });
    calls_.Stop(executor_.run, state_.token);
  }
  if (is_listed) {
    if (state_.state == RunState::kStarting) state_.state = RunState::kRunning;
    return;
  }
  if (state_.state == RunState::kRunning) EndRun("is not listed any more");
  if (state_.state == RunState::kStopped) {
    if (state_.run == state_.revoked_run) {
      world_.links[state_.owner][index_].refusal = Refusal::kUnhealthy;
    }
    EndRun("has stopped");
  }
}

bool SupervisorModel::is_accepting() const {
  return state_.needs_poll == 0 && state_.executor_silence <= options_.limits.executor_silence;
}

Steps SupervisorModel::RunEndOf(std::size_t owner) const {
  const Steps heard = state_.heard[owner] == kNever ? Steps{0} : state_.heard[owner];
  return static_cast<Steps>(options_.limits.run_end - heard);
}

Steps SupervisorModel::LongestLease() const {
  Steps end = options_.limits.lease;
  if (!has_cap()) return end;
  for (std::size_t owner = 0; owner < kSides; ++owner) {
    if (state_.heard[owner] != kNever) end = std::min(end, RunEndOf(owner));
  }
  if (state_.state == RunState::kStopping) end = std::min(end, state_.must_end);
  return end;
}

Steps SupervisorModel::RenewLease() {
  const Steps lease = LongestLease();
  state_.lease = std::max(state_.lease, lease);
  return lease;
}

Refusal SupervisorModel::ReasonToRefuse(std::size_t owner) const {
  if (!is_accepting()) return Refusal::kNotStarted;
  if (world_.links[owner][index_].order == OrderState::kQueued) return Refusal::kNone;
  const Steps heard = state_.heard[owner];
  const bool is_silent = heard != kNever && heard > options_.limits.silence;
  if (has_cap() && (is_silent || RunEndOf(owner) < state_.lease)) return Refusal::kNotStarted;
  return state_.state == RunState::kNone ? Refusal::kNone : Refusal::kOutdated;
}

void SupervisorModel::HandleOrder(std::size_t owner) {
  Link& link = world_.links[owner][index_];
  if (link.order != OrderState::kArrived && link.order != OrderState::kQueued) return;
  if (state_.heard[owner] == kNever) state_.heard[owner] = 0;
  const std::uint8_t run = link.order_run;
  if (const Refusal reason = ReasonToRefuse(owner); reason != Refusal::kNone) {
    Note([&] {
      return "refuses run " + std::to_string(run) + " of dispatcher " + std::to_string(owner);
    });
    link.EndOrder(reason);
    return;
  }
  if (has_cap() && LongestLease() < options_.limits.min_start_lease) {
    link.order = OrderState::kQueued;
    return;
  }
  link.EndOrder(Refusal::kNone);
  Start(owner, run);
}

void SupervisorModel::Start(std::size_t owner, std::uint8_t run) {
  state_.state = RunState::kStarting;
  state_.owner = static_cast<std::uint8_t>(owner);
  state_.run = run;
  state_.state_age = 0;
  const Steps lease = RenewLease();
  const std::string name = "run " + std::to_string(run) + " of dispatcher " + std::to_string(owner);
  if (world_.delays_start[index_] != 0) {
    world_.delays_start[index_] = 0;
    world_.delayed = {.run = run,
                      .executor = static_cast<std::uint8_t>(index_),
                      .token = state_.token,
                      .lifetime = executor_.lifetime,
                      .lease = lease};
    return Note([&] { return "starts " + name + ", and the call is delayed"; });
  }
  if (!CarriesOut()) return Note([&] { return "starts " + name + ", and the call is lost"; });
  const StartResult result = calls_.Start(run, state_.token, lease);
  if (!HasAnswers()) return Note([&] { return "starts " + name + ", and the answer is lost"; });
  switch (result) {
    case StartResult::kStarted:
      state_.state = RunState::kRunning;
      state_.state_age = 0;
      return Note([&] {
        return "starts " + name + ", lease " + std::to_string((lease * kStep).count()) + " ms";
      });
    case StartResult::kOutdated:
      world_.links[owner][index_].refusal = Refusal::kOutdated;
      return EndRun("is outdated on the executor");
    case StartResult::kFenced:
    case StartResult::kLeaseExpired:
      return EndRun("is refused by the executor");
  }
}

void SupervisorModel::LoseSilentOwners() {
  for (std::size_t owner = 0; owner < kSides; ++owner) {
    Steps& heard = state_.heard[owner];
    if (heard == kNever || heard <= options_.limits.silence) continue;
    Link& link = world_.links[owner][index_];
    if (link.order == OrderState::kQueued) link.EndOrder(Refusal::kNotStarted);
    if (state_.owner == owner) BeginStop("dispatcher silent");
    heard = kNever;
  }
}

void SupervisorModel::OnOwnerRefuses(std::size_t owner) {
  Link& link = world_.links[owner][index_];
  if (link.order == OrderState::kQueued) link.EndOrder(Refusal::kNotStarted);
  state_.heard[owner] = kNever;
  if (state_.state == RunState::kNone || state_.owner != owner) return;
  BeginStop("dispatcher refuses connections");
  if (!options_.rules.contains(Rule::kKeepOwner)) state_.is_forgotten = 1;
}

void SupervisorModel::BeginStop(std::string_view reason) {
  if (state_.state != RunState::kStarting && state_.state != RunState::kRunning) return;
  Note([&] {
    return "stops run " + std::to_string(state_.run) + " of dispatcher " +
           std::to_string(state_.owner) + " (" + std::string(reason) + ")";
  });
  state_.state = RunState::kStopping;
  state_.state_age = 0;
  state_.must_end = has_cap() ? RunEndOf(state_.owner) : Steps{0};
}

void SupervisorModel::EndRun(std::string_view reason) {
  Note([&] {
    return "reports the end of run " + std::to_string(state_.run) + " of dispatcher " +
           std::to_string(state_.owner) + ": " + std::string(reason);
  });
  state_.state = RunState::kNone;
  state_.owner = 0;
  state_.run = 0;
  state_.state_age = 0;
  state_.must_end = 0;
  state_.is_forgotten = 0;
}

void SupervisorModel::CallStop() {
  if (state_.state != RunState::kStopping) return;
  if (CarriesOut()) calls_.Stop(state_.run, state_.token);
  if (!HasAnswers()) return;
  state_.state = RunState::kStopped;
  state_.state_age = 0;
  state_.must_end = 0;
}

}  // namespace zinniamux::model
