// Texts of clients in answers and log lines.
#ifndef ZINNIAMUX_ADAPTERS_SHORT_TEXT_H_
#define ZINNIAMUX_ADAPTERS_SHORT_TEXT_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace zinniamux::adapters {

// The beginning of a text that a client has sent, or of an error that repeats one. Thousands of
// lines may wait for the log's thread.
inline std::string ShortText(std::string_view text) {
  constexpr std::size_t kMaxBytes = 200;
  if (text.size() <= kMaxBytes) return std::string(text);
  return std::string(text.substr(0, kMaxBytes)) + "...";
}

}  // namespace zinniamux::adapters

#endif  // ZINNIAMUX_ADAPTERS_SHORT_TEXT_H_
