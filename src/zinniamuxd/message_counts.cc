// Names the message kinds after the fields of the protocol buffers.
#include "zinniamuxd/message_counts.h"

#include <string_view>

namespace zinniamux::daemon {
namespace {

constexpr std::array<std::string_view, 4> kPeerCallNames{"forward", "fetch", "cancel",
                                                         "peer_heartbeat"};
// A request and an answer.
constexpr std::uint64_t kMessagesPerCall = 2;

template <typename Counts>
void AddStreamKinds(const google::protobuf::Descriptor& descriptor, const std::string& prefix,
                    const Counts& counts, std::map<std::string, std::uint64_t>& by_kind) {
  for (std::size_t number = 1; number < counts.size(); ++number) {
    const std::uint64_t count = counts[number];
    const auto* field = descriptor.FindFieldByNumber(static_cast<int>(number));
    if (count > 0 && field != nullptr) by_kind[prefix + field->name()] = count;
  }
}

}  // namespace

std::map<std::string, std::uint64_t> MessageCounts::ByKind() const {
  std::map<std::string, std::uint64_t> by_kind;
  AddStreamKinds(*v1::AgentMessage::descriptor(), "agent_", from_agents_, by_kind);
  AddStreamKinds(*v1::EntryMessage::descriptor(), "entry_", to_agents_, by_kind);
  for (std::size_t call = 0; call < peer_calls_.size(); ++call) {
    const std::uint64_t count = peer_calls_[call];
    if (count > 0) by_kind[std::string(kPeerCallNames[call])] = count * kMessagesPerCall;
  }
  return by_kind;
}

}  // namespace zinniamux::daemon
