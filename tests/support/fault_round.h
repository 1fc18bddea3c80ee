// One round of load under drawn faults, judged by the executors' own records.
#ifndef ZINNIAMUX_TESTS_SUPPORT_FAULT_ROUND_H_
#define ZINNIAMUX_TESTS_SUPPORT_FAULT_ROUND_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "support/fault.h"

namespace zinniamux::testing {

struct RoundOptions {
  std::uint64_t seed = 1;
  std::size_t entries = 2;
  std::size_t agents = 3;
  std::size_t jobs = 60;
  std::chrono::milliseconds load_time{8000};
  // The faults begin after this time, and are healed `fault_time` later.
  std::chrono::milliseconds fault_start{1000};
  std::chrono::milliseconds fault_time{6000};
};

// Counts of one round. The last five must be zero.
struct RoundReport {
  std::uint64_t seed = 0;
  std::vector<std::string> faults;
  std::size_t submitted = 0;
  std::size_t complete = 0;
  std::size_t failed = 0;
  std::size_t refused_not_run = 0;
  // Failed jobs by error kind.
  std::map<std::string, std::size_t> errors;
  // Jobs without a final answer within the caller's patience.
  std::size_t unanswered = 0;
  // Connections that ended without an answer, whatever the fault.
  std::size_t lost_answers = 0;
  std::size_t duplicate_starts = 0;
  // Request keys that ran under two submission ids.
  std::size_t doubled_requests = 0;
  std::size_t false_not_run = 0;
  std::size_t partial_answers = 0;
  // Lost answers while every fault of the round was a planned operation.
  std::size_t cut_off = 0;

  bool clean() const;
  std::string ToJson() const;
};

RoundReport RunFaultRound(const RoundOptions& options, std::span<const Fault* const> faults);

// Draws two faults from the seed.
std::vector<const Fault*> DrawFaults(std::uint64_t seed);

}  // namespace zinniamux::testing

#endif  // ZINNIAMUX_TESTS_SUPPORT_FAULT_ROUND_H_
