// Refusals by core-seconds.
#include "core/displacement_admission.h"

#include <algorithm>

namespace zinniamux::core {

void DisplacementAdmission::Arrivals::Fade(TimePoint now, std::chrono::milliseconds time_constant) {
  const std::chrono::duration<double> age = now - updated_at;
  const double weight = std::exp(-age / std::chrono::duration<double>(time_constant));
  count *= weight;
  admitted *= weight;
  core_time *= weight;
  updated_at = now;
}

void DisplacementAdmission::Arrivals::Add(bool is_admitted, double core_time_of_job) {
  count += 1;
  if (is_admitted) admitted += 1;
  core_time += core_time_of_job;
}

void DisplacementAdmission::Observe(const std::string& service, const LateAdmission::Room& room,
                                    TimePoint now) {
  const auto capacity = static_cast<double>(std::max<std::int64_t>(room.capacity_cpu_milli, 1));
  spare_shares_.try_emplace(service, options_.horizon)
      .first->second.Update(static_cast<double>(room.spare_cpu_milli) / capacity, now);
}

double DisplacementAdmission::Pressure(const std::string& service, TimePoint now) const {
  const auto found = spare_shares_.find(service);
  if (found == spare_shares_.end()) return 0;
  return std::clamp(1 - found->second.At(now) / options_.short_share, 0.0, 1.0);
}

bool DisplacementAdmission::ShouldRefuse(const std::string& service, const std::string& queue,
                                         double core_time, TimePoint now) {
  constexpr int kArrivalHorizons = 5;
  const auto time_constant = options_.horizon * kArrivalHorizons;
  Arrivals& of_queue = queues_[queue];
  of_queue.Fade(now, time_constant);
  all_.Fade(now, time_constant);
  const double mean = all_.count > 0 ? all_.core_time / all_.count : core_time;
  const bool is_large = core_time * Pressure(service, now) > mean * options_.large_factor;
  const bool refused =
      is_large && of_queue.MayRefuse(options_.queue_floor) && all_.MayRefuse(options_.zone_floor);
  of_queue.Add(!refused, core_time);
  all_.Add(!refused, core_time);
  return refused;
}

}  // namespace zinniamux::core
