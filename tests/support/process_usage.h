// Memory and descriptors of a child process.
#ifndef ZINNIAMUX_TESTS_SUPPORT_PROCESS_USAGE_H_
#define ZINNIAMUX_TESTS_SUPPORT_PROCESS_USAGE_H_

#include <cstddef>

#include "support/child_process.h"

namespace zinniamux::testing {

// Highest resident memory since the start; 0 if the process has ended.
std::size_t PeakKilobytes(const ChildProcess& process);
// Open descriptors.
std::size_t Descriptors(const ChildProcess& process);

}  // namespace zinniamux::testing

#endif  // ZINNIAMUX_TESTS_SUPPORT_PROCESS_USAGE_H_
