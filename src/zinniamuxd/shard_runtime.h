// The dispatcher of an owned shard, its lock, and the requests that wait for answers.
#ifndef ZINNIAMUX_ZINNIAMUXD_SHARD_RUNTIME_H_
#define ZINNIAMUX_ZINNIAMUXD_SHARD_RUNTIME_H_

#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "core/shard_dispatcher.h"

namespace zinniamux::daemon {

// Gets std::nullopt instead of an answer if this process no longer owns the shard; the request must
// then go to the new owner.
using ShardAnswerCallback = std::function<void(std::optional<core::JobAnswer>)>;

// Passes events to a ShardDispatcher under the shard's lock and carries out its actions.
// Thread-safe.
class ShardRuntime {
 public:
  struct Hooks {
    // Carries out an action other than DeliverAnswer. Called under the shard's lock, so that
    // messages to one agent keep their order; must not block.
    std::function<void(core::DispatcherAction)> on_action;
  };

  ShardRuntime(const core::ShardDispatcher::Options& options, Hooks hooks,
               const core::Clock& clock);

  // `callback` gets the final answer, or the current one after `wait`.
  void Submit(core::Submission submission, core::Duration wait, ShardAnswerCallback callback);
  void Fetch(const std::string& submission_id, core::Duration wait, ShardAnswerCallback callback);
  void Cancel(const std::string& submission_id, const ShardAnswerCallback& callback);

  // Passes an event to the dispatcher and carries out the resulting actions. Does nothing and
  // returns false after Close.
  bool Apply(const std::function<void(core::ShardDispatcher&)>& event);
  void OnTimer();
  // Waiting requests get std::nullopt, and no further action is carried out. Returns the jobs that
  // have no final answer.
  std::vector<core::Submission> Close();

  // Calls `reader` with the dispatcher under the lock and returns its result.
  template <typename Reader>
  auto Read(Reader&& reader) const {
    const std::lock_guard lock(mutex_);
    return reader(dispatcher_);
  }

 private:
  struct Waiter {
    core::TimePoint until;
    ShardAnswerCallback callback;
  };
  struct Delivery {
    ShardAnswerCallback callback;
    std::optional<core::JobAnswer> answer;
  };

  void AddWaiter(const core::JobAnswer& answer, core::Duration wait, ShardAnswerCallback callback,
                 std::vector<Delivery>& deliveries);
  void CarryOut(std::vector<Delivery>& deliveries);
  void ExpireWaiters(std::vector<Delivery>& deliveries);
  static void Deliver(std::vector<Delivery>& deliveries);

  const Hooks hooks_;
  const core::Clock& clock_;
  mutable std::mutex mutex_;
  // Guarded by mutex_.
  core::ShardDispatcher dispatcher_;
  std::unordered_map<std::string, std::vector<Waiter>> waiters_;
  bool closed_ = false;
};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_SHARD_RUNTIME_H_
