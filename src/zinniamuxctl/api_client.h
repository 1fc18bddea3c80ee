// Requests to an entry, and its answers as values.
#ifndef ZINNIAMUX_ZINNIAMUXCTL_API_CLIENT_H_
#define ZINNIAMUX_ZINNIAMUXCTL_API_CLIENT_H_

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>

#include "adapters/http_client.h"

namespace zinniamux::ctl {

// The answer to one request. Invariant: `status` 0 means that no answer came, and `failure` says
// why.
struct ApiAnswer {
  int status = 0;
  // The parsed body; null if it is not JSON.
  nlohmann::json body;
  std::string failure;

  bool ok() const { return status >= 200 && status < 300; }
  // The kind of the error in the body; empty if there is none.
  std::string error_kind() const;
  bool retryable() const;
  // The entry states that no task of the submission was or will be started.
  bool not_run() const;
  std::chrono::milliseconds retry_after() const;
  // 0, the exit code of the error kind, or the one for no answer.
  int exit_code() const;
  // What to tell the user about an answer that is not ok.
  std::string message() const;
};

// Sends requests to one address and shows progress while it waits.
class ApiClient {
 public:
  // `address` is IP:PORT.
  explicit ApiClient(std::string address);

  // `path` begins with a slash and may hold a query.
  ApiAnswer Get(const std::string& path);
  ApiAnswer Delete(const std::string& path);
  ApiAnswer Post(const std::string& path, const std::string& body,
                 std::chrono::milliseconds time_limit);

 private:
  ApiAnswer Send(adapters::HttpCall call);

  const std::string address_;
  adapters::HttpClient client_;
};

}  // namespace zinniamux::ctl

#endif  // ZINNIAMUX_ZINNIAMUXCTL_API_CLIENT_H_
