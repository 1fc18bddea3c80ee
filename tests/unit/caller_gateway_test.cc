// CallerGateway: requests before the first configuration, and requests that are read late.
#include "zinniamuxd/caller_gateway.h"

#include <criterion/criterion.h>

#include <cstddef>
#include <string>
#include <variant>
#include <vector>

#include "adapters/json_log.h"
#include "adapters/metrics.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using zinniamux::adapters::HttpResponse;
using zinniamux::adapters::JsonLog;
using zinniamux::adapters::LogLevel;
using zinniamux::adapters::Metrics;
using zinniamux::core::AnswerJob;
using zinniamux::core::JobScheduler;
using zinniamux::core::ManualClock;
using zinniamux::core::QueueConfiguration;
using zinniamux::core::Resources;
using zinniamux::core::StartTasks;
using zinniamux::core::TimePoint;
using zinniamux::daemon::CallerGateway;

struct Fixture {
  void Request(CallerGateway::ConnectionId connection, const std::string& path) {
    gateway.OnRequest(
        connection, {.method = "GET", .path = path, .headers = {{"Host", "h"}}},
        [this](const HttpResponse& response) { statuses.push_back(response.status); }, clock.now());
  }

  // Submits a job that arrived at `arrived`, and places it.
  void Submit(const std::string& path, TimePoint arrived, bool client_closed = false) {
    gateway.OnRequest(
        1,
        {.method = "POST",
         .path = path,
         .headers = {{"Host", "h"}},
         .body = R"({"best_effort":true,"steps":[{"count":1,"cpu":100,"estimate_ms":100}]})",
         .client_closed = client_closed},
        [this](const HttpResponse& response) { statuses.push_back(response.status); }, arrived);
    scheduler.Place();
    for (auto& action : scheduler.TakeActions()) {
      if (std::holds_alternative<StartTasks>(action)) ++orders;
      if (const auto* answer = std::get_if<AnswerJob>(&action)) gateway.OnJobAnswered(*answer);
    }
  }

  ManualClock clock;
  JsonLog log{{.file = "/dev/null", .level = LogLevel::kError}};
  Metrics metrics{clock};
  JobScheduler scheduler{{.availability_zone = "zone"}, clock};
  CallerGateway gateway{scheduler, clock, log, metrics};
  std::vector<int> statuses;
  std::size_t orders = 0;
};

QueueConfiguration Configuration() {
  return {.version = 1,
          .queues = {{.name = "queue",
                      .host = "h",
                      .prefix = "/a/",
                      .service = "s",
                      .attempts = 2,
                      .stretch = 1.6,
                      .slack = milliseconds(60)}}};
}

// Configures the queue and an executor with room.
void Serve(Fixture& fixture) {
  fixture.gateway.SetConfiguration(Configuration());
  fixture.clock.Advance(seconds(2));
  fixture.scheduler.OnAgentAttached("a", "zone", 1, {});
  const Resources room{.cpu_milli = 4000, .memory_mb = 1000};
  fixture.scheduler.OnReport("a", {.executor_id = "executor-a",
                                   .service = "s",
                                   .accepting = true,
                                   .capacity = room,
                                   .free = room,
                                   .pace = 1});
}

}  // namespace

// Guards against requests that are refused, or answered without a configuration, in the
// milliseconds between the start of the process and its first configuration.
Test(caller_gateway, handles_early_requests_once_configured) {
  Fixture fixture;
  fixture.Request(1, "/a/");
  fixture.Request(2, "/b/");
  cr_assert(fixture.statuses.empty());
  cr_assert_eq(fixture.gateway.waiting_caller_count(), 2);
  fixture.clock.Advance(milliseconds(100));
  fixture.gateway.SetConfiguration(Configuration());
  cr_assert_eq(fixture.statuses.size(), 2);
  cr_assert_eq(fixture.statuses.at(0), 200);
  cr_assert_eq(fixture.statuses.at(1), 404);
  cr_assert_eq(fixture.gateway.waiting_caller_count(), 0);
}

