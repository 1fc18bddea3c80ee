// RESTinio server behind plain request and response values.
#include "adapters/http_server.h"

#include <exception>
#include <restinio/all.hpp>
#include <utility>

#include "adapters/input_limits.h"
#include "adapters/parser_hooks.h"
#include "adapters/restinio_messages.h"

namespace zinniamux::adapters {
namespace {

// Longer than the longest deadline of a submission, whose answer may be awaited.
constexpr std::chrono::minutes kHandleRequestTimeout{11};
constexpr std::chrono::seconds kReadTimeout{60};
constexpr std::uint64_t kMaxHeaderBytes = 8192;
// A process has a caller and an admin listener. Beyond its share a server stops accepting, which is
// better than a failed accept: after that RESTinio never accepts again.
constexpr std::size_t kListeners = 2;

// Without the records of chunks that clients control.
struct Traits : public restinio::default_traits_t {
  using http_methods_mapper_t = LimitedMethods;
  // RESTinio's name.
  static constexpr bool use_connection_count_limiter =  // NOLINT(readability-identifier-naming)
      true;
};

}  // namespace

class HttpServer::Implementation {
 public:
  Implementation(const Options& options, HttpHandler handler)
      : server_(restinio::run_async<Traits>(
            restinio::own_io_context(),
            restinio::server_settings_t<Traits>{}
                .address(options.address)
                .port(options.port)
                .max_parallel_connections(BudgetOptions(InputLimits()).max_connections / kListeners)
                .handle_request_timeout(kHandleRequestTimeout)
                .read_next_http_message_timelimit(kReadTimeout)
                .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                              .max_url_size(kMaxHeaderBytes)
                                              .max_field_name_size(kMaxHeaderBytes)
                                              .max_field_value_size(kMaxHeaderBytes)
                                              .max_field_count(ConnectionLimits().max_fields)
                                              .max_body_size(options.max_body_bytes))
                .request_handler(
                    [handler = std::move(handler)](const restinio::request_handle_t& request) {
                      handler(FromRestinio(*request),
                              [answer = std::make_shared<PendingResponse>(*request)](
                                  HttpResponse response) { answer->Send(std::move(response)); });
                      return restinio::request_accepted();
                    }),
            options.threads)) {}

  void Stop() {
    server_->stop();
    server_->wait();
  }

 private:
  restinio::running_server_handle_t<Traits> server_;
};

HttpServer::HttpServer(std::unique_ptr<Implementation> implementation)
    : implementation_(std::move(implementation)) {}

HttpServer::~HttpServer() { Stop(); }

core::Result<std::unique_ptr<HttpServer>> HttpServer::Start(const Options& options,
                                                            HttpHandler handler) {
  try {
    return std::unique_ptr<HttpServer>(
        new HttpServer(std::make_unique<Implementation>(options, std::move(handler))));
  } catch (const std::exception& error) {
    return tl::unexpected(core::Error{core::ErrorKind::kInternal,
                                      "cannot listen on " + options.address + ":" +
                                          std::to_string(options.port) + ": " + error.what(),
                                      {}});
  }
}

void HttpServer::Stop() {
  if (implementation_ == nullptr) return;
  implementation_->Stop();
  implementation_.reset();
}

}  // namespace zinniamux::adapters
