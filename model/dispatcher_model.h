// The dispatcher of the lease model.
#ifndef ZINNIAMUX_MODEL_DISPATCHER_MODEL_H_
#define ZINNIAMUX_MODEL_DISPATCHER_MODEL_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "model/journal.h"
#include "model/state.h"

namespace zinniamux::model {

// Transcribes what core::JobScheduler, and the socket below it, decide on a job of one task.
class DispatcherModel {
 public:
  // `journal` may be null.
  DispatcherModel(const Options& options, std::size_t index, State& state, Journal* journal);

  // One step passes, also while it stands still.
  void Advance();
  // Handles what has arrived and its timers, and sends a frame to each supervisor.
  void Handle();

 private:
  bool HasClosed() const { return index_ == 0 && world_.close_left == 1; }
  bool HasJob() const { return state_.job == JobState::kReady || state_.job == JobState::kOrdered; }
  // Returns whether a request was read.
  bool ReadRequest();
  void HandleReports(std::size_t supervisor);
  void NoteInput();
  // Whether the last order or its run is at the supervisor.
  bool IsHeld(std::size_t supervisor) const;
  void Order();
  void EndJob(std::string_view reason);
  // Age of the input that the frames of this step say was handled.
  Steps HandledInputAge() const;
  void SendFrame(std::size_t supervisor);
  // `text` is called only if there is a journal.
  template <typename Text>
  void Note(Text text) const {
    if (journal_ != nullptr) journal_->Add("dispatcher " + std::to_string(index_) + " " + text());
  }

  const Options& options_;
  const std::size_t index_;
  State& world_;
  DispatcherState& state_;
  Journal* journal_;
};

}  // namespace zinniamux::model

#endif  // ZINNIAMUX_MODEL_DISPATCHER_MODEL_H_
