// Content hash of a submission.
#include "core/submission.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace zinniamux::core {
namespace {

std::uint64_t HashBytes(std::uint64_t seed, const std::string& bytes) {
  return XXH64(bytes.data(), bytes.size(), seed);
}

std::uint64_t HashNumber(std::uint64_t seed, std::uint64_t number) {
  return XXH64(&number, sizeof(number), seed);
}

}  // namespace

std::uint64_t ContentHash(const Submission& submission) {
  std::uint64_t hash = HashBytes(0, submission.team);
  hash = HashBytes(hash, submission.job);
  hash = HashNumber(hash, submission.idempotent ? 1 : 0);
  hash = HashBytes(hash, submission.request_key);
  for (const TaskDeclaration& task : submission.tasks) {
    hash = HashNumber(hash, static_cast<std::uint64_t>(task.run_time.count()));
    hash = HashNumber(hash, task.memory_mb);
    hash = HashBytes(hash, task.payload);
  }
  return hash;
}

}  // namespace zinniamux::core
