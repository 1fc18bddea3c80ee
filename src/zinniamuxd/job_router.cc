// Attempts, retries and hand-over of waiting requests.
#include "zinniamuxd/job_router.h"

#include <algorithm>
#include <utility>

#include "rpc/convert.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace zinniamux::daemon {
namespace {

using std::chrono::milliseconds;

// Added to the time that the owner waits, so that its answer arrives before the call's deadline.
constexpr milliseconds kAnswerMargin{500};
constexpr milliseconds kNoOwnerPoll{100};
constexpr milliseconds kRecoveringPoll{200};
constexpr milliseconds kNotOwnerPoll{50};
constexpr milliseconds kLostPoll{500};
// A call that only starts something is answered at once.
constexpr milliseconds kShortCall{1000};

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
    const Request* request = Open(request_id);
    if (request == nullptr) return;
    shard = request->shard;
  }
  // Taken without the lock, because the shard's own locks come first.
  const ShardRoute route = shards_[shard]->route();
  std::optional<Attempt> attempt;
  {
    const std::lock_guard lock(mutex_);
    Request* request = Open(request_id);
    if (request == nullptr || request->shard != shard) return;
    attempt = Begin(request_id, *request, route);
  }
  if (!attempt) return;
  if (attempt->refused) {
    Finish(request_id, attempt->refused, std::move(attempt->refusal));
  } else if (route.local != nullptr) {
    RunLocal(*attempt, *route.local);
  } else {
    RunRemote(*attempt, route.owner->owner.rpc_address);
  }
}

std::optional<JobRouter::Attempt> JobRouter::Begin(std::uint64_t request_id, Request& request,
                                                   const ShardRoute& route) {
  const core::TimePoint now = clock_.now();
  const bool remote = route.owner && !route.is_self && !route.owner_missing;
  if (route.local == nullptr && !remote) {
    if (!request.waits_since) request.waits_since = now;
    const bool store_down = route.owner_missing && !route.store_answers && !request.maybe_received;
    if (!store_down && now < WaitLimit(request)) {
      WaitFor(request_id, request, kNoOwnerPoll);
      return std::nullopt;
    }
    core::JobAnswer answer = NoOwnerAnswer(request, route);
    return Attempt{.refused = TakeCallback(request), .refusal = std::move(answer)};
  }
  const std::uint64_t epoch = route.local != nullptr ? route.local->epoch() : route.owner->epoch;
  if (epoch != request.epoch) request.waits_since.reset();
  request.epoch = epoch;
  request.retry_at.reset();
  waiting_.erase(request_id);
  request.under_way = true;
  return Attempt{.request_id = request_id,
                 .number = ++request.attempt,
                 .kind = request.kind,
                 .submission_id = request.submission_id,
                 .submission = request.submission,
                 .resubmission = request.maybe_received,
                 .wait = std::max(request.wait_until - now, core::Duration::zero())};
}

core::TimePoint JobRouter::WaitLimit(const Request& request) const {
  if (!request.waits_since) return request.give_up_at;
  return std::min<core::TimePoint>(request.give_up_at, *request.waits_since + options_.owner_wait);
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
  // Only the owner knows whether an earlier sending of this id was started.
  const bool first_sending = request.submission != nullptr && request.submission->attempt == 1;
  answer.not_run = answer.not_run && first_sending && !request.maybe_received;
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
  const std::shared_ptr<PeerClient> client = hooks_.client_of(address);
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
    cancel = client->Forward(std::move(request), std::max<core::Duration>(deadline, kShortCall),
                             std::move(on_reply));
  } else {
    v1::JobReference request;
    request.set_submission_id(attempt.submission_id);
    request.set_wait_ms(static_cast<std::uint32_t>(ToMs(attempt.wait).count()));
    const core::Duration bounded = std::max<core::Duration>(deadline, kShortCall);
    cancel = attempt.kind == Kind::kFetch
                 ? client->Fetch(std::move(request), bounded, std::move(on_reply))
                 : client->Cancel(std::move(request), bounded, std::move(on_reply));
  }
  const std::lock_guard lock(mutex_);
  if (Request* request = Current(attempt.request_id, attempt.number)) request->cancel = cancel;
}

JobRouter::Request* JobRouter::Open(std::uint64_t request_id) {
  const auto found = requests_.find(request_id);
  if (found == requests_.end()) return nullptr;
  Request& request = found->second;
  return request.under_way || request.finished ? nullptr : &request;
}

JobRouter::Request* JobRouter::Current(std::uint64_t request_id, std::uint64_t attempt) {
  const auto found = requests_.find(request_id);
  if (found == requests_.end()) return nullptr;
  Request& request = found->second;
  return request.under_way && request.attempt == attempt ? &request : nullptr;
}

