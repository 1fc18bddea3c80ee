// The caller interface: limits of a submission, and truthful answers.
#include "adapters/caller_codec.h"

#include <criterion/criterion.h>

#include <nlohmann/json.hpp>

#include "adapters/base64.h"

namespace {

using nlohmann::json;
using zinniamux::adapters::HttpResponse;
using zinniamux::adapters::ParseSubmission;
using zinniamux::adapters::ToHttp;
using zinniamux::core::Error;
using zinniamux::core::ErrorKind;
using zinniamux::core::JobAnswer;
using zinniamux::core::JobState;
using zinniamux::core::TimePoint;

json ValidBody() {
  return {{"submission_id", "order-1"},
          {"team", "orders"},
          {"job", "stock"},
          {"deadline_ms", 500},
          {"tasks", {{{"run_ms", 50}, {"memory_mb", 10}, {"payload", "a"}}}}};
}

Error ErrorFor(const std::string& body) {
  const auto submission = ParseSubmission(body, TimePoint());
  cr_assert(!submission.has_value(), "accepted: %s", body.c_str());
  return submission.error();
}

// Asserts that the body with `value` under `key` is refused with this message.
void AssertRefused(const std::string& key, const json& value, const std::string& part) {
  json body = ValidBody();
  body[json::json_pointer(key)] = value;
  const Error error = ErrorFor(body.dump());
  cr_assert(error.message.find(part) != std::string::npos, "\"%s\" not found in: %s", part.c_str(),
            error.message.c_str());
}

}  // namespace

// Guards against fields that are lost or read into the wrong place.
Test(caller_codec, reads_a_submission) {
  json body = ValidBody();
  body["idempotent"] = false;
  body["request_key"] = "key-1";
  const auto submission = ParseSubmission(body.dump(), TimePoint());
  cr_assert(submission.has_value());
  cr_assert(submission->id == "order-1");
  cr_assert(submission->request_key == "key-1");
  cr_assert(submission->deadline == TimePoint(std::chrono::milliseconds(500)));
  cr_assert_eq(submission->tasks.at(0).memory_mb, 10U);
  cr_assert_neq(submission->content_hash, 0U);
}

// Guards against values beyond the limits, of other types, or without meaning.
Test(caller_codec, names_field_value_and_rule) {
  AssertRefused("/submission_id", "order 1", "submission_id: saw \"order 1\"; allowed: text of 1");
  AssertRefused("/team", std::string(129, 'a'), "team: saw \"aaa");
  AssertRefused("/job", 7, "job: saw 7; allowed: text of 1 to 128");
  AssertRefused("/deadline_ms", 0, "deadline_ms: saw 0; allowed: a whole number from 1 to 600000");
  AssertRefused("/deadline_ms", 600'001, "deadline_ms: saw 600001");
  AssertRefused("/deadline_ms", 1.5, "deadline_ms: saw 1.5");
  AssertRefused("/deadline_ms", nullptr, "deadline_ms: saw null");
  AssertRefused("/attempt", -1, "attempt: saw -1");
  AssertRefused("/idempotent", "no", "idempotent: saw \"no\"; allowed: true or false");
  AssertRefused("/idempotent", false, "request_key: saw nothing; allowed: an id");
  AssertRefused("/request_key", "key-1", "request_key: saw \"key-1\"; allowed: nothing, as");
  AssertRefused("/priority", 1, "priority: saw an unknown field; allowed: submission_id");
  AssertRefused("/tasks", json::array(),
                "tasks: saw a list of 0 items; allowed: a list of 1 to 500");
  AssertRefused("/tasks", 3, "tasks: saw 3; allowed: a list");
  AssertRefused("/tasks/0/run_ms", -1, "tasks[0].run_ms: saw -1");
  AssertRefused("/tasks/0/memory_mb", 1e300, "tasks[0].memory_mb: saw 1e+300");
  AssertRefused("/tasks/0/payload", 5, "tasks[0].payload: saw 5; allowed: text");
  AssertRefused("/tasks/0", "a", "tasks[0]: saw \"a\"; allowed: an object");
}

// Guards against a report of the first problem only, and against missing fields that pass.
Test(caller_codec, reports_all_missing_fields) {
  const std::string message = ErrorFor("{}").message;
  for (const char* field : {"submission_id", "team", "job", "tasks"}) {
    cr_assert(message.find(std::string(field) + ": saw ") != std::string::npos);
  }
}

// Guards against sizes that use up memory, and against a kind that hides that a size is wrong.
Test(caller_codec, refuses_what_is_too_large) {
  json body = ValidBody();
  body["tasks"] = json::array();
  for (int i = 0; i < 501; ++i) body["tasks"].push_back(json::object());
  cr_assert(ErrorFor(body.dump()).kind == ErrorKind::kTooLarge);
  body = ValidBody();
  body["tasks"][0]["payload"] = std::string((64U << 10U) + 1, 'a');
  cr_assert(ErrorFor(body.dump()).kind == ErrorKind::kTooLarge);
  body["team"] = "";
  cr_assert(ErrorFor(body.dump()).kind == ErrorKind::kInvalidRequest);
  cr_assert(ErrorFor(std::string((1U << 20U) + 1, ' ')).kind == ErrorKind::kTooLarge);
}

// Guards against crashes and ambiguous readings of bodies that are not proper JSON.
Test(caller_codec, refuses_improper_json) {
  for (const std::string& body :
       {std::string(), std::string("[]"), std::string("{"), std::string("{\"team\":\"\xff\"}"),
        std::string("{\"team\":1e999}"), std::string(100'000, '['),
        std::string("{\"a\":{\"b\":1,\"b\":2}}"), std::string("null"), std::string(1, '\0')}) {
    cr_assert(ErrorFor(body).kind == ErrorKind::kInvalidRequest);
  }
  cr_assert(ErrorFor("{\"a\":1,\"a\":2}").message.find("two members named \"a\"") !=
            std::string::npos);
}

// Guards against results that are altered on the way to the caller.
Test(caller_codec, encodes_binary_results_in_base64) {
  JobAnswer answer{.submission_id = "order-1", .state = JobState::kComplete};
  answer.results = {"plain", "gr\xc3\xbc\xc3\x9f"};
  json body = json::parse(ToHttp(answer).body);
  cr_assert(!body.contains("encoding"));
  cr_assert(body["results"][1] == answer.results[1]);
  answer.results[1] = std::string("\xff\x00\x80", 3);
  body = json::parse(ToHttp(answer).body);
  cr_assert(body["encoding"] == "base64");
  cr_assert(body["results"][0] == "cGxhaW4=");
  cr_assert(zinniamux::adapters::DecodeBase64(body["results"][1].get<std::string>()) ==
            answer.results[1]);
}

// Guards against a "not run" claim that follows from the kind and not from the job.
Test(caller_codec, takes_not_run_from_the_answer) {
  JobAnswer answer{.submission_id = "order-1", .state = JobState::kFailed};
  answer.error = {ErrorKind::kQueueTimeout, "nothing started", std::chrono::milliseconds(1200)};
  const HttpResponse started = ToHttp(answer);
  cr_assert_eq(started.status, 503);
  cr_assert(json::parse(started.body)["error"]["not_run"] == false);
  cr_assert(json::parse(started.body)["error"]["retry_after_ms"] == 1200);
  cr_assert(zinniamux::adapters::HeaderValue(started.headers, "Retry-After") == "2");
  answer.not_run = true;
  cr_assert(json::parse(ToHttp(answer).body)["error"]["not_run"] == true);
}
