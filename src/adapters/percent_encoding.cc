// Percent-encoding of URL parts.
#include "adapters/percent_encoding.h"

#include <charconv>
#include <cstdint>

namespace zinniamux::adapters {
namespace {

constexpr std::string_view kUnreserved =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
constexpr std::string_view kHexDigits = "0123456789ABCDEF";

}  // namespace

std::string PercentEncode(std::string_view text) {
  std::string result;
  for (const char character : text) {
    if (kUnreserved.find(character) != std::string_view::npos) {
      result += character;
      continue;
    }
    const auto byte = static_cast<std::uint8_t>(character);
    result += '%';
    result += kHexDigits[byte >> 4U];
    result += kHexDigits[byte & 15U];
  }
  return result;
}

std::string PercentDecode(std::string_view text) {
  std::string result;
  for (std::size_t i = 0; i < text.size(); ++i) {
    std::uint8_t byte = 0;
    const std::string_view digits = text.substr(std::min(i + 1, text.size()), 2);
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), byte, 16);
    const bool encoded =
        text[i] == '%' && digits.size() == 2 && parsed.ptr == digits.data() + digits.size();
    result += encoded ? static_cast<char>(byte) : text[i];
    if (encoded) i += 2;
  }
  return result;
}

}  // namespace zinniamux::adapters
