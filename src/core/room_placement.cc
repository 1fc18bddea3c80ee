// Filter and score of executors.
#include "core/room_placement.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace zinniamux::core {

double RoomPlacement::MedianPace(std::span<ExecutorView* const> executors) {
  std::vector<double> paces;
  for (const ExecutorView* executor : executors) {
    if (executor->takes_work() && executor->report().pace > 0) {
      paces.push_back(executor->report().pace);
    }
  }
  if (paces.empty()) return 1;
  // The lower median: of two executors, the faster one is the reference.
  const auto middle = paces.begin() + static_cast<std::ptrdiff_t>((paces.size() - 1) / 2);
  std::nth_element(paces.begin(), middle, paces.end());
  return *middle;
}

double RoomPlacement::Score(const ExecutorView& executor, const Query& query) const {
  const double capacity =
      std::max<double>(1, static_cast<double>(executor.report().capacity.cpu_milli));
  double score = static_cast<double>(executor.free().cpu_milli) / capacity;
  if (executor.availability_zone() == options_.availability_zone) {
    score += options_.availability_zone_bonus;
  }
  // Running in the rack that holds the data saves more run time than an even load does.
  if (!query.step->preferred_rack.empty() && executor.HasLabel(query.step->preferred_rack)) {
    score += 1;
  }
  return score;
}

bool RoomPlacement::HasAcceptablePace(const ExecutorView& executor, const Query& query,
                                      Duration wait) const {
  if (query.speeds != nullptr) {
    if (const std::optional<double> relative = query.speeds->RelativePace(executor)) {
      // A started job is completed even if it is late wherever its tasks run.
      const bool is_late = query.rank == StartRank::kStarted && query.run_time > query.time_left;
      const auto run_time = std::chrono::duration_cast<Duration>(query.run_time * *relative);
      return is_late || wait + run_time + options_.slow_margin <= query.time_left;
    }
  }
  const double ratio = executor.report().pace / query.median_pace;
  if (ratio <= options_.normal_ratio) return true;
  const double usable_share =
      (options_.slow_ratio - ratio) / (options_.slow_ratio - options_.normal_ratio);
  const auto capacity = static_cast<double>(executor.report().capacity.cpu_milli);
  const double used = capacity - static_cast<double>(executor.free().cpu_milli);
  return used < capacity * usable_share;
}

bool RoomPlacement::IsPreferred(const ExecutorView& executor, const Query& query) {
  const std::string& rack = query.step->preferred_rack;
  return executor.report().is_close || (!rack.empty() && executor.HasLabel(rack));
}

bool RoomPlacement::HasCloseCandidate(std::span<ExecutorView* const> executors,
                                      const Query& query) const {
  return std::any_of(executors.begin(), executors.end(), [&](const ExecutorView* executor) {
    return executor->report().is_close && executor->takes_work() &&
           query.step->need.Fits(executor->report().capacity) && IsCandidate(*executor, query);
  });
}

ExecutorView* RoomPlacement::ChooseWithRoom(std::span<ExecutorView* const> executors,
                                            const Query& query, std::minstd_rand& random) const {
  bool has_cold = false;
  ExecutorView* const warm = ChooseAmong(executors, query, /*cold=*/false, random, has_cold);
  if (warm != nullptr || !has_cold) return warm;
  bool has_warm = false;
  return ChooseAmong(executors, query, /*cold=*/true, random, has_warm);
}

ExecutorView* RoomPlacement::ChooseAmong(std::span<ExecutorView* const> executors,
                                         const Query& query, bool cold, std::minstd_rand& random,
                                         bool& has_skipped) const {
  ExecutorView* best = nullptr;
  double best_score = 0;
  ExecutorView* sampled = nullptr;
  double sampled_room = 0;
  for (ExecutorView* executor : executors) {
    if (!executor->takes_work()) continue;
    if (executor->is_cold() != cold) {
      has_skipped = true;
      continue;
    }
    if (!(executor->report().is_close ? query.include_close : query.include_others)) continue;
    if (executor->ExpectedWait(query.step->need, query.rank) > Duration(0)) continue;
    if (!IsPreferred(*executor, query)) {
      if (best != nullptr || !IsCandidate(*executor, query)) continue;
      const auto room = static_cast<double>(executor->free().cpu_milli);
      sampled_room += room;
      if (std::uniform_real_distribution<>(0, sampled_room)(random) <= room) sampled = executor;
      continue;
    }
    const double score = Score(*executor, query);
    // Checked last because it is more expensive.
    if (best != nullptr && score <= best_score) continue;
    if (!IsCandidate(*executor, query)) continue;
    best = executor;
    best_score = score;
  }
  return best != nullptr ? best : sampled;
}

ExecutorView* RoomPlacement::ChooseShortestWait(std::span<ExecutorView* const> executors,
                                                const Query& query, Duration limit,
                                                std::minstd_rand& random) const {
  ExecutorView* best = nullptr;
  double best_score = 0;
  std::uniform_real_distribution<> age(0, std::chrono::duration<double>(options_.view_age).count());
  const bool only_close = HasCloseCandidate(executors, query);
  Resources with_headroom = query.step->need;
  with_headroom.cpu_milli += query.headroom_cpu_milli;
  for (ExecutorView* executor : executors) {
    if (only_close && !executor->report().is_close) continue;
    if (!executor->takes_work() || !query.step->need.Fits(executor->report().capacity)) continue;
    const Resources& need = executor->may_take_last_room() ? query.step->need : with_headroom;
    const Duration wait = executor->ExpectedWait(need, query.rank);
    if (wait > limit) continue;
    const double score = std::chrono::duration<double>(wait).count() + age(random);
    if (best != nullptr && score >= best_score) continue;
    if (!IsCandidate(*executor, query, wait)) continue;
    best = executor;
    best_score = score;
  }
  return best;
}

Duration RoomPlacement::ShortestWait(std::span<ExecutorView* const> executors,
                                     const Query& query) const {
  Duration least = Duration::max();
  const bool only_close = HasCloseCandidate(executors, query);
  for (const ExecutorView* executor : executors) {
    if (only_close && !executor->report().is_close) continue;
    if (!executor->takes_work() || !query.step->need.Fits(executor->report().capacity)) continue;
    const Duration wait = executor->ExpectedWait(query.step->need, query.rank);
    if (wait < least && IsCandidate(*executor, query, wait)) least = wait;
  }
  return least;
}

bool RoomPlacement::IsCandidate(const ExecutorView& executor, const Query& query,
                                Duration wait) const {
  if (executor.report().service != query.service) return false;
  if (!HasAcceptablePace(executor, query, wait)) return false;
  const std::string& label = query.step->required_label;
  if (!label.empty() && !executor.HasLabel(label)) return false;
  return !query.filter || query.filter(executor);
}

}  // namespace zinniamux::core
