// An asynchronous HTTP/1.1 client over libcurl's multi interface.
#ifndef ZINNIAMUX_ADAPTERS_HTTP_CLIENT_H_
#define ZINNIAMUX_ADAPTERS_HTTP_CLIENT_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "adapters/http_message.h"

namespace zinniamux::adapters {

// One request to send.
struct HttpCall {
  std::string method = "GET";
  std::string url;
  HttpHeaders headers;
  std::string body;
  std::chrono::milliseconds timeout{2000};
  // Opens a connection for this call alone. libcurl sends a request again when a reused connection
  // breaks before the answer; a call that must be sent at most once sets this.
  bool fresh_connection = false;
};

// The outcome of a call. If `status` is 0 there was no response, and `failure` says why.
struct HttpResult {
  int status = 0;
  std::string body;
  std::string failure;
  // No connection could be established for any copy, so the server certainly did not get the
  // request.
  bool not_sent = false;
  // No process listened at the server's address when the call ended. An earlier copy may have been
  // sent before, unless `not_sent` is set.
  bool connection_refused = false;
  // The request was sent more than once, and this is the outcome of the last copy. The server may
  // have acted on an earlier one.
  bool resent = false;
};

// Runs calls on one thread of its own.
class HttpClient {
 public:
  using Callback = std::function<void(HttpResult)>;

  struct Options {
    // Calls for which no connection is free wait.
    long max_connections_per_host = 64;
    // Closes connections with a reset, also when the process ends. What the system holds of a
    // request without an answer is then dropped, and not delivered after the call has failed.
    // Answers have been read completely before their connections are closed.
    bool reset_on_close = false;
  };

  // With the default options.
  HttpClient();
  explicit HttpClient(const Options& options);
  // Abandons calls that are still running; their callbacks get a failure.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // `callback` is called exactly once, on the client's thread.
  void Send(HttpCall call, Callback callback);
  // Waits for the result. Not to be called from a callback.
  HttpResult SendAndWait(HttpCall call);

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace zinniamux::adapters

#endif  // ZINNIAMUX_ADAPTERS_HTTP_CLIENT_H_
