// Identifies one run of an agent process. A restart loses the process's memory.
#ifndef ZINNIAMUX_CORE_AGENT_INSTANCE_H_
#define ZINNIAMUX_CORE_AGENT_INSTANCE_H_

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace zinniamux::core {

// Start records are valid for one instance only: an agent that restarts has lost them.
struct AgentInstance {
  std::string agent_id;
  std::uint64_t incarnation = 0;

  bool operator==(const AgentInstance&) const = default;
};

// The name of an instance in the row `agents/<shard>`: "<agent id>@<incarnation>". Ids cannot
// contain the separator.
inline std::string InstanceName(const AgentInstance& instance) {
  return instance.agent_id + "@" + std::to_string(instance.incarnation);
}

// Parses the result of InstanceName. Empty if the name is an agent id alone, or malformed.
inline std::optional<AgentInstance> ParseInstanceName(std::string_view name) {
  const std::size_t separator = name.rfind('@');
  if (separator == std::string_view::npos) return std::nullopt;
  const std::string_view digits = name.substr(separator + 1);
  std::uint64_t incarnation = 0;
  const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), incarnation);
  if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size()) return std::nullopt;
  return AgentInstance{.agent_id = std::string(name.substr(0, separator)),
                       .incarnation = incarnation};
}

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_AGENT_INSTANCE_H_
