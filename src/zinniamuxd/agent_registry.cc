// Maps agent ids to the streams of the agents.
#include "zinniamuxd/agent_registry.h"

#include <algorithm>
#include <utility>

#include "rpc/convert.h"
#include "zinniamuxd/stream_timing.h"

namespace zinniamux::daemon {
AgentRegistry::AgentRegistry(const core::Clock& clock, MessageCounts& counts, Hooks hooks)
    : clock_(clock), counts_(counts), hooks_(std::move(hooks)) {}

grpc::ServerBidiReactor<v1::AgentMessage, v1::EntryMessage>* AgentRegistry::Accept(
    grpc::CallbackServerContext* context) {
  auto stream = std::make_shared<AgentStream>(
      context,
      AgentStream::Hooks{
          .on_message =
              [this](const std::shared_ptr<AgentStream>& from, v1::AgentMessage message) {
                counts_.CountReceived(message);
                OnMessage(from, std::move(message));
              },
          .on_closed = [this](const std::shared_ptr<AgentStream>& from) { OnClosed(from); },
          .on_send = [this](const v1::EntryMessage& message) { counts_.CountSent(message); }},
      clock_);
  stream->Start();
  return stream.get();
}

void AgentRegistry::OnMessage(const std::shared_ptr<AgentStream>& stream,
                              v1::AgentMessage message) {
  if (message.has_hello()) {
    OnHello(stream, message.hello());
    return;
  }
  std::string agent_id;
  std::uint32_t shard = 0;
  {
    const std::lock_guard lock(mutex_);
    const auto found = agent_ids_.find(stream.get());
    if (found == agent_ids_.end()) return;
    agent_id = found->second;
    const auto agent = agents_.find(agent_id);
    // Messages of a replaced stream are dropped; the agent sends them again on the new one.
    if (agent == agents_.end() || agent->second.stream != stream) return;
    shard = agent->second.hello.shard;
    if (message.has_report()) agent->second.hello.executor = rpc::FromProto(message.report());
    agent->second.hello.agent_time = std::chrono::milliseconds(message.now_mono_ms());
  }
  const std::uint64_t mono_ms = message.now_mono_ms();
  const bool applied = hooks_.on_message(agent_id, shard, std::move(message));
  const std::lock_guard lock(mutex_);
  const auto agent = agents_.find(agent_id);
  if (agent == agents_.end() || agent->second.stream != stream) return;
  agent->second.applied_mono_ms = applied ? mono_ms : 0;
}

void AgentRegistry::OnHello(const std::shared_ptr<AgentStream>& stream, const v1::Hello& message) {
  const core::AgentHello hello = rpc::FromProto(message);
  std::shared_ptr<AgentStream> replaced;
  {
    const std::lock_guard lock(mutex_);
    Agent& agent = agents_[hello.agent_id];
    replaced = std::exchange(agent.stream, stream);
    agent.hello = hello;
    agent.applied_mono_ms = 0;
    agent.heartbeat_at = clock_.now() + kHeartbeatPeriod;
    agent_ids_[stream.get()] = hello.agent_id;
  }
  if (replaced != nullptr && replaced != stream) replaced->Cancel();
  v1::EntryMessage welcome;
  *welcome.mutable_welcome() = hooks_.make_welcome();
  stream->Send(std::move(welcome));
  hooks_.on_attached(hello);
}

void AgentRegistry::OnClosed(const std::shared_ptr<AgentStream>& stream) {
  std::string agent_id;
  std::uint32_t shard = 0;
  {
    const std::lock_guard lock(mutex_);
    const auto found = agent_ids_.find(stream.get());
    if (found == agent_ids_.end()) return;
    agent_id = found->second;
    agent_ids_.erase(found);
    const auto agent = agents_.find(agent_id);
    if (agent == agents_.end() || agent->second.stream != stream) return;
    shard = agent->second.hello.shard;
    agents_.erase(agent);
  }
  hooks_.on_detached(agent_id, shard);
}

void AgentRegistry::Send(const std::string& agent_id, v1::EntryMessage message) {
  std::shared_ptr<AgentStream> stream;
  {
    const std::lock_guard lock(mutex_);
    const auto found = agents_.find(agent_id);
    if (found == agents_.end()) return;
    stream = found->second.stream;
  }
  stream->Send(std::move(message));
}

void AgentRegistry::SendWelcomes() {
  std::vector<std::shared_ptr<AgentStream>> streams;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [id, agent] : agents_) streams.push_back(agent.stream);
  }
  v1::EntryMessage message;
  *message.mutable_welcome() = hooks_.make_welcome();
  for (const auto& stream : streams) stream->Send(message);
}

void AgentRegistry::OnTimer() {
  struct Due {
    std::shared_ptr<AgentStream> stream;
    std::uint64_t applied_mono_ms;
  };
  const core::TimePoint now = clock_.now();
  std::vector<Due> due;
  std::vector<std::shared_ptr<AgentStream>> silent;
  {
    const std::lock_guard lock(mutex_);
    for (auto& [id, agent] : agents_) {
      if (now - agent.stream->last_received() > kSilenceLimit) {
        silent.push_back(agent.stream);
        continue;
      }
      if (now < agent.heartbeat_at) continue;
      // If there is nothing to acknowledge, a heartbeat is needed only when nothing else was sent.
      const bool idle = now - agent.stream->last_sent() >= kHeartbeatPeriod;
      if (!idle && agent.applied_mono_ms == 0) continue;
      agent.heartbeat_at = now + kHeartbeatPeriod;
      due.push_back({agent.stream, agent.applied_mono_ms});
    }
  }
  for (const auto& stream : silent) stream->Cancel();
  for (const Due& item : due) {
    v1::EntryMessage heartbeat;
    heartbeat.mutable_heartbeat()->set_now_mono_ms(item.applied_mono_ms);
    item.stream->Send(std::move(heartbeat));
  }
}

std::vector<core::AgentHello> AgentRegistry::AgentsOf(std::uint32_t shard) const {
  std::vector<core::AgentHello> hellos = AttachedAgents();
  std::erase_if(hellos, [shard](const core::AgentHello& hello) { return hello.shard != shard; });
  return hellos;
}

std::optional<core::AgentHello> AgentRegistry::Find(const std::string& agent_id) const {
  const std::lock_guard lock(mutex_);
  const auto found = agents_.find(agent_id);
  if (found == agents_.end()) return std::nullopt;
  return found->second.hello;
}

std::vector<core::AgentHello> AgentRegistry::AttachedAgents() const {
  const std::lock_guard lock(mutex_);
  std::vector<core::AgentHello> hellos;
  hellos.reserve(agents_.size());
  for (const auto& [id, agent] : agents_) hellos.push_back(agent.hello);
  return hellos;
}

}  // namespace zinniamux::daemon
