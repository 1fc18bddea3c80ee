// The supervisor of the lease model.
#ifndef ZINNIAMUX_MODEL_SUPERVISOR_MODEL_H_
#define ZINNIAMUX_MODEL_SUPERVISOR_MODEL_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "model/executor_model.h"
#include "model/journal.h"
#include "model/state.h"

namespace zinniamux::model {

// Transcribes core::RunSupervisor for one task. Runs of other tasks are always there: the lease is
// renewed whenever the rules allow it. Calls are answered within the step in which they are sent.
class SupervisorModel {
 public:
  // `journal` may be null.
  SupervisorModel(const Options& options, std::size_t index, State& state, Journal* journal);

  // One step passes, also while it stands still.
  void Advance();
  // Handles what has arrived, and its timers.
  void Handle();
  // The dispatcher refuses its connection.
  void OnOwnerRefuses(std::size_t owner);

 private:
  bool has_cap() const { return options_.rules.contains(Rule::kLeaseCap); }
  bool is_accepting() const;
  bool HasAnswers() const { return executor_.path == PathState::kUp; }
  bool CarriesOut() const { return executor_.path != PathState::kCallsLost; }
  // How long a lease that begins now may be.
  Steps LongestLease() const;
  Steps RunEndOf(std::size_t owner) const;
  void ReadFrames(std::size_t owner);
  void Poll();
  void BeginLifetime();
  void HandleOrder(std::size_t owner);
  Refusal ReasonToRefuse(std::size_t owner) const;
  void Start(std::size_t owner, std::uint8_t run);
  void LoseSilentOwners();
  void BeginStop(std::string_view reason);
  void EndRun(std::string_view reason);
  void CallStop();
  // Returns the length of the lease.
  Steps RenewLease();
  // `text` is called only if there is a journal.
  template <typename Text>
  void Note(Text text) const {
    if (journal_ != nullptr) journal_->Add("supervisor " + std::to_string(index_) + " " + text());
  }

  const Options& options_;
  const std::size_t index_;
  State& world_;
  SupervisorState& state_;
  ExecutorState& executor_;
  ExecutorModel calls_;
  Journal* journal_;
};

}  // namespace zinniamux::model

#endif  // ZINNIAMUX_MODEL_SUPERVISOR_MODEL_H_
