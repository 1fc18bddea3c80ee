// The agent's start records, which alone decide whether a task may start at its executor.
#ifndef ZINNIAMUX_CORE_START_LEDGER_H_
#define ZINNIAMUX_CORE_START_LEDGER_H_

#include <cstddef>
#include <map>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "core/task_record.h"

namespace zinniamux::core {

// Keeps one record per task. A task is started at most once, and never after it was revoked. No
// record is dropped before its retention has ended; when the limits are reached, starts are refused
// instead.
class StartLedger {
 public:
  // Revocations and the results of running tasks are recorded beyond the limits, because dropping
  // them would contradict an answer already given.
  struct Limits {
    std::size_t max_records = 20'000;
    std::size_t max_bytes = 8U << 20U;
  };

  StartLedger(const Limits& limits, const Clock& clock);

  // True if `count` more tasks may be started within the limits.
  bool HasCapacityFor(std::size_t count) const;
  // Records a start. Returns false, and changes nothing, if the task has a record already.
  bool TryStart(const TaskKey& key, const JobFacts& job, std::chrono::milliseconds retention);
  // Ensures that the task never starts here. Returns the state after the call: kRevoked if it
  // had not been started, otherwise the state of its start.
  TaskOutcome Revoke(const TaskKey& key, std::chrono::milliseconds retention);
  // Ends a running task. Does nothing for a task that is not running.
  void Finish(TaskOutcome outcome);

  const TaskOutcome* Find(const TaskKey& key) const;
  std::vector<TaskOutcome> Records() const;
  std::size_t size() const { return records_.size(); }
  // Estimated memory use of the records.
  std::size_t bytes() const { return bytes_; }
  // Drops the records whose retention has ended and returns their keys. Records of running tasks
  // are never dropped.
  std::vector<TaskKey> Expire();

 private:
  struct Record {
    TaskOutcome outcome;
    std::chrono::milliseconds retention{0};
  };

  const Limits limits_;
  const Clock& clock_;
  std::unordered_map<TaskKey, Record, TaskKeyHash> records_;
  // Ended and revoked tasks by the end of their retention. Points to the keys in records_, whose
  // addresses are stable until the record is erased.
  std::multimap<TimePoint, const TaskKey*> expiry_;
  std::size_t bytes_ = 0;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_START_LEDGER_H_
