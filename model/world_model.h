// A model of what keeps a task from running twice at the same time: two dispatchers, two
// supervisors with one executor each, and one caller with one job of one task.
//
// Time passes in steps of 50 ms. Between two steps any faults may begin, limited in number, and any
// may end: what stands still goes on, what is cut off is connected again, a delayed start is
// carried out, a late close arrives. Within a step, dispatchers and then supervisors handle what
// has arrived; messages and calls on undisturbed paths take no time. Where limits or delays are
// rounded or left open, the choice is the one that lets runs live longer or second copies start
// sooner. The decisions are a transcription of RunSupervisor and JobScheduler.
//
// Left out: dispatchers and supervisors that restart (so unknown runs come from delayed starts
// only), cuts of dispatcher 1 and of single connections to supervisors, connections that break
// before their silence limit, runs that end on their own, failed runs and jobs that come a second
// time to the same dispatcher (so the ends of an earlier submission do not occur), callers that
// send again what was answered or cancel, room on executors and the queue for it, clocks that run
// fast, requests of other callers while a dispatcher is cut off, silences of callers alone, more
// than one delayed start at a time, delayed hold and stop calls, time within a step (placement
// passes, the order in which a process reads its connections), and processes that are known to have
// gone.
#ifndef ZINNIAMUX_MODEL_WORLD_MODEL_H_
#define ZINNIAMUX_MODEL_WORLD_MODEL_H_

#include <cstdint>
#include <string>
#include <vector>

#include "model/journal.h"
#include "model/state.h"

namespace zinniamux::model {

// What happens between two steps.
struct Event {
  enum class Kind : std::uint8_t {
    // The faults, in the order of Fault.
    kFreezeSupervisor,
    kFreezeDispatcher,
    kCutDispatcher,
    kCutExecutor,
    kLoseAnswers,
    kDelayStart,
    kRestartExecutor,
    kBreakCaller,
    kHoldRequest,
    kRefuseConnection,
    kStartFirst,
    // Never events.
    kLateClose,
    kOldRequest,
    // These end faults.
    kWakeSupervisor,
    kWakeDispatcher,
    kHealDispatcher,
    kHealExecutor,
    kCloseArrives,
    kRequestArrives,
    kDelayedStart,
  };
  Kind kind = Kind::kFreezeSupervisor;
  std::uint8_t side = 0;
};

class WorldModel {
 public:
  explicit WorldModel(const Options& options) : options_(options) {}

  // The caller has sent its request to dispatcher 0.
  State Initial() const;
  std::vector<Event> EventsOf(const State& state) const;
  // `journal` may be null.
  void Apply(Event event, State& state, Journal* journal) const;
  // One step passes. Returns false if a fault that was chosen for it has had no effect.
  bool Advance(State& state, Journal* journal) const;

 private:
  void ApplyFault(Fault fault, std::uint8_t side, State& state, Journal* journal) const;
  void BreakCaller(State& state) const;
  void CarryOutStart(State& state) const;
  void SendAgain(State& state) const;
  // Resets what makes no difference any more, so that states become equal.
  static void Normalize(State& state);

  const Options options_;
};

// For the timeline, for example "break-connection".
std::string Describe(Event event);

}  // namespace zinniamux::model

#endif  // ZINNIAMUX_MODEL_WORLD_MODEL_H_
