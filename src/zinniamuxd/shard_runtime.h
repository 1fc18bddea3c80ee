// One shard in a running entry: the dispatcher of an epoch, its lock, and who waits for answers.
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

// Nothing instead of an answer: this process does not own the shard any more, and the request has
// to go to the new owner.
using ShardAnswerCallback = std::function<void(std::optional<core::JobAnswer>)>;

// Feeds events to a ShardDispatcher under the shard's lock and carries out its actions.
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

  // Passes an event to the dispatcher and carries out what follows from it. Returns false, and does
  // nothing, after Close.
  bool Apply(const std::function<void(core::ShardDispatcher&)>& event);
  void OnTimer();
  // Ends everything: waiting requests get no answer, and no action is carried out any more. Returns
  // the jobs without an answer.
  std::vector<core::Submission> Close();

  // Calls `reader` with the dispatcher under the lock.
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
