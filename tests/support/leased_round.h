// One round of load under drawn faults on dispatchers and supervisors, judged by the executors'
// records.
#ifndef ZINNIAMUX_TESTS_SUPPORT_LEASED_ROUND_H_
#define ZINNIAMUX_TESTS_SUPPORT_LEASED_ROUND_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "support/leased_plan.h"

namespace zinniamux::testing {

// Counts of one round.
struct LeasedRoundReport {
  std::uint64_t seed = 0;
  bool incident = false;
  std::size_t dispatchers = 0;
  std::size_t supervisors = 0;
  std::vector<std::string> faults;
  std::size_t jobs = 0;
  std::size_t complete = 0;
  std::size_t failed = 0;
  std::size_t refused = 0;
  // Jobs without an answer to any attempt.
  std::size_t given_up = 0;
  // Attempts beyond the first.
  std::size_t resent = 0;
  std::size_t runs = 0;
  std::map<std::string, std::size_t> outcomes;
  // Tasks that ran more than once, one run after the other or not.
  std::size_t rerun_tasks = 0;

  // Violations, all of them 0 in a clean round.
  // Pairs of runs of one task at a time.
  std::size_t twice = 0;
  // Jobs that were submitted and neither answered nor given up.
  std::size_t unanswered = 0;
  // Answers that the protocol does not have for a valid job.
  std::size_t unexpected_answers = 0;
  // Jobs that were answered as complete although a task never ended `done`.
  std::size_t false_complete = 0;
  // Jobs that were refused at their only attempt although a task of theirs was started.
  std::size_t false_refused = 0;
  // Runs that go on although no caller waits.
  std::size_t still_running = 0;
  // Starts in an evacuated zone later than the bound after its row was written.
  std::size_t evacuated_late = 0;
  // All starts in evacuated zones, and how long after the row the last one came.
  std::size_t evacuated_starts = 0;
  std::chrono::milliseconds last_evacuated_start{0};
  // Starts in zones that were restored, after that. No violation.
  std::size_t restored_starts = 0;
  // Details of `twice`, and where logs and records are kept, if there is a violation.
  std::vector<std::string> twice_runs;
  std::string directory;

  bool clean() const;
  std::string ToJson() const;
};

// `daemon` is the zinniamuxd to run; that of the build if it is empty.
LeasedRoundReport RunLeasedRound(const LeasedPlan& plan, const std::string& daemon = "");

}  // namespace zinniamux::testing

#endif  // ZINNIAMUX_TESTS_SUPPORT_LEASED_ROUND_H_
