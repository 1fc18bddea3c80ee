// What executors recorded: every run with its start, its end and how it ended.
#ifndef ZINNIAMUX_TESTS_SUPPORT_RUN_RECORDS_H_
#define ZINNIAMUX_TESTS_SUPPORT_RUN_RECORDS_H_

#include <cstddef>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/run.h"

namespace zinniamux::testing {

// Thread-safe. Times of all executors are on one clock.
class RunRecords {
 public:
  struct Record {
    std::string executor;
    core::RunId id;
    core::TimePoint start;
    // Nothing while the run is going on.
    std::optional<core::TimePoint> end;
    std::string outcome;
  };
  // Two runs of one task at a time.
  struct Overlap {
    Record first;
    Record second;
  };

  void Start(const std::string& executor, const core::RunId& id, core::TimePoint now);
  void End(const std::string& executor, const core::RunId& id, core::TimePoint now,
           std::string_view outcome);

  std::vector<Record> records() const;
  std::size_t running() const;
  // Judges runs on all executors together. A run that starts in the moment in which another one
  // ends does not overlap it.
  std::vector<Overlap> Overlaps() const;

 private:
  mutable std::mutex mutex_;
  // Guarded by mutex_.
  std::vector<Record> records_;
};

}  // namespace zinniamux::testing

#endif  // ZINNIAMUX_TESTS_SUPPORT_RUN_RECORDS_H_
