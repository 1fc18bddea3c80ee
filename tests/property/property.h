// Runs a RapidCheck property inside a Criterion test.
#ifndef ZINNIAMUX_TESTS_PROPERTY_PROPERTY_H_
#define ZINNIAMUX_TESTS_PROPERTY_PROPERTY_H_

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>
#include <utility>

namespace zinniamux::tests {

// Checks the property on random cases that follow from the seed, and fails the test if one of them
// falsifies it. RC_PARAMS in the environment replaces the seed, to repeat a single case.
template <typename Testable>
void CheckProperty(std::uint64_t seed, const std::string& description, Testable&& testable) {
  // RapidCheck reads the variable once; Criterion runs each test in a process of its own.
  setenv("RC_PARAMS", ("seed=" + std::to_string(seed)).c_str(), /*overwrite=*/0);
  std::cerr << description << ": RC_PARAMS=\"" << std::getenv("RC_PARAMS") << "\"\n";
  cr_assert(rc::check(description, std::forward<Testable>(testable)));
}

}  // namespace zinniamux::tests

#endif  // ZINNIAMUX_TESTS_PROPERTY_PROPERTY_H_
