// RESTinio server behind plain request and response values.
#include "adapters/http_server.h"

#include <exception>
#include <restinio/all.hpp>
#include <utility>

namespace zinniamux::adapters {
namespace {

// Longer than the longest deadline of a submission, whose answer may be awaited.
constexpr std::chrono::minutes kHandleRequestTimeout{11};
constexpr std::chrono::seconds kReadTimeout{60};
constexpr std::uint64_t kMaxHeaderBytes = 8192;

HttpRequest FromRestinio(const restinio::request_handle_t& request) {
  HttpRequest result;
  result.method = request->header().method().c_str();
  result.path = std::string(request->header().path());
  result.query = std::string(request->header().query());
  request->header().for_each_field(
      [&result](const auto& field) { result.headers.emplace_back(field.name(), field.value()); });
  result.body = request->body();
  return result;
}

void CutOff(const restinio::request_handle_t& request) {
  // A response that ends before its announced length is an error to every client.
  constexpr std::size_t kAnnouncedBytes = 1000;
  request->create_response<restinio::user_controlled_output_t>()
      .connection_close()
      .set_content_length(kAnnouncedBytes)
      .done();
}

void Respond(const restinio::request_handle_t& request, HttpResponse response) {
  if (response.cut_off) return CutOff(request);
  auto builder = request->create_response(restinio::http_status_line_t{
      restinio::http_status_code_t{static_cast<std::uint16_t>(response.status)}, ""});
  builder.append_header(restinio::http_field::content_type, response.content_type);
  for (auto& [name, value] : response.headers) builder.append_header(name, value);
  builder.set_body(std::move(response.body));
  builder.done();
}

}  // namespace

class HttpServer::Implementation {
 public:
  Implementation(const Options& options, HttpHandler handler)
      : server_(restinio::run_async(
            restinio::own_io_context(),
            restinio::server_settings_t<>{}
                .address(options.address)
                .port(options.port)
                .handle_request_timeout(kHandleRequestTimeout)
                .read_next_http_message_timelimit(kReadTimeout)
                .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                              .max_url_size(kMaxHeaderBytes)
                                              .max_field_name_size(kMaxHeaderBytes)
                                              .max_field_value_size(kMaxHeaderBytes)
                                              .max_body_size(options.max_body_bytes))
                .request_handler(
                    [handler = std::move(handler)](const restinio::request_handle_t& request) {
                      handler(FromRestinio(request), [request](HttpResponse response) {
                        Respond(request, std::move(response));
                      });
                      return restinio::request_accepted();
                    }),
            options.threads)) {}

  void Stop() {
    server_->stop();
    server_->wait();
  }

 private:
  restinio::running_server_handle_t<restinio::default_traits_t> server_;
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
