// Text fields in the value of a table row: tab-separated, with backslash escapes.
#ifndef ZINNIAMUX_CORE_ROW_FIELDS_H_
#define ZINNIAMUX_CORE_ROW_FIELDS_H_

#include <charconv>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinniamux::core {

// The result contains no line break, whatever the fields contain.
std::string JoinFields(std::initializer_list<std::string_view> fields);
std::vector<std::string> SplitFields(std::string_view line);

// A whole field as a decimal number.
template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number number{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return number;
}

// Zero-padded to 20 digits, so that keys sort by number.
std::string SortableNumber(std::uint64_t number);

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_ROW_FIELDS_H_