// Guards against requests that wait for as long as the store is unavailable, and against responses
// to closed connections.
Test(caller_gateway, refuses_early_requests_after_a_timeout) {
  Fixture fixture;
  fixture.Request(1, "/a/");
  fixture.clock.Advance(milliseconds(200));
  fixture.Request(2, "/a/");
  fixture.Request(3, "/a/");
  fixture.gateway.OnClosed(2);
  fixture.clock.Advance(milliseconds(100));
  fixture.gateway.OnTimer();
  cr_assert_eq(fixture.statuses.size(), 1);
  cr_assert_eq(fixture.statuses.at(0), 503);
  fixture.clock.Advance(milliseconds(200));
  fixture.gateway.OnTimer();
  cr_assert_eq(fixture.statuses.size(), 2);
}

// Guards against 500 bodies of 1 MiB that wait for the first configuration.
Test(caller_gateway, refuses_early_requests_beyond_the_memory_for_work) {
  constexpr std::size_t kBodyBytes = 1U << 20U;
  Fixture fixture;
  const std::size_t fitting = fixture.scheduler.max_work_bytes() / kBodyBytes;
  const auto send = [&fixture](CallerGateway::ConnectionId connection) {
    fixture.gateway.OnRequest(
        connection,
        {.method = "POST",
         .path = "/a/0000000000000001",
         .headers = {{"Host", "h"}},
         .body = std::string(kBodyBytes, 'x')},
        [&fixture](const HttpResponse& response) { fixture.statuses.push_back(response.status); },
        fixture.clock.now());
  };
  for (std::size_t i = 0; i < 2 * fitting; ++i) send(i);
  cr_assert_lt(fixture.gateway.waiting_caller_count(), fitting);
  cr_assert_geq(fixture.statuses.size(), fitting);
  for (const int status : fixture.statuses) cr_assert_eq(status, 503);
  const std::string counter = "work_refused_total{cause=\"no_memory\"} ";
  cr_assert(fixture.metrics.Text().find(counter + std::to_string(fixture.statuses.size())) !=
            std::string::npos);
  // A closed connection makes room for one.
  const std::size_t refused = fixture.statuses.size();
  fixture.gateway.OnClosed(0);
  send(2 * fitting);
  cr_assert_eq(fixture.statuses.size(), refused);
  // The configuration frees all of them.
  fixture.gateway.SetConfiguration(Configuration());
  cr_assert_eq(fixture.gateway.waiting_caller_count(), 0);
}

// Guards against runs for callers who get their answer too late: the process was behind, and
// counted the time that a job may take from when it read the request.
Test(caller_gateway, refuses_at_once_a_job_that_was_read_too_late) {
  Fixture fixture;
  Serve(fixture);
  fixture.Submit("/a/0000000000000001", fixture.clock.now());
  cr_assert_eq(fixture.orders, 1);
  // 1.6 x 100 ms + 60 ms after the arrival, the answer is late.
  fixture.Submit("/a/0000000000000002", fixture.clock.now() - milliseconds(130));
  cr_assert_eq(fixture.orders, 1);
  cr_assert_eq(fixture.statuses.size(), 1);
  cr_assert_eq(fixture.statuses.at(0), 503);
}

// Guards against a task of a caller who has closed its connection and sent the job elsewhere. One
// that only stops sending gets a refusal.
Test(caller_gateway, refuses_a_job_whose_caller_has_closed_its_connection) {
  Fixture fixture;
  Serve(fixture);
  fixture.Submit("/a/0000000000000001", fixture.clock.now(), true);
  cr_assert_eq(fixture.orders, 0);
  cr_assert_eq(fixture.statuses.size(), 1);
  cr_assert_eq(fixture.statuses.at(0), 503);
  // The caller of an earlier copy stays.
  fixture.Submit("/a/0000000000000002", fixture.clock.now());
  fixture.Submit("/a/0000000000000002", fixture.clock.now(), true);
  cr_assert_eq(fixture.orders, 1);
  cr_assert_eq(fixture.gateway.waiting_caller_count(), 1);
}
