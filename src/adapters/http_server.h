// An HTTP/1.1 server over RESTinio.
#ifndef ZINNIAMUX_ADAPTERS_HTTP_SERVER_H_
#define ZINNIAMUX_ADAPTERS_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "adapters/http_message.h"
#include "core/error_kind.h"

namespace zinniamux::adapters {

// Listens from construction until Stop or destruction.
class HttpServer {
 public:
  struct Options {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::size_t threads = 2;
    std::size_t max_body_bytes = 1U << 20U;
  };

  // Fails if the address cannot be bound.
  static core::Result<std::unique_ptr<HttpServer>> Start(const Options& options,
                                                         HttpHandler handler);
  ~HttpServer();

  // Stops accepting, closes idle connections and returns when the threads have ended. Requests
  // without a response are cut off, so callers wait for them first.
  void Stop();

 private:
  class Implementation;

  explicit HttpServer(std::unique_ptr<Implementation> implementation);

  std::unique_ptr<Implementation> implementation_;
};

}  // namespace zinniamux::adapters

#endif  // ZINNIAMUX_ADAPTERS_HTTP_SERVER_H_
