// Translation between RESTinio's requests and responses and plain values.
#ifndef ZINNIAMUX_ADAPTERS_RESTINIO_MESSAGES_H_
#define ZINNIAMUX_ADAPTERS_RESTINIO_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <restinio/all.hpp>
#include <string>
#include <utility>

#include "adapters/http_message.h"

namespace zinniamux::adapters {

template <typename Request>
HttpRequest FromRestinio(const Request& request) {
  HttpRequest result;
  result.method = request.header().method().c_str();
  result.path = std::string(request.header().path());
  result.query = std::string(request.header().query());
  request.header().for_each_field(
      [&result](const auto& field) { result.headers.emplace_back(field.name(), field.value()); });
  result.body = request.body();
  return result;
}

// The answer to one request. Does not keep the request: its body and fields are freed when the
// handler has returned, however long the answer takes.
class PendingResponse {
 public:
  template <typename Request>
  explicit PendingResponse(Request& request)
      : builder_(request.template create_response<restinio::user_controlled_output_t>()) {}

  // Called at most once.
  void Send(HttpResponse response) {
    if (response.cut_off) return CutOff();
    builder_.header().status_line(restinio::http_status_line_t{
        restinio::http_status_code_t{static_cast<std::uint16_t>(response.status)}, ""});
    builder_.append_header(restinio::http_field::content_type, response.content_type);
    for (auto& [name, value] : response.headers) builder_.append_header(name, value);
    if (response.close_connection) builder_.connection_close();
    builder_.set_content_length(response.body.size());
    builder_.set_body(std::move(response.body));
    builder_.done();
  }

 private:
  void CutOff() {
    // A response that ends before its announced length is an error to every client.
    constexpr std::size_t kAnnouncedBytes = 1000;
    builder_.connection_close().set_content_length(kAnnouncedBytes).done();
  }

  restinio::response_builder_t<restinio::user_controlled_output_t> builder_;
};

}  // namespace zinniamux::adapters

#endif  // ZINNIAMUX_ADAPTERS_RESTINIO_MESSAGES_H_
