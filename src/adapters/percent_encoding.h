// Percent-encoding of URL parts (RFC 3986, section 2.1).
#ifndef ZINNIAMUX_ADAPTERS_PERCENT_ENCODING_H_
#define ZINNIAMUX_ADAPTERS_PERCENT_ENCODING_H_

#include <string>
#include <string_view>

namespace zinniamux::adapters {

// Encodes every byte but the unreserved characters, so that the result is one path segment or one
// query value.
std::string PercentEncode(std::string_view text);

// Decodes "%XX"; a '%' without two hexadecimal digits stays as it is. '+' is not a space.
std::string PercentDecode(std::string_view text);

}  // namespace zinniamux::adapters

#endif  // ZINNIAMUX_ADAPTERS_PERCENT_ENCODING_H_
