// Actions that AgentCore asks its caller to perform.
#ifndef ZINNIAMUX_CORE_AGENT_ACTION_H_
#define ZINNIAMUX_CORE_AGENT_ACTION_H_

#include <string>
#include <variant>
#include <vector>

#include "core/dispatch_order.h"
#include "core/executor_info.h"
#include "core/task_record.h"

namespace zinniamux::core {

// Send the task to the executor; answered by AgentCore::OnTaskEnded.
struct StartTask {
  TaskKey key;
  DispatchTask task;
};

// `tasks` is empty if the refused message was not a dispatch; the refusal then reports the epoch
// only.
struct SendRefusal {
  std::string entry_id;
  std::vector<TaskKey> tasks;
  RefusalReason reason = RefusalReason::kStaleEpoch;
  // The highest epoch that the agent has seen.
  std::uint64_t epoch = 0;
};

struct SendResults {
  std::string entry_id;
  std::vector<TaskOutcome> outcomes;
};

struct SendReconcileReply {
  std::string entry_id;
  std::uint64_t epoch = 0;
  std::vector<TaskOutcome> outcomes;
};

// One part of the ledger's records. A reply with `accepted` false has none.
struct SendFenceReply {
  std::string entry_id;
  bool accepted = false;
  std::uint64_t epoch = 0;
  std::vector<TaskOutcome> records;
  bool last_part = true;
};

// Send the status to every attached entry.
struct BroadcastStatus {
  ExecutorStatus status;
};

using AgentAction = std::variant<StartTask, SendRefusal, SendResults, SendReconcileReply,
                                 SendFenceReply, BroadcastStatus>;

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_AGENT_ACTION_H_
