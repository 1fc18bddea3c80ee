// Base64 (RFC 4648, with padding).
#ifndef ZINNIAMUX_ADAPTERS_BASE64_H_
#define ZINNIAMUX_ADAPTERS_BASE64_H_

#include <optional>
#include <string>
#include <string_view>

namespace zinniamux::adapters {

std::string EncodeBase64(std::string_view bytes);
// Nothing if the text is not base64.
std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace zinniamux::adapters

#endif  // ZINNIAMUX_ADAPTERS_BASE64_H_
