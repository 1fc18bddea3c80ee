// Wording of problems.
#include "adapters/problem_list.h"

#include <fmt/format.h>

#include <utility>

namespace zinniamux::adapters {

void ProblemList::Add(std::string_view place, std::string_view key, std::string_view seen,
                      std::string_view allowed) {
  if (count_ >= kMaxListed) {
    ++count_;
    return;
  }
  const std::string_view separator = place.empty() ? "" : ": ";
  Add(fmt::format("{}{}{}: saw {}; allowed: {}", place, separator, key, seen, allowed));
}

void ProblemList::Add(std::string message) {
  ++count_;
  if (problems_.size() < kMaxListed) problems_.push_back(std::move(message));
}

std::string ProblemList::Text(std::string_view separator) const {
  std::string text = fmt::format("{}", fmt::join(problems_, separator));
  if (count_ > problems_.size()) {
    text += fmt::format("{}and {} more problems", separator, count_ - problems_.size());
  }
  return text;
}

core::Error ProblemList::ToError(core::ErrorKind kind, std::string_view separator) const {
  return {kind, Text(separator), {}};
}

}  // namespace zinniamux::adapters
