// The executor of the lease model: one lease, runs of one task, and what it remembers of them.
#ifndef ZINNIAMUX_MODEL_EXECUTOR_MODEL_H_
#define ZINNIAMUX_MODEL_EXECUTOR_MODEL_H_

#include "model/state.h"

namespace zinniamux::model {

enum class StartResult { kStarted, kFenced, kOutdated, kLeaseExpired };

// Transcribed from the published protocol as the simulated executor of the tests implements it.
class ExecutorModel {
 public:
  ExecutorModel(const Limits& limits, ExecutorState& state) : limits_(limits), state_(state) {}

  // One step passes. Returns true if the run ends.
  bool Advance();
  StartResult Start(std::uint8_t run, std::uint8_t token, Steps lease);
  void Stop(std::uint8_t run, std::uint8_t token);
  // Renews the lease.
  void Hold(std::uint8_t token, Steps lease);
  void Restart();

 private:
  void EndRun();

  const Limits& limits_;
  ExecutorState& state_;
};

}  // namespace zinniamux::model

#endif  // ZINNIAMUX_MODEL_EXECUTOR_MODEL_H_
