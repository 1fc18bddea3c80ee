// Locking, actions and waiting callers of one shard.
#include "zinniamuxd/shard_runtime.h"

#include <utility>
#include <variant>

namespace zinniamux::daemon {

ShardRuntime::ShardRuntime(const core::ShardDispatcher::Options& options, Hooks hooks,
                           const core::Clock& clock)
    : hooks_(std::move(hooks)), clock_(clock), dispatcher_(options, clock) {}

void ShardRuntime::Submit(core::Submission submission, core::Duration wait,
                          AnswerCallback callback) {
  std::vector<Delivery> deliveries;
  {
    const std::lock_guard lock(mutex_);
    const core::JobAnswer answer = dispatcher_.Submit(std::move(submission));
    AddWaiter(answer, wait, std::move(callback), deliveries);
    CarryOut(deliveries);
  }
  for (Delivery& delivery : deliveries) delivery.callback(std::move(delivery.answer));
}

void ShardRuntime::Fetch(const std::string& submission_id, core::Duration wait,
                         AnswerCallback callback) {
  std::vector<Delivery> deliveries;
  {
    const std::lock_guard lock(mutex_);
    core::Result<core::JobAnswer> answer = dispatcher_.Fetch(submission_id);
    if (!answer) answer = core::FailedAnswer(submission_id, std::move(answer).error());
    AddWaiter(*answer, wait, std::move(callback), deliveries);
  }
  for (Delivery& delivery : deliveries) delivery.callback(std::move(delivery.answer));
}

core::JobAnswer ShardRuntime::Cancel(const std::string& submission_id) {
  core::Result<core::JobAnswer> answer;
  Apply([&](core::ShardDispatcher& dispatcher) { answer = dispatcher.Cancel(submission_id); });
  if (!answer) return core::FailedAnswer(submission_id, std::move(answer).error());
  return *std::move(answer);
}

void ShardRuntime::Apply(const std::function<void(core::ShardDispatcher&)>& event) {
  std::vector<Delivery> deliveries;
  {
    const std::lock_guard lock(mutex_);
    event(dispatcher_);
    CarryOut(deliveries);
  }
  for (Delivery& delivery : deliveries) delivery.callback(std::move(delivery.answer));
}

void ShardRuntime::OnTimer() {
  std::vector<Delivery> deliveries;
  {
    const std::lock_guard lock(mutex_);
    dispatcher_.OnTimer();
    CarryOut(deliveries);
    ExpireWaiters(deliveries);
  }
  for (Delivery& delivery : deliveries) delivery.callback(std::move(delivery.answer));
}

std::size_t ShardRuntime::waiting() const {
  const std::lock_guard lock(mutex_);
  return waiters_.size();
}

void ShardRuntime::AddWaiter(const core::JobAnswer& answer, core::Duration wait,
                             AnswerCallback callback, std::vector<Delivery>& deliveries) {
  if (answer.finished() || wait <= core::Duration::zero()) {
    deliveries.push_back({std::move(callback), answer});
    return;
  }
  waiters_[answer.submission_id].push_back({clock_.now() + wait, std::move(callback)});
}

void ShardRuntime::CarryOut(std::vector<Delivery>& deliveries) {
  for (core::DispatcherAction& action : dispatcher_.TakeActions()) {
    const auto* deliver = std::get_if<core::DeliverAnswer>(&action);
    if (deliver == nullptr) {
      hooks_.on_action(std::move(action));
      continue;
    }
    const auto found = waiters_.find(deliver->answer.submission_id);
    if (found == waiters_.end()) continue;
    for (Waiter& waiter : found->second) {
      deliveries.push_back({std::move(waiter.callback), deliver->answer});
    }
    waiters_.erase(found);
  }
}

void ShardRuntime::ExpireWaiters(std::vector<Delivery>& deliveries) {
  const core::TimePoint now = clock_.now();
  for (auto entry = waiters_.begin(); entry != waiters_.end();) {
    std::vector<Waiter>& waiters = entry->second;
    std::erase_if(waiters, [&](Waiter& waiter) {
      if (waiter.until > now) return false;
      core::Result<core::JobAnswer> answer = dispatcher_.Fetch(entry->first);
      if (!answer) answer = core::FailedAnswer(entry->first, std::move(answer).error());
      deliveries.push_back({std::move(waiter.callback), *std::move(answer)});
      return true;
    });
    entry = waiters.empty() ? waiters_.erase(entry) : std::next(entry);
  }
}

}  // namespace zinniamux::daemon
