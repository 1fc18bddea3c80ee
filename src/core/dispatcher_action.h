// Actions that a ShardDispatcher requests from its caller. They are plain values, so that the
// daemon, tests and simulations can execute them alike.
#ifndef ZINNIAMUX_CORE_DISPATCHER_ACTION_H_
#define ZINNIAMUX_CORE_DISPATCHER_ACTION_H_

#include <set>
#include <string>
#include <variant>
#include <vector>

#include "core/dispatch_order.h"
#include "core/job_answer.h"
#include "core/task_record.h"

namespace zinniamux::core {

struct SendDispatch {
  std::string agent_id;
  DispatchOrder order;
};

struct SendRevoke {
  std::string agent_id;
  std::vector<TaskKey> tasks;
};

struct SendFence {
  std::string agent_id;
};

struct SendReconcile {
  std::string agent_id;
  std::vector<TaskKey> tasks;
};

// The owner has the outcomes; the agent may delete the results after the retention time.
struct SendResultAck {
  std::string agent_id;
  std::vector<TaskKey> tasks;
};

// The job has ended; every waiting caller gets the answer.
struct DeliverAnswer {
  JobAnswer answer;
};

// Persist a claim of the request key before the job's first dispatch; answered by OnClaimDecided.
struct PersistClaim {
  std::string submission_id;
  std::string request_key;
};

// Write these agent instances to the row `agents/<shard>`; answered by OnAgentsPersisted.
struct PersistAgents {
  std::set<std::string> instances;
};

// One line of the decision log.
struct DecisionRecord {
  enum class Decision { kPlaced, kRefused, kRequeued, kEjected, kReinstated, kJobEnded };

  struct Candidate {
    std::string executor_id;
    std::uint32_t free_slots = 0;
    double score = 0;
  };

  Decision decision = Decision::kPlaced;
  TaskKey task;
  std::string team;
  // Empty if no executor was chosen.
  std::string executor_id;
  std::vector<Candidate> candidates;
  std::string reason;
};

struct LogDecision {
  DecisionRecord record;
};

using DispatcherAction =
    std::variant<SendDispatch, SendRevoke, SendFence, SendReconcile, SendResultAck, DeliverAnswer,
                 PersistClaim, PersistAgents, LogDecision>;

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_DISPATCHER_ACTION_H_
