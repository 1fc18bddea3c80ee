// zinniamuxctl publish, against a stand-in for an entry's admin port.
#include "zinniamuxctl/publish_command.h"

#include <criterion/criterion.h>
#include <unistd.h>

#include <atomic>
#include <mutex>
#include <nlohmann/json.hpp>

#include "adapters/http_server.h"
#include "support/port_block.h"
#include "unit/temporary_folder.h"
#include "zinniamuxctl/command.h"

namespace {

using nlohmann::json;
using zinniamux::adapters::HttpRequest;
using zinniamux::adapters::HttpResponder;
using zinniamux::adapters::HttpResponse;
using zinniamux::adapters::HttpServer;
using zinniamux::ctl::PublishCommand;
using zinniamux::testing::PortBlock;
using zinniamux::tests::TemporaryFolder;

// Has version 4 in force and gives the n-th answer to the n-th publish.
class AdminStandIn {
 public:
  AdminStandIn(std::uint16_t port, std::vector<HttpResponse> answers)
      : answers_(std::move(answers)) {
    auto server =
        HttpServer::Start({.port = port, .threads = 1},
                          [this](const HttpRequest& request, const HttpResponder& respond) {
                            Serve(request, respond);
                          });
    cr_assert(server.has_value(), "port %d is in use", port);
    server_ = *std::move(server);
  }

  std::vector<json> requests() const {
    const std::lock_guard lock(mutex_);
    return requests_;
  }

 private:
  void Serve(const HttpRequest& request, const HttpResponder& respond) {
    const std::lock_guard lock(mutex_);
    if (request.method == "GET") {
      respond({.body = R"({"version":4,"body":{"teams":{},"jobs":{}}})"});
      return;
    }
    requests_.push_back(json::parse(request.body));
    respond(answers_.at(requests_.size() - 1));
  }

  mutable std::mutex mutex_;
  // Guarded by mutex_.
  const std::vector<HttpResponse> answers_;
  std::vector<json> requests_;
  std::unique_ptr<HttpServer> server_;
};

std::string Error(const std::string& kind, bool retryable) {
  return json{{"error", {{"kind", kind}, {"retryable", retryable}, {"retry_after_ms", 1}}}}.dump();
}

// Publishes one team without jobs and returns the exit code.
int Publish(std::uint16_t port) {
  const TemporaryFolder folder("publish");
  folder.Write("teams.zinniamux.yaml", "version: 1\nteams:\n  orders: {}\n");
  return PublishCommand().Run({"--server", "127.0.0.1:" + std::to_string(port), folder.path()});
}

}  // namespace

// Guards against a publish that takes effect twice: an undecided publish is repeated with the same
// token and base version, whatever is in force by then.
Test(publish_command, repeats_an_undecided_publish_with_its_token) {
  PortBlock ports;
  const std::uint16_t port = ports.Next();
  const AdminStandIn admin(port, {{.body = {}, .cut_off = true},
                                  {.status = 503, .body = Error("store_unavailable", true)},
                                  {.body = R"({"version":5})"}});
  cr_assert_eq(Publish(port), zinniamux::ctl::kExitOk);
  const std::vector<json> requests = admin.requests();
  cr_assert_eq(requests.size(), 3U);
  cr_assert(requests[0]["base_version"] == 4);
  cr_assert(requests[0]["body"]["teams"].contains("orders"));
  cr_assert(requests[1] == requests[0]);
  cr_assert(requests[2] == requests[0]);
}

// Guards against a lost publish that is reported as done, and a conflict that is tried again.
Test(publish_command, reports_a_conflict_at_once) {
  PortBlock ports;
  const std::uint16_t port = ports.Next();
  const AdminStandIn admin(port, {{.status = 409, .body = Error("version_conflict", false)}});
  cr_assert_eq(Publish(port), 5);
  cr_assert_eq(admin.requests().size(), 1U);
}
