// What a caller submits: a job of tasks with declared sizes and run times.
#ifndef ZINNIAMUX_CORE_SUBMISSION_H_
#define ZINNIAMUX_CORE_SUBMISSION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"

namespace zinniamux::core {

// One task as the caller declares it. Run time and memory are estimates that may be far off.
struct TaskDeclaration {
  std::chrono::milliseconds run_time{0};
  std::uint32_t memory_mb = 0;
  std::string payload;
};

// A job as submitted. Immutable after admission.
struct Submission {
  std::string id;
  std::string team;
  std::string job;
  bool idempotent = true;
  // Set if and only if the submission is not idempotent.
  std::string request_key;
  // 1 states that the id was never sent before; 0 and other values state nothing. Code that resends
  // a submission sets it to 0. Not part of the content hash.
  std::uint32_t attempt = 0;
  TimePoint deadline;
  std::vector<TaskDeclaration> tasks;
  // Hash of all fields except the id, the attempt and the deadline. A submission with the id and
  // hash of an existing job joins that job.
  std::uint64_t content_hash = 0;
};

// Computes Submission::content_hash.
std::uint64_t ContentHash(const Submission& submission);

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_SUBMISSION_H_
