// Tables for people.
#ifndef ZINNIAMUX_ZINNIAMUXCTL_TEXT_TABLE_H_
#define ZINNIAMUX_ZINNIAMUXCTL_TEXT_TABLE_H_

#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace zinniamux::ctl {

// Columns of text, each as wide as its widest cell.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> header);

  // Takes as many cells as the header has.
  void Add(std::vector<std::string> cells);
  void Print(std::ostream& out) const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

// The member as text without quotes; empty if there is none.
std::string CellOf(const nlohmann::json& object, const std::string& key);

// A wall-clock time in UTC, for example "2024-05-01 12:00:00".
std::string TimeText(const nlohmann::json& object, const std::string& key);

}  // namespace zinniamux::ctl

#endif  // ZINNIAMUX_ZINNIAMUXCTL_TEXT_TABLE_H_
