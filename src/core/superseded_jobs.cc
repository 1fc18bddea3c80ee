// Retention of superseded jobs and of jobs between two runs.
#include "core/superseded_jobs.h"

namespace zinniamux::core {

void SupersededJobs::OnRunEnded(std::string_view owner, const std::string& job_id, TimePoint now) {
  between_runs_.insert_or_assign(job_id, Copy{.owner = std::string(owner), .since = now});
}

std::vector<std::string> SupersededJobs::JobsOfOthers(std::string_view owner, TimePoint now) const {
  std::vector<std::string> jobs;
  for (const auto& [job_id, copy] : between_runs_) {
    if (copy.owner != owner && now < copy.since + budget_.notice_after_end()) {
      jobs.push_back(job_id);
    }
  }
  return jobs;
}

void SupersededJobs::OnTimer(TimePoint now) {
  std::erase_if(between_runs_, [&](const auto& entry) {
    return entry.second.since + budget_.notice_after_end() <= now;
  });
}

}  // namespace zinniamux::core
