// Base64 in groups of three bytes and four characters.
#include "adapters/base64.h"

#include <cstdint>

namespace zinniamux::adapters {
namespace {

constexpr std::string_view kAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::size_t kGroupBytes = 3;
constexpr std::size_t kGroupCharacters = 4;
constexpr unsigned kBitsPerCharacter = 6;
constexpr unsigned kCharacterMask = 0x3F;

}  // namespace

std::string EncodeBase64(std::string_view bytes) {
  std::string text;
  text.reserve((bytes.size() + 2) / kGroupBytes * kGroupCharacters);
  for (std::size_t start = 0; start < bytes.size(); start += kGroupBytes) {
    const std::string_view group = bytes.substr(start, kGroupBytes);
    std::uint32_t bits = 0;
    for (std::size_t i = 0; i < kGroupBytes; ++i) {
      bits = bits << 8U | (i < group.size() ? static_cast<unsigned char>(group[i]) : 0U);
    }
    for (std::size_t i = 0; i < kGroupCharacters; ++i) {
      const auto shift = static_cast<unsigned>(kGroupCharacters - 1 - i) * kBitsPerCharacter;
      text += i <= group.size() ? kAlphabet[bits >> shift & kCharacterMask] : '=';
    }
  }
  return text;
}

std::optional<std::string> DecodeBase64(std::string_view text) {
  if (text.size() % kGroupCharacters != 0) return std::nullopt;
  std::size_t padding = 0;
  while (padding < 2 && text.ends_with('=')) {
    text.remove_suffix(1);
    ++padding;
  }
  std::string bytes;
  std::uint32_t bits = 0;
  unsigned bit_count = 0;
  for (const char character : text) {
    const std::size_t value = kAlphabet.find(character);
    if (value == std::string_view::npos) return std::nullopt;
    bits = bits << kBitsPerCharacter | static_cast<std::uint32_t>(value);
    bit_count += kBitsPerCharacter;
    if (bit_count < 8) continue;
    bit_count -= 8;
    bytes += static_cast<char>(bits >> bit_count & 0xFFU);
  }
  return bytes;
}

}  // namespace zinniamux::adapters
