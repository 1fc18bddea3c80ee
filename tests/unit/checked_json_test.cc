// JsonDepth: the depth of nesting without parsing.
#include "adapters/checked_json.h"

#include <criterion/criterion.h>

#include <string>
#include <utility>
#include <vector>

using zinniamux::adapters::JsonDepth;

// Guards against brackets in strings that count as nesting, and against nesting after a string that
// is overlooked because the end of the string was not found.
Test(checked_json, depth_leaves_out_strings) {
  const std::vector<std::pair<std::string, std::size_t>> bodies{
      {"", 0},
      {"7", 0},
      {"[]", 1},
      {"[{},[[]]]", 3},
      {"]]]}[", 1},
      {R"("[[[")", 0},
      {R"(["[[["])", 1},
      {R"(["\"[[["])", 1},
      {R"(["\\",[[]]])", 3},
      {R"(["\\\"[[[",[]])", 2},
      {R"(["",[]])", 2},
      {R"(["\\\\",[]])", 2},
      {R"(["[[[)", 1},
      {"[\"", 1},
      {R"(["\)", 1},
      {R"({"a":"b","c":{"d":["e"]}})", 3},
  };
  for (const auto& [body, depth] : bodies) {
    cr_assert_eq(JsonDepth(body), depth, "%s", body.c_str());
  }
}
