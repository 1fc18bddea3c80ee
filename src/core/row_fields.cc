// Escaping, joining and splitting of row fields.
#include "core/row_fields.h"

#include <limits>

namespace zinniamux::core {
namespace {

constexpr std::size_t kMaxNumberDigits = std::numeric_limits<std::uint64_t>::digits10 + 1;

void AppendEscaped(std::string& line, std::string_view field) {
  for (const char character : field) {
    switch (character) {
      case '\\':
        line += "\\\\";
        break;
      case '\t':
        line += "\\t";
        break;
      case '\n':
        line += "\\n";
        break;
      default:
        line += character;
    }
  }
}

char UnescapedCharacter(char character) {
  switch (character) {
    case 't':
      return '\t';
    case 'n':
      return '\n';
    default:
      return character;
  }
}

}  // namespace

std::string JoinFields(std::initializer_list<std::string_view> fields) {
  std::string line;
  bool first = true;
  for (const std::string_view field : fields) {
    if (!first) line += '\t';
    first = false;
    AppendEscaped(line, field);
  }
  return line;
}

std::vector<std::string> SplitFields(std::string_view line) {
  std::vector<std::string> fields(1);
  for (std::size_t i = 0; i < line.size(); ++i) {
    if (line[i] == '\t') {
      fields.emplace_back();
      continue;
    }
    const bool escape = line[i] == '\\' && i + 1 < line.size();
    fields.back() += escape ? UnescapedCharacter(line[++i]) : line[i];
  }
  return fields;
}

std::string SortableNumber(std::uint64_t number) {
  const std::string digits = std::to_string(number);
  return std::string(kMaxNumberDigits - digits.size(), '0') + digits;
}

}  // namespace zinniamux::core
