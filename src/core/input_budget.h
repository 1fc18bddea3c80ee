// Chooses which connections to close when the input that clients hold in this process exceeds its
// memory or descriptors. Handles clients that open many connections, leave their requests
// unfinished or do not read their answers.
#ifndef ZINNIAMUX_CORE_INPUT_BUDGET_H_
#define ZINNIAMUX_CORE_INPUT_BUDGET_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/clock.h"

namespace zinniamux::core {

// Connections without a request in process go first, those that occupied the most memory for the
// longest time before others. An ordinary request is complete within milliseconds, so it is among
// the last ones even if its body is large.
class InputBudget {
 public:
  using ConnectionId = std::uint64_t;

  struct Options {
    // Held for unfinished requests and for answers that are not read.
    std::size_t max_bytes = 32U << 20U;
    std::size_t max_connections = 1024;
    // An unfinished request without a new byte for this time is given up.
    std::chrono::milliseconds stall_limit{10'000};
  };
  enum class Cause { kBytes, kConnections, kStalled };
  struct Drop {
    ConnectionId id = 0;
    Cause cause = Cause::kBytes;
  };

  explicit InputBudget(const Options& options) : options_(options) {}

  void OnOpened(ConnectionId id, TimePoint now);
  void OnClosed(ConnectionId id);
  // The unfinished request, of which bytes have just arrived, takes this much memory.
  void OnInput(ConnectionId id, std::size_t held_bytes, TimePoint now);
  // The unfinished request, if any, is complete and takes no memory any more.
  void OnInputComplete(ConnectionId id, TimePoint now);
  // Requests that are not answered, and bytes of an answer that the client has not read.
  void OnOutput(ConnectionId id, std::size_t requests, std::size_t unread_bytes, TimePoint now);

  // The connections to close because memory or connections are short, in the order of closing. They
  // no longer count, and their later events are ignored.
  std::vector<Drop> TakeExcess(TimePoint now);
  // The same for unfinished requests that make no progress.
  std::vector<Drop> TakeStalled(TimePoint now);

  std::size_t bytes() const { return bytes_; }
  std::size_t connections() const { return connections_.size(); }

 private:
  struct Connection {
    std::size_t input_bytes = 0;
    std::size_t unread_bytes = 0;
    std::size_t requests = 0;
    // The opening, the end of the last complete request, or its answer.
    TimePoint idle_since;
    // Unset without an unfinished request.
    TimePoint started_at;
    TimePoint progressed_at;

    std::size_t bytes() const { return input_bytes + unread_bytes; }
    bool busy() const { return requests > 0 || unread_bytes > 0; }
  };

  // A drop frees this part of the limit, so that the order is computed for many drops at once.
  static constexpr std::size_t kFreedPart = 16;
  // Time that is added to the age of a request, so that the size decides among new ones.
  static constexpr std::chrono::milliseconds kMinAge{100};

  // The cost of keeping the connection: bytes times the time that they have been held.
  static double ByteSeconds(const Connection& connection, TimePoint now);
  void Remove(ConnectionId id);
  void DropForBytes(TimePoint now, std::vector<Drop>& drops);
  void DropForConnections(std::vector<Drop>& drops);

  const Options options_;
  std::unordered_map<ConnectionId, Connection> connections_;
  // Invariant: the sum over connections_.
  std::size_t bytes_ = 0;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_INPUT_BUDGET_H_
