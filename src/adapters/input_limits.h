// Limits on what clients make a process hold, as input and as accepted work, and their defaults
// from the VM's memory and descriptors.
#ifndef ZINNIAMUX_ADAPTERS_INPUT_LIMITS_H_
#define ZINNIAMUX_ADAPTERS_INPUT_LIMITS_H_

#include <chrono>
#include <cstddef>
#include <optional>

#include "core/input_budget.h"
#include "core/run_budget.h"
#include "core/work_budget.h"

namespace zinniamux::adapters {

// Limits of one connection.
struct ConnectionLimits {
  // Request line and fields, and also empty lines before them.
  std::size_t max_head_bytes = 32'768;
  // Each field has two strings, which cost up to 20 times their bytes.
  std::size_t max_fields = 128;
  // Sizes, extensions and trailers of chunks. A body of 1 MiB in chunks of one byte has 5 MiB.
  std::size_t max_chunk_overhead_bytes = 8U << 20U;
};

// All listeners of the process share the totals.
struct InputLimits {
  // Held for unfinished requests and answers that are not read; unset for MaxInputBytes().
  std::optional<std::size_t> max_input_bytes;
  // Held for accepted work; unset for MaxWorkBytes().
  std::optional<std::size_t> max_work_bytes;
  // Unset for MaxConnections().
  std::optional<std::size_t> max_connections;
  // An unfinished request without a new byte for this time is given up.
  std::chrono::milliseconds stall_limit{10'000};
  ConnectionLimits connection;
};

// The defaults for a VM with this memory.
std::size_t MaxInputBytes(std::size_t memory_bytes);
std::size_t MaxWorkBytes(std::size_t memory_bytes);
// The default for a process that may open this many descriptors.
std::size_t MaxConnections(std::size_t descriptors);

// Fills in the defaults of this VM and process.
core::InputBudget::Options BudgetOptions(const InputLimits& limits);
core::WorkBudget::Options WorkOptions(const InputLimits& limits);
core::RunBudget::Options RunOptions(const InputLimits& limits);

}  // namespace zinniamux::adapters

#endif  // ZINNIAMUX_ADAPTERS_INPUT_LIMITS_H_
