// Numbers that distinguish a process from earlier ones with the same id.
#ifndef ZINNIAMUX_ZINNIAMUXD_INCARNATION_H_
#define ZINNIAMUX_ZINNIAMUXD_INCARNATION_H_

#include <cstdint>

namespace zinniamux::daemon {

// Never 0, and at most 48 bits, which are exact in every JSON reader.
std::uint64_t RandomIncarnation();

// Milliseconds since 1970: later processes of a VM get higher numbers, so that they can serve as
// fencing tokens.
std::uint64_t RisingIncarnation();

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_INCARNATION_H_
