// Search for overlapping runs.
#include "support/run_records.h"

#include <algorithm>
#include <map>

namespace zinniamux::testing {

void RunRecords::Start(const std::string& executor, const core::RunId& id, core::TimePoint now) {
  const std::lock_guard lock(mutex_);
  records_.push_back(
      {.executor = executor, .id = id, .start = now, .end = std::nullopt, .outcome = ""});
}

void RunRecords::End(const std::string& executor, const core::RunId& id, core::TimePoint now,
                     std::string_view outcome) {
  const std::lock_guard lock(mutex_);
  const auto record = std::find_if(records_.rbegin(), records_.rend(), [&](const Record& item) {
    return !item.end && item.executor == executor && item.id == id;
  });
  if (record == records_.rend()) return;
  record->end = now;
  record->outcome = outcome;
}

std::vector<RunRecords::Record> RunRecords::records() const {
  const std::lock_guard lock(mutex_);
  return records_;
}

std::size_t RunRecords::running() const {
  const std::lock_guard lock(mutex_);
  return static_cast<std::size_t>(std::count_if(records_.begin(), records_.end(),
                                                [](const Record& record) { return !record.end; }));
}

std::vector<RunRecords::Overlap> RunRecords::Overlaps() const {
  std::map<core::TaskId, std::vector<Record>> tasks;
  for (Record& record : records()) tasks[record.id.task].push_back(std::move(record));
  std::vector<Overlap> overlaps;
  for (const auto& [task, runs] : tasks) {
    for (std::size_t later = 0; later < runs.size(); ++later) {
      for (std::size_t earlier = 0; earlier < later; ++earlier) {
        // Records are in the order of their starts.
        const Record& first = runs[earlier];
        if (!first.end || runs[later].start < *first.end) {
          overlaps.push_back({.first = first, .second = runs[later]});
        }
      }
    }
  }
  return overlaps;
}

}  // namespace zinniamux::testing
