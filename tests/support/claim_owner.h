// An entry that owns a shard from time to time, with its ClaimLog over a shared platform.
#ifndef ZINNIAMUX_TESTS_SUPPORT_CLAIM_OWNER_H_
#define ZINNIAMUX_TESTS_SUPPORT_CLAIM_OWNER_H_

#include <string>
#include <vector>

#include "core/claim_log.h"
#include "support/simulated_store.h"

namespace zinniamux::testing {

// Entries share the platform and the clock.
class ClaimOwner {
 public:
  ClaimOwner(const std::string& token, standins::PlatformState& platform, core::ManualClock& clock)
      : platform_(platform),
        clock_(clock),
        log_({.token = token, .max_batch = 3}, clock),
        store_(platform, log_, [this](const core::ClaimAction& action) { Take(action); }) {}

  core::ClaimLog& log() { return log_; }
  auto& store() { return store_; }
  const std::vector<core::AnswerClaim>& answers() const { return answers_; }
  bool superseded() const { return superseded_; }

  // Wins the shard row, as a takeover does, and serves nothing yet.
  void TakeOver(std::uint64_t epoch) {
    platform_.Commit({.puts = {{"shard/0", std::to_string(epoch)}}});
    superseded_ = false;
    log_.StartEpoch(epoch, platform_.Row("shard/0")->version);
    store_.Collect();
  }

  void Add(const std::string& submission_id, const std::string& request_key) {
    log_.AddClaim(submission_id, request_key);
    store_.Collect();
  }

  // Runs the timer; store calls that result wait.
  void Tick() {
    const auto wall =
        std::chrono::duration_cast<std::chrono::milliseconds>(clock_.now().time_since_epoch());
    log_.OnTimer(core::WallTime(wall));
    store_.Collect();
  }

  // Runs the timer and serves every call.
  void Settle() {
    Tick();
    store_.ServeAll();
  }

 private:
  void Take(const core::ClaimAction& action) {
    if (const auto* answer = std::get_if<core::AnswerClaim>(&action)) answers_.push_back(*answer);
    if (std::holds_alternative<core::ReportSuperseded>(action)) superseded_ = true;
  }

  standins::PlatformState& platform_;
  core::ManualClock& clock_;
  core::ClaimLog log_;
  SimulatedStore<core::ClaimLog, core::ClaimAction> store_;
  std::vector<core::AnswerClaim> answers_;
  bool superseded_ = false;
};

}  // namespace zinniamux::testing

#endif  // ZINNIAMUX_TESTS_SUPPORT_CLAIM_OWNER_H_
