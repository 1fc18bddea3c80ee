// One life of an agent process, from its start to the loss of its memory.
#ifndef ZINNIAMUX_CORE_AGENT_INSTANCE_H_
#define ZINNIAMUX_CORE_AGENT_INSTANCE_H_

#include <cstdint>
#include <string>

namespace zinniamux::core {

// Start records are valid for one instance only: an agent that restarts has lost them.
struct AgentInstance {
  std::string agent_id;
  std::uint64_t incarnation = 0;

  bool operator==(const AgentInstance&) const = default;
};

// The name of an instance in the row `agents/<shard>`: "<agent id>@<incarnation>". The separator
// cannot occur in an id (docs/design.md, section 4.4).
inline std::string InstanceName(const AgentInstance& instance) {
  return instance.agent_id + "@" + std::to_string(instance.incarnation);
}

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_AGENT_INSTANCE_H_
