// LoopHttpServer with an InputGuard: what clients at and over the limits get.
#include "adapters/input_guard.h"

#include <criterion/criterion.h>

#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "adapters/json_log.h"
#include "adapters/loop_http_server.h"
#include "adapters/metrics.h"
#include "support/port_block.h"
#include "unit/temporary_folder.h"

namespace {

using zinniamux::adapters::HttpRequest;
using zinniamux::adapters::HttpResponder;
using zinniamux::adapters::InputGuard;
using zinniamux::adapters::JsonLog;
using zinniamux::adapters::LoopHttpServer;
using zinniamux::adapters::Metrics;
using zinniamux::core::ManualClock;
using zinniamux::testing::PortBlock;
using zinniamux::tests::TemporaryFolder;

constexpr std::size_t kMaxBodyBytes = 1U << 20U;
const std::string kChunkedHead =
    "POST /job HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

class Fixture {
 public:
  explicit Fixture(const InputGuard::Options& options)
      : log_({.file = folder_.path() + "/log", .process = "test"}),
        metrics_(clock_),
        guard_(options, clock_, log_, metrics_) {
    auto server = LoopHttpServer::Start(
        loop_, {.address = {.host = "127.0.0.1", .port = port_},
                .input_guard = &guard_,
                .name = "caller",
                .max_body_bytes = kMaxBodyBytes,
                .handler = [this](LoopHttpServer::ConnectionId, HttpRequest request,
                                  HttpResponder responder) {
                  requests_.push_back(std::move(request));
                  responders_.push_back(std::move(responder));
                }});
    cr_assert(server.has_value());
    server_ = *std::move(server);
  }

  asio::ip::tcp::socket Connect() {
    asio::ip::tcp::socket client(loop_);
    client.connect({asio::ip::make_address("127.0.0.1"), port_});
    client.non_blocking(true);
    const std::uint64_t opened = guard_.opened();
    cr_assert(RunUntil([&] { return guard_.opened() > opened; }));
    return client;
  }
  // Sends while the server reads, until all is sent or the server has closed the connection.
  void Send(asio::ip::tcp::socket& client, std::string_view input) {
    asio::error_code error;
    while (!input.empty()) {
      input.remove_prefix(client.write_some(asio::buffer(input.data(), input.size()), error));
      if (error && error != asio::error::would_block) break;
      loop_.poll();
    }
  }
  // Runs the server until it holds. The limit is generous: verdicts don't depend on the machine.
  bool RunUntil(const std::function<bool()>& condition) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (!condition()) {
      if (std::chrono::steady_clock::now() > end) return false;
      loop_.run_one_for(std::chrono::milliseconds(5));
    }
    return true;
  }
  bool RunUntilRequests(std::size_t count) {
    return RunUntil([this, count] { return requests_.size() >= count; });
  }
  // Everything that the server sends before it closes the connection.
  std::optional<std::string> ReceiveUntilClosed(asio::ip::tcp::socket& client) {
    std::string text;
    const bool closed = RunUntil([&] { return ReadAvailable(client, text); });
    return closed ? std::optional(text) : std::nullopt;
  }
  // Adds what has arrived to `text`; true if the server has closed the connection.
  static bool ReadAvailable(asio::ip::tcp::socket& client, std::string& text) {
    std::string buffer(4096, '\0');
    asio::error_code error;
    while (!error) text.append(buffer, 0, client.read_some(asio::buffer(buffer), error));
    return error != asio::error::would_block;
  }
  bool Counted(const std::string& cause) const {
    return metrics_.Text().find("cause=\"" + cause + "\"") != std::string::npos;
  }

  ManualClock& clock() { return clock_; }
  InputGuard& guard() { return guard_; }
  const std::vector<HttpRequest>& requests() const { return requests_; }
  HttpResponder& responder(std::size_t index) { return responders_[index]; }

 private:
  const TemporaryFolder folder_{"input_guard"};
  PortBlock ports_;
  const std::uint16_t port_ = ports_.Next();
  ManualClock clock_;
  JsonLog log_;
  Metrics metrics_;
  InputGuard guard_;
  asio::io_context loop_;
  std::vector<HttpRequest> requests_;
  std::vector<HttpResponder> responders_;
  std::unique_ptr<LoopHttpServer> server_;
};

std::string Repeated(const std::string& part, std::size_t count) {
  std::string text;
  for (std::size_t i = 0; i < count; ++i) text += part;
  return text;
}

}  // namespace

