// Validates the input from executors.
#include "zinniamuxd/announcement.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>

namespace zinniamux::daemon {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxIdBytes = 128;
constexpr std::uint32_t kMaxSlots = 10'000;
constexpr std::uint32_t kMaxMemoryMb = 1U << 30U;
constexpr unsigned kMaxPort = 65'535;

tl::unexpected<core::Error> Invalid(std::string message) {
  return tl::unexpected(core::Error{core::ErrorKind::kInvalidRequest, std::move(message), {}});
}

core::Result<json> ParseObject(std::string_view body) {
  json parsed = json::parse(body, nullptr, false);
  if (!parsed.is_object()) return Invalid("the body is not a JSON object");
  return parsed;
}

bool IsIdCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
         c == '_' || c == ':' || c == '-';
}

core::Result<std::string> ReadId(const json& body) {
  const auto found = body.find("executor_id");
  if (found == body.end()) return Invalid("field 'executor_id' is missing");
  if (!found->is_string()) return Invalid("field 'executor_id' is not a string");
  std::string id = found->get<std::string>();
  if (id.empty() || id.size() > kMaxIdBytes || !std::ranges::all_of(id, IsIdCharacter)) {
    return Invalid("field 'executor_id' is not 1 to 128 characters of [A-Za-z0-9._:-]");
  }
  return id;
}

bool IsNumericAddress(const std::string& address) {
  const std::size_t colon = address.find(':');
  if (colon == std::string::npos) return false;
  in_addr host{};
  if (inet_pton(AF_INET, address.substr(0, colon).c_str(), &host) != 1) return false;
  unsigned port = 0;
  const char* const end = address.data() + address.size();
  const auto [parsed_end, error] = std::from_chars(address.data() + colon + 1, end, port);
  return error == std::errc() && parsed_end == end && port > 0 && port <= kMaxPort;
}

core::Result<std::string> ReadAddress(const json& body) {
  const auto found = body.find("address");
  if (found == body.end()) return Invalid("field 'address' is missing");
  if (!found->is_string() || !IsNumericAddress(found->get<std::string>())) {
    return Invalid("field 'address' is not an IPv4 address and port, such as 10.0.0.7:8080");
  }
  return found->get<std::string>();
}

core::Result<std::uint32_t> ReadNumber(const json& body, const std::string& name, std::uint32_t min,
                                       std::uint32_t max) {
  const auto found = body.find(name);
  if (found == body.end()) return Invalid("field '" + name + "' is missing");
  if (!found->is_number_unsigned() || found->get<std::uint64_t>() < min ||
      found->get<std::uint64_t>() > max) {
    return Invalid("field '" + name + "' is not an integer from " + std::to_string(min) + " to " +
                   std::to_string(max));
  }
  return found->get<std::uint32_t>();
}

}  // namespace

core::Result<Announcement> ParseAnnouncement(std::string_view body) {
  const core::Result<json> parsed = ParseObject(body);
  if (!parsed) return tl::unexpected(parsed.error());
  const core::Result<std::string> id = ReadId(*parsed);
  if (!id) return tl::unexpected(id.error());
  const core::Result<std::string> address = ReadAddress(*parsed);
  if (!address) return tl::unexpected(address.error());
  const core::Result<std::uint32_t> slots = ReadNumber(*parsed, "slots", 1, kMaxSlots);
  if (!slots) return tl::unexpected(slots.error());
  const core::Result<std::uint32_t> connections = ReadNumber(*parsed, "connections", 1, kMaxSlots);
  if (!connections) return tl::unexpected(connections.error());
  const core::Result<std::uint32_t> memory_mb = ReadNumber(*parsed, "memory_mb", 0, kMaxMemoryMb);
  if (!memory_mb) return tl::unexpected(memory_mb.error());
  std::optional<bool> leaving;
  if (const auto found = parsed->find("leaving"); found != parsed->end()) {
    if (!found->is_boolean()) return Invalid("field 'leaving' is not a boolean");
    leaving = found->get<bool>();
  }
  return Announcement{.status = {.executor_id = *id,
                                 .available = true,
                                 .leaving = leaving.value_or(false),
                                 .slots = *slots,
                                 .connections = *connections,
                                 .memory_mb = *memory_mb},
                      .address = *address,
                      .leaving = leaving};
}

core::Result<std::string> ParseLeave(std::string_view body) {
  if (body.empty()) return std::string();
  const core::Result<json> parsed = ParseObject(body);
  if (!parsed) return tl::unexpected(parsed.error());
  return ReadId(*parsed);
}

}  // namespace zinniamux::daemon
