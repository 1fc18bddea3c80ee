// The platform stand-in's HTTP/JSON interface, its faults and its counters.
//
//   GET  /table/row?key=K          200 {"row": {"key", "value", "version"} | null}
//   GET  /table/rows?prefix=P      200 {"rows": [...], "more": bool}, in key order, about 1 MiB;
//        [&after=K]                the rest, if there is more, has keys above K
//   POST /table/transaction        {"conditions": [{"key", "version"}], "puts": [{"key", "value"}],
//                                  "deletes": [key]}; 200 committed, 409 conflict
//   PUT, GET /objects/KEY          200, 404
//   POST /faults                   {"mode", "delay_ms", "every"}
//   GET  /stats                    200 {"reads", "writes", "conflicts", "lost"}
//
// Keys in paths and queries are percent-encoded.
#ifndef ZINNIAMUX_TESTS_STANDINS_PLATFORM_STANDIN_PLATFORM_SERVICE_H_
#define ZINNIAMUX_TESTS_STANDINS_PLATFORM_STANDIN_PLATFORM_SERVICE_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

#include "adapters/http_message.h"
#include "standins/platform_standin/platform_state.h"

namespace zinniamux::standins {

enum class FaultMode {
  kOk,
  // Every request is answered 503 and has no effect.
  kDown,
  // Requests are accepted, have no effect and are never answered.
  kSilent,
  // Every request takes effect, and is answered, after `delay`.
  kSlow,
  // Each `every`th write takes effect, but its connection is closed within the answer.
  kLoseAnswers,
  // Each `every`th write has no effect, and its connection is closed within the answer.
  kLoseWrites,
};

struct Faults {
  FaultMode mode = FaultMode::kOk;
  std::chrono::milliseconds delay{0};
  std::uint64_t every = 1;
};

struct PlatformStats {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t lost = 0;
};

// Serves requests from any thread. A write takes effect after `write_delay`, in its own time:
// writes do not wait for each other.
class PlatformService {
 public:
  struct Options {
    std::chrono::milliseconds write_delay{0};
    std::uint32_t writes_per_second = 0;
  };

  explicit PlatformService(const Options& options);
  // Delayed requests are abandoned.
  ~PlatformService();
  PlatformService(const PlatformService&) = delete;
  PlatformService& operator=(const PlatformService&) = delete;

  void Handle(adapters::HttpRequest request, adapters::HttpResponder respond);
  void SetFaults(const Faults& faults);
  PlatformStats Stats() const;
  // A copy of a row, past all faults.
  std::optional<core::TableRow> Row(const std::string& key) const;
  // Commits past all faults.
  bool Commit(const core::TableTransaction& transaction);

 private:
  using Clock = std::chrono::steady_clock;

  void HandleFaults(const adapters::HttpRequest& request, const adapters::HttpResponder& respond);
  // Time until a write that arrives now begins.
  Clock::duration WaitForWriteSlot();
  void HandleLater(Clock::duration delay, adapters::HttpRequest request,
                   adapters::HttpResponder respond);
  void HandleNow(const adapters::HttpRequest& request, const adapters::HttpResponder& respond);
  adapters::HttpResponse Read(const adapters::HttpRequest& request);
  adapters::HttpResponse Write(const adapters::HttpRequest& request);
  // Whether the current write is one that the fault mode hits.
  bool LosesThisWrite();
  void RunTimers();

  const Options options_;
  mutable std::mutex mutex_;
  // Guarded by mutex_, as are all members up to the thread.
  PlatformState state_;
  Faults faults_;
  PlatformStats stats_;
  std::uint64_t writes_since_fault_ = 0;
  Clock::time_point next_write_slot_;
  std::multimap<Clock::time_point, std::function<void()>> timers_;
  bool stopping_ = false;
  std::condition_variable timers_changed_;
  std::thread timer_thread_;
};

}  // namespace zinniamux::standins

#endif  // ZINNIAMUX_TESTS_STANDINS_PLATFORM_STANDIN_PLATFORM_SERVICE_H_
