// LoopHttpServer: requests on connections that have ended.
#include "adapters/loop_http_server.h"

#include <criterion/criterion.h>

#include <asio.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "support/port_block.h"

namespace {

using zinniamux::adapters::HttpRequest;
using zinniamux::adapters::HttpResponder;
using zinniamux::adapters::LoopHttpServer;
using zinniamux::testing::PortBlock;

const std::string kRequest = "POST /job HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}";

class Fixture {
 public:
  Fixture() {
    auto server = LoopHttpServer::Start(
        loop_, {.address = {.host = "127.0.0.1", .port = port_},
                .handler = [this](LoopHttpServer::ConnectionId, const HttpRequest&,
                                  const HttpResponder&) { ++requests_; },
                .on_closed = [this](LoopHttpServer::ConnectionId) { ++closed_; }});
    cr_assert(server.has_value());
    server_ = *std::move(server);
  }

  // Connects a client whose connection the server has accepted.
  asio::ip::tcp::socket Connect() {
    asio::ip::tcp::socket client(client_loop_);
    client.connect({asio::ip::make_address("127.0.0.1"), port_});
    loop_.poll();
    return client;
  }
  // Handles what has arrived until a request was passed on or a connection has closed.
  void RunUntilEvent() {
    while (requests_ + closed_ == 0) loop_.run_one();
  }

  std::size_t requests() const { return requests_; }
  std::size_t closed() const { return closed_; }

 private:
  PortBlock ports_;
  const std::uint16_t port_ = ports_.Next();
  asio::io_context client_loop_;
  asio::io_context loop_;
  std::unique_ptr<LoopHttpServer> server_;
  std::size_t requests_ = 0;
  std::size_t closed_ = 0;
};

}  // namespace

// Guards against jobs that run twice: the caller of a connection that was reset sends its job again
// at once, and a server that is late then read the job from that connection, too.
Test(loop_http_server, drops_unread_requests_of_a_connection_that_was_reset) {
  Fixture fixture;
  asio::ip::tcp::socket client = fixture.Connect();
  asio::write(client, asio::buffer(kRequest));
  client.set_option(asio::socket_base::linger(true, 0));
  client.close();
  fixture.RunUntilEvent();
  cr_assert_eq(fixture.requests(), 0);
  cr_assert_eq(fixture.closed(), 1);
}

// Guards against clients without an answer because they close their sending side early.
Test(loop_http_server, passes_on_requests_of_a_client_that_only_stops_sending) {
  Fixture fixture;
  asio::ip::tcp::socket client = fixture.Connect();
  asio::write(client, asio::buffer(kRequest));
  client.shutdown(asio::ip::tcp::socket::shutdown_send);
  fixture.RunUntilEvent();
  cr_assert_eq(fixture.requests(), 1);
}
