// Defaults from /proc/meminfo and RLIMIT_NOFILE.
#include "adapters/input_limits.h"

#include <sys/resource.h>

#include <algorithm>
#include <fstream>
#include <limits>
#include <string>

namespace zinniamux::adapters {
namespace {

constexpr std::size_t kMebibyte = 1U << 20U;

// 0 if it cannot be read.
std::size_t MemoryOfVm() {
  constexpr std::size_t kKibibyte = 1024;
  std::ifstream file("/proc/meminfo");
  std::string name;
  std::size_t kibibytes = 0;
  while (file >> name >> kibibytes) {
    if (name == "MemTotal:") return kibibytes * kKibibyte;
    file.ignore(std::numeric_limits<std::streamsize>::max(), '\n');
  }
  return 0;
}

std::size_t DescriptorsOfProcess() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return 0;
  return static_cast<std::size_t>(limit.rlim_cur);
}

}  // namespace

std::size_t MaxInputBytes(std::size_t memory_bytes) {
  // The smallest VMs have 120 MB, of which an idle process takes 25 and one at work up to 80. The
  // lower bound holds an announcement of 4 MiB beside ordinary requests; more than the upper one
  // would only delay the choice.
  constexpr std::size_t kPart = 8;
  return std::clamp(memory_bytes / kPart, 8 * kMebibyte, 64 * kMebibyte);
}

std::size_t MaxWorkBytes(std::size_t memory_bytes) {
  // Beside an eighth for input. The lower bound holds the largest job.
  constexpr std::size_t kPart = 8;
  return std::clamp(memory_bytes / kPart, 8 * kMebibyte, 64 * kMebibyte);
}

std::size_t MaxConnections(std::size_t descriptors) {
  // For links to at most 200 processes, the store, executors, logs, and connections that are closed
  // in a later event.
  constexpr std::size_t kReserve = 512;
  // An open connection takes 8 KiB, so that these take 32 MiB.
  constexpr std::size_t kMost = 4096;
  return std::clamp(descriptors - std::min(descriptors / 2, kReserve), std::size_t{64}, kMost);
}

namespace {

std::size_t WorkBytes(const InputLimits& limits) {
  return limits.max_work_bytes.value_or(MaxWorkBytes(MemoryOfVm()));
}

}  // namespace

core::InputBudget::Options BudgetOptions(const InputLimits& limits) {
  return {
      .max_bytes = limits.max_input_bytes.value_or(MaxInputBytes(MemoryOfVm())),
      .max_connections = limits.max_connections.value_or(MaxConnections(DescriptorsOfProcess())),
      .stall_limit = limits.stall_limit};
}

core::WorkBudget::Options WorkOptions(const InputLimits& limits) {
  return {.max_bytes = WorkBytes(limits)};
}

core::RunBudget::Options RunOptions(const InputLimits& limits) {
  return {.max_bytes = WorkBytes(limits)};
}

}  // namespace zinniamux::adapters
