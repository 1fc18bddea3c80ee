// The way of every request to the owner of its shard, and of the answer back.
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

// Keeps each request of this process's callers from its arrival to its one answer. A request that
// has lost its owner goes to the next one as a resubmission. An answer counts only if it belongs to
// the request's latest attempt, so that nothing from an earlier owner reaches a caller later on.
// Thread-safe.
class JobRouter {
 public:
  struct Options {
    // How long a request waits for an owner: silence limit, turn among candidates, and writes.
    std::chrono::milliseconds owner_wait{8000};
    // How long a request that was never sent before waits for a recovering owner.
    std::chrono::milliseconds recovery_wait{1000};
  };

  struct Hooks {
    std::function<std::shared_ptr<PeerClient>(const std::string& address)> client_of;
    // A call to this address was refused, lost, or answered by an entry that is not the owner.
    std::function<void(const std::string& address, bool refused)> on_peer_failure;
    // A submission goes to the owner at this address.
    std::function<void(const std::string& submission_id, const std::string& address,
                       bool resubmission)>
        on_forward;
  };

  JobRouter(const Options& options, std::vector<std::shared_ptr<ShardHost>> shards,
            const core::Clock& clock, Hooks hooks);

  // `callback` gets the final answer, or the current one after `wait`. All callbacks are called
  // exactly once.
  void Submit(core::Submission submission, core::Duration wait, AnswerCallback callback);
  // Sends a job of an epoch that ended in this process to the new owner; nobody waits for it.
  void Resubmit(core::Submission submission);
  void Fetch(std::string submission_id, core::Duration wait, AnswerCallback callback);
  void Cancel(std::string submission_id, AnswerCallback callback);

  // Requests of the shard whose attempt went to an earlier owner start again.
  void OnRouteChanged(std::uint32_t shard);
  // Called every few milliseconds.
  void OnTimer();
  // Requests without an answer.
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
    // After this the request is given up.
    core::TimePoint give_up_at;
    AnswerCallback callback;
    std::uint32_t shard = 0;
    // Shards that did not know the id; see NextShard.
    std::uint32_t shards_tried = 0;
    // Number of the latest attempt.
    std::uint64_t attempt = 0;
    // The epoch of the latest attempt.
    std::uint64_t epoch = 0;
    bool under_way = false;
    // The callback is being called; nothing is attempted any more.
    bool finished = false;
    // An owner may have received the request in an earlier attempt.
    bool maybe_received = false;
    // An attempt under this epoch was lost and repeated at once.
    std::uint64_t lost_epoch = 0;
    std::optional<core::TimePoint> retry_at;
    // Since when no owner has taken the request, or the owner is recovering.
    std::optional<core::TimePoint> waits_since;
    PeerClient::CancelCall cancel;
  };

  // A copy of what an attempt needs.
  struct Attempt {
    std::uint64_t request_id = 0;
    std::uint64_t number = 0;
    Kind kind = Kind::kSubmit;
    std::string submission_id;
    std::shared_ptr<const core::Submission> submission;
    bool resubmission = false;
    core::Duration wait{0};
    // Set instead of the fields above when the request ends without an attempt.
    AnswerCallback refused;
    core::JobAnswer refusal;
  };

  void Add(Request request);
  void Route(std::uint64_t request_id);
  // Begins an attempt over this route, or leaves the request waiting, or finishes it. The lock is
  // held.
  std::optional<Attempt> Begin(std::uint64_t request_id, Request& request, const ShardRoute& route);
  void RunLocal(const Attempt& attempt, OwnedShard& shard);
  void RunRemote(const Attempt& attempt, const std::string& address);
  void OnAnswer(std::uint64_t request_id, std::uint64_t attempt, core::JobAnswer answer);
  void OnLost(std::uint64_t request_id, std::uint64_t attempt, PeerReply::Outcome outcome);
  void OnPeerReply(std::uint64_t request_id, std::uint64_t attempt,
                   const std::shared_ptr<PeerClient>& client, PeerReply reply);
  // The request, if it can be attempted. The lock is held.
  Request* Open(std::uint64_t request_id);
  // The request, if the attempt is its latest and has not ended. The lock is held.
  Request* Current(std::uint64_t request_id, std::uint64_t attempt);
  // Whether to wait and ask again instead of giving the answer: the owner is recovering, or another
  // shard may know the id. The lock is held.
  std::optional<core::Duration> Holdback(Request& request, const core::JobAnswer& answer);
  void WaitFor(std::uint64_t request_id, Request& request, core::Duration delay);
  core::TimePoint WaitLimit(const Request& request) const;
  // Takes the callback of a request that ends now. The lock is held.
  static AnswerCallback TakeCallback(Request& request);
  // Calls the callback and forgets the request.
  void Finish(std::uint64_t request_id, const AnswerCallback& callback, core::JobAnswer answer);
  core::JobAnswer NoOwnerAnswer(const Request& request, const ShardRoute& route) const;

  const Options options_;
  const std::vector<std::shared_ptr<ShardHost>> shards_;
  const core::Clock& clock_;
  const Hooks hooks_;
  mutable std::mutex mutex_;
  // Guarded by mutex_.
  std::map<std::uint64_t, Request> requests_;
  // Requests with a retry time.
  std::set<std::uint64_t> waiting_;
  std::uint64_t next_id_ = 1;
};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_JOB_ROUTER_H_
