// The root of the dispatching state of one shard: jobs, queue, slots and placement.
#ifndef ZINNIAMUX_CORE_SHARD_DISPATCHER_H_
#define ZINNIAMUX_CORE_SHARD_DISPATCHER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "core/dispatch_config.h"
#include "core/dispatcher_action.h"
#include "core/error_kind.h"
#include "core/executor_info.h"
#include "core/job.h"
#include "core/submission.h"
#include "core/task_record.h"

namespace zinniamux::core {

// Decides admission, order and placement for the shard that this entry owns under one epoch.
// Events go in through the On... functions and Submit; actions come out of TakeActions. Not
// thread-safe: the caller holds the shard's lock around every call.
class ShardDispatcher {
 public:
  struct Options {
    std::uint32_t shard = 0;
    std::uint64_t epoch = 0;
    std::uint64_t seed = 1;
  };

  ShardDispatcher(const Options& options, const Clock& clock);

  // Admits a submission, joins it to an existing job of the same id and content, or refuses it.
  // The answer is final if it is finished; otherwise DeliverAnswer follows.
  JobAnswer Submit(Submission submission);
  Result<JobAnswer> Fetch(std::string_view submission_id) const;
  // Ends the job: tasks not started are never started.
  Result<JobAnswer> Cancel(std::string_view submission_id);

  void OnConfig(DispatchConfig config);
  void OnAgentAttached(const AgentHello& hello);
  void OnAgentDetached(std::string_view agent_id);
  void OnExecutorStatus(std::string_view agent_id, const ExecutorStatus& status);
  // The agent's clock, taken from any message.
  void OnAgentTime(std::string_view agent_id, std::chrono::milliseconds agent_time);
  void OnOutcomes(std::string_view agent_id, std::vector<TaskOutcome> outcomes);
  void OnRefusal(std::string_view agent_id, std::span<const TaskKey> tasks, RefusalReason reason);
  // Deadlines, queue time limits and the end of retention. Called every few milliseconds.
  void OnTimer();

  // The actions since the last call, in order.
  std::vector<DispatcherAction> TakeActions();

  std::size_t queued_tasks() const { return queue_.size(); }
  std::size_t running_tasks() const { return running_tasks_; }
  std::uint64_t epoch() const { return options_.epoch; }

 private:
  struct Agent {
    AgentHello hello;
    bool attached = false;
    std::uint32_t used_slots = 0;
    // Offset from this process's clock to the agent's.
    std::chrono::milliseconds clock_offset{0};

    std::uint32_t free_slots() const;
  };

  std::optional<Error> AdmissionError(const Submission& submission) const;
  void PlaceQueued();
  Agent* ChooseAgent();
  void Dispatch(Job& job, std::uint32_t index, Agent& agent);
  void FinishIfEnded(Job& job);
  void ReleaseSlot(std::string_view agent_id);

  const Options options_;
  const Clock& clock_;
  DispatchConfig config_;
  std::map<std::string, Agent, std::less<>> agents_;
  std::unordered_map<std::string, std::unique_ptr<Job>> jobs_;
  // Tasks that wait for a slot; entries of ended jobs are dropped when they are reached.
  std::deque<TaskKey> queue_;
  std::vector<DispatcherAction> actions_;
  std::size_t running_tasks_ = 0;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_SHARD_DISPATCHER_H_
