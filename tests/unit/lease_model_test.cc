// The lease model: each rule is needed, and suffices within small bounds.
#include <criterion/criterion.h>

#include <initializer_list>
#include <string>

#include "model/options.h"
#include "model/search.h"

namespace {

using std::chrono::milliseconds;
using zinniamux::model::Bounds;
using zinniamux::model::Fault;
using zinniamux::model::Faults;
using zinniamux::model::Findings;
using zinniamux::model::Limits;
using zinniamux::model::Options;
using zinniamux::model::Rule;
using zinniamux::model::Search;

constexpr milliseconds kHorizon{3000};

// Two processes that stand still have many states. Callers that send again sooner need fewer steps.
constexpr milliseconds kShortRetransmit{1200};
constexpr milliseconds kShortHorizon{1250};

Options OptionsWith(std::initializer_list<Fault> faults) {
  Options options{.limits = Limits::For({}).value(), .faults = Faults::None(), .max_faults = 2};
  for (const Fault fault : faults) options.faults.Add(fault);
  return options;
}

// The model breaks without the rule, on a way whose timeline says `text`, and is clean with it.
void CheckNeeded(Rule rule, Options options, milliseconds horizon, const std::string& text) {
  options.rules.Add(rule);
  const Findings with = Search(options, {.horizon = horizon});
  cr_assert(with.kind == Findings::Kind::kClean, "runs twice with the rule, %zu states",
            with.states);
  options.rules.Remove(rule);
  const Findings without = Search(options, {.horizon = horizon});
  cr_assert(without.kind == Findings::Kind::kRunsTwice, "clean without the rule, %zu states",
            without.states);
  bool has_text = false;
  for (const auto& entry : without.timeline) {
    has_text = has_text || entry.text.find(text) != std::string::npos;
  }
  cr_assert(has_text, "no \"%s\" in the timeline", text.c_str());
}

}  // namespace

// Guards against hunt-1e17: a dispatcher places a request whose caller was reset before it was
// read.
Test(lease_model, needs_unread_requests_to_be_dropped) {
  CheckNeeded(Rule::kDropUnread, OptionsWith({Fault::kFreezeDispatcher, Fault::kBreakCaller}),
              kHorizon, "dispatcher 0 reads the request");
}

// Guards against inc-33: silence and lease add up if a supervisor stands still in the silence.
Test(lease_model, needs_leases_to_end_with_the_budget) {
  Options options =
      OptionsWith({Fault::kFreezeDispatcher, Fault::kFreezeSupervisor, Fault::kBreakCaller});
  options.max_faults = 3;
  options.limits = Limits::For({.retransmit = kShortRetransmit}).value();
  CheckNeeded(Rule::kLeaseCap, options, kShortHorizon, "supervisor 0 stands still");
}

// Guards against silence that counts from the reading of an old frame.
Test(lease_model, needs_silence_from_handled_input) {
  Options options =
      OptionsWith({Fault::kFreezeDispatcher, Fault::kFreezeSupervisor, Fault::kBreakCaller});
  options.max_faults = 3;
  options.limits = Limits::For({.retransmit = kShortRetransmit}).value();
  CheckNeeded(Rule::kHandledInput, options, kShortHorizon, "supervisor 0 goes on");
}

// Guards against orders for callers that have left during a cut.
Test(lease_model, needs_isolated_dispatchers_to_order_nothing) {
  CheckNeeded(Rule::kIsolation, OptionsWith({Fault::kCutDispatcher, Fault::kBreakCaller}), kHorizon,
              "dispatcher 0 is connected again");
}

// Guards against leases that are renewed after an isolation, when a second cut follows.
Test(lease_model, needs_frames_that_tell_of_an_isolation) {
  Options options = OptionsWith({Fault::kCutDispatcher, Fault::kBreakCaller});
  options.max_faults = 3;
  CheckNeeded(Rule::kIsolatedInput, options, kHorizon, "dispatcher 0 was isolated");
}

// Guards against a start of an earlier lifetime that is carried out in the next one.
Test(lease_model, needs_the_token_to_rise_with_lifetimes) {
  Options options = OptionsWith({Fault::kDelayStart, Fault::kRestartExecutor, Fault::kBreakCaller});
  options.max_faults = 3;
  CheckNeeded(Rule::kFencing, options, kHorizon, "the delayed start reaches executor 0");
}

// Guards against review/11: a request that a cut has held up is read after its caller has left.
Test(lease_model, needs_requests_from_a_silence_to_be_held) {
  Options options = OptionsWith({Fault::kCutDispatcher, Fault::kHoldRequest, Fault::kBreakCaller});
  options.max_faults = 3;
  CheckNeeded(Rule::kHoldStale, options, kHorizon, "the request is sent in the cut");
}

// Guards against review/13: a supervisor names no runs any more to a dispatcher that has refused
// its connection.
Test(lease_model, needs_runs_to_be_named_after_a_refused_connection) {
  CheckNeeded(Rule::kKeepOwner, OptionsWith({Fault::kRefuseConnection, Fault::kCutExecutor}),
              kHorizon, "dispatcher 0 refuses the connection of supervisor 0");
}

// Guards against limits that the model rounds in silence, or cannot count.
Test(lease_model, refuses_times_that_steps_do_not_divide) {
  cr_assert(Limits::For({}).has_value());
  cr_assert_not(Limits::For({.retransmit = milliseconds(1310)}).has_value());
  cr_assert_not(Limits::For({.retransmit = milliseconds(6000)}).has_value());
  cr_assert_not(Limits::For({.retransmit = milliseconds(700)}).has_value());
  cr_assert_not(Limits::For({.stop_time = milliseconds(0)}).has_value());
}

// Guards against a search that takes its limit on states for the end of the model.
Test(lease_model, tells_an_incomplete_search) {
  const Findings findings =
      Search(OptionsWith({Fault::kBreakCaller}), {.horizon = kHorizon, .max_states = 10});
  cr_assert(findings.kind == Findings::Kind::kIncomplete);
}
