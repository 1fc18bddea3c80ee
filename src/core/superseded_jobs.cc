// Retention of superseded jobs and of jobs between two runs.
#include "core/superseded_jobs.h"

namespace zinniamux::core {

void SupersededJobs::OnSuperseded(std::string_view owner, const std::string& job_id,
                                  TimePoint now) {
  newest_copies_.insert_or_assign(job_id, Copy{.owner = std::string(owner), .since = now});
}

bool SupersededJobs::IsSuperseded(std::string_view owner, const std::string& job_id,
                                  TimePoint job_received) const {
  const auto found = newest_copies_.find(job_id);
  if (found == newest_copies_.end() || found->second.owner == owner) return false;
  // The caller may have turned to this owner once more.
  return job_received < found->second.since;
}

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
  // The owner of an earlier copy has heard of the end of its runs by then, and gives the job up.
  std::erase_if(newest_copies_, [&](const auto& entry) {
    return entry.second.since + budget_.lost_after() <= now;
  });
  std::erase_if(between_runs_, [&](const auto& entry) {
    return entry.second.since + budget_.notice_after_end() <= now;
  });
}

}  // namespace zinniamux::core
