// RESTinio on an external loop, with notice of closed connections.
#include "adapters/loop_http_server.h"

#include <exception>
#include <restinio/all.hpp>
#include <string>
#include <utility>

#include "adapters/reset_aware_socket.h"
#include "adapters/restinio_messages.h"

namespace zinniamux::adapters {
namespace {

// Longer than any caller waits; the caller's own deadline ends a request.
constexpr std::chrono::hours kHandleRequestTimeout{24};
constexpr std::size_t kMaxFieldBytes = 16'384;
// With a second request allowed, the server goes on reading while it works on the first, and so
// sees that the client has gone.
constexpr std::size_t kPipelinedRequests = 2;
constexpr std::size_t kConcurrentAccepts = 4;

class ClosedListener {
 public:
  explicit ClosedListener(std::function<void(LoopHttpServer::ConnectionId)> on_closed)
      : on_closed_(std::move(on_closed)) {}

  void state_changed(const restinio::connection_state::notice_t& notice) noexcept {
    const restinio::connection_state::cause_t cause = notice.cause();
    if (std::holds_alternative<restinio::connection_state::closed_t>(cause) && on_closed_) {
      on_closed_(notice.connection_id());
    }
  }

 private:
  const std::function<void(LoopHttpServer::ConnectionId)> on_closed_;
};

struct Traits : public restinio::default_single_thread_traits_t {
  using connection_state_listener_t = ClosedListener;
  using stream_socket_t = ResetAwareSocket;
};

using Server = restinio::http_server_t<Traits>;

}  // namespace

class LoopHttpServer::Implementation {
 public:
  Implementation(asio::io_context& loop, Options options)
      : server_(restinio::external_io_context(loop), [&options](auto& settings) {
          settings.address(options.address.host)
              .port(options.address.port)
              .handle_request_timeout(kHandleRequestTimeout)
              .read_next_http_message_timelimit(options.idle_timeout)
              .max_pipelined_requests(kPipelinedRequests)
              .concurrent_accepts_count(kConcurrentAccepts)
              .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                            .max_url_size(kMaxFieldBytes)
                                            .max_field_name_size(kMaxFieldBytes)
                                            .max_field_value_size(kMaxFieldBytes)
                                            .max_body_size(options.max_body_bytes))
              .connection_state_listener(
                  std::make_shared<ClosedListener>(std::move(options.on_closed)))
              .request_handler([handler = std::move(options.handler)](auto request) {
                handler(
                    request->connection_id(), FromRestinio(*request),
                    [request](HttpResponse response) { Respond(request, std::move(response)); });
                return restinio::request_accepted();
              });
        }) {
    server_.open_sync();
  }

  ~Implementation() { server_.close_sync(); }
  Implementation(const Implementation&) = delete;
  Implementation& operator=(const Implementation&) = delete;

 private:
  Server server_;
};

LoopHttpServer::LoopHttpServer(std::unique_ptr<Implementation> implementation)
    : implementation_(std::move(implementation)) {}

LoopHttpServer::~LoopHttpServer() = default;

core::Result<std::unique_ptr<LoopHttpServer>> LoopHttpServer::Start(asio::io_context& loop,
                                                                    Options options) {
  const std::string address = AddressText(options.address);
  try {
    return std::unique_ptr<LoopHttpServer>(
        new LoopHttpServer(std::make_unique<Implementation>(loop, std::move(options))));
  } catch (const std::exception& error) {
    return tl::unexpected(core::Error{
        core::ErrorKind::kInternal, "cannot listen on " + address + ": " + error.what(), {}});
  }
}

}  // namespace zinniamux::adapters
