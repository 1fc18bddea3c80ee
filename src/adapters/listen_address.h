// Addresses of processes: an IP number and a port.
#ifndef ZINNIAMUX_ADAPTERS_LISTEN_ADDRESS_H_
#define ZINNIAMUX_ADAPTERS_LISTEN_ADDRESS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace zinniamux::adapters {

// An address that the process listens on, or reaches a peer under.
struct ListenAddress {
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;
};

inline constexpr std::string_view kAddressRule =
    "IP:PORT or [IPv6]:PORT with an IP number and a port from 1 to 65535";

// Reads "10.0.0.7:4100" or "[fd00::7]:4100". The host of the result has no brackets. Nothing if the
// host is not an IP number or the port is not in 1 to 65535.
std::optional<ListenAddress> ParseAddress(std::string_view text);

// The text that ParseAddress reads.
std::string AddressText(const ListenAddress& address);

}  // namespace zinniamux::adapters

#endif  // ZINNIAMUX_ADAPTERS_LISTEN_ADDRESS_H_
