// Parsing of JSON from outside, with bounds and without exceptions.
#ifndef ZINNIAMUX_ADAPTERS_CHECKED_JSON_H_
#define ZINNIAMUX_ADAPTERS_CHECKED_JSON_H_

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <string_view>

#include "core/error_kind.h"

namespace zinniamux::adapters {

struct JsonLimits {
  std::size_t max_bytes = 1U << 20U;
  std::size_t max_depth = 16;
};

// The deepest nesting of arrays and objects. Found without parsing, so that a deeply nested body
// costs no memory.
std::size_t JsonDepth(std::string_view body);

// At least the number of values, found in the same way: an object of two bytes takes 100 when it is
// parsed.
std::size_t JsonValues(std::string_view body);

// Parses a document. Fails with kTooLarge beyond `max_bytes`, and with kInvalidRequest if the text
// is not JSON in UTF-8, is nested too deeply, or has an object with two members of one name.
core::Result<nlohmann::json> ParseJson(std::string_view body, const JsonLimits& limits);

}  // namespace zinniamux::adapters

#endif  // ZINNIAMUX_ADAPTERS_CHECKED_JSON_H_
