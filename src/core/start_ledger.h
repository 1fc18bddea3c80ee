// The agent's record of every task that it started: the single authority over starts at its
// executor.
#ifndef ZINNIAMUX_CORE_START_LEDGER_H_
#define ZINNIAMUX_CORE_START_LEDGER_H_

#include <optional>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "core/task_record.h"

namespace zinniamux::core {

// Keeps one record per task. A task is started at most once, and never after it was revoked.
class StartLedger {
 public:
  explicit StartLedger(const Clock& clock);

  // Records a start. Returns false, and changes nothing, if the task has a record already.
  bool TryStart(const TaskKey& key, const JobFacts& job, std::chrono::milliseconds retention);
  // Makes sure that the task never starts here. Returns the state after the call: kRevoked if it
  // had not been started, otherwise the state of its start.
  TaskOutcome Revoke(const TaskKey& key, std::chrono::milliseconds retention);
  // Ends a running task. Does nothing for a task that is not running.
  void Finish(const TaskOutcome& outcome);

  const TaskOutcome* Find(const TaskKey& key) const;
  std::vector<TaskOutcome> Records() const;
  std::size_t size() const { return records_.size(); }
  // Forgets records whose retention has ended. Running tasks are never forgotten.
  void Expire();

 private:
  struct Record {
    TaskOutcome outcome;
    std::chrono::milliseconds retention;
    // Unset while the task runs.
    std::optional<TimePoint> forget_after;
  };

  const Clock& clock_;
  std::unordered_map<TaskKey, Record, TaskKeyHash> records_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_START_LEDGER_H_
