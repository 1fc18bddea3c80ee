// The identity of a running entry and the address at which its peers reach it.
#ifndef ZINNIAMUX_CORE_ENTRY_ADDRESS_H_
#define ZINNIAMUX_CORE_ENTRY_ADDRESS_H_

#include <cstdint>
#include <string>

namespace zinniamux::core {

// One entry process. A restarted process keeps its id and has another incarnation.
struct EntryAddress {
  std::string entry_id;
  std::uint64_t incarnation = 0;
  // host:port of the rpc server.
  std::string rpc_address;

  bool operator==(const EntryAddress&) const = default;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_ENTRY_ADDRESS_H_
