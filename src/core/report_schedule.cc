// Due times of reports.
#include "core/report_schedule.h"

#include <algorithm>

namespace zinniamux::core {

void ReportSchedule::AddChange(const std::string& dispatcher_id,
                               std::chrono::milliseconds gather_time, TimePoint now) {
  Dispatcher& dispatcher = dispatchers_[dispatcher_id];
  if (dispatcher.due) return;
  dispatcher.due = now + gather_time;
  if (!dispatcher.last_report_at) return;
  dispatcher.due = std::max(*dispatcher.due, *dispatcher.last_report_at + dispatcher.pause);
}

void ReportSchedule::AddUrgentChange(const std::string& dispatcher_id,
                                     std::chrono::milliseconds gather_time, TimePoint now) {
  std::optional<TimePoint>& due = dispatchers_[dispatcher_id].due;
  due = due ? std::min(*due, now + gather_time) : now + gather_time;
}

void ReportSchedule::OnReportSent(const std::string& dispatcher_id, TimePoint now) {
  Dispatcher& dispatcher = dispatchers_[dispatcher_id];
  dispatcher.last_report_at = now;
  dispatcher.due.reset();
}

std::optional<TimePoint> ReportSchedule::next_due() const {
  std::optional<TimePoint> next;
  for (const auto& [id, dispatcher] : dispatchers_) {
    if (dispatcher.due && (!next || *dispatcher.due < *next)) next = dispatcher.due;
  }
  return next;
}

std::vector<std::string> ReportSchedule::DueAt(TimePoint now) const {
  std::vector<std::string> due;
  for (const auto& [id, dispatcher] : dispatchers_) {
    if (dispatcher.due && *dispatcher.due <= now) due.push_back(id);
  }
  return due;
}

}  // namespace zinniamux::core
