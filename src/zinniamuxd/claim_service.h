// The claims of one shard in a running entry: runs ClaimLog on the table store.
#ifndef ZINNIAMUX_ZINNIAMUXD_CLAIM_SERVICE_H_
#define ZINNIAMUX_ZINNIAMUXD_CLAIM_SERVICE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/claim_decision.h"
#include "core/claim_log.h"
#include "core/clock.h"
#include "core/table_store.h"

namespace zinniamux::daemon {

// Thread-safe. Hooks run one at a time, without a lock of this class, on a thread of the store or
// of the caller of OnTimer. AddClaim, StartEpoch and Resign call no hook and no store, so they may
// be called under the shard's lock, and hooks may take that lock.
class ClaimService {
 public:
  struct Hooks {
    // Called exactly once for each AddClaim, with its decision.
    std::function<void(const std::string& submission_id, core::ClaimDecision decision)> on_decided;
    // The shard row names another owner: this process must give up the shard.
    std::function<void(std::uint64_t epoch)> on_superseded;
    // Gets a message for the log.
    std::function<void(const std::string&)> on_problem;
  };

  // `options.token` is the entry's incarnation. `store` and `clock` outlive this object.
  ClaimService(core::ClaimLog::Options options, core::TableStore& store, const core::Clock& clock,
               Hooks hooks);
  // Waits for hooks that are running; none runs later.
  ~ClaimService();
  ClaimService(const ClaimService&) = delete;
  ClaimService& operator=(const ClaimService&) = delete;

  // This entry has become the owner by writing the shard row; `shard_row_version` is the table
  // version of that row.
  void StartEpoch(std::uint64_t epoch, std::uint64_t shard_row_version);
  // This entry no longer owns the shard.
  void Resign();
  // The decision is kUnavailable before StartEpoch and after Resign.
  void AddClaim(std::string submission_id, std::string request_key);
  // Called every few milliseconds. Claims added between two calls are written together.
  void OnTimer();

  // Whether the claims of earlier owners have been read.
  bool loaded() const;

 private:
  class Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_CLAIM_SERVICE_H_
