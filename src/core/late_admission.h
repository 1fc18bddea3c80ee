// Decides which jobs that miss their objective are held for a late answer.
#ifndef ZINNIAMUX_CORE_LATE_ADMISSION_H_
#define ZINNIAMUX_CORE_LATE_ADMISSION_H_

#include <chrono>
#include <cmath>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/clock.h"
#include "core/decaying_mean.h"

namespace zinniamux::core {

// Load pattern: a chance cluster of jobs fills the executors for some hundred milliseconds, and
// room is idle afterwards. Callers who wait longer than the objective are better served in that
// room than refused. A late run takes room from jobs in time that arrive while it lasts: at steady
// overload each late answer costs about one in time. So jobs are held only while supervisors'
// reports show spare room in the recent mean and few jobs miss their objective. Not thread-safe.
class LateAdmission {
 public:
  struct Options {
    bool enabled = false;
    // A late answer is of use up to this multiple of the objective.
    double objective_factor = 3;
    // A job is held for at most this long after it arrived. The end of a run (RunEndBudget) is a
    // limit as well: nothing may be ordered for the first time afterwards.
    std::chrono::milliseconds max_hold{1200};
    // Least spare room at which jobs are held, as a share of the executors' capacity.
    double min_spare_share = 0.15;
    // Averaging time of spare room and misses: bursts last for some seconds, chance clusters for
    // tenths of a second.
    std::chrono::milliseconds horizon{3000};
    // Nothing is held while a larger share of the recent arrivals misses its objective.
    double max_miss_share = 0.05;
  };

  // Room of the executors of a service, from supervisors' reports. `spare` is what is free beyond
  // the needs of waiting orders and the reserve for urgent runs; negative if they need more.
  struct Room {
    std::int64_t capacity_cpu_milli = 0;
    std::int64_t spare_cpu_milli = 0;
    // Dispatchers that use the same room.
    std::uint32_t competitors = 1;
  };

  struct Candidate {
    // All tasks of the job that may start at the same time.
    std::int64_t cpu_milli = 0;
    // Longest chain of estimated run times.
    Duration critical_path{0};
    // Time from arrival within which the answer is due.
    Duration objective{0};
    TimePoint received;
    // When the caller stops waiting.
    TimePoint deadline;
    // Nothing of the job may be ordered afterwards.
    TimePoint latest_order;
  };

  struct Limits {
    // The job is refused unless it was ordered by then.
    TimePoint start_by;
    // Tasks that start later end after the limit of a late answer.
    TimePoint latest_start;
  };

  explicit LateAdmission(const Options& options) : options_(options) {}

  bool enabled() const { return options_.enabled; }

  // A job has arrived.
  void OnArrival(TimePoint now) { arrivals_.Add(now, options_.horizon); }
  // An arrived job would be refused without late admission.
  void OnMiss(TimePoint now) { misses_.Add(now, options_.horizon); }

  void Observe(const std::string& service, const Room& room, TimePoint now);

  // The limits of a job that is held, or nothing if it is refused now. `held_core_time` is the
  // processor time that the late jobs held by this dispatcher still need, in milli-core seconds.
  std::optional<Limits> Admit(const std::string& service, const Candidate& job,
                              double held_core_time, TimePoint now) const;

 private:
  // Counts events; each fades with the averaging time.
  struct FadingCount {
    double count = 0;
    TimePoint counted_at;
    double At(TimePoint now, std::chrono::milliseconds time_constant) const {
      const std::chrono::duration<double> age = now - counted_at;
      return count * std::exp(-age / std::chrono::duration<double>(time_constant));
    }
    void Add(TimePoint now, std::chrono::milliseconds time_constant) {
      count = At(now, time_constant) + 1;
      counted_at = now;
    }
  };

  struct State {
    explicit State(std::chrono::milliseconds horizon) : spare(horizon) {}
    Room room;
    DecayingMean spare;
  };

  const Options options_;
  std::map<std::string, State> services_;
  FadingCount arrivals_;
  FadingCount misses_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_LATE_ADMISSION_H_
