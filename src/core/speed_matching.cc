// Classes of executors by their steady pace.
#include "core/speed_matching.h"

#include <algorithm>
#include <vector>

namespace zinniamux::core {

void SpeedMatching::Update(std::span<ExecutorView* const> executors, TimePoint now) {
  if (updated_at_ && now - *updated_at_ < options_.period) return;
  updated_at_ = now;
  std::vector<double> paces;
  paces.reserve(executors.size());
  for (const ExecutorView* executor : executors) {
    const ExecutorReport& report = executor->report();
    const double pace = report.steady_pace > 0 ? report.steady_pace : report.pace;
    if (executor->takes_work() && pace > 0) paces.push_back(pace);
  }
  slow_ = fast_ = 0;
  median_pace_ = mean_pace_ = 1;
  if (paces.empty()) return;
  // The lower median, as RoomPlacement::MedianPace.
  const auto middle = paces.begin() + static_cast<std::ptrdiff_t>((paces.size() - 1) / 2);
  std::nth_element(paces.begin(), middle, paces.end());
  median_pace_ = *middle;
  double speed = 0;
  double cpu_milli = 0;
  for (const ExecutorView* executor : executors) {
    if (!executor->takes_work() || executor->report().steady_pace <= 0) continue;
    const double ratio = Ratio(*executor);
    const auto capacity = static_cast<double>(executor->report().capacity.cpu_milli);
    speed += capacity / ratio;
    cpu_milli += capacity;
    if (ratio > options_.uneven_ratio) ++slow_;
    if (ratio * options_.uneven_ratio < 1) ++fast_;
  }
  if (is_active() && speed > 0) mean_pace_ = cpu_milli / speed;
}

std::optional<double> SpeedMatching::RelativePace(const ExecutorView& executor) const {
  if (!is_active() || executor.report().steady_pace <= 0) return std::nullopt;
  const double ratio = Ratio(executor);
  if (ratio <= options_.uneven_ratio && ratio * options_.uneven_ratio >= 1) return std::nullopt;
  return ratio;
}

Duration SpeedMatching::AtMedianPace(Duration run_time, const ExecutorView& executor) const {
  const double ratio = RelativePace(executor).value_or(1);
  return std::chrono::duration_cast<Duration>(run_time / ratio);
}

}  // namespace zinniamux::core
