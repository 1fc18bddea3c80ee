// Decides how often supervisors may report changes to a dispatcher.
#ifndef ZINNIAMUX_CORE_REPORT_PACE_H_
#define ZINNIAMUX_CORE_REPORT_PACE_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "core/clock.h"

namespace zinniamux::core {

// Load pattern: a dispatcher has less processor time than its peers, or needs more of it for a
// while. Reports of every change then take up most of it, wait in socket buffers, and are handled
// in order, seconds late. Only the newest report of an executor counts, so fewer reports give newer
// views. The pause between two reports of a supervisor grows while most messages are handled late,
// and shrinks while they are not.
class ReportPace {
 public:
  struct Options {
    // A message that has waited longer than this is late. It is half the time between two reports
    // of a supervisor at full pace.
    std::chrono::milliseconds max_delay{8};
    // Part of the messages that may be late. Messages of single supervisors are late for reasons of
    // their own; those of most are late only if this process is.
    double max_late_share = 0.5;
    // How often the pause changes. Supervisors learn of it with the next frame to them.
    std::chrono::milliseconds period{100};
    // Bounds of the pause: supervisors make a pause of about the lower one anyway, and send a
    // report with each heartbeat.
    std::chrono::milliseconds min_pause{4};
    std::chrono::milliseconds max_pause{300};
    // Factors of the pause in a period whose messages are late, and in any other one.
    double growth = 1.5;
    double shrinkage = 0.9;
  };

  ReportPace() : ReportPace(Options()) {}
  explicit ReportPace(const Options& options)
      : options_(options), pause_ms_(static_cast<double>(options.min_pause.count())) {}

  // Records a message that waited for `delay` until it was handled.
  void OnMessage(Duration delay, TimePoint now) {
    ++messages_;
    if (delay > options_.max_delay) ++late_;
    if (now - period_started_at_ < options_.period) return;
    const bool is_late = late_ > options_.max_late_share * messages_;
    pause_ms_ = std::clamp(pause_ms_ * (is_late ? options_.growth : options_.shrinkage),
                           static_cast<double>(options_.min_pause.count()),
                           static_cast<double>(options_.max_pause.count()));
    period_started_at_ = now;
    messages_ = 0;
    late_ = 0;
  }

  // The shortest time that a supervisor should leave between two reports.
  std::chrono::milliseconds pause() const {
    return std::chrono::milliseconds(static_cast<std::int64_t>(pause_ms_));
  }

 private:
  Options options_;
  double pause_ms_;
  // Since period_started_at_.
  double messages_ = 0;
  double late_ = 0;
  TimePoint period_started_at_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_REPORT_PACE_H_
