// Parsing of submissions and formatting of answers.
#include "adapters/caller_codec.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace zinniamux::adapters {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kDefaultDeadline{30'000};
constexpr std::size_t kMaxTasks = 500;

core::Error Invalid(std::string message) {
  return {core::ErrorKind::kInvalidRequest, std::move(message), {}};
}

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

core::TaskDeclaration ParseTask(const json& item) {
  return {.run_time = std::chrono::milliseconds(item.value("run_ms", 0U)),
          .memory_mb = item.value("memory_mb", 0U),
          .payload = item.value("payload", std::string())};
}

}  // namespace

core::Result<core::Submission> ParseSubmission(std::string_view body, core::TimePoint now) {
  try {
    const json root = json::parse(body);
    core::Submission submission;
    submission.id = root.at("submission_id").get<std::string>();
    submission.team = root.at("team").get<std::string>();
    submission.job = root.at("job").get<std::string>();
    submission.idempotent = root.value("idempotent", true);
    submission.request_key = root.value("request_key", std::string());
    submission.deadline =
        now + std::chrono::milliseconds(root.value("deadline_ms", kDefaultDeadline.count()));
    for (const json& item : root.at("tasks")) submission.tasks.push_back(ParseTask(item));
    if (submission.tasks.empty()) return tl::unexpected(Invalid("tasks: must not be empty"));
    if (submission.tasks.size() > kMaxTasks) {
      return tl::unexpected(Invalid("tasks: at most 500 are allowed"));
    }
    submission.content_hash = core::ContentHash(submission);
    return submission;
  } catch (const json::exception& error) {
    return tl::unexpected(Invalid(std::string("body: ") + error.what()));
  }
}

HttpResponse ToHttp(const core::JobAnswer& answer) {
  json body{{"submission_id", answer.submission_id}, {"state", StateName(answer.state)}};
  HttpResponse response;
  if (answer.state == core::JobState::kComplete) {
    body["results"] = answer.results;
  } else if (answer.state == core::JobState::kFailed) {
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
