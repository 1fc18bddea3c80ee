// CallerGateway: requests received before the first configuration.
#include "zinniamuxd/caller_gateway.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "adapters/json_log.h"
#include "adapters/metrics.h"

namespace {

using std::chrono::milliseconds;
using zinniamux::adapters::HttpResponse;
using zinniamux::adapters::JsonLog;
using zinniamux::adapters::LogLevel;
using zinniamux::adapters::Metrics;
using zinniamux::core::JobScheduler;
using zinniamux::core::ManualClock;
using zinniamux::core::QueueConfiguration;
using zinniamux::daemon::CallerGateway;

struct Fixture {
  void Request(CallerGateway::ConnectionId connection, const std::string& path) {
    gateway.OnRequest(
        connection, {.method = "GET", .path = path, .headers = {{"Host", "h"}}},
        [this](const HttpResponse& response) { statuses.push_back(response.status); });
  }

  ManualClock clock;
  JsonLog log{{.file = "/dev/null", .level = LogLevel::kError}};
  Metrics metrics{clock};
  JobScheduler scheduler{{.availability_zone = "zone"}, clock};
  CallerGateway gateway{scheduler, clock, log, metrics};
  std::vector<int> statuses;
};

QueueConfiguration Configuration() {
  return {.version = 1,
          .queues = {{.name = "queue", .host = "h", .prefix = "/a/", .service = "s"}}};
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
