// Codecs of outside input: no input crashes them, and what they write they read.
#include <array>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "adapters/base64.h"
#include "adapters/caller_codec.h"
#include "adapters/checked_yaml.h"
#include "adapters/config_codec.h"
#include "property/property.h"

namespace {

using nlohmann::json;
using zinniamux::adapters::ComposeConfig;
using zinniamux::adapters::ParseConfig;
using zinniamux::adapters::ParseSubmission;
using zinniamux::core::DispatchConfig;
using zinniamux::core::ErrorKind;
using zinniamux::core::TimePoint;
using zinniamux::tests::CheckProperty;

std::string RandomId() {
  return "a" + *rc::gen::container<std::string>(rc::gen::elementOf(std::string("aZ09._:-")));
}

// Valid UTF-8 with quotes, escapes and characters of several bytes.
std::string RandomText() {
  std::string text;
  for (const int index : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6))) {
    constexpr std::array<const char*, 6> kPieces{"a",  "\"",       "\\",
                                                 "\n", "\xc3\xb8", "\xf0\x9f\xaa\xb5"};
    text += kPieces.at(index);
  }
  return text;
}

json RandomSubmission() {
  json body{{"submission_id", RandomId()},
            {"team", RandomId()},
            {"job", RandomId()},
            {"deadline_ms", *rc::gen::inRange(1, 600'001)},
            {"tasks", json::array()}};
  const int tasks = *rc::gen::inRange(1, 5);
  for (int i = 0; i < tasks; ++i) {
    body["tasks"].push_back({{"run_ms", *rc::gen::inRange(0, 600'001)}, {"payload", RandomText()}});
  }
  return body;
}

// A value that breaks some rule of some field.
json RandomValue() {
  return *rc::gen::element<json>(nullptr, true, -1, 1.5, 1e300, ~std::uint64_t{0}, "", "a b",
                                 std::string(200, 'x'), json::array(), json::object(),
                                 json::array({json::array()}));
}

// Asserts the promise of every refusal: a kind of the caller's fault and a message.
void AssertRefusalIsClear(const zinniamux::core::Error& error) {
  RC_ASSERT(error.kind == ErrorKind::kInvalidRequest || error.kind == ErrorKind::kTooLarge);
  RC_ASSERT(error.message.find("allowed: ") != std::string::npos);
  RC_ASSERT(error.message.size() < 16'384U);
}

DispatchConfig RandomConfig() {
  DispatchConfig config;
  const int teams = *rc::gen::inRange(1, 4);
  for (int i = 0; i < teams; ++i) {
    config.teams["team-" + std::to_string(i)] = {
        .weight = *rc::gen::inRange(1, 1'000'000) / 1000.0,
        .max_queued_tasks = *rc::gen::inRange(0U, 100'001U),
        .max_running_tasks = *rc::gen::inRange(0U, 100'001U)};
  }
  const int jobs = *rc::gen::inRange(0, 4);
  for (int i = 0; i < jobs; ++i) {
    const std::chrono::milliseconds run_time(*rc::gen::inRange(1, 300'000));
    config.jobs[RandomId()] = {.team = "team-" + std::to_string(*rc::gen::inRange(0, teams)),
                               .idempotent = *rc::gen::arbitrary<bool>(),
                               .run_time = run_time,
                               .time_limit = run_time * 2,
                               .max_tasks = *rc::gen::inRange(1U, 501U),
                               .memory_mb = *rc::gen::inRange(0U, 1'000'000U)};
  }
  config.policy.placement =
      static_cast<zinniamux::core::PlacementPolicyKind>(*rc::gen::inRange(0, 4));
  config.policy.job_order = static_cast<zinniamux::core::JobOrder>(*rc::gen::inRange(0, 2));
  config.policy.result_hold = std::chrono::milliseconds(*rc::gen::inRange(0, 1001));
  config.policy.retention = std::chrono::milliseconds(*rc::gen::inRange(1000, 3'600'001));
  config.policy.max_deadline = std::chrono::milliseconds(*rc::gen::inRange(1, 600'001));
  return config;
}

}  // namespace

// Guards against a body that crashes the entry: random bytes.
Test(codec_properties, random_bytes_are_refused) {
  CheckProperty(0x5eed01, "random bytes as submission and configuration", [] {
    const auto body = *rc::gen::string<std::string>();
    const auto submission = ParseSubmission(body, TimePoint());
    RC_ASSERT(!submission.has_value());
    AssertRefusalIsClear(submission.error());
    const auto config = ParseConfig(body, 1);
    RC_ASSERT(!config.has_value());
    AssertRefusalIsClear(config.error());
  });
}

// Guards against a body that crashes the entry or is accepted with a wrong reading: valid bodies
// with bytes replaced, removed or inserted.
Test(codec_properties, mutated_bytes_never_crash) {
  CheckProperty(0x5eed02, "submissions with mutated bytes", [] {
    std::string body = RandomSubmission().dump();
    const int mutations = *rc::gen::inRange(1, 8);
    for (int i = 0; i < mutations && !body.empty(); ++i) {
      const auto position = *rc::gen::inRange<std::size_t>(0, body.size());
      const char byte = *rc::gen::arbitrary<char>();
      const int kind = *rc::gen::inRange(0, 3);
      if (kind == 0) body[position] = byte;
      if (kind == 1) body.erase(position, 1);
      if (kind == 2) body.insert(position, 1, byte);
    }
    const auto submission = ParseSubmission(body, TimePoint());
    if (submission) {
      RC_ASSERT(!submission->tasks.empty());
      RC_ASSERT(submission->tasks.size() <= 500U);
      RC_ASSERT(submission->id.size() <= 128U);
    } else {
      AssertRefusalIsClear(submission.error());
    }
  });
}

// Guards against a field whose wrong type or range throws or passes: one field set to a bad value.
Test(codec_properties, bad_values_are_refused_with_the_field_named) {
  CheckProperty(0x5eed03, "submissions with one bad value", [] {
    json body = RandomSubmission();
    RC_ASSERT(ParseSubmission(body.dump(), TimePoint()).has_value());
    const auto key = *rc::gen::element<std::string>("submission_id", "team", "job", "tasks");
    body[key] = RandomValue();
    const auto submission = ParseSubmission(body.dump(), TimePoint());
    RC_ASSERT(!submission.has_value());
    AssertRefusalIsClear(submission.error());
    RC_ASSERT(submission.error().message.find(key) != std::string::npos);
  });
}

// Guards against a published configuration that differs from its job files, and against bytes that
// differ between equal configurations.
Test(codec_properties, configurations_survive_the_round_trip) {
  CheckProperty(0x5eed04, "configurations composed and parsed", [] {
    const DispatchConfig config = RandomConfig();
    const std::string body = ComposeConfig(config);
    const auto parsed = ParseConfig(body, 0);
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(*parsed == config);
    RC_ASSERT(ComposeConfig(*parsed) == body);
  });
}

// Guards against a file that crashes the daemon or the tool: random text as YAML.
Test(codec_properties, random_yaml_never_crashes) {
  CheckProperty(0x5eed05, "random YAML", [] {
    const auto text = *rc::gen::container<std::string>(
        rc::gen::elementOf(std::string("ab1:-? \n\"'[]{},&*!|>#%@`\t\\x")));
    zinniamux::adapters::ProblemList problems;
    zinniamux::adapters::DocumentContext context{.problems = problems, .file = "random"};
    const json document = zinniamux::adapters::LoadYamlText(text, context);
    if (!problems.empty()) RC_ASSERT(problems.Text("\n").find("random:") != std::string::npos);
  });
}

// Guards against results that base64 alters.
Test(codec_properties, base64_survives_the_round_trip) {
  CheckProperty(0x5eed06, "bytes encoded and decoded", [] {
    const auto bytes = *rc::gen::string<std::string>();
    RC_ASSERT(zinniamux::adapters::DecodeBase64(zinniamux::adapters::EncodeBase64(bytes)) == bytes);
  });
}
