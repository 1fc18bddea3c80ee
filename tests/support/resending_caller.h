// A caller that sends a job without an answer again, to another dispatcher.
#ifndef ZINNIAMUX_TESTS_SUPPORT_RESENDING_CALLER_H_
#define ZINNIAMUX_TESTS_SUPPORT_RESENDING_CALLER_H_

#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "adapters/http_client.h"
#include "core/clock.h"
#include "support/leased_plan.h"

namespace zinniamux::testing {

// Sends each job on a thread of its own. After a broken connection, no answer within the deadline,
// 502 or 504, a job is sent again `kRetransmit` later, whatever the dispatcher has read of it.
class ResendingCaller {
 public:
  static constexpr std::chrono::milliseconds kRetransmit{1300};
  static constexpr std::chrono::milliseconds kDeadline{6000};
  static constexpr std::size_t kMaxAttempts = 4;

  // One sending of a job.
  struct Attempt {
    std::size_t dispatcher = 0;
    core::TimePoint sent;
    core::TimePoint ended;
    // 0 if there was no answer.
    int status = 0;
    std::string answer;
  };
  struct Outcome {
    LeasedJob job;
    // The last one has the final answer, or the caller gave up after it.
    std::vector<Attempt> attempts;
  };

  ResendingCaller(std::vector<std::uint16_t> ports, const core::Clock& clock)
      : ports_(std::move(ports)), clock_(clock) {}
  ~ResendingCaller() { Finish(); }
  ResendingCaller(const ResendingCaller&) = delete;
  ResendingCaller& operator=(const ResendingCaller&) = delete;

  void Submit(const LeasedJob& job);
  // Waits for all jobs.
  std::vector<Outcome> Finish();

 private:
  Outcome Run(const LeasedJob& job);
  Attempt Send(const LeasedJob& job, std::size_t dispatcher);

  const std::vector<std::uint16_t> ports_;
  const core::Clock& clock_;
  std::vector<std::thread> threads_;
  std::mutex mutex_;
  // Guarded by mutex_.
  std::vector<Outcome> outcomes_;
  adapters::HttpClient client_{{.max_connections_per_host = 256}};
};

}  // namespace zinniamux::testing

#endif  // ZINNIAMUX_TESTS_SUPPORT_RESENDING_CALLER_H_
