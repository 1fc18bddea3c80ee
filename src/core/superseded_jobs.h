// What a supervisor remembers of jobs that have no run on its executor, to keep copies of a job
// apart.
#ifndef ZINNIAMUX_CORE_SUPERSEDED_JOBS_H_
#define ZINNIAMUX_CORE_SUPERSEDED_JOBS_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/run_end_budget.h"

namespace zinniamux::core {

// Load pattern: callers lose their connections to a dispatcher that does not notice it, and send
// their jobs to another one. At that moment the first dispatcher may have an order under way, or
// may be about to order the next run of a job. Both must be known although no run of the job is on
// the executor. Not thread-safe.
class SupersededJobs {
 public:
  explicit SupersededJobs(const RunEndBudget& budget) : budget_(budget) {}

  // `owner` has received the job from its caller, who expects nothing of other owners any more.
  void OnSuperseded(std::string_view owner, const std::string& job_id, TimePoint now);
  // Whether the order belongs to a copy of the job that was received before another owner's.
  bool IsSuperseded(std::string_view owner, const std::string& job_id,
                    TimePoint job_received) const;

  // A run has ended, and its owner may soon order another run of the job.
  void OnRunEnded(std::string_view owner, const std::string& job_id, TimePoint now);
  // Jobs of other owners that may soon have another run.
  std::vector<std::string> JobsOfOthers(std::string_view owner, TimePoint now) const;

  void OnTimer(TimePoint now);

 private:
  struct Copy {
    std::string owner;
    // When another owner's copy replaced all earlier ones, or when the last run ended.
    TimePoint since;
  };

  const RunEndBudget budget_;
  std::map<std::string, Copy> newest_copies_;
  std::map<std::string, Copy> between_runs_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_SUPERSEDED_JOBS_H_
