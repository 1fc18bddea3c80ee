// Looks at the views behind a refusal.
#include "overload/refusal_causes.h"

#include <algorithm>
#include <vector>

#include "core/room_placement.h"

namespace zinniamux::bench {
namespace {

using core::ExecutorView;
using core::JobScheduler;
using core::RoomPlacement;

// The first filter of the placement that excludes the executor.
std::string CauseOf(const ExecutorView& view, const JobScheduler& scheduler,
                    const core::JobRequest& request, double median_pace) {
  const core::Resources& need = request.steps.front().need;
  const core::StartRank rank = request.urgent ? core::StartRank::kUrgent : core::StartRank::kNormal;
  if (!view.takes_work()) return "not accepting";
  // Without what the dispatcher knows of steady speeds: a steadily slow executor is named as such.
  if (scheduler.speeds().RelativePace(view)) return "steady pace";
  const RoomPlacement placement(RoomPlacement::Options{});
  if (!placement.HasAcceptablePace(view, {.median_pace = median_pace, .filter = {}})) return "pace";
  if (view.ExpectedWait(need, rank) > core::Duration(0)) {
    return need.Fits(view.free()) ? "room for orders ahead" : "old view";
  }
  if (view.report().is_close) return scheduler.trusts_close_views() ? "time" : "views not trusted";
  return scheduler.trusts_other_views() ? "time" : "other views not trusted";
}

}  // namespace

void RefusalCauses::Note(const testing::LeaseWorld& world, std::size_t dispatcher,
                         const core::JobReply& refusal) {
  if (refusal.reason != core::JobReason::kOverloaded) return;
  const core::JobRequest& request = world.request(refusal.job_id);
  const core::JobStep& step = request.steps.front();
  const JobScheduler& scheduler = world.scheduler(dispatcher);
  std::vector<ExecutorView> views;
  for (const ExecutorView* view : scheduler.executors()) views.push_back(*view);
  std::vector<ExecutorView*> pointers;
  pointers.reserve(views.size());
  for (ExecutorView& view : views) pointers.push_back(&view);
  const double median_pace = RoomPlacement::MedianPace(pointers);
  std::int64_t places = 0;
  std::map<std::string, std::int64_t> places_by_cause;
  for (const ExecutorView& view : views) {
    const std::size_t executor = std::stoul(view.agent_id().substr(view.agent_id().rfind('-') + 1));
    if (executor >= executors_) continue;
    const std::int64_t fitting =
        std::max<std::int64_t>(world.RoomOf(executor).cpu_milli, 0) / step.need.cpu_milli;
    if (fitting == 0) continue;
    places += fitting;
    places_by_cause[CauseOf(view, scheduler, request, median_pace)] += fitting;
  }
  if (places < step.count) return;
  const auto most = std::max_element(
      places_by_cause.begin(), places_by_cause.end(),
      [](const auto& left, const auto& right) { return left.second < right.second; });
  ++counts_[request.queue][most->first];
}

}  // namespace zinniamux::bench
