// Parsing of submissions and formatting of answers.
#include "adapters/caller_codec.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "adapters/base64.h"
#include "adapters/checked_json.h"
#include "adapters/checked_object.h"

namespace zinniamux::adapters {
namespace {

using nlohmann::json;

using std::chrono::milliseconds;

constexpr milliseconds kDefaultDeadline{30'000};
// No task can run longer than the longest deadline.
constexpr std::int64_t kMaxRunMs = milliseconds(kMaxSubmissionDeadline).count();
constexpr std::int64_t kMaxMemoryMb = 16'777'216;
constexpr std::int64_t kMaxAttempt = 1'000'000;

std::string_view StateName(core::JobState state) {
  switch (state) {
    case core::JobState::kQueued:
      return "queued";
    case core::JobState::kRunning:
      return "running";
    case core::JobState::kComplete:
      return "complete";
    case core::JobState::kFailed:
      return "failed";
  }
  return "failed";
}

json ErrorJson(const core::Error& error, bool not_run) {
  const core::ErrorRow& row = core::RowOf(error.kind);
  const auto retry_after = std::max(error.retry_after, row.retry_after);
  return {{"kind", row.name},
          {"message", error.message},
          {"not_run", not_run},
          {"retryable", row.retryable},
          {"retry_after_ms", retry_after.count()}};
}

void AddRetryAfter(const core::Error& error, HttpResponse& response) {
  const auto retry_after = std::max(error.retry_after, core::RowOf(error.kind).retry_after);
  if (retry_after.count() == 0) return;
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after);
  response.headers.emplace_back("Retry-After", std::to_string(seconds.count()));
}

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

// Reads one submission and gathers what is wrong with it.
class SubmissionReader {
 public:
  explicit SubmissionReader(const json& document)
      : context_{.problems = problems_}, root_(document, "", context_) {}

  core::Result<core::Submission> Read(core::TimePoint now) {
    submission_.id = root_.Id("submission_id");
    submission_.team = root_.Id("team");
    submission_.job = root_.Id("job");
    submission_.idempotent = root_.Bool("idempotent", true);
    ReadRequestKey();
    submission_.attempt = static_cast<std::uint32_t>(root_.Integer("attempt", 0, kMaxAttempt, 0));
    const std::int64_t deadline_ms = root_.Integer(
        "deadline_ms", 1, milliseconds(kMaxSubmissionDeadline).count(), kDefaultDeadline.count());
    submission_.deadline = now + milliseconds(deadline_ms);
    ReadTasks();
    root_.Finish();
    if (!problems_.empty()) {
      const bool only_sizes = problems_.size() == size_problems_;
      return tl::unexpected(problems_.ToError(
          only_sizes ? core::ErrorKind::kTooLarge : core::ErrorKind::kInvalidRequest, "; "));
    }
    submission_.content_hash = core::ContentHash(submission_);
    return std::move(submission_);
  }

 private:
  void ReadRequestKey() {
    submission_.request_key = root_.Id("request_key", "");
    if (root_.Has("request_key") == !submission_.idempotent) return;
    root_.Reject("request_key", submission_.idempotent ? "nothing, as idempotent is true"
                                                       : "an id, as idempotent is false");
  }

  void ReadTasks() {
    std::size_t count = 0;
    root_.Items("tasks", [&](const json& item, const std::string& path) {
      // Beyond the limit tasks are only counted.
      if (++count <= kMaxSubmissionTasks) ReadTask(CheckedObject(item, path, context_));
    });
    if (count > kMaxSubmissionTasks) ++size_problems_;
    if (count == 0 || count > kMaxSubmissionTasks) {
      root_.Reject("tasks", fmt::format("a list of 1 to {} tasks", kMaxSubmissionTasks));
    }
  }

  void ReadTask(CheckedObject object) {
    core::TaskDeclaration task;
    task.run_time = milliseconds(object.Integer("run_ms", 0, kMaxRunMs, 0));
    task.memory_mb = static_cast<std::uint32_t>(object.Integer("memory_mb", 0, kMaxMemoryMb, 0));
    task.payload = object.Text("payload", kMaxPayloadBytes, "");
    if (object.SizeOfText("payload") > kMaxPayloadBytes) ++size_problems_;
    object.Finish();
    submission_.tasks.push_back(std::move(task));
  }

  ProblemList problems_;
  // Problems that are about a size that is too large.
  std::size_t size_problems_ = 0;
  DocumentContext context_;
  CheckedObject root_;
  core::Submission submission_;
};

void AddEncodedResults(const std::vector<std::string>& results, json& body) {
  json encoded = json::array();
  for (const std::string& result : results) encoded.push_back(EncodeBase64(result));
  body["results"] = std::move(encoded);
  body["encoding"] = "base64";
}

// The body of a complete answer.
std::string DumpComplete(const core::JobAnswer& answer, json body) {
  try {
    body["results"] = answer.results;
    return body.dump() + "\n";
  } catch (const json::type_error& /*error*/) {
    // A result is not valid UTF-8 and cannot be a JSON string as it is.
    AddEncodedResults(answer.results, body);
    return Dump(body);
  }
}

}  // namespace

core::Result<core::Submission> ParseSubmission(std::string_view body, core::TimePoint now) {
  const core::Result<json> document = ParseJson(body, {.max_bytes = kMaxSubmissionBytes});
  if (!document) return tl::unexpected(document.error());
  return SubmissionReader(*document).Read(now);
}

HttpResponse ToHttp(const core::JobAnswer& answer) {
  json body{{"submission_id", answer.submission_id}, {"state", StateName(answer.state)}};
  HttpResponse response;
  if (answer.state == core::JobState::kComplete) {
    response.body = DumpComplete(answer, std::move(body));
    return response;
  }
  if (answer.state == core::JobState::kFailed) {
    body["error"] = ErrorJson(answer.error, answer.not_run);
    response.status = core::RowOf(answer.error.kind).http_status;
    AddRetryAfter(answer.error, response);
  } else {
    response.status = 202;
  }
  response.body = Dump(body);
  return response;
}

HttpResponse ToHttp(const core::Error& error) {
  HttpResponse response;
  response.status = core::RowOf(error.kind).http_status;
  response.body = Dump({{"error", ErrorJson(error, core::RowOf(error.kind).not_run)}});
  AddRetryAfter(error, response);
  return response;
}

}  // namespace zinniamux::adapters
