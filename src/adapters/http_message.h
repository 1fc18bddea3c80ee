// HTTP requests and responses as plain values, so that only the server and the client adapters see
// their libraries.
#ifndef ZINNIAMUX_ADAPTERS_HTTP_MESSAGE_H_
#define ZINNIAMUX_ADAPTERS_HTTP_MESSAGE_H_

#include <cstddef>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.h"

namespace zinniamux::adapters {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

// A request as a server receives it. `query` is the undecoded part after '?'.
struct HttpRequest {
  std::string method;
  std::string path;
  std::string query;
  HttpHeaders headers;
  std::string body;
  // Known for connections of an InputGuard only: the client had closed the connection, or its
  // sending side, when the request was read.
  bool client_closed = false;
  // The same: when the connection was opened, or when the last request before this one was read.
  core::TimePoint connection_used_at;
};

struct HttpResponse {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  HttpHeaders headers;
  // Asks the client to use another connection for its next request.
  bool close_connection = false;
  // Closes the connection after the header, before the body: the client gets no answer. Stand-ins
  // use this to lose answers.
  bool cut_off = false;
};

// Sends the response. Called exactly once, from any thread.
using HttpResponder = std::function<void(HttpResponse)>;
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

// What the request takes, with the overhead of the allocator.
std::size_t MemoryOf(const HttpRequest& request);

// The value of a query parameter, or an empty string.
std::string QueryValue(const std::string& query, const std::string& name);
// The value of a header, or an empty string. Names are compared without case.
std::string HeaderValue(const HttpHeaders& headers, const std::string& name);

}  // namespace zinniamux::adapters

#endif  // ZINNIAMUX_ADAPTERS_HTTP_MESSAGE_H_
