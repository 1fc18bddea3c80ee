// Costs of orders.
#include "core/run_budget.h"

#include <string_view>

namespace zinniamux::core {

namespace {

// The text as part of a JSON document.
std::size_t EscapedSize(std::string_view text) {
  constexpr std::size_t kControlBytes = 6;
  constexpr unsigned char kFirstPrintable = 0x20;
  std::size_t size = 0;
  for (const char c : text) {
    const bool is_control = static_cast<unsigned char>(c) < kFirstPrintable;
    size += is_control ? kControlBytes : c == '"' || c == '\\' ? 2 : 1;
  }
  return size;
}

}  // namespace

std::size_t RunBudget::CostOf(const RunOrder& order) {
  // The run's state and the call without the spec.
  constexpr std::size_t kRunBytes = 8192;
  // The order and the action, and the body of the call and what is written of it.
  return kRunBytes + 2 * order.spec.size() + 2 * EscapedSize(order.spec);
}

bool RunBudget::Add(const RunOrder& order) {
  const std::size_t cost = CostOf(order);
  if (bytes_ + cost > options_.max_bytes) return false;
  bytes_ += cost;
  return true;
}

}  // namespace zinniamux::core
