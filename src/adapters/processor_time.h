// The processor time that this process has used.
#ifndef ZINNIAMUX_ADAPTERS_PROCESSOR_TIME_H_
#define ZINNIAMUX_ADAPTERS_PROCESSOR_TIME_H_

#include <ctime>

#include "core/clock.h"

namespace zinniamux::adapters {

// Of all threads, since the start of the process.
inline core::Duration ProcessorTime() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  const auto used = std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
  return std::chrono::duration_cast<core::Duration>(used);
}

}  // namespace zinniamux::adapters

#endif  // ZINNIAMUX_ADAPTERS_PROCESSOR_TIME_H_
