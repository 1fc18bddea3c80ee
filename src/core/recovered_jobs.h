// Start records that agents reported for submissions that this owner has not received itself.
#ifndef ZINNIAMUX_CORE_RECOVERED_JOBS_H_
#define ZINNIAMUX_CORE_RECOVERED_JOBS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "core/agent_instance.h"
#include "core/clock.h"
#include "core/job_answer.h"
#include "core/task_record.h"

namespace zinniamux::core {

// One submission as recorded in the agents' ledgers.
struct RecoveredJob {
  struct Record {
    AgentInstance agent;
    TaskOutcome outcome;
  };

  // Unset while only revoked records are known; those carry no facts.
  std::optional<JobFacts> facts;
  // By task index. A revoked record is replaced by any other.
  std::map<std::uint32_t, Record> records;
  bool cancelled = false;
  TimePoint expires_at;
};

// Index by submission id that a new owner builds from agents' ledgers, so that a resubmission gets
// the recorded results and its started tasks are not started again.
class RecoveredJobs {
 public:
  // A job is removed `retention` after its last record arrived.
  explicit RecoveredJobs(std::chrono::milliseconds retention) : retention_(retention) {}

  void Merge(const AgentInstance& agent, TaskOutcome outcome, TimePoint now);
  // The records of the instance are lost: its running tasks become unknown.
  void MarkInstanceLost(const AgentInstance& agent);
  const RecoveredJob* Find(const std::string& submission_id) const;
  // Returns false if the job is not known.
  bool MarkCancelled(const std::string& submission_id);
  // Removes the job and returns it. Precondition: Find returned it.
  RecoveredJob Take(const std::string& submission_id);
  void Expire(TimePoint now);
  std::size_t size() const { return jobs_.size(); }

 private:
  const std::chrono::milliseconds retention_;
  std::unordered_map<std::string, RecoveredJob> jobs_;
  // One entry per job, at or before its `expires_at`.
  std::set<std::pair<TimePoint, std::string>> expiry_;
};

// The answer that follows from the records alone.
JobAnswer AnswerFromRecords(const std::string& submission_id, const RecoveredJob& job);

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_RECOVERED_JOBS_H_
