// Filters of each executor, and the decision that follows from them.
#include "core/placement_explanation.h"

#include <algorithm>
#include <utility>

namespace zinniamux::core {
namespace {

using Executor = PlacementExplanation::Executor;

// The filters in the order in which an operator can act on them. Empty: the executor is a
// candidate.
std::string_view FindExclusion(const PlacementInput& input, const ExecutorView& view) {
  const ExecutorReport& report = view.report();
  const JobStep& step = *input.query.step;
  if (!view.attached()) return "not_connected";
  if (report.service != input.query.service) return "other_service";
  if (view.in_evacuated_zone()) return "zone_evacuated";
  if (!report.accepting) return "not_accepting";
  if (!step.need.Fits(report.capacity)) return "too_small";
  if (!step.required_label.empty() && !view.HasLabel(step.required_label)) return "lacks_label";
  if (input.is_ejected(view)) return "ejected";
  if (!input.placement.HasAcceptablePace(view, input.query)) return "slow";
  return {};
}

std::uint32_t CountRoom(const PlacementInput& input, const ExecutorView& view) {
  const JobStep& step = *input.query.step;
  const std::uint32_t most =
      step.max_per_executor == 0 ? step.count : std::min(step.max_per_executor, step.count);
  std::uint32_t tasks = 0;
  while (tasks < most &&
         view.ExpectedWait(step.need * (tasks + 1), input.query.rank) == Duration(0)) {
    ++tasks;
  }
  return tasks;
}

Executor Explain(const PlacementInput& input, const ExecutorView& view) {
  const std::string& rack = input.query.step->preferred_rack;
  Executor result{.agent_id = view.agent_id(),
                  .availability_zone = view.availability_zone(),
                  .is_close = view.report().is_close,
                  .is_in_rack = !rack.empty() && LocalityWait::IsInRack(view, rack),
                  .verdict = FindExclusion(input, view),
                  .free = view.free(),
                  .capacity = view.report().capacity,
                  .pace = view.report().pace,
                  .score = input.placement.Score(view, input.query)};
  if (!result.verdict.empty()) return result;
  const Duration wait = view.ExpectedWait(input.query.step->need, input.query.rank);
  if (wait != Duration::max()) result.expected_wait = wait;
  result.tasks = CountRoom(input, view);
  result.verdict = result.tasks > 0 ? "has_room" : "no_room";
  return result;
}

std::string Milliseconds(Duration duration) {
  return std::to_string(std::chrono::ceil<std::chrono::milliseconds>(duration).count()) + " ms";
}

// What would have to change for a job that is refused on arrival.
std::string RemedyFor(JobReason reason, const PlacementInput& input) {
  const JobStep& step = *input.query.step;
  switch (reason) {
    case JobReason::kNoExecutors:
      return "an executor of service " + std::string(input.query.service) + " that takes work";
    case JobReason::kNeverRunnable:
      return "an executor with a capacity of " + std::to_string(step.need.cpu_milli) +
             " milli-cores, " + std::to_string(step.need.memory_mb) + " MB and " +
             std::to_string(step.need.gpus) + " GPUs" +
             (step.required_label.empty() ? "" : ", and the label " + step.required_label);
    case JobReason::kDeadline:
      return "a later deadline: half the expected run time is longer than the caller waits";
    case JobReason::kShuttingDown:
      return "another dispatcher: this one is stopping";
    case JobReason::kOverloaded:
      return "fewer accepted jobs: this dispatcher has as many as it may hold";
    default:
      return {};
  }
}

// Whether the rack is full and a wait for it pays, while there is room elsewhere.
bool WaitsForRack(const PlacementInput& input) {
  const JobStep& step = *input.query.step;
  if (step.preferred_rack.empty() || !input.locality.DependsOnRack(step)) return false;
  const auto shortest = [&](bool in_rack) {
    RoomPlacement::Query query = input.query;
    query.filter = [&input, &step, in_rack](const ExecutorView& view) {
      return LocalityWait::IsInRack(view, step.preferred_rack) == in_rack &&
             !input.is_ejected(view);
    };
    return input.placement.ShortestWait(input.executors, query);
  };
  const Duration wait = shortest(true);
  return wait > Duration(0) && input.locality.Decide({.queue = input.queue,
                                                      .rack = step.preferred_rack,
                                                      .declared = step.estimate,
                                                      .wait = wait,
                                                      .remote_wait = shortest(false),
                                                      .objective = input.objective,
                                                      .now = input.now});
}

}  // namespace

PlacementExplanation ExplainPlacement(const PlacementInput& input) {
  PlacementExplanation result{.start_limit = input.start_limit,
                              .order_wait_limit = input.order_wait_limit};
  for (const ExecutorView* view : input.executors) {
    result.executors.push_back(Explain(input, *view));
    result.tasks_with_room += result.executors.back().tasks;
  }
  // Candidates first, close ones before the others; then by score.
  std::stable_sort(result.executors.begin(), result.executors.end(),
                   [](const Executor& a, const Executor& b) {
                     const auto key = [](const Executor& each) {
                       return std::tuple(each.tasks == 0, !each.expected_wait.has_value(),
                                         !each.is_close && !each.is_in_rack, -each.score);
                     };
                     return key(a) < key(b);
                   });
  RoomPlacement::Query query = input.query;
  query.filter = [&input](const ExecutorView& view) { return !input.is_ejected(view); };
  const Duration wait = input.placement.ShortestWait(input.executors, query);
  if (wait != Duration::max()) result.expected_wait = wait;
  if (input.refusal) {
    result.decision = "refused";
    result.reason = *input.refusal;
    result.remedy = RemedyFor(*input.refusal, input);
  } else if (WaitsForRack(input)) {
    result.decision = "waits_for_rack";
  } else if (result.tasks_with_room >= input.query.step->count) {
    result.decision = "starts";
  } else if (wait <= input.order_wait_limit) {
    result.decision = "waits_at_executor";
  } else if (wait <= input.start_limit) {
    result.decision = "queued";
  } else {
    result.decision = "refused";
    result.reason = JobReason::kOverloaded;
    result.remedy = "an expected wait of at most " + Milliseconds(input.start_limit) +
                    (wait == Duration::max() ? "; no candidate is known to release room"
                                             : "; it is " + Milliseconds(wait));
  }
  return result;
}

}  // namespace zinniamux::core
