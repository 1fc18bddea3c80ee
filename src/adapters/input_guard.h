// Limits what the clients of a process's HTTP listeners make it hold, per connection and in total.
#ifndef ZINNIAMUX_ADAPTERS_INPUT_GUARD_H_
#define ZINNIAMUX_ADAPTERS_INPUT_GUARD_H_

#include <asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "adapters/input_limits.h"
#include "adapters/json_log.h"
#include "adapters/metrics.h"
#include "core/clock.h"
#include "core/input_budget.h"

namespace zinniamux::adapters {

enum class RefusalCause {
  kHead,
  kEmptyLines,
  kBody,
  kChunkOverhead,
  kStalled,
  kBytes,
  kConnections,
};

std::string_view NameOf(RefusalCause cause);

class InputGuard;

// The input of one connection. The socket reports bytes, and the parser the parts of requests. All
// calls are on the loop.
class ConnectionInput {
 public:
  ConnectionInput(InputGuard& guard, std::uint64_t id, std::string listener);

  // The connection whose input is being parsed on this thread; null outside of InputScope.
  static ConnectionInput* Current();

  // `socket` outlives the connection or its OnClosed.
  void Attach(asio::ip::tcp::socket& socket) { socket_ = &socket; }
  // For a connection without HTTP, which `close` closes in a later event.
  void SetDropHandler(std::function<void()> close) { close_ = std::move(close); }
  // A part of a message has arrived, or the rest of it.
  void OnMessagePart(std::size_t held_bytes);
  void OnMessageComplete();
  // The peer has introduced itself: the connection is closed after all others.
  void OnPeerKnown();
  void OnRead(std::size_t bytes) { wire_bytes_ += bytes; }
  // The bytes that were read are parsed.
  void OnParsed();
  void OnWriting(std::size_t bytes);
  // Before what follows the write is handled.
  void OnWritten();
  void OnAnswered();
  // The client sends nothing after what was read.
  void OnClientClosed() { client_closed_ = true; }
  void OnClosed();

  void OnHeadPart(std::size_t bytes) { held_bytes_ += bytes; }
  void OnField();
  void OnHeadComplete() { phase_ = Phase::kBody; }
  // `capacity` is the memory of the whole body so far.
  void OnBody(std::size_t bytes, std::size_t capacity);
  void OnRequestBegin();
  void OnRequestComplete();

  // Sends an answer that says why, if the client waits for none. The caller closes the connection.
  void Refuse(RefusalCause cause);
  // The same, and closes the connection in a later event.
  void Drop(RefusalCause cause);
  // The socket reports an error to its next read or write.
  bool dropped() const { return dropped_; }
  bool client_closed() const { return client_closed_; }
  // When the connection was opened, or when this was called last: with each complete request.
  core::TimePoint ExchangeUsedAt();

  std::uint64_t id() const { return id_; }
  const std::string& listener() const { return listener_; }

 private:
  friend class InputScope;

  enum class Phase { kIdle, kHead, kBody };

  void ReportOutput();

  InputGuard& guard_;
  const std::uint64_t id_;
  const std::string listener_;
  asio::ip::tcp::socket* socket_ = nullptr;
  std::function<void()> close_;
  Phase phase_ = Phase::kIdle;
  // Since the end of the last complete request.
  std::size_t wire_bytes_ = 0;
  std::size_t body_bytes_ = 0;
  std::size_t body_capacity_ = 0;
  // Of the head.
  std::size_t held_bytes_ = 0;
  std::size_t requests_ = 0;
  std::size_t unread_bytes_ = 0;
  // A request was completed since the bytes were read.
  bool completed_ = false;
  // A write has ended since the output was reported.
  bool output_changed_ = false;
  bool refused_ = false;
  bool dropped_ = false;
  bool client_closed_ = false;
  core::TimePoint used_at_;
};

// Marks the connection whose input is parsed.
class InputScope {
 public:
  explicit InputScope(ConnectionInput& input);
  ~InputScope();
  InputScope(const InputScope&) = delete;
  InputScope& operator=(const InputScope&) = delete;

 private:
  ConnectionInput* const previous_;
};

// One per process, for all its listeners. All calls are on the loop. It outlives its connections.
class InputGuard {
 public:
  struct Options {
    core::InputBudget::Options budget;
    ConnectionLimits connection;
  };

  InputGuard(const Options& options, const core::Clock& clock, JsonLog& log, Metrics& metrics)
      : options_(options), clock_(clock), log_(log), metrics_(metrics), budget_(options.budget) {}

  std::shared_ptr<ConnectionInput> Open(const std::string& listener);
  // Gives up requests without progress, and logs refusals.
  void OnTimer();
  void UpdateGauges();

  const ConnectionLimits& limits() const { return options_.connection; }
  // Connections since the start.
  std::uint64_t opened() const { return last_id_; }
  std::size_t input_bytes() const { return budget_.bytes(); }
  std::size_t connections() const { return budget_.connections(); }

 private:
  friend class ConnectionInput;

  void Close(const std::vector<core::InputBudget::Drop>& drops);
  void OnRefused(const ConnectionInput& input, RefusalCause cause);
  void LogRefusals(core::TimePoint now);

  const Options options_;
  const core::Clock& clock_;
  JsonLog& log_;
  Metrics& metrics_;
  core::InputBudget budget_;
  std::unordered_map<std::uint64_t, std::shared_ptr<ConnectionInput>> inputs_;
  std::uint64_t last_id_ = 0;
  core::TimePoint next_sweep_at_;
  core::TimePoint next_log_at_;
  // Since the last log line, by listener and cause.
  std::map<std::pair<std::string, std::string_view>, std::uint64_t> refusals_;
};

}  // namespace zinniamux::adapters

#endif  // ZINNIAMUX_ADAPTERS_INPUT_GUARD_H_
