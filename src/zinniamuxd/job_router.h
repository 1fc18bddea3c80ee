// Routes requests of callers to the owners of their shards.
#ifndef ZINNIAMUX_ZINNIAMUXD_JOB_ROUTER_H_
#define ZINNIAMUX_ZINNIAMUXD_JOB_ROUTER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/job_answer.h"
#include "core/submission.h"
#include "zinniamuxd/peer_client.h"
#include "zinniamuxd/shard_host.h"

namespace zinniamux::daemon {

using AnswerCallback = std::function<void(core::JobAnswer)>;

// Keeps each request of this process's callers until it is answered, exactly once. If the owner is
// lost, the request goes to the next owner as a resubmission. An answer counts only if it belongs
// to the request's latest attempt, so that a late answer of an earlier owner never reaches the
// caller. Thread-safe.
class JobRouter {
 public:
  struct Options {
    // How long a request waits for an owner: covers the silence limit, the takeover delay of the
    // candidate and its writes.
    std::chrono::milliseconds owner_wait{8000};
    // How long a request that no owner may have received yet waits for a recovering owner.
    std::chrono::milliseconds recovery_wait{1000};
  };

  struct Hooks {
    std::function<std::shared_ptr<PeerClient>(const std::string& address)> client_for;
    // A call to this address was lost, or answered by an entry that is not the owner, or its
    // connection was refused (`refused`).
    std::function<void(const std::string& address, bool refused)> on_peer_failure;
    // A submission is about to be sent to the owner at this address.
    std::function<void(const std::string& submission_id, const std::string& address,
                       bool resubmission)>
        on_forward;
  };

  JobRouter(const Options& options, std::vector<std::shared_ptr<ShardHost>> shards,
            const core::Clock& clock, Hooks hooks);

  // `callback` gets the final answer, or the current one after `wait`. All callbacks are called
  // exactly once.
  void Submit(core::Submission submission, core::Duration wait, AnswerCallback callback);
  // Sends a job of an epoch that ended in this process to the new owner. No caller waits for its
  // answer.
  void Resubmit(core::Submission submission);
  void Fetch(std::string submission_id, core::Duration wait, AnswerCallback callback);
  void Cancel(std::string submission_id, AnswerCallback callback);

  // Routes the requests of the shard again, except those whose attempt went to the current owner.
  void OnRouteChanged(std::uint32_t shard);
  // Called every few milliseconds.
  void OnTimer();
  // Number of requests that have not been answered yet.
  std::size_t in_flight() const;

  std::uint32_t ShardOf(const core::Submission& submission) const;
  std::uint32_t ShardOf(const std::string& submission_id) const;

 private:
  enum class Kind { kSubmit, kFetch, kCancel };

  struct Request {
    Kind kind = Kind::kSubmit;
    std::string submission_id;
    // Set for kSubmit.
    std::shared_ptr<const core::Submission> submission;
    core::TimePoint wait_until;
    // After this time the request fails instead of waiting for an owner.
    core::TimePoint give_up_at;
    AnswerCallback callback;
    std::uint32_t shard = 0;
    // Number of shards that did not know the id.
    std::uint32_t shards_tried = 0;
    // Number of the latest attempt.
    std::uint64_t attempt = 0;
    // The epoch of the latest attempt.
    std::uint64_t epoch = 0;
    bool attempt_active = false;
    // The callback is being called; no further attempt is made.
    bool finished = false;
    // An owner may have received the request in an earlier attempt.
    bool maybe_received = false;
    // The epoch of the last attempt that was lost. The first loss under an epoch is retried at
    // once, later ones after a delay.
    std::uint64_t lost_epoch = 0;
    std::optional<core::TimePoint> retry_at;
    // Since when no owner has accepted the request, or the owner has been recovering.
    std::optional<core::TimePoint> waiting_since;
    PeerClient::CancelCall cancel;
  };

  // A copy of the request's fields that an attempt needs.
  struct Attempt {
    std::uint64_t request_id = 0;
    std::uint64_t number = 0;
    Kind kind = Kind::kSubmit;
    std::string submission_id;
    std::shared_ptr<const core::Submission> submission;
    bool resubmission = false;
    core::Duration wait{0};
    // Set instead of the fields above if the request ends without an attempt.
    AnswerCallback final_callback;
    core::JobAnswer final_answer;
  };

  void Add(Request request);
  void Route(std::uint64_t request_id);
  // Begins an attempt on this route, or schedules a retry (std::nullopt), or ends the request (with
  // final_callback). The lock is held.
  std::optional<Attempt> BeginAttempt(std::uint64_t request_id, Request& request,
                                      const ShardRoute& route);
  void RunLocal(const Attempt& attempt, OwnedShard& shard);
  void RunRemote(const Attempt& attempt, const std::string& address);
  void OnAnswer(std::uint64_t request_id, std::uint64_t attempt, core::JobAnswer answer);
  void OnLost(std::uint64_t request_id, std::uint64_t attempt, PeerReply::Outcome outcome);
  void OnPeerReply(std::uint64_t request_id, std::uint64_t attempt,
                   const std::shared_ptr<PeerClient>& client, PeerReply reply);
  // The request, or null if it has an active attempt or is finished. The lock is held.
  Request* FindRoutable(std::uint64_t request_id);
  // The request, or null unless `attempt` is its latest attempt and still active. The lock is held.
  Request* FindActive(std::uint64_t request_id, std::uint64_t attempt);
  // The delay before another attempt if the answer is not final: the owner is recovering, or
  // another shard may know the id, which the request is then directed to. The lock is held.
  std::optional<core::Duration> RetryDelayFor(Request& request, const core::JobAnswer& answer);
  void ScheduleRetry(std::uint64_t request_id, Request& request, core::Duration delay);
  core::TimePoint OwnerWaitDeadline(const Request& request) const;
  // Marks the request as finished and returns its callback. The lock is held.
  static AnswerCallback TakeCallback(Request& request);
  // Calls the callback and removes the request.
  void Finish(std::uint64_t request_id, const AnswerCallback& callback, core::JobAnswer answer);
  core::JobAnswer NoOwnerAnswer(const Request& request, const ShardRoute& route) const;

  const Options options_;
  const std::vector<std::shared_ptr<ShardHost>> shards_;
  const core::Clock& clock_;
  const Hooks hooks_;
  mutable std::mutex mutex_;
  // Guarded by mutex_.
  std::map<std::uint64_t, Request> requests_;
  // Ids of the requests that have a retry time.
  std::set<std::uint64_t> awaiting_retry_;
  std::uint64_t next_id_ = 1;
};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_JOB_ROUTER_H_
