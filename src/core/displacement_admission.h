// Refuses jobs that take much room from others while room is short.
#ifndef ZINNIAMUX_CORE_DISPLACEMENT_ADMISSION_H_
#define ZINNIAMUX_CORE_DISPLACEMENT_ADMISSION_H_

#include <chrono>
#include <cmath>
#include <cstdint>
#include <map>
#include <string>

#include "core/clock.h"
#include "core/decaying_mean.h"
#include "core/late_admission.h"

namespace zinniamux::core {

// Load pattern: executors are nearly full for seconds. A job of many core-seconds takes the room of
// ten small ones, and without a choice at arrival the small ones are refused. So the more room is
// short, the smaller the jobs that are refused at once, beginning with the largest. Each queue, and
// the dispatcher's zone as a whole, keep a share of their arrivals. The pressure is computed from
// what supervisors report to all dispatchers, so that all refuse alike. Not thread-safe.
class DisplacementAdmission {
 public:
  struct Options {
    bool enabled = false;
    // Room is short when the mean spare room is a smaller share of the capacity. With 0.1 and more,
    // long jobs were refused at a load of 0.6, where all kinds can be served.
    double short_share = 0.05;
    // With full pressure, jobs of more than this times the mean core-seconds are refused; with half
    // of it, those of more than twice that. Below 2, urgent jobs of mean size are refused although
    // they would have started first.
    double large_factor = 2;
    // Share of the arrivals that each queue keeps, and share that the dispatcher's zone keeps.
    double queue_floor = 0.8;
    double zone_floor = 0.8;
    // Averaging time of spare room; the time constant of arrivals is five times as long.
    std::chrono::milliseconds horizon{1000};
  };

  explicit DisplacementAdmission(const Options& options) : options_(options) {}

  bool enabled() const { return options_.enabled; }

  void Observe(const std::string& service, const LateAdmission::Room& room, TimePoint now);

  // 0 while room is not short, 1 when there is no spare room.
  double Pressure(const std::string& service, TimePoint now) const;

  // Whether an arriving job is refused. `core_time` is the processor time that its tasks need, in
  // any unit.
  bool ShouldRefuse(const std::string& service, const std::string& queue, double core_time,
                    TimePoint now);

 private:
  // Sums of recent arrivals; each arrival fades with time.
  struct Arrivals {
    double count = 0;
    double admitted = 0;
    double core_time = 0;
    TimePoint updated_at;
    void Fade(TimePoint now, std::chrono::milliseconds time_constant);
    bool MayRefuse(double floor) const { return admitted >= (count + 1) * floor; }
    void Add(bool is_admitted, double core_time_of_job);
  };

  const Options options_;
  std::map<std::string, DecayingMean> spare_shares_;
  Arrivals all_;
  std::map<std::string, Arrivals> queues_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_DISPLACEMENT_ADMISSION_H_
