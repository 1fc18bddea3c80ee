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

template <typename Handle>
void CutOff(const Handle& request) {
  // A response that ends before its announced length is an error to every client.
  constexpr std::size_t kAnnouncedBytes = 1000;
  request->template create_response<restinio::user_controlled_output_t>()
      .connection_close()
      .set_content_length(kAnnouncedBytes)
      .done();
}

template <typename Handle>
void Respond(const Handle& request, HttpResponse response) {
  if (response.cut_off) return CutOff(request);
  auto builder = request->create_response(restinio::http_status_line_t{
      restinio::http_status_code_t{static_cast<std::uint16_t>(response.status)}, ""});
  builder.append_header(restinio::http_field::content_type, response.content_type);
  for (auto& [name, value] : response.headers) builder.append_header(name, value);
  if (response.close_connection) builder.connection_close();
  builder.set_body(std::move(response.body));
  builder.done();
}

}  // namespace zinniamux::adapters

#endif  // ZINNIAMUX_ADAPTERS_RESTINIO_MESSAGES_H_
