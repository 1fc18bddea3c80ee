// Decides when a supervisor reports a change of its executor to which dispatcher.
#ifndef ZINNIAMUX_CORE_REPORT_SCHEDULE_H_
#define ZINNIAMUX_CORE_REPORT_SCHEDULE_H_

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"

namespace zinniamux::core {

// A report says how things are, not what has changed, so one report covers all changes before it:
// changes are gathered for a while, and for longer if the dispatcher cannot take reports as often.
// Not thread-safe.
class ReportSchedule {
 public:
  // The dispatcher asks for at least this time between two reports of changes.
  void SetPause(const std::string& dispatcher_id, std::chrono::milliseconds pause) {
    dispatchers_[dispatcher_id].pause = pause;
  }
  void Remove(const std::string& dispatcher_id) { dispatchers_.erase(dispatcher_id); }

  // A change is to be reported to the dispatcher after `gather_time`.
  void AddChange(const std::string& dispatcher_id, std::chrono::milliseconds gather_time,
                 TimePoint now);
  // As AddChange, for a change that does not wait for the pause that the dispatcher has asked for.
  void AddUrgentChange(const std::string& dispatcher_id, std::chrono::milliseconds gather_time,
                       TimePoint now);
  // A report was sent, also if it was not due.
  void OnReportSent(const std::string& dispatcher_id, TimePoint now);

  // When the next report is due, if any.
  std::optional<TimePoint> next_due() const;
  // The dispatchers to which a report is due.
  std::vector<std::string> DueAt(TimePoint now) const;

 private:
  struct Dispatcher {
    std::chrono::milliseconds pause{0};
    std::optional<TimePoint> last_report_at;
    // Unset if the last report covers all changes.
    std::optional<TimePoint> due;
  };

  std::map<std::string, Dispatcher> dispatchers_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_REPORT_SCHEDULE_H_
