// Calls to one HTTP service over pooled connections that may be silent.
#ifndef ZINNIAMUX_ADAPTERS_SERVICE_LINK_H_
#define ZINNIAMUX_ADAPTERS_SERVICE_LINK_H_

#include <atomic>
#include <chrono>
#include <limits>
#include <memory>
#include <string>
#include <utility>

#include "adapters/http_client.h"
#include "core/clock.h"

namespace zinniamux::adapters {

// After a call without an answer every pooled connection may be silent, so calls use connections of
// their own until the pooled ones are too old to be used again. Created with std::make_shared.
class ServiceLink : public std::enable_shared_from_this<ServiceLink> {
 public:
  struct Options {
    // "http://HOST:PORT", without a final slash.
    std::string url;
    std::chrono::milliseconds deadline{2000};
  };

  // `client` outlives this object, and `clock` outlives `client`.
  ServiceLink(Options options, HttpClient& client, const core::Clock& clock)
      : options_(std::move(options)), client_(client), clock_(clock) {}

  HttpCall CallOf(std::string method, const std::string& path) const {
    return {.method = std::move(method), .url = options_.url + path, .timeout = options_.deadline};
  }
  void Send(HttpCall call, HttpClient::Callback callback);

 private:
  void NoteResult(const HttpResult& result);

  const Options options_;
  HttpClient& client_;
  const core::Clock& clock_;
  // Time of the last request without an answer, in microseconds of the clock.
  std::atomic<core::Duration::rep> last_failure_{std::numeric_limits<core::Duration::rep>::min() /
                                                 2};
};

}  // namespace zinniamux::adapters

#endif  // ZINNIAMUX_ADAPTERS_SERVICE_LINK_H_
