// HttpClient: requests on connections that break.
#include "adapters/http_client.h"

#include <criterion/criterion.h>

#include <asio.hpp>
#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

#include "support/port_block.h"

namespace {

using asio::ip::tcp;
using zinniamux::adapters::HttpCall;
using zinniamux::adapters::HttpClient;
using zinniamux::adapters::HttpResult;
using zinniamux::testing::PortBlock;

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
