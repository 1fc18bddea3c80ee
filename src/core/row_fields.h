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

// Escapes and joins the fields. The result never contains a line break.
std::string JoinFields(std::initializer_list<std::string_view> fields);
// Splits the result of JoinFields.
std::vector<std::string> SplitFields(std::string_view line);

// Parses a field that consists of a decimal number only.
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
