// Bounds on JSON and duplicate members.
#include "adapters/checked_json.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "adapters/checked_object.h"

namespace zinniamux::adapters {
namespace {

using nlohmann::json;

core::Error Invalid(std::string message) {
  return {core::ErrorKind::kInvalidRequest, std::move(message), {}};
}

// The position of the quote that ends the string which begins at `start`, or the body's size.
std::size_t StringEnd(std::string_view body, std::size_t start) {
  for (std::size_t end = body.find('"', start + 1); end != std::string_view::npos;
       end = body.find('"', end + 1)) {
    // A quote after an odd number of backslashes is escaped.
    std::size_t begin = end;
    while (begin > start + 1 && body[begin - 1] == '\\') --begin;
    if ((end - begin) % 2 == 0) return end;
  }
  return body.size();
}

// Notes the first member name that occurs twice in one object. nlohmann-json keeps only the last of
// such members, so which one counts would depend on the library.
class DuplicateFinder {
 public:
  bool operator()(json::parse_event_t event, const json& value) {
    if (event == json::parse_event_t::object_start) names_.emplace_back();
    if (event == json::parse_event_t::object_end) names_.pop_back();
    if (event == json::parse_event_t::key && duplicate_.empty()) {
      const auto& name = value.get_ref<const std::string&>();
      if (!names_.back().insert(name).second) duplicate_ = Shortened(value);
    }
    return true;
  }

  const std::string& duplicate() const { return duplicate_; }

 private:
  std::vector<std::set<std::string>> names_;
  std::string duplicate_;
};

}  // namespace

std::size_t JsonDepth(std::string_view body) {
  std::size_t depth = 0;
  std::size_t deepest = 0;
  for (std::size_t i = 0; i < body.size(); ++i) {
    const char c = body[i];
    if (c == '"') {
      i = StringEnd(body, i);
    } else if (c == '[' || c == '{') {
      deepest = std::max(deepest, ++depth);
    } else if ((c == ']' || c == '}') && depth > 0) {
      --depth;
    }
  }
  return deepest;
}

std::size_t JsonValues(std::string_view body) {
  // A value is the first one of all or of its container, or follows a comma.
  std::size_t values = 1;
  for (std::size_t i = 0; i < body.size(); ++i) {
    const char c = body[i];
    if (c == '"') {
      i = StringEnd(body, i);
    } else if (c == '[' || c == '{' || c == ',') {
      ++values;
    }
  }
  return values;
}

core::Result<json> ParseJson(std::string_view body, const JsonLimits& limits) {
  if (body.size() > limits.max_bytes) {
    return tl::unexpected(core::Error{
        core::ErrorKind::kTooLarge,
        fmt::format("body: saw {} bytes; allowed: at most {} bytes", body.size(), limits.max_bytes),
        {}});
  }
  if (const std::size_t depth = JsonDepth(body); depth > limits.max_depth) {
    return tl::unexpected(Invalid(fmt::format("body: saw JSON nested {} deep; allowed: at most {}",
                                              depth, limits.max_depth)));
  }
  try {
    DuplicateFinder duplicates;
    json root = json::parse(body, [&duplicates](int /*depth*/, json::parse_event_t event,
                                                json& value) { return duplicates(event, value); });
    if (!duplicates.duplicate().empty()) {
      return tl::unexpected(Invalid("body: saw two members named " + duplicates.duplicate() +
                                    " in one object; allowed: one"));
    }
    return root;
  } catch (const json::parse_error& error) {
    return tl::unexpected(Invalid(
        fmt::format("body: saw a syntax error or invalid UTF-8 at byte {}; allowed: one JSON "
                    "document in UTF-8",
                    error.byte)));
  } catch (const json::exception& /*error*/) {
    return tl::unexpected(
        Invalid("body: saw a number beyond the range of a 64-bit float; allowed: JSON in range"));
  }
}

}  // namespace zinniamux::adapters
