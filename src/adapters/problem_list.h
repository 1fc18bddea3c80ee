// Everything that is wrong with a document, gathered so that its author can mend it in one go.
#ifndef ZINNIAMUX_ADAPTERS_PROBLEM_LIST_H_
#define ZINNIAMUX_ADAPTERS_PROBLEM_LIST_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "core/error_kind.h"

namespace zinniamux::adapters {

// A list of problems, each one line of text. Invariant: at most kMaxListed are kept; later ones are
// only counted, so that a hostile document cannot cause a huge answer.
class ProblemList {
 public:
  static constexpr std::size_t kMaxListed = 25;

  // `place` is a file and line or empty; `key` is the path of the field.
  void Add(std::string_view place, std::string_view key, std::string_view seen,
           std::string_view allowed);
  // A problem that has no key or value.
  void Add(std::string message);

  bool empty() const { return count_ == 0; }
  std::size_t size() const { return count_; }
  // The problems separated by `separator`.
  std::string Text(std::string_view separator) const;
  core::Error ToError(core::ErrorKind kind, std::string_view separator) const;

 private:
  std::vector<std::string> problems_;
  std::size_t count_ = 0;
};

}  // namespace zinniamux::adapters

#endif  // ZINNIAMUX_ADAPTERS_PROBLEM_LIST_H_
