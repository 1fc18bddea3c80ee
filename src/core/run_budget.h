// Bounds the memory of the orders and runs that a supervisor holds. Load pattern: dispatchers order
// tasks without needs, which fit into any room, faster than the executor takes them.
#ifndef ZINNIAMUX_CORE_RUN_BUDGET_H_
#define ZINNIAMUX_CORE_RUN_BUDGET_H_

#include <cstddef>

#include "core/run.h"

namespace zinniamux::core {

// Charged for each order from its acceptance until its run has ended, or until it is refused. Not
// thread-safe.
class RunBudget {
 public:
  struct Options {
    std::size_t max_bytes = 16U << 20U;
  };

  explicit RunBudget(const Options& options) : options_(options) {}

  // The order, its run, and the start call while it is under way.
  static std::size_t CostOf(const RunOrder& order);

  // Returns false, and charges nothing, if there is no memory for it.
  bool Add(const RunOrder& order);
  void Remove(const RunOrder& order) { bytes_ -= CostOf(order); }

  std::size_t bytes() const { return bytes_; }

 private:
  const Options options_;
  std::size_t bytes_ = 0;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_RUN_BUDGET_H_
