// Carries out the actions of a core object one at a time, in order, without holding its lock.
#ifndef ZINNIAMUX_ZINNIAMUXD_ACTION_RUNNER_H_
#define ZINNIAMUX_ZINNIAMUXD_ACTION_RUNNER_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <utility>

namespace zinniamux::daemon {

// Owns a `core`, whose TakeActions returns a sequence of Action. Thread-safe. The handler may run
// on any thread that calls Apply, and may call this class again.
template <typename Core, typename Action>
class ActionRunner {
 public:
  using Handler = std::function<void(Action)>;

  ActionRunner(Core core, Handler handler) : handler_(std::move(handler)), core_(std::move(core)) {}

  // Passes an event to the core. Its actions are run by the thread that is running actions now, or
  // by the next Apply.
  template <typename Event>
  void Post(Event&& event) {
    const std::lock_guard lock(mutex_);
    if (closed_) return;
    event(core_);
    for (Action& action : core_.TakeActions()) actions_.push_back(std::move(action));
  }

  // Posts the event and runs actions, unless another thread is running them.
  template <typename Event>
  void Apply(Event&& event) {
    Post(std::forward<Event>(event));
    RunActions();
  }

  // Calls `reader` with the core under the lock and returns its result.
  template <typename Reader>
  auto Read(Reader&& reader) const {
    const std::lock_guard lock(mutex_);
    return reader(core_);
  }

  // No action runs after this call. Waits for the one that is running, unless this thread runs it.
  void Close() {
    std::unique_lock lock(mutex_);
    closed_ = true;
    actions_.clear();
    const auto is_run_ended = [this] {
      return running_thread_ == std::thread::id() || running_thread_ == std::this_thread::get_id();
    };
    run_ended_.wait(lock, is_run_ended);
  }

 private:
  void RunActions() {
    std::unique_lock lock(mutex_);
    if (running_thread_ != std::thread::id()) return;
    running_thread_ = std::this_thread::get_id();
    while (!actions_.empty()) {
      Action action = std::move(actions_.front());
      actions_.pop_front();
      lock.unlock();
      handler_(std::move(action));
      lock.lock();
    }
    running_thread_ = std::thread::id();
    run_ended_.notify_all();
  }

  const Handler handler_;
  mutable std::mutex mutex_;
  std::condition_variable run_ended_;
  // Guarded by mutex_, as are all members below.
  Core core_;
  std::deque<Action> actions_;
  // The thread that runs actions, if any.
  std::thread::id running_thread_;
  bool closed_ = false;
};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_ACTION_RUNNER_H_
