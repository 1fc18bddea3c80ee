// The jobs and faults of one round with leased execution, drawn from a seed.
#ifndef ZINNIAMUX_TESTS_SUPPORT_LEASED_PLAN_H_
#define ZINNIAMUX_TESTS_SUPPORT_LEASED_PLAN_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace zinniamux::testing {

// A job of one step.
struct LeasedJob {
  std::string id;
  // From the start of the round.
  std::chrono::milliseconds at{0};
  std::chrono::milliseconds task_length{0};
  std::size_t tasks = 1;
  // The dispatcher of the first attempt; the later ones follow in turn.
  std::size_t dispatcher = 0;
};

struct LeasedFault {
  enum class Kind {
    kFreezeSupervisor,
    kFreezeDispatcher,
    // From all supervisors; nothing is reset, and frames are lost.
    kCutDispatcher,
    kResetCallers,
    kKillSupervisor,
    // The connections from the supervisor to its executor break at the executor's next answers.
    kResetExecutorAnswers,
    // The operator's row names the zone until it is healed.
    kEvacuateZone,
  };

  Kind kind = Kind::kFreezeSupervisor;
  // Index of the dispatcher, supervisor or zone.
  std::size_t target = 0;
  std::chrono::milliseconds at{0};
  // Until it is healed.
  std::chrono::milliseconds length{0};

  // For example "freeze_supervisor 2 at 3100 for 900".
  std::string Text() const;
};

// What one round does. Depends on the seed only.
struct LeasedPlan {
  std::uint64_t seed = 0;
  std::size_t dispatchers = 2;
  std::size_t supervisors = 3;
  // The faults are the sequence of docs/incidents/inc-33-twice.md: a dispatcher is cut off, the
  // connections of its callers break, and supervisors stand still around that time.
  bool incident = false;
  // Executors refuse second copies of starts; see LeasedExecutor::Options.
  bool refuses_second_copies = false;
  std::vector<LeasedJob> jobs;
  std::vector<LeasedFault> faults;
};

LeasedPlan DrawLeasedPlan(std::uint64_t seed);

}  // namespace zinniamux::testing

#endif  // ZINNIAMUX_TESTS_SUPPORT_LEASED_PLAN_H_
