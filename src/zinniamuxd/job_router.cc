// Attempts, retries and resubmission of requests.
#include "zinniamuxd/job_router.h"

#include <algorithm>
#include <utility>

#include "rpc/convert.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace zinniamux::daemon {
namespace {

using std::chrono::milliseconds;

// Added to the owner's wait to get the deadline of the call, so that the answer arrives in time.
constexpr milliseconds kAnswerMargin{500};
// Delays before a request is attempted again, by the reason for the delay.
constexpr milliseconds kNoOwnerRetryDelay{100};
constexpr milliseconds kRecoveringRetryDelay{200};
constexpr milliseconds kNotOwnerRetryDelay{50};
constexpr milliseconds kLostRetryDelay{500};
// The shortest deadline of a call. Calls that do not wait for the job are answered at once.
constexpr milliseconds kMinCallDeadline{1000};

milliseconds ToMs(core::Duration duration) {
  return std::chrono::duration_cast<milliseconds>(std::max(duration, core::Duration::zero()));
}

}  // namespace

JobRouter::JobRouter(const Options& options, std::vector<std::shared_ptr<ShardHost>> shards,
                     const core::Clock& clock, Hooks hooks)
    : options_(options), shards_(std::move(shards)), clock_(clock), hooks_(std::move(hooks)) {}

std::uint32_t JobRouter::ShardOf(const core::Submission& submission) const {
  return ShardOf(submission.idempotent ? submission.id : submission.request_key);
}

std::uint32_t JobRouter::ShardOf(const std::string& submission_id) const {
  return static_cast<std::uint32_t>(XXH64(submission_id.data(), submission_id.size(), 0) %
                                    shards_.size());
}

void JobRouter::Submit(core::Submission submission, core::Duration wait, AnswerCallback callback) {
  Request request;
  request.submission_id = submission.id;
  request.shard = ShardOf(submission);
  request.wait_until = clock_.now() + wait;
  request.give_up_at = std::max(request.wait_until, submission.deadline);
  request.submission = std::make_shared<const core::Submission>(std::move(submission));
  request.callback = std::move(callback);
  Add(std::move(request));
}

void JobRouter::Resubmit(core::Submission submission) {
  Request request;
  request.submission_id = submission.id;
  request.shard = ShardOf(submission);
  request.wait_until = clock_.now();
  request.give_up_at = submission.deadline;
  request.maybe_received = true;
  request.submission = std::make_shared<const core::Submission>(std::move(submission));
  request.callback = [](const core::JobAnswer&) {};
  Add(std::move(request));
}

void JobRouter::Fetch(std::string submission_id, core::Duration wait, AnswerCallback callback) {
  Request request;
  request.kind = Kind::kFetch;
  request.shard = ShardOf(submission_id);
  request.submission_id = std::move(submission_id);
  request.wait_until = clock_.now() + wait;
  request.give_up_at = request.wait_until + options_.owner_wait;
  request.callback = std::move(callback);
  Add(std::move(request));
}

void JobRouter::Cancel(std::string submission_id, AnswerCallback callback) {
  Request request;
  request.kind = Kind::kCancel;
  request.shard = ShardOf(submission_id);
  request.submission_id = std::move(submission_id);
  request.wait_until = clock_.now();
  request.give_up_at = request.wait_until + options_.owner_wait;
  request.callback = std::move(callback);
  Add(std::move(request));
}

void JobRouter::Add(Request request) {
  std::uint64_t id = 0;
  {
    const std::lock_guard lock(mutex_);
    id = next_id_++;
    requests_.emplace(id, std::move(request));
  }
  Route(id);
}

