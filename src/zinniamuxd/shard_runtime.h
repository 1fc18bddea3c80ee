// One shard in a running entry: the dispatcher, its lock, and who waits for answers.
#ifndef ZINNIAMUX_ZINNIAMUXD_SHARD_RUNTIME_H_
#define ZINNIAMUX_ZINNIAMUXD_SHARD_RUNTIME_H_

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "core/shard_dispatcher.h"

namespace zinniamux::daemon {

using AnswerCallback = std::function<void(core::JobAnswer)>;

// Feeds events to a ShardDispatcher under the shard's lock and carries out its actions.
class ShardRuntime {
 public:
  struct Hooks {
    // Sends a message to an agent. Called under the shard's lock, so that messages to one agent
    // keep their order; must not block.
    std::function<void(core::DispatcherAction)> on_action;
  };

  ShardRuntime(const core::ShardDispatcher::Options& options, Hooks hooks,
               const core::Clock& clock);

  // `callback` gets the final answer, or the current one after `wait`.
  void Submit(core::Submission submission, core::Duration wait, AnswerCallback callback);
  void Fetch(const std::string& submission_id, core::Duration wait, AnswerCallback callback);
  core::JobAnswer Cancel(const std::string& submission_id);

  // Passes an event to the dispatcher and carries out what follows from it.
  void Apply(const std::function<void(core::ShardDispatcher&)>& event);
  void OnTimer();
  std::size_t waiting() const;

 private:
  struct Waiter {
    core::TimePoint until;
    AnswerCallback callback;
  };
  struct Delivery {
    AnswerCallback callback;
    core::JobAnswer answer;
  };

  void AddWaiter(const core::JobAnswer& answer, core::Duration wait, AnswerCallback callback,
                 std::vector<Delivery>& deliveries);
  void CarryOut(std::vector<Delivery>& deliveries);
  void ExpireWaiters(std::vector<Delivery>& deliveries);

  const Hooks hooks_;
  const core::Clock& clock_;
  mutable std::mutex mutex_;
  // Guarded by mutex_.
  core::ShardDispatcher dispatcher_;
  std::unordered_map<std::string, std::vector<Waiter>> waiters_;
};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_SHARD_RUNTIME_H_
