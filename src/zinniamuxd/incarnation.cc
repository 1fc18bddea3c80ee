// Random and time-based incarnations.
#include "zinniamuxd/incarnation.h"

#include <chrono>
#include <random>

namespace zinniamux::daemon {

std::uint64_t RandomIncarnation() {
  constexpr std::uint64_t kMask = (1ULL << 48U) - 1;
  std::random_device random;
  const std::uint64_t number = (static_cast<std::uint64_t>(random()) << 32U) ^ random();
  return (number & kMask) | 1U;
}

std::uint64_t TimestampIncarnation() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

}  // namespace zinniamux::daemon