void JobRouter::Route(std::uint64_t request_id) {
  std::uint32_t shard = 0;
  {
    const std::lock_guard lock(mutex_);
    const Request* request = FindRoutable(request_id);
    if (request == nullptr) return;
    shard = request->shard;
  }
  // Read without the lock, because the shard's own locks must be acquired before it.
  const ShardRoute route = shards_[shard]->route();
  std::optional<Attempt> attempt;
  {
    const std::lock_guard lock(mutex_);
    Request* request = FindRoutable(request_id);
    if (request == nullptr || request->shard != shard) return;
    attempt = BeginAttempt(request_id, *request, route);
  }
  if (!attempt) return;
  if (attempt->final_callback) {
    Finish(request_id, attempt->final_callback, std::move(attempt->final_answer));
  } else if (route.local != nullptr) {
    RunLocal(*attempt, *route.local);
  } else {
    RunRemote(*attempt, route.owner->owner.rpc_address);
  }
}

std::optional<JobRouter::Attempt> JobRouter::BeginAttempt(std::uint64_t request_id,
                                                          Request& request,
                                                          const ShardRoute& route) {
  const core::TimePoint now = clock_.now();
  const bool remote = route.owner && !route.owner_is_self && !route.owner_missing;
  if (route.local == nullptr && !remote) {
    if (!request.waiting_since) request.waiting_since = now;
    const bool store_down = route.owner_missing && !route.store_answers && !request.maybe_received;
    if (!store_down && now < OwnerWaitDeadline(request)) {
      ScheduleRetry(request_id, request, kNoOwnerRetryDelay);
      return std::nullopt;
    }
    core::JobAnswer answer = NoOwnerAnswer(request, route);
    return Attempt{.final_callback = TakeCallback(request), .final_answer = std::move(answer)};
  }
  const std::uint64_t epoch = route.local != nullptr ? route.local->epoch() : route.owner->epoch;
  if (epoch != request.epoch) request.waiting_since.reset();
  request.epoch = epoch;
  request.retry_at.reset();
  awaiting_retry_.erase(request_id);
  request.attempt_active = true;
  return Attempt{.request_id = request_id,
                 .number = ++request.attempt,
                 .kind = request.kind,
                 .submission_id = request.submission_id,
                 .submission = request.submission,
                 .resubmission = request.maybe_received,
                 .wait = std::max(request.wait_until - now, core::Duration::zero())};
}

core::TimePoint JobRouter::OwnerWaitDeadline(const Request& request) const {
  if (!request.waiting_since) return request.give_up_at;
  return std::min<core::TimePoint>(request.give_up_at,
                                   *request.waiting_since + options_.owner_wait);
}

core::JobAnswer JobRouter::NoOwnerAnswer(const Request& request, const ShardRoute& route) const {
  const bool store_down = route.owner_missing && !route.store_answers && !request.maybe_received;
  core::JobAnswer answer = core::FailedAnswer(
      request.submission_id,
      store_down ? core::Error{core::ErrorKind::kStoreUnavailable,
                               "the shard has no owner and the table service does not answer",
                               {}}
                 : core::Error{core::ErrorKind::kOwnerUnavailable,
                               "the shard's owner does not answer and no new owner is known",
                               {}});
  // Only the owner knows whether an earlier submission with this id was started.
  const bool first_submission = request.submission != nullptr && request.submission->attempt == 1;
  answer.not_run = answer.not_run && first_submission && !request.maybe_received;
  return answer;
}

void JobRouter::RunLocal(const Attempt& attempt, OwnedShard& shard) {
  ShardAnswerCallback callback = [this, id = attempt.request_id,
                                  number = attempt.number](std::optional<core::JobAnswer> answer) {
    if (answer) {
      OnAnswer(id, number, *std::move(answer));
    } else {
      OnLost(id, number, PeerReply::Outcome::kLost);
    }
  };
  switch (attempt.kind) {
    case Kind::kSubmit: {
      core::Submission submission = *attempt.submission;
      if (attempt.resubmission) submission.attempt = 0;
      shard.Submit(std::move(submission), attempt.wait, std::move(callback));
      break;
    }
    case Kind::kFetch:
      shard.Fetch(attempt.submission_id, attempt.wait, std::move(callback));
      break;
    case Kind::kCancel:
      shard.Cancel(attempt.submission_id, callback);
      break;
  }
}

