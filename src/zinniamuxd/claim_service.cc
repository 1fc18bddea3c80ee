// Carries out the actions of ClaimLog: store calls and hooks.
#include "zinniamuxd/claim_service.h"

#include <utility>

#include "zinniamuxd/action_runner.h"

namespace zinniamux::daemon {
namespace {

using core::ClaimLog;

core::WallTime WallNow() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

}  // namespace

// Shared with the store's callbacks, which may run after the service has been destroyed.
class ClaimService::Implementation : public std::enable_shared_from_this<Implementation> {
 public:
  Implementation(ClaimLog::Options options, core::TableStore& store, const core::Clock& clock,
                 Hooks hooks)
      : hooks_(std::move(hooks)),
        store_(store),
        runner_(ClaimLog(std::move(options), clock),
                [this](core::ClaimAction action) { HandleAction(std::move(action)); }) {}

  template <typename Event>
  void Post(Event&& event) {
    runner_.Post(std::forward<Event>(event));
  }

  template <typename Event>
  void Apply(Event&& event) {
    runner_.Apply(std::forward<Event>(event));
  }

  template <typename Reader>
  auto Read(Reader&& reader) const {
    return runner_.Read(std::forward<Reader>(reader));
  }

  void Close() { runner_.Close(); }

 private:
  void HandleAction(core::ClaimAction action) {
    std::visit([this](auto& value) { CarryOut(std::move(value)); }, action);
  }

  void CarryOut(core::ReadStoreRow action) {
    store_.ReadRow(std::move(action.key),
                   [self = shared_from_this(), call = action.call](const auto& row) {
                     self->Apply([&](ClaimLog& log) { log.OnRow(call, row); });
                   });
  }

  void CarryOut(core::ReadStoreRows action) {
    store_.ReadRows(std::move(action.prefix),
                    [self = shared_from_this(), call = action.call](const auto& rows) {
                      self->Apply([&](ClaimLog& log) { log.OnRows(call, rows); });
                    });
  }

  void CarryOut(core::CommitToStore action) {
    store_.Commit(std::move(action.transaction),
                  [self = shared_from_this(), call = action.call](core::CommitOutcome outcome) {
                    self->Apply([&](ClaimLog& log) { log.OnCommit(call, outcome); });
                  });
  }

  void CarryOut(const core::AnswerClaim& action) {
    hooks_.on_decided(action.submission_id, action.decision);
  }

  void CarryOut(const core::ReportSuperseded& action) { hooks_.on_superseded(action.epoch); }
  void CarryOut(const core::ReportClaimProblem& action) { hooks_.on_problem(action.message); }

  const Hooks hooks_;
  core::TableStore& store_;
  ActionRunner<ClaimLog, core::ClaimAction> runner_;
};

ClaimService::ClaimService(ClaimLog::Options options, core::TableStore& store,
                           const core::Clock& clock, Hooks hooks)
    : implementation_(
          std::make_shared<Implementation>(std::move(options), store, clock, std::move(hooks))) {}

ClaimService::~ClaimService() { implementation_->Close(); }

void ClaimService::StartEpoch(std::uint64_t epoch, std::uint64_t shard_row_version) {
  implementation_->Post([&](ClaimLog& log) { log.StartEpoch(epoch, shard_row_version); });
}

void ClaimService::Resign() {
  implementation_->Post([](ClaimLog& log) { log.Resign(); });
}

void ClaimService::AddClaim(std::string submission_id, std::string request_key) {
  implementation_->Post(
      [&](ClaimLog& log) { log.AddClaim(std::move(submission_id), std::move(request_key)); });
}

void ClaimService::OnTimer() {
  implementation_->Apply([](ClaimLog& log) { log.OnTimer(WallNow()); });
}

bool ClaimService::loaded() const {
  return implementation_->Read([](const ClaimLog& log) { return log.loaded(); });
}

}  // namespace zinniamux::daemon
