// Replaces RESTinio's callbacks of its HTTP parser, for servers whose traits name LimitedMethods.
// Included after <restinio/all.hpp> and before a server type is instantiated.
#ifndef ZINNIAMUX_ADAPTERS_PARSER_HOOKS_H_
#define ZINNIAMUX_ADAPTERS_PARSER_HOOKS_H_

#include <algorithm>
#include <climits>
#include <cstddef>
#include <exception>
#include <restinio/all.hpp>

#include "adapters/input_guard.h"

namespace zinniamux::adapters {

// Selects the callbacks below; RESTinio's own have three costs that clients control. They keep a
// record of each chunk, keep trailers, and reserve the announced size of a body before it arrives.
struct LimitedMethods : public restinio::default_http_methods_t {};

namespace parser_hooks {

using Context = restinio::impl::http_parser_ctx_t;

// A body announced as larger than this grows as it arrives.
constexpr std::size_t kInitialBodyBytes = 16'384;

inline Context& ContextOf(const http_parser& parser) { return *static_cast<Context*>(parser.data); }

// Refuses the current request; the parser stops at a value other than 0.
inline int Refuse(RefusalCause cause) {
  if (ConnectionInput* input = ConnectionInput::Current()) input->Refuse(cause);
  return -1;
}

inline int OnMessageBegin(http_parser* /*parser*/) {
  if (ConnectionInput* input = ConnectionInput::Current()) input->OnRequestBegin();
  return 0;
}

inline int OnUrl(http_parser* parser, const char* at, std::size_t length) {
  if (ConnectionInput* input = ConnectionInput::Current()) input->OnHeadPart(length);
  const int result = restinio::impl::restinio_url_cb(parser, at, length);
  return result == 0 ? 0 : Refuse(RefusalCause::kHead);
}

inline int OnHeaderField(http_parser* parser, const char* at, std::size_t length) {
  // Trailers are dropped.
  if (ContextOf(*parser).m_leading_headers_completed) return 0;
  if (ConnectionInput* input = ConnectionInput::Current()) {
    if (ContextOf(*parser).m_last_was_value) input->OnField();
    input->OnHeadPart(length);
  }
  const int result = restinio::impl::restinio_header_field_cb(parser, at, length);
  return result == 0 ? 0 : Refuse(RefusalCause::kHead);
}

inline int OnHeaderValue(http_parser* parser, const char* at, std::size_t length) {
  if (ContextOf(*parser).m_leading_headers_completed) return 0;
  if (ConnectionInput* input = ConnectionInput::Current()) input->OnHeadPart(length);
  const int result = restinio::impl::restinio_header_value_cb(parser, at, length);
  return result == 0 ? 0 : Refuse(RefusalCause::kHead);
}

inline int OnHeadersComplete(http_parser* parser) {
  Context& context = ContextOf(*parser);
  context.m_leading_headers_completed = true;
  if (ConnectionInput* input = ConnectionInput::Current()) input->OnHeadComplete();
  // The parser's value for a body without an announced size.
  if (parser->content_length == ULLONG_MAX) return 0;
  if (parser->content_length > context.m_limits.max_body_size()) {
    return Refuse(RefusalCause::kBody);
  }
  try {
    context.m_body.reserve(
        std::min(static_cast<std::size_t>(parser->content_length), kInitialBodyBytes));
  } catch (const std::exception&) {
    return Refuse(RefusalCause::kBytes);
  }
  return 0;
}

inline int OnChunkHeader(http_parser* parser) {
  const std::size_t limit = ContextOf(*parser).m_limits.max_body_size();
  return parser->content_length <= limit ? 0 : Refuse(RefusalCause::kBody);
}

inline int OnBody(http_parser* parser, const char* at, std::size_t length) {
  Context& context = ContextOf(*parser);
  std::string& body = context.m_body;
  const std::size_t limit = context.m_limits.max_body_size();
  if (length > limit || body.size() > limit - length) return Refuse(RefusalCause::kBody);
  const std::size_t size = body.size() + length;
  // The string would double its capacity, also beyond the limit.
  try {
    if (size > body.capacity()) body.reserve(std::max(size, std::min(2 * body.capacity(), limit)));
    body.append(at, length);
  } catch (const std::exception&) {
    return Refuse(RefusalCause::kBytes);
  }
  if (ConnectionInput* input = ConnectionInput::Current()) input->OnBody(length, body.capacity());
  return 0;
}

inline int OnMessageComplete(http_parser* parser) {
  if (ConnectionInput* input = ConnectionInput::Current()) input->OnRequestComplete();
  return restinio::impl::restinio_message_complete_cb<LimitedMethods>(parser);
}

}  // namespace parser_hooks
}  // namespace zinniamux::adapters

namespace restinio::impl {

template <>
inline http_parser_settings create_parser_settings<zinniamux::adapters::LimitedMethods>() noexcept {
  namespace hooks = zinniamux::adapters::parser_hooks;
  http_parser_settings settings;
  http_parser_settings_init(&settings);
  settings.on_message_begin = hooks::OnMessageBegin;
  settings.on_url = hooks::OnUrl;
  settings.on_header_field = hooks::OnHeaderField;
  settings.on_header_value = hooks::OnHeaderValue;
  settings.on_headers_complete = hooks::OnHeadersComplete;
  settings.on_chunk_header = hooks::OnChunkHeader;
  settings.on_body = hooks::OnBody;
  settings.on_message_complete = hooks::OnMessageComplete;
  return settings;
}

}  // namespace restinio::impl

#endif  // ZINNIAMUX_ADAPTERS_PARSER_HOOKS_H_
