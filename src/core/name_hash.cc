// Hash of names.
#include "core/name_hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace zinniamux::core {

std::uint64_t NameHash(std::string_view name, std::uint64_t seed) {
  return XXH64(name.data(), name.size(), seed);
}

}  // namespace zinniamux::core
