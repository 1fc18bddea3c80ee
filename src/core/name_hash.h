// Hash of a pair of names, for rendezvous hashing.
#ifndef ZINNIAMUX_CORE_NAME_HASH_H_
#define ZINNIAMUX_CORE_NAME_HASH_H_

#include <cstdint>
#include <string_view>

namespace zinniamux::core {

// The value is the same in every process. `seed` is the hash of the other name.
std::uint64_t NameHash(std::string_view name, std::uint64_t seed = 0);

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_NAME_HASH_H_
