// An HTTP/1.1 server over RESTinio that shares its thread with the rest of the process.
#ifndef ZINNIAMUX_ADAPTERS_LOOP_HTTP_SERVER_H_
#define ZINNIAMUX_ADAPTERS_LOOP_HTTP_SERVER_H_

#include <asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "adapters/http_message.h"
#include "adapters/listen_address.h"
#include "core/error_kind.h"

namespace zinniamux::adapters {

class InputGuard;

// All callbacks and calls are on the loop. The loop outlives the server and every responder.
class LoopHttpServer {
 public:
  using ConnectionId = std::uint64_t;
  // The responder is called once, at any later time. Requests that were not read before their
  // connection was reset are not passed on.
  using Handler = std::function<void(ConnectionId, HttpRequest, HttpResponder)>;

  struct Options {
    ListenAddress address;
    // Counts the input of this listener under `name`; null for no totals. Outlives the server.
    InputGuard* input_guard = nullptr;
    std::string name = "http";
    std::size_t max_body_bytes = 1U << 20U;
    // A connection without a request is closed after this time.
    std::chrono::milliseconds idle_timeout{60'000};
    Handler handler;
    // The client has closed the connection, or it broke.
    std::function<void(ConnectionId)> on_closed;
  };

  // Fails if the address cannot be bound.
  static core::Result<std::unique_ptr<LoopHttpServer>> Start(asio::io_context& loop,
                                                             Options options);
  ~LoopHttpServer();

 private:
  class Implementation;

  explicit LoopHttpServer(std::unique_ptr<Implementation> implementation);

  std::unique_ptr<Implementation> implementation_;
};

}  // namespace zinniamux::adapters

#endif  // ZINNIAMUX_ADAPTERS_LOOP_HTTP_SERVER_H_