void JobRouter::RunRemote(const Attempt& attempt, const std::string& address) {
  const std::shared_ptr<PeerClient> client = hooks_.client_for(address);
  auto on_reply = [this, client, id = attempt.request_id, number = attempt.number](
                      PeerReply reply) { OnPeerReply(id, number, client, std::move(reply)); };
  const core::Duration deadline = attempt.wait + kAnswerMargin;
  PeerClient::CancelCall cancel;
  if (attempt.kind == Kind::kSubmit) {
    hooks_.on_forward(attempt.submission_id, address, attempt.resubmission);
    v1::ForwardRequest request = rpc::ToProto(
        *attempt.submission, ToMs(attempt.submission->deadline - clock_.now()), ToMs(attempt.wait));
    request.set_resubmission(attempt.resubmission);
    if (attempt.resubmission) request.set_attempt(0);
    cancel =
        client->Forward(std::move(request), std::max<core::Duration>(deadline, kMinCallDeadline),
                        std::move(on_reply));
  } else {
    v1::JobReference request;
    request.set_submission_id(attempt.submission_id);
    request.set_wait_ms(static_cast<std::uint32_t>(ToMs(attempt.wait).count()));
    const core::Duration bounded = std::max<core::Duration>(deadline, kMinCallDeadline);
    cancel = attempt.kind == Kind::kFetch
                 ? client->Fetch(std::move(request), bounded, std::move(on_reply))
                 : client->Cancel(std::move(request), bounded, std::move(on_reply));
  }
  const std::lock_guard lock(mutex_);
  if (Request* request = FindActive(attempt.request_id, attempt.number)) request->cancel = cancel;
}

JobRouter::Request* JobRouter::FindRoutable(std::uint64_t request_id) {
  const auto found = requests_.find(request_id);
  if (found == requests_.end()) return nullptr;
  Request& request = found->second;
  return request.attempt_active || request.finished ? nullptr : &request;
}

JobRouter::Request* JobRouter::FindActive(std::uint64_t request_id, std::uint64_t attempt) {
  const auto found = requests_.find(request_id);
  if (found == requests_.end()) return nullptr;
  Request& request = found->second;
  return request.attempt_active && request.attempt == attempt ? &request : nullptr;
}

void JobRouter::OnPeerReply(std::uint64_t request_id, std::uint64_t attempt,
                            const std::shared_ptr<PeerClient>& client, PeerReply reply) {
  if (reply.outcome == PeerReply::Outcome::kAnswered) {
    OnAnswer(request_id, attempt, std::move(reply.answer));
    return;
  }
  const bool refused = reply.outcome == PeerReply::Outcome::kRefused;
  if (reply.outcome == PeerReply::Outcome::kLost) client->ReplaceChannel(reply.channel_id);
  hooks_.on_peer_failure(client->address(), refused);
  OnLost(request_id, attempt, reply.outcome);
}

void JobRouter::OnLost(std::uint64_t request_id, std::uint64_t attempt,
                       PeerReply::Outcome outcome) {
  {
    const std::lock_guard lock(mutex_);
    Request* request = FindActive(request_id, attempt);
    if (request == nullptr) return;
    request->attempt_active = false;
    request->cancel = nullptr;
    const bool lost = outcome == PeerReply::Outcome::kLost;
    request->maybe_received = request->maybe_received || lost;
    if (!request->waiting_since) request->waiting_since = clock_.now();
    const bool retry_now = lost && request->lost_epoch != request->epoch;
    if (lost) request->lost_epoch = request->epoch;
    if (!retry_now) {
      ScheduleRetry(request_id, *request, lost ? kLostRetryDelay : kNotOwnerRetryDelay);
      return;
    }
  }
  Route(request_id);
}

