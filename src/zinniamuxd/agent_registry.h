// The agents attached to this entry, and the streams to them.
#ifndef ZINNIAMUX_ZINNIAMUXD_AGENT_REGISTRY_H_
#define ZINNIAMUX_ZINNIAMUXD_AGENT_REGISTRY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/executor_info.h"
#include "zinniamux.pb.h"
#include "zinniamuxd/agent_stream.h"
#include "zinniamuxd/message_counts.h"

namespace zinniamux::daemon {

// Keeps the latest stream of each agent, whichever shard the agent belongs to: agents of shards
// that this entry does not own stay attached, so that a takeover needs no new connections.
// Thread-safe.
class AgentRegistry {
 public:
  // Hooks run without a lock of this class. `agent_id` and `shard` are those of the agent's hello.
  struct Hooks {
    std::function<v1::Welcome()> make_welcome;
    std::function<void(const core::AgentHello&)> on_attached;
    // A message other than a hello. Returns whether the shard's owner in this process applied it.
    std::function<bool(const std::string& agent_id, std::uint32_t shard, v1::AgentMessage)>
        on_message;
    std::function<void(const std::string& agent_id, std::uint32_t shard)> on_detached;
  };

  // `counts` outlives this object.
  AgentRegistry(const core::Clock& clock, MessageCounts& counts, Hooks hooks);

  // Creates the stream of a connecting agent; the agent counts as attached once its hello has
  // arrived.
  grpc::ServerBidiReactor<v1::AgentMessage, v1::EntryMessage>* Accept(
      grpc::CallbackServerContext* context);
  // Does nothing if the agent is not attached.
  void Send(const std::string& agent_id, v1::EntryMessage message);
  // Sends a Welcome with the current roster to every attached agent.
  void SendWelcomes();
  // Sends heartbeats and cancels silent streams. Called every few milliseconds.
  void OnTimer();

  // The attached agents of a shard with their last reported status.
  std::vector<core::AgentHello> AgentsOf(std::uint32_t shard) const;
  // The agent's hello, if it is attached now.
  std::optional<core::AgentHello> Find(const std::string& agent_id) const;
  std::vector<core::AgentHello> AttachedAgents() const;

 private:
  struct Agent {
    std::shared_ptr<AgentStream> stream;
    // Its executor status is the one reported last.
    core::AgentHello hello;
    // The agent's timestamp on its last message if the shard's owner in this process applied that
    // message, else zero. Heartbeats echo it to acknowledge all earlier messages of the stream.
    std::uint64_t applied_mono_ms = 0;
    core::TimePoint heartbeat_at;
  };

  void OnMessage(const std::shared_ptr<AgentStream>& stream, v1::AgentMessage message);
  void OnHello(const std::shared_ptr<AgentStream>& stream, const v1::Hello& message);
  void OnClosed(const std::shared_ptr<AgentStream>& stream);

  const core::Clock& clock_;
  MessageCounts& counts_;
  const Hooks hooks_;
  mutable std::mutex mutex_;
  // Guarded by mutex_.
  std::map<std::string, Agent> agents_;
  std::map<const AgentStream*, std::string> agent_ids_;
};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_AGENT_REGISTRY_H_
