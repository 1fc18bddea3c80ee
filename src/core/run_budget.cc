// Costs of orders.
#include "core/run_budget.h"

namespace zinniamux::core {

std::size_t RunBudget::CostOf(const RunOrder& order) {
  // The run's state and the call without the spec.
  constexpr std::size_t kRunBytes = 8192;
  // In the order, the action, the body of the call and what is written of it. Escaped characters
  // are longer, but the calls that write are few.
  constexpr std::size_t kSpecCopies = 4;
  return kRunBytes + kSpecCopies * order.spec.size();
}

bool RunBudget::Add(const RunOrder& order) {
  const std::size_t cost = CostOf(order);
  if (bytes_ + cost > options_.max_bytes) return false;
  bytes_ += cost;
  return true;
}

}  // namespace zinniamux::core
