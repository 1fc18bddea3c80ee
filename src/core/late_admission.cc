// Limits and expected start of late jobs.
#include "core/late_admission.h"

#include <algorithm>

namespace zinniamux::core {

void LateAdmission::Observe(const std::string& service, const Room& room, TimePoint now) {
  const auto [found, is_new] = services_.try_emplace(service, options_.horizon);
  State& state = found->second;
  const auto spare = static_cast<double>(room.spare_cpu_milli);
  state.room = room;
  if (is_new) state.spare.Start(spare, now);
  state.spare.Update(spare, now);
}

std::optional<LateAdmission::Limits> LateAdmission::Admit(const std::string& service,
                                                          const Candidate& job,
                                                          double held_core_time,
                                                          TimePoint now) const {
  if (!options_.enabled) return std::nullopt;
  const double misses = misses_.At(now, options_.horizon);
  if (misses - 1 > arrivals_.At(now, options_.horizon) * options_.max_miss_share) {
    return std::nullopt;
  }
  const auto found = services_.find(service);
  if (found == services_.end()) return std::nullopt;
  const auto limit =
      std::chrono::duration_cast<Duration>(job.objective * options_.objective_factor);
  Limits limits;
  limits.latest_start = std::min(job.received + limit, job.deadline) - job.critical_path;
  limits.start_by = std::min(
      {limits.latest_start, job.latest_order, TimePoint(job.received + options_.max_hold)});
  const State& state = found->second;
  const double least =
      std::max(static_cast<double>(job.cpu_milli),
               static_cast<double>(state.room.capacity_cpu_milli) * options_.min_spare_share);
  const double spare = state.spare.At(now);
  if (spare < least) return std::nullopt;
  // What is held already comes first, in this dispatcher's share of the spare room.
  const double usable = spare / state.room.competitors;
  const auto behind =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(held_core_time / usable));
  if (now + behind >= limits.start_by) return std::nullopt;
  return limits;
}

}  // namespace zinniamux::core
