// A state of the lease model.
#ifndef ZINNIAMUX_MODEL_STATE_H_
#define ZINNIAMUX_MODEL_STATE_H_

#include <array>
#include <cstdint>
#include <type_traits>

#include "model/options.h"

namespace zinniamux::model {

inline constexpr std::size_t kSides = 2;
// The age of what has not happened.
inline constexpr Steps kNever = 255;

inline Steps Older(Steps age, Steps most) {
  if (age == kNever) return kNever;
  return age < most ? static_cast<Steps>(age + 1) : most;
}
inline Steps Less(Steps left) { return left > 0 ? static_cast<Steps>(left - 1) : left; }

enum class JobState : std::uint8_t { kNone, kUnread, kReady, kOrdered, kOver };
enum class RunState : std::uint8_t { kNone, kStarting, kRunning, kStopping, kStopped };
enum class OrderState : std::uint8_t {
  kNone,
  // Held back by a cut.
  kSent,
  kArrived,
  // Waits at the supervisor for a lease.
  kQueued,
};
enum class Refusal : std::uint8_t {
  kNone,
  // The run never reached the executor.
  kNotStarted,
  // The executor has seen a run with this number.
  kOutdated,
  // Its start got no answer, and it was stopped.
  kUnhealthy,
};
enum class PathState : std::uint8_t { kUp, kCallsLost, kAnswersLost };
enum class CallerState : std::uint8_t { kWaiting, kBroken, kSentAgain };

// What dispatcher and supervisor have sent each other.
struct Link {
  void EndOrder(Refusal reason) {
    order = OrderState::kNone;
    order_run = 0;
    order_left = 0;
    refusal = reason;
  }

  // Age of the input that the sender of the last unread frame had handled.
  Steps frame_age = kNever;
  OrderState order = OrderState::kNone;
  std::uint8_t order_run = 0;
  Steps order_left = 0;
  // The run that the supervisor has to stop, or 0.
  std::uint8_t stop_run = 0;
  // The dispatcher has a message of the supervisor to read.
  std::uint8_t has_report = 0;
  // What became of the last order, until the dispatcher reads it.
  Refusal refusal = Refusal::kNone;
};

struct DispatcherState {
  std::uint8_t is_frozen = 0;
  Steps frozen_for = 0;
  std::uint8_t is_paused = 0;
  JobState job = JobState::kNone;
  // The supervisor of the last order.
  std::uint8_t target = 0;
  std::uint8_t run = 0;
  // Refused orders go to the other supervisor next; after ends, they go to the same one.
  std::uint8_t prefers_other = 0;
  Steps input_age = 0;
  // Since the isolation began that the job has met.
  Steps isolation_age = kNever;
  // Since each supervisor was heard.
  std::array<Steps, kSides> heard{};
  // For how long nothing has come. Counted while a request is held up.
  Steps silent_for = 0;
  // For how long requests may be stale.
  Steps stale_left = 0;
  // For how long nothing is ordered for the request that was read.
  Steps hold_left = 0;
};

struct SupervisorState {
  std::uint8_t is_frozen = 0;
  // Age of the input that each dispatcher is known to have handled.
  std::array<Steps, kSides> heard{};
  // Until the last lease that it asked for ends.
  Steps lease = 0;
  RunState state = RunState::kNone;
  std::uint8_t owner = 0;
  std::uint8_t run = 0;
  // In state kStarting or kStopping.
  Steps state_age = 0;
  Steps must_end = 0;
  std::uint8_t needs_poll = 0;
  // Since the executor answered.
  Steps executor_silence = 0;
  std::uint8_t token = 1;
  std::uint8_t lifetime = 0;
  // A run whose start got no answer.
  std::uint8_t revoked_run = 0;
  // It does not name its run to its dispatcher any more.
  std::uint8_t is_forgotten = 0;
};

struct ExecutorState {
  PathState path = PathState::kUp;
  std::uint8_t lifetime = 0;
  std::uint8_t token = 1;
  Steps lease = 0;
  std::uint8_t run = 0;
  // Until the stopped run ends, or 0.
  Steps stop_left = 0;
  // The highest run that ended or was stopped in this lifetime.
  std::uint8_t closed_run = 0;
  // Two runs of the task were here at a time.
  std::uint8_t ran_twice = 0;
};

// A start call that was not carried out yet.
struct DelayedStart {
  // 0 if there is none.
  std::uint8_t run = 0;
  std::uint8_t executor = 0;
  std::uint8_t token = 0;
  std::uint8_t lifetime = 0;
  Steps lease = 0;
};

struct State {
  std::array<DispatcherState, kSides> dispatchers;
  std::array<SupervisorState, kSides> supervisors;
  std::array<ExecutorState, kSides> executors;
  // By dispatcher and supervisor.
  std::array<std::array<Link, kSides>, kSides> links;
  DelayedStart delayed;
  // The next start of the supervisor is delayed.
  std::array<std::uint8_t, kSides> delays_start{};
  CallerState caller = CallerState::kWaiting;
  Steps since_break = 0;
  // The closed connection reaches dispatcher 0 in less than this many steps; 0 if there is none,
  // kNever while a cut holds it back.
  Steps close_left = 0;
  std::uint8_t is_cut = 0;
  // The request that a cut has held up reaches dispatcher 0 in less than this many steps; 0 if
  // there is none, kNever while the cut lasts.
  Steps request_left = 0;
  Steps since_sent = 0;
  std::uint8_t faults_left = 0;

  bool RunsTwice() const {
    return executors[0].ran_twice != 0 || executors[1].ran_twice != 0 ||
           (executors[0].run != 0 && executors[1].run != 0);
  }
  // Whether frames get through in both directions.
  bool IsConnected(std::size_t dispatcher) const { return dispatcher != 0 || is_cut == 0; }
};
// Its bytes are hashed.
static_assert(std::has_unique_object_representations_v<State>);

}  // namespace zinniamux::model

#endif  // ZINNIAMUX_MODEL_STATE_H_