void JobRouter::OnAnswer(std::uint64_t request_id, std::uint64_t attempt, core::JobAnswer answer) {
  AnswerCallback callback;
  {
    const std::lock_guard lock(mutex_);
    Request* request = FindActive(request_id, attempt);
    if (request == nullptr) return;
    request->attempt_active = false;
    request->cancel = nullptr;
    if (const auto delay = RetryDelayFor(*request, answer)) {
      ScheduleRetry(request_id, *request, *delay);
      return;
    }
    callback = TakeCallback(*request);
  }
  Finish(request_id, callback, std::move(answer));
}

std::optional<core::Duration> JobRouter::RetryDelayFor(Request& request,
                                                       const core::JobAnswer& answer) {
  if (answer.state != core::JobState::kFailed) return std::nullopt;
  if (answer.error.kind == core::ErrorKind::kRecovering) {
    const core::TimePoint now = clock_.now();
    if (!request.waiting_since) request.waiting_since = now;
    core::TimePoint limit = request.wait_until;
    if (!request.maybe_received) {
      limit = std::min<core::TimePoint>(limit, *request.waiting_since + options_.recovery_wait);
    }
    if (now + kRecoveringRetryDelay >= limit) return std::nullopt;
    return kRecoveringRetryDelay;
  }
  const bool lookup = request.kind != Kind::kSubmit;
  if (!lookup || answer.error.kind != core::ErrorKind::kNotFound) return std::nullopt;
  // The shard of a non-idempotent submission follows from its request key, which a lookup does not
  // know, so the other shards are asked as well.
  if (++request.shards_tried >= shards_.size()) return std::nullopt;
  request.shard = static_cast<std::uint32_t>((request.shard + 1) % shards_.size());
  request.epoch = 0;
  return core::Duration::zero();
}

void JobRouter::ScheduleRetry(std::uint64_t request_id, Request& request, core::Duration delay) {
  request.retry_at = clock_.now() + delay;
  awaiting_retry_.insert(request_id);
}

AnswerCallback JobRouter::TakeCallback(Request& request) {
  request.finished = true;
  return std::exchange(request.callback, nullptr);
}

void JobRouter::Finish(std::uint64_t request_id, const AnswerCallback& callback,
                       core::JobAnswer answer) {
  callback(std::move(answer));
  // Removed after the callback, so that a stopping process waits for the callback.
  const std::lock_guard lock(mutex_);
  requests_.erase(request_id);
  awaiting_retry_.erase(request_id);
}

void JobRouter::OnRouteChanged(std::uint32_t shard) {
  const ShardRoute route = shards_[shard]->route();
  const std::uint64_t epoch = route.owner ? route.owner->epoch : 0;
  std::vector<std::uint64_t> to_route;
  std::vector<PeerClient::CancelCall> outdated_calls;
  {
    const std::lock_guard lock(mutex_);
    for (auto& [id, request] : requests_) {
      if (request.shard != shard || request.finished) continue;
      if (request.attempt_active) {
        if (request.epoch >= epoch) continue;
        request.attempt_active = false;
        request.maybe_received = true;
        if (request.cancel) outdated_calls.push_back(std::exchange(request.cancel, nullptr));
      }
      to_route.push_back(id);
    }
  }
  for (const auto& cancel : outdated_calls) cancel();
  for (const std::uint64_t id : to_route) Route(id);
}

void JobRouter::OnTimer() {
  std::vector<std::uint64_t> due;
  {
    const std::lock_guard lock(mutex_);
    const core::TimePoint now = clock_.now();
    for (const std::uint64_t id : awaiting_retry_) {
      const auto found = requests_.find(id);
      if (found == requests_.end()) continue;
      if (found->second.retry_at && *found->second.retry_at <= now) due.push_back(id);
    }
  }
  for (const std::uint64_t id : due) Route(id);
}

std::size_t JobRouter::in_flight() const {
  const std::lock_guard lock(mutex_);
  return requests_.size();
}

}  // namespace zinniamux::daemon
