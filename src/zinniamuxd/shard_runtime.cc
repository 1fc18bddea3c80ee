// Locking, actions and waiting requests of an owned shard.
#include "zinniamuxd/shard_runtime.h"

#include <utility>
#include <variant>

namespace zinniamux::daemon {

ShardRuntime::ShardRuntime(const core::ShardDispatcher::Options& options, Hooks hooks,
                           const core::Clock& clock)
    : hooks_(std::move(hooks)), clock_(clock), dispatcher_(options, clock) {}

void ShardRuntime::Submit(core::Submission submission, core::Duration wait,
                          ShardAnswerCallback callback) {
  std::vector<Delivery> deliveries;
  {
    const std::lock_guard lock(mutex_);
    if (closed_) {
      deliveries.push_back({std::move(callback), std::nullopt});
    } else {
      const core::JobAnswer answer = dispatcher_.Submit(std::move(submission));
      AddWaiter(answer, wait, std::move(callback), deliveries);
      CarryOut(deliveries);
    }
  }
  Deliver(deliveries);
}

void ShardRuntime::Fetch(const std::string& submission_id, core::Duration wait,
                         ShardAnswerCallback callback) {
  std::vector<Delivery> deliveries;
  {
    const std::lock_guard lock(mutex_);
    if (closed_) {
      deliveries.push_back({std::move(callback), std::nullopt});
    } else {
      core::Result<core::JobAnswer> answer = dispatcher_.Fetch(submission_id);
      if (!answer) answer = core::FailedAnswer(submission_id, std::move(answer).error());
      AddWaiter(*answer, wait, std::move(callback), deliveries);
    }
  }
  Deliver(deliveries);
}

void ShardRuntime::Cancel(const std::string& submission_id, const ShardAnswerCallback& callback) {
  core::Result<core::JobAnswer> answer;
  const bool applied =
      Apply([&](core::ShardDispatcher& dispatcher) { answer = dispatcher.Cancel(submission_id); });
  if (!applied) {
    callback(std::nullopt);
    return;
  }
  if (!answer) answer = core::FailedAnswer(submission_id, std::move(answer).error());
  callback(*std::move(answer));
}

bool ShardRuntime::Apply(const std::function<void(core::ShardDispatcher&)>& event) {
  std::vector<Delivery> deliveries;
  {
    const std::lock_guard lock(mutex_);
    if (closed_) return false;
    event(dispatcher_);
    CarryOut(deliveries);
  }
  Deliver(deliveries);
  return true;
}

void ShardRuntime::OnTimer() {
  std::vector<Delivery> deliveries;
  {
    const std::lock_guard lock(mutex_);
    if (closed_) return;
    dispatcher_.OnTimer();
    CarryOut(deliveries);
    ExpireWaiters(deliveries);
  }
  Deliver(deliveries);
}

std::vector<core::Submission> ShardRuntime::Close() {
  std::vector<Delivery> deliveries;
  std::vector<core::Submission> unfinished;
  {
    const std::lock_guard lock(mutex_);
    if (closed_) return {};
    closed_ = true;
    unfinished = dispatcher_.UnfinishedSubmissions();
    for (auto& [id, waiters] : waiters_) {
      for (Waiter& waiter : waiters) deliveries.push_back({std::move(waiter.callback), {}});
    }
    waiters_.clear();
  }
  Deliver(deliveries);
  return unfinished;
}

void ShardRuntime::Deliver(std::vector<Delivery>& deliveries) {
  for (Delivery& delivery : deliveries) delivery.callback(std::move(delivery.answer));
}

void ShardRuntime::AddWaiter(const core::JobAnswer& answer, core::Duration wait,
                             ShardAnswerCallback callback, std::vector<Delivery>& deliveries) {
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
