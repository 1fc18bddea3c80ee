// Numbers that distinguish a process from earlier ones with the same id.
#ifndef ZINNIAMUX_ZINNIAMUXD_INCARNATION_H_
#define ZINNIAMUX_ZINNIAMUXD_INCARNATION_H_

#include <cstdint>

namespace zinniamux::daemon {

// Never 0, and at most 48 bits, which every JSON reader represents exactly.
std::uint64_t RandomIncarnation();

// The Unix time in milliseconds. Later processes of a VM get higher numbers, so that they can serve
// as fencing tokens.
std::uint64_t TimestampIncarnation();

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_INCARNATION_H_
