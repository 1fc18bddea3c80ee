// Look-ups in query strings and headers.
#include "adapters/http_message.h"

#include <algorithm>
#include <cctype>
#include <string_view>

namespace zinniamux::adapters {
namespace {

bool EqualIgnoringCase(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
    return std::tolower(static_cast<unsigned char>(a)) ==
           std::tolower(static_cast<unsigned char>(b));
  });
}

}  // namespace

std::size_t MemoryOf(const HttpRequest& request) {
  constexpr std::size_t kRequestBytes = 512;
  // Two strings.
  constexpr std::size_t kHeaderBytes = 128;
  std::size_t bytes =
      kRequestBytes + request.path.size() + request.query.size() + request.body.size();
  for (const auto& [name, value] : request.headers) {
    bytes += kHeaderBytes + name.size() + value.size();
  }
  return bytes;
}

std::string QueryValue(const std::string& query, const std::string& name) {
  std::string_view rest = query;
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos || pair.substr(0, equals) != name) continue;
    return std::string(pair.substr(equals + 1));
  }
  return {};
}

std::string HeaderValue(const HttpHeaders& headers, const std::string& name) {
  for (const auto& [key, value] : headers) {
    if (EqualIgnoringCase(key, name)) return value;
  }
  return {};
}

}  // namespace zinniamux::adapters
