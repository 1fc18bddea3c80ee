// Parsing of addresses.
#include "adapters/listen_address.h"

#include <arpa/inet.h>

#include <charconv>

namespace zinniamux::adapters {
namespace {

bool IsIpNumber(const std::string& host, int family) {
  in6_addr buffer{};
  return inet_pton(family, host.c_str(), &buffer) == 1;
}

}  // namespace

std::optional<ListenAddress> ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::string_view host = text.substr(0, colon);
  const std::string_view port = text.substr(colon + 1);
  const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) host = host.substr(1, host.size() - 2);
  ListenAddress address{.host = std::string(host)};
  if (!IsIpNumber(address.host, bracketed ? AF_INET6 : AF_INET)) return std::nullopt;
  const char* end = port.data() + port.size();
  const auto [stop, error] = std::from_chars(port.data(), end, address.port);
  if (error != std::errc() || stop != end || address.port == 0) return std::nullopt;
  return address;
}

std::string AddressText(const ListenAddress& address) {
  const bool is_ipv6 = address.host.find(':') != std::string::npos;
  const std::string host = is_ipv6 ? "[" + address.host + "]" : address.host;
  return host + ":" + std::to_string(address.port);
}

}  // namespace zinniamux::adapters
