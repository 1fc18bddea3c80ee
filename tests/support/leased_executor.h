// An executor stand-in that keeps the platform's leases, in real time and over HTTP.
#ifndef ZINNIAMUX_TESTS_SUPPORT_LEASED_EXECUTOR_H_
#define ZINNIAMUX_TESTS_SUPPORT_LEASED_EXECUTOR_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <vector>

#include "adapters/http_client.h"
#include "adapters/listen_address.h"
#include "adapters/loop_http_server.h"
#include "core/clock.h"
#include "support/run_records.h"
#include "support/simulated_executor.h"

namespace zinniamux::testing {

// Serves run-start, run-stop and hold, and announces itself to its supervisor. The spec of a task
// is its run time in milliseconds. All calls are on the loop, which outlives the executor.
class LeasedExecutor {
 public:
  struct Options {
    std::string id;
    std::string service;
    std::string zone;
    adapters::ListenAddress address;
    // host:port that it announces: that of a proxy in front of `address`.
    std::string announced_address;
    // Answers a start of a run that is there already with 503, as an unhealthy executor may.
    bool refuses_second_copies = false;
    // host:port at which the supervisor takes announcements.
    std::string supervisor;
    core::Resources capacity;
    // What each task takes.
    core::Resources task_need;
  };

  // Throws if the address cannot be bound.
  LeasedExecutor(asio::io_context& loop, Options options, adapters::HttpClient& client,
                 const core::Clock& clock, RunRecords& records);

 private:
  // A hold call that waits for an end.
  struct WaitingHold {
    core::TimePoint until;
    core::CallHold call;
    adapters::HttpResponder respond;
  };

  SimulatedExecutor MakeExecutor();
  void OnRequest(const adapters::HttpRequest& request, const adapters::HttpResponder& respond);
  adapters::HttpResponse Start(const nlohmann::json& body);
  adapters::HttpResponse Stop(const nlohmann::json& body);
  void Hold(const nlohmann::json& body, const adapters::HttpResponder& respond);
  adapters::HttpResponse ComposeHoldAnswer(const core::HoldAnswer& answer) const;
  adapters::HttpResponse Refuse(const std::string& reason) const;
  // Brings leases and runs up to the present time.
  void Advance();
  void OnTimer();
  void Announce();

  const Options options_;
  adapters::HttpClient& client_;
  const core::Clock& clock_;
  RunRecords& records_;
  // Times up to which the executor has advanced, and at which it announces itself next.
  core::TimePoint now_;
  core::TimePoint next_announcement_;
  std::map<core::TaskId, core::Duration> run_times_;
  // Runs for which a start has come, if second copies are refused.
  std::set<core::RunId> started_;
  std::uint64_t fence_ = 0;
  SimulatedExecutor executor_;
  std::vector<WaitingHold> waiting_;
  asio::steady_timer timer_;
  std::unique_ptr<adapters::LoopHttpServer> server_;
};

}  // namespace zinniamux::testing

#endif  // ZINNIAMUX_TESTS_SUPPORT_LEASED_EXECUTOR_H_