// Guards against limits that clients within them meet: a body of 1 MiB, also in chunks of one byte,
// a head of 8 KiB, and empty lines before a request.
Test(input_guard, serves_requests_at_the_limits) {
  Fixture fixture({});
  asio::ip::tcp::socket client = fixture.Connect();
  const std::string body(kMaxBodyBytes, 'x');
  fixture.Send(client, "POST /job HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body);
  cr_assert(fixture.RunUntilRequests(1));
  cr_assert(fixture.requests()[0].body == body);
  fixture.responder(0)({});
  fixture.Send(client, kChunkedHead + Repeated("1\r\nx\r\n", kMaxBodyBytes) + "0\r\nt: v\r\n\r\n");
  cr_assert(fixture.RunUntilRequests(2));
  cr_assert(fixture.requests()[1].body == body);
  fixture.responder(1)({});
  fixture.Send(client, "\r\n\r\nGET /" + std::string(8000, 'p') + " HTTP/1.1\r\nHost: h\r\n\r\n");
  cr_assert(fixture.RunUntilRequests(3));
}

// Guards against refused clients that take a closed connection for a lost answer and send the same
// again.
Test(input_guard, refused_requests_are_answered) {
  const struct {
    std::string input;
    std::string status;
    std::string cause;
  } cases[] = {
      {"GET / HTTP/1.1\r\n" + Repeated("a:b\r\n", 200), "431", "head"},
      {"GET / HTTP/1.1\r\nname: " + std::string(15'000, 'x') +
           "\r\nother: " + std::string(15'000, 'x') + "\r\nthird: " + std::string(15'000, 'x'),
       "431", "head"},
      {Repeated("\r\n", 20'000), "400", "empty_lines"},
      {"POST / HTTP/1.1\r\nContent-Length: 1048577\r\n\r\n", "413", "body"},
      {kChunkedHead + "100001\r\n", "413", "body"},
      {kChunkedHead + Repeated("10000\r\n" + std::string(65'536, 'x') + "\r\n", 17), "413", "body"},
      {kChunkedHead + Repeated("1;" + std::string(60'000, 'e') + "\r\nx\r\n", 200), "413",
       "chunk_overhead"},
  };
  for (const auto& [input, status, cause] : cases) {
    Fixture fixture({});
    asio::ip::tcp::socket client = fixture.Connect();
    fixture.Send(client, input);
    const std::optional<std::string> answer = fixture.ReceiveUntilClosed(client);
    cr_assert(answer.has_value(), "%s", cause.c_str());
    cr_expect(fixture.Counted(cause), "%s", cause.c_str());
    cr_expect(fixture.requests().empty());
    // A reset may overtake the answer if more input has arrived than was read.
    cr_expect(answer->empty() || answer->starts_with("HTTP/1.1 " + status), "%s: %s", cause.c_str(),
              answer->c_str());
  }
}

// Guards against a job that is answered with the refusal of the next request on its connection.
Test(input_guard, refusals_are_not_sent_in_place_of_an_answer) {
  Fixture fixture({});
  asio::ip::tcp::socket client = fixture.Connect();
  fixture.Send(client, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n");
  fixture.Send(client, "POST / HTTP/1.1\r\nContent-Length: 1048577\r\n\r\n");
  cr_assert(fixture.RunUntilRequests(1));
  cr_assert(fixture.ReceiveUntilClosed(client) == "");
  // The job ends later.
  fixture.responder(0)({});
}

// Guards against memory that unfinished requests hold together: the oldest go, and the next request
// is served.
Test(input_guard, unfinished_requests_give_way) {
  Fixture fixture({.budget = {.max_bytes = 4U << 20U, .max_connections = 100}});
  std::vector<asio::ip::tcp::socket> clients;
  for (int i = 0; i < 20; ++i) {
    clients.push_back(fixture.Connect());
    fixture.Send(clients.back(),
                 "POST / HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n" + std::string(900'000, 'x'));
    fixture.clock().Advance(std::chrono::milliseconds(10));
  }
  cr_assert(fixture.Counted("memory"));
  const std::optional<std::string> answer = fixture.ReceiveUntilClosed(clients.front());
  cr_assert(answer && answer->starts_with("HTTP/1.1 503"));
  asio::ip::tcp::socket ordinary = fixture.Connect();
  fixture.Send(ordinary, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  cr_assert(fixture.RunUntilRequests(1));
}

// Guards against connections that use up the descriptors of the process.
Test(input_guard, idle_connections_give_way) {
  Fixture fixture({.budget = {.max_connections = 20}});
  std::vector<asio::ip::tcp::socket> clients;
  for (int i = 0; i < 60; ++i) {
    clients.push_back(fixture.Connect());
    fixture.clock().Advance(std::chrono::milliseconds(10));
  }
  cr_assert_leq(fixture.guard().connections(), 20);
  for (std::size_t i = 0; i < 40; ++i) cr_assert(fixture.ReceiveUntilClosed(clients[i]) == "");
  cr_assert(fixture.Counted("connections"));
  fixture.Send(clients.back(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  cr_assert(fixture.RunUntilRequests(1));
}

// Guards against requests that are left unfinished for as long as an idle connection may last.
Test(input_guard, stalled_requests_are_given_up) {
  Fixture fixture({});
  asio::ip::tcp::socket idle = fixture.Connect();
  asio::ip::tcp::socket client = fixture.Connect();
  fixture.Send(client, "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nx");
  // Once for the bytes to arrive, and then until the limit.
  cr_assert(fixture.RunUntil([&] { return fixture.guard().input_bytes() > 0; }));
  for (int i = 0; i <= 11; ++i) {
    fixture.clock().Advance(std::chrono::seconds(1));
    fixture.guard().OnTimer();
  }
  const std::optional<std::string> answer = fixture.ReceiveUntilClosed(client);
  cr_assert(answer && answer->starts_with("HTTP/1.1 408"));
  fixture.Send(idle, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  cr_assert(fixture.RunUntilRequests(1));
}

// Guards against totals that grow with each request until ordinary clients are refused.
Test(input_guard, answered_requests_hold_nothing) {
  Fixture fixture({});
  asio::ip::tcp::socket client = fixture.Connect();
  for (std::size_t i = 0; i < 50; ++i) {
    fixture.Send(client, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n");
    fixture.Send(client, "0123456789");
    cr_assert(fixture.RunUntilRequests(i + 1));
    fixture.responder(i)({.body = std::string(10'000, 'a')});
    std::string answer;
    cr_assert(fixture.RunUntil([&] {
      cr_assert(!Fixture::ReadAvailable(client, answer));
      return answer.size() > 10'000;
    }));
  }
  cr_assert(fixture.RunUntil([&] { return fixture.guard().input_bytes() == 0; }));
  client.close();
  cr_assert(fixture.RunUntil([&] { return fixture.guard().connections() == 0; }));
}

// Guards against requests that are given up because the VM was suspended while they arrived.
Test(input_guard, requests_that_arrive_during_a_suspension_are_served) {
  Fixture fixture({});
  asio::ip::tcp::socket client = fixture.Connect();
  fixture.guard().OnTimer();
  fixture.Send(client, "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nx");
  cr_assert(fixture.RunUntil([&] { return fixture.guard().input_bytes() > 0; }));
  fixture.clock().Advance(std::chrono::seconds(60));
  fixture.guard().OnTimer();
  fixture.Send(client, "y");
  cr_assert(fixture.RunUntilRequests(1));
}

// Guards against jobs of callers who have closed their connection: the request was handled as a new
// one, and its end was read a turn later. The second request ends where a read buffer of 4 KiB
// does.
Test(input_guard, tells_that_the_client_had_closed_when_its_request_was_read) {
  constexpr std::size_t kReadBytes = 4096;
  const std::string head = "POST /job HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n";
  const std::string end = "\r\n{}";
  const std::string padding =
      "X-Padding: " + std::string(kReadBytes - head.size() - end.size() - 13, 'x') + "\r\n";
  for (const std::string& request : {head + "\r\n{}", head + padding + end}) {
    for (const bool closes : {false, true}) {
      Fixture fixture({});
      asio::ip::tcp::socket client = fixture.Connect();
      client.non_blocking(false);
      asio::write(client, asio::buffer(request));
      if (closes) client.shutdown(asio::ip::tcp::socket::shutdown_send);
      cr_assert(fixture.RunUntilRequests(1));
      cr_assert_eq(fixture.requests()[0].client_closed, closes);
    }
  }
}

// Guards against a wait for connections that are in use: each request tells when the one before it
// was read.
Test(input_guard, tells_when_a_connection_was_last_used) {
  const std::string request = "POST /job HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}";
  Fixture fixture({});
  const auto opened = fixture.clock().now();
  asio::ip::tcp::socket client = fixture.Connect();
  fixture.clock().Advance(std::chrono::seconds(1));
  const auto first = fixture.clock().now();
  fixture.Send(client, request);
  cr_assert(fixture.RunUntilRequests(1));
  fixture.responder(0)({});
  fixture.clock().Advance(std::chrono::seconds(1));
  fixture.Send(client, request);
  cr_assert(fixture.RunUntilRequests(2));
  cr_assert(fixture.requests()[0].connection_used_at == opened);
  cr_assert(fixture.requests()[1].connection_used_at == first);
}
