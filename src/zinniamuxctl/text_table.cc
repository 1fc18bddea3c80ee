// Layout of tables.
#include "zinniamuxctl/text_table.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <ctime>
#include <utility>

namespace zinniamux::ctl {
namespace {

constexpr std::int64_t kMillisecondsPerSecond = 1000;

}  // namespace

TextTable::TextTable(std::vector<std::string> header) { rows_.push_back(std::move(header)); }

void TextTable::Add(std::vector<std::string> cells) { rows_.push_back(std::move(cells)); }

void TextTable::Print(std::ostream& out) const {
  std::vector<std::size_t> widths(rows_.front().size());
  for (const std::vector<std::string>& row : rows_) {
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  for (const std::vector<std::string>& row : rows_) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += i + 1 == row.size() ? row[i] : fmt::format("{:<{}}  ", row[i], widths[i]);
    }
    out << line << '\n';
  }
}

std::string CellOf(const nlohmann::json& object, const std::string& key) {
  if (!object.is_object()) return {};
  const auto found = object.find(key);
  if (found == object.end() || found->is_null()) return {};
  if (found->is_string()) return found->get<std::string>();
  return found->dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

std::string TimeText(const nlohmann::json& object, const std::string& key) {
  if (!object.is_object() || !object.contains(key) || !object[key].is_number_integer()) return {};
  const std::time_t seconds = object[key].get<std::int64_t>() / kMillisecondsPerSecond;
  return fmt::format("{:%Y-%m-%d %H:%M:%S}", fmt::gmtime(seconds));
}

}  // namespace zinniamux::ctl