void JobRouter::OnPeerReply(std::uint64_t request_id, std::uint64_t attempt,
                            const std::shared_ptr<PeerClient>& client, PeerReply reply) {
  if (reply.outcome == PeerReply::Outcome::kAnswered) {
    OnAnswer(request_id, attempt, std::move(reply.answer));
    return;
  }
  const bool refused = reply.outcome == PeerReply::Outcome::kRefused;
  if (reply.outcome == PeerReply::Outcome::kLost) client->ReplaceChannel(reply.channel);
  hooks_.on_peer_failure(client->address(), refused);
  OnLost(request_id, attempt, reply.outcome);
}

void JobRouter::OnLost(std::uint64_t request_id, std::uint64_t attempt,
                       PeerReply::Outcome outcome) {
  {
    const std::lock_guard lock(mutex_);
    Request* request = Current(request_id, attempt);
    if (request == nullptr) return;
    request->under_way = false;
    request->cancel = nullptr;
    const bool lost = outcome == PeerReply::Outcome::kLost;
    request->maybe_received = request->maybe_received || lost;
    if (!request->waits_since) request->waits_since = clock_.now();
    const bool repeat_now = lost && request->lost_epoch != request->epoch;
    if (lost) request->lost_epoch = request->epoch;
    if (!repeat_now) {
      WaitFor(request_id, *request, lost ? kLostPoll : kNotOwnerPoll);
      return;
    }
  }
  Route(request_id);
}

void JobRouter::OnAnswer(std::uint64_t request_id, std::uint64_t attempt, core::JobAnswer answer) {
  AnswerCallback callback;
  {
    const std::lock_guard lock(mutex_);
    Request* request = Current(request_id, attempt);
    if (request == nullptr) return;
    request->under_way = false;
    request->cancel = nullptr;
    if (const auto delay = Holdback(*request, answer)) {
      WaitFor(request_id, *request, *delay);
      return;
    }
    callback = TakeCallback(*request);
  }
  Finish(request_id, callback, std::move(answer));
}

std::optional<core::Duration> JobRouter::Holdback(Request& request, const core::JobAnswer& answer) {
  if (answer.state != core::JobState::kFailed) return std::nullopt;
  if (answer.error.kind == core::ErrorKind::kRecovering) {
    const core::TimePoint now = clock_.now();
    if (!request.waits_since) request.waits_since = now;
    core::TimePoint limit = request.wait_until;
    if (!request.maybe_received) {
      limit = std::min<core::TimePoint>(limit, *request.waits_since + options_.recovery_wait);
    }
    if (now + kRecoveringPoll >= limit) return std::nullopt;
    return kRecoveringPoll;
  }
  const bool lookup = request.kind != Kind::kSubmit;
  if (!lookup || answer.error.kind != core::ErrorKind::kNotFound) return std::nullopt;
  // A non-idempotent submission is with the owner of its request key's shard.
  if (++request.shards_tried >= shards_.size()) return std::nullopt;
  request.shard = static_cast<std::uint32_t>((request.shard + 1) % shards_.size());
  request.epoch = 0;
  return core::Duration::zero();
}

void JobRouter::WaitFor(std::uint64_t request_id, Request& request, core::Duration delay) {
  request.retry_at = clock_.now() + delay;
  waiting_.insert(request_id);
}

AnswerCallback JobRouter::TakeCallback(Request& request) {
  request.finished = true;
  return std::exchange(request.callback, nullptr);
}

void JobRouter::Finish(std::uint64_t request_id, const AnswerCallback& callback,
                       core::JobAnswer answer) {
  callback(std::move(answer));
  // Removed after the callback, so that a stopping process waits for it.
  const std::lock_guard lock(mutex_);
  requests_.erase(request_id);
  waiting_.erase(request_id);
}

void JobRouter::OnRouteChanged(std::uint32_t shard) {
  const ShardRoute route = shards_[shard]->route();
  const std::uint64_t epoch = route.owner ? route.owner->epoch : 0;
  std::vector<std::uint64_t> again;
  std::vector<PeerClient::CancelCall> outdated;
  {
    const std::lock_guard lock(mutex_);
    for (auto& [id, request] : requests_) {
      if (request.shard != shard || request.finished) continue;
      if (request.under_way) {
        if (request.epoch >= epoch) continue;
        request.under_way = false;
        request.maybe_received = true;
        if (request.cancel) outdated.push_back(std::exchange(request.cancel, nullptr));
      }
      again.push_back(id);
    }
  }
  for (const auto& cancel : outdated) cancel();
  for (const std::uint64_t id : again) Route(id);
}

void JobRouter::OnTimer() {
  std::vector<std::uint64_t> due;
  {
    const std::lock_guard lock(mutex_);
    const core::TimePoint now = clock_.now();
    for (const std::uint64_t id : waiting_) {
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
