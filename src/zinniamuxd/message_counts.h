// Counts of the messages between this entry and other processes of the system, by kind.
#ifndef ZINNIAMUX_ZINNIAMUXD_MESSAGE_COUNTS_H_
#define ZINNIAMUX_ZINNIAMUXD_MESSAGE_COUNTS_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <string>

#include "zinniamux.pb.h"

namespace zinniamux::daemon {

// Calls between entries are counted where they arrive, as a request and an answer. Thread-safe, and
// without locks because every task updates the counts.
class MessageCounts {
 public:
  enum class PeerCall { kForward, kFetch, kCancel, kHeartbeat };

  void CountReceived(const v1::AgentMessage& message) {
    ++from_agents_.at(static_cast<std::size_t>(message.body_case()));
  }
  void CountSent(const v1::EntryMessage& message) {
    ++to_agents_.at(static_cast<std::size_t>(message.body_case()));
  }
  void CountPeerCall(PeerCall call) { ++peer_calls_.at(static_cast<std::size_t>(call)); }

  // Counts since the process started, by kind; kinds that never occurred are left out.
  std::map<std::string, std::uint64_t> ByKind() const;

 private:
  // More than the highest field number in either message's body.
  static constexpr std::size_t kKinds = 16;
  static constexpr std::size_t kPeerCalls = 4;

  std::array<std::atomic<std::uint64_t>, kKinds> from_agents_{};
  std::array<std::atomic<std::uint64_t>, kKinds> to_agents_{};
  std::array<std::atomic<std::uint64_t>, kPeerCalls> peer_calls_{};
};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_MESSAGE_COUNTS_H_
