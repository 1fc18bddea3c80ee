// The faults that the fault rounds draw from.
#ifndef ZINNIAMUX_TESTS_SUPPORT_FAULT_H_
#define ZINNIAMUX_TESTS_SUPPORT_FAULT_H_

#include <functional>
#include <random>
#include <span>
#include <string_view>

#include "support/deployment.h"

namespace zinniamux::testing {

// One kind of fault. `inject` starts it; `heal` ends it and restarts what was killed.
struct Fault {
  std::string_view name;
  // A graceful stop or another operation that an operator plans; it may cut off no request.
  bool planned = false;
  // Drawn by DrawFaults; the others run by name only, so that seeds keep their faults.
  bool drawn = true;
  std::function<void(Deployment&, std::mt19937_64&)> inject;
  std::function<void(Deployment&)> heal;
};

// All faults, in a fixed order.
std::span<const Fault> AllFaults();

// The fault with that name, or nullptr.
const Fault* FaultByName(std::string_view name);

}  // namespace zinniamux::testing

#endif  // ZINNIAMUX_TESTS_SUPPORT_FAULT_H_
