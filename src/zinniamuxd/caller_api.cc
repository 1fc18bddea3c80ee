// Paths and parameters of the caller interface.
#include "zinniamuxd/caller_api.h"

#include <algorithm>
#include <cstdlib>
#include <string_view>
#include <utility>

#include "adapters/caller_codec.h"

namespace zinniamux::daemon {
namespace {

using adapters::HttpRequest;
using adapters::HttpResponder;

constexpr std::string_view kJobsPath = "/v1/jobs";
constexpr std::string_view kExplainSuffix = "/explain";
// A job that ends at its deadline is answered slightly after the deadline.
constexpr std::chrono::milliseconds kAnswerMargin{500};

core::Duration RequestedWait(const HttpRequest& request, core::Duration default_wait,
                             core::Duration max_wait) {
  const std::string value = adapters::QueryValue(request.query, "wait_ms");
  if (value.empty()) return default_wait;
  const core::Duration requested =
      std::chrono::milliseconds(std::strtoul(value.c_str(), nullptr, 10));
  return std::clamp(requested, core::Duration::zero(), max_wait);
}

}  // namespace

CallerApi::CallerApi(JobRouter& router, const core::Clock& clock, Hooks hooks)
    : router_(router), clock_(clock), hooks_(std::move(hooks)) {}

void CallerApi::Serve(const HttpRequest& request, const HttpResponder& respond) {
  AnswerCallback reply = [respond](const core::JobAnswer& answer) {
    respond(adapters::ToHttp(answer));
  };
  if (request.path == kJobsPath && request.method == "POST") {
    Submit(request, std::move(reply));
    return;
  }
  const std::string prefix = std::string(kJobsPath) + "/";
  if (request.path.starts_with(prefix)) {
    std::string id = request.path.substr(prefix.size());
    if (request.method == "GET" && id.ends_with(kExplainSuffix)) {
      id.resize(id.size() - kExplainSuffix.size());
      if (std::optional<std::string> explanation = hooks_.explain(id)) {
        respond({.status = 200, .body = *std::move(explanation)});
        return;
      }
      respond(adapters::ToHttp(
          core::Error{core::ErrorKind::kNotFound, "this entry knows no decision on this id", {}}));
      return;
    }
    if (request.method == "GET") {
      const core::Duration wait =
          RequestedWait(request, core::Duration::zero(), adapters::kMaxSubmissionDeadline);
      router_.Fetch(std::move(id), wait, std::move(reply));
      return;
    }
    if (request.method == "DELETE") {
      router_.Cancel(std::move(id), std::move(reply));
      return;
    }
  }
  respond(adapters::ToHttp(core::Error{core::ErrorKind::kNotFound, "no such path", {}}));
}

void CallerApi::Submit(const HttpRequest& request, AnswerCallback reply) {
  core::Result<core::Submission> submission = adapters::ParseSubmission(request.body, clock_.now());
  if (!submission) {
    reply(core::FailedAnswer("", submission.error()));
    return;
  }
  if (const std::optional<core::Error> refusal = hooks_.submission_refusal()) {
    core::JobAnswer answer = core::FailedAnswer(submission->id, *refusal);
    // Only the owner knows whether an earlier submission with this id was started.
    answer.not_run = answer.not_run && submission->attempt == 1;
    reply(std::move(answer));
    return;
  }
  const core::Duration max_wait = submission->deadline - clock_.now() + kAnswerMargin;
  const core::Duration wait = RequestedWait(request, max_wait, max_wait);
  router_.Submit(*std::move(submission), wait, std::move(reply));
}

}  // namespace zinniamux::daemon
