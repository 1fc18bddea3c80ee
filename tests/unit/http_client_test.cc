// HttpClient: requests on connections that break, are reset or go silent.
#include "adapters/http_client.h"

#include <criterion/criterion.h>
#include <sys/resource.h>

#include <asio.hpp>
#include <atomic>
#include <cstdint>
#include <functional>
#include <latch>
#include <string>
#include <thread>
#include <utility>

#include "support/port_block.h"

namespace {

using asio::ip::tcp;
using zinniamux::adapters::HttpCall;
using zinniamux::adapters::HttpClient;
using zinniamux::adapters::HttpResult;
using zinniamux::testing::PortBlock;

// Runs a script on a thread of its own, with a listener on a free port.
class ScriptedServer {
 public:
  using Script = std::function<void(tcp::acceptor& listener)>;

  explicit ScriptedServer(Script script)
      : thread_([this, script = std::move(script)] { script(listener_); }) {}
  ~ScriptedServer() { thread_.join(); }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  std::string url() const { return "http://127.0.0.1:" + std::to_string(port_) + "/start"; }

 private:
  PortBlock ports_;
  const std::uint16_t port_ = ports_.Next();
  asio::io_context loop_;
  tcp::acceptor listener_{loop_, {asio::ip::make_address("127.0.0.1"), port_}};
  std::thread thread_;
};

void ReadRequest(tcp::socket& connection) {
  std::string text;
  asio::read_until(connection, asio::dynamic_buffer(text), "\r\n\r\n{}");
}

void Answer(tcp::socket& connection) {
  asio::write(connection,
              asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")));
}

void Reset(tcp::socket& connection) {
  connection.set_option(asio::socket_base::linger(true, 0));
  connection.close();
}

// What a server reads from a connection until it ends.
struct Received {
  std::size_t bytes = 0;
  asio::error_code end;
};

Received ReadToEnd(tcp::socket& connection) {
  Received received;
  std::string text;
  received.bytes = asio::read(connection, asio::dynamic_buffer(text), received.end);
  return received;
}

// Answers the first request, and resets its connection when the second one has arrived. Answers
// the requests of the next connection.
class ResettingServer {
 public:
  ResettingServer() : thread_([this] { Run(); }) {}
  ~ResettingServer() { thread_.join(); }
  ResettingServer(const ResettingServer&) = delete;
  ResettingServer& operator=(const ResettingServer&) = delete;

  std::string url() const { return "http://127.0.0.1:" + std::to_string(port_) + "/start"; }
  int requests() const { return requests_; }

 private:
  void ReadRequest(tcp::socket& connection) {
    std::string text;
    const std::size_t size = asio::read_until(connection, asio::dynamic_buffer(text), "\r\n\r\n{}");
    if (size > 0) ++requests_;
  }
  void Answer(tcp::socket& connection) {
    asio::write(connection,
                asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")));
  }
  void Run() {
    tcp::socket first = listener_.accept();
    ReadRequest(first);
    Answer(first);
    ReadRequest(first);
    first.set_option(asio::socket_base::linger(true, 0));
    first.close();
    tcp::socket second = listener_.accept();
    ReadRequest(second);
    Answer(second);
  }

  PortBlock ports_;
  const std::uint16_t port_ = ports_.Next();
  asio::io_context loop_;
  tcp::acceptor listener_{loop_, {asio::ip::make_address("127.0.0.1"), port_}};
  std::atomic<int> requests_{0};
  std::thread thread_;
};

}  // namespace

// Guards against an answer to the second copy of a request that is taken for the answer to the
// first: libcurl sends a request again when a reused connection breaks.
Test(http_client, tells_that_a_request_was_sent_again) {
  ResettingServer server;
  HttpClient client;
  const HttpCall call{.method = "POST", .url = server.url(), .body = "{}"};
  const HttpResult first = client.SendAndWait(call);
  cr_assert_eq(first.status, 200);
  cr_assert_not(first.resent);
  const HttpResult second = client.SendAndWait(call);
  cr_assert_eq(second.status, 200);
  cr_assert(second.resent);
  cr_assert_eq(server.requests(), 3);
}

// Guards against a request that counts as certainly not sent because its second copy was refused,
// although the first one had reached the server.
Test(http_client, does_not_take_a_refused_second_copy_for_a_request_that_was_not_sent) {
  ScriptedServer server([](tcp::acceptor& listener) {
    tcp::socket connection = listener.accept();
    ReadRequest(connection);
    Answer(connection);
    ReadRequest(connection);
    listener.close();
    Reset(connection);
  });
  HttpClient client;
  const HttpCall call{.method = "POST", .url = server.url(), .body = "{}"};
  cr_assert_eq(client.SendAndWait(call).status, 200);
  const HttpResult refused = client.SendAndWait(call);
  cr_assert_eq(refused.status, 0);
  cr_assert_not(refused.not_sent);
  cr_assert(refused.connection_refused);
}

// Guards against a local failure to connect that is taken for the end of the server's process.
Test(http_client, does_not_take_a_lack_of_descriptors_for_a_refused_connection) {
  PortBlock ports;
  HttpClient client;
  const HttpCall call{.url = "http://127.0.0.1:" + std::to_string(ports.Next()) + "/"};
  const HttpResult refused = client.SendAndWait(call);
  cr_assert(refused.not_sent);
  cr_assert(refused.connection_refused);
  rlimit limit{};
  cr_assert_eq(getrlimit(RLIMIT_NOFILE, &limit), 0);
  // Every descriptor is too high now; those that are open stay so.
  limit.rlim_cur = 0;
  cr_assert_eq(setrlimit(RLIMIT_NOFILE, &limit), 0);
  const HttpResult failed = client.SendAndWait(call);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
  cr_assert_eq(failed.status, 0);
  cr_assert(failed.not_sent);
  cr_assert_not(failed.connection_refused, "%s", failed.failure.c_str());
}

// Guards against an abandoned request that the kernel goes on to deliver: the server would carry it
// out seconds after its caller has given up.
Test(http_client, does_not_deliver_the_rest_of_a_request_after_its_timeout) {
  constexpr std::size_t kBodyBytes = 256U << 10U;
  std::latch abandoned(1);
  Received received;
  {
    ScriptedServer server([&](tcp::acceptor& listener) {
      // The listener's buffer size applies to its connections. It holds a part of the request.
      listener.set_option(asio::socket_base::receive_buffer_size(4096));
      abandoned.wait();
      tcp::socket connection = listener.accept();
      received = ReadToEnd(connection);
    });
    HttpClient client({.reset_on_close = true});
    const HttpResult result = client.SendAndWait({.method = "POST",
                                                  .url = server.url(),
                                                  .body = std::string(kBodyBytes, 'x'),
                                                  .timeout = std::chrono::milliseconds(200)});
    abandoned.count_down();
    cr_expect_eq(result.status, 0);
  }
  cr_expect_lt(received.bytes, kBodyBytes);
  cr_expect_eq(received.end, asio::error::connection_reset, "%s", received.end.message().c_str());
}

// Guards against connections whose last bytes are sent again after the client is gone.
Test(http_client, resets_idle_connections_when_it_ends) {
  Received received;
  {
    ScriptedServer server([&](tcp::acceptor& listener) {
      tcp::socket connection = listener.accept();
      ReadRequest(connection);
      Answer(connection);
      received = ReadToEnd(connection);
    });
    HttpClient client({.reset_on_close = true});
    const HttpResult result =
        client.SendAndWait({.method = "POST", .url = server.url(), .body = "{}"});
    cr_expect_eq(result.status, 200);
  }
  cr_expect_eq(received.end, asio::error::connection_reset, "%s", received.end.message().c_str());
}

// Guards against answers that are cut and idle connections that are lost by the reset on close.
Test(http_client, reads_whole_answers_and_reuses_connections_that_are_reset_on_close) {
  constexpr std::size_t kAnswerBytes = 4U << 20U;
  ScriptedServer server([&](tcp::acceptor& listener) {
    tcp::socket connection = listener.accept();
    ReadRequest(connection);
    Answer(connection);
    ReadRequest(connection);
    asio::write(connection,
                asio::buffer("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " +
                             std::to_string(kAnswerBytes) + "\r\n\r\n"));
    asio::write(connection, asio::buffer(std::string(kAnswerBytes, 'x')));
  });
  HttpClient client({.reset_on_close = true});
  const HttpCall call{.method = "POST", .url = server.url(), .body = "{}"};
  cr_assert_eq(client.SendAndWait(call).status, 200);
  const HttpResult large = client.SendAndWait(call);
  cr_assert_eq(large.status, 200);
  cr_assert_eq(large.body.size(), kAnswerBytes);
}

// Guards against a call that is sent after its caller has given up, because it waited for one of
// the connections.
Test(http_client, does_not_send_a_call_that_waited_for_a_connection_beyond_its_timeout) {
  std::latch given_up(1);
  Received received;
  {
    ScriptedServer server([&](tcp::acceptor& listener) {
      tcp::socket connection = listener.accept();
      ReadRequest(connection);
      given_up.wait();
      Answer(connection);
      received = ReadToEnd(connection);
    });
    HttpClient client({.max_connections_per_host = 1});
    HttpCall call{.method = "POST", .url = server.url(), .body = "{}"};
    std::latch first(1);
    std::latch second(1);
    client.Send(call, [&](const HttpResult& result) {
      cr_expect_eq(result.status, 200);
      first.count_down();
    });
    call.timeout = std::chrono::milliseconds(100);
    client.Send(call, [&](const HttpResult& result) {
      cr_expect_eq(result.status, 0);
      second.count_down();
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    given_up.count_down();
    first.wait();
    second.wait();
  }
  cr_expect_eq(received.bytes, 0U);
}
