// JSON of the caller interface: submissions in, answers out. See docs/callers.md.
#ifndef ZINNIAMUX_ADAPTERS_CALLER_CODEC_H_
#define ZINNIAMUX_ADAPTERS_CALLER_CODEC_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

#include "adapters/http_message.h"
#include "core/job_answer.h"
#include "core/submission.h"

namespace zinniamux::adapters {

// Limits on a submission; see 4.4 of docs/design.md.
inline constexpr std::size_t kMaxSubmissionBytes = 1U << 20U;
inline constexpr std::size_t kMaxSubmissionTasks = 500;
inline constexpr std::size_t kMaxPayloadBytes = 64U << 10U;
inline constexpr std::chrono::minutes kMaxSubmissionDeadline{10};

// Parses and checks the body of POST /v1/jobs. `now` is the time from which deadline_ms counts. The
// error lists every problem, separated by "; ", each with field, value seen and what is allowed. It
// is of kind kTooLarge if only sizes are wrong, else kInvalidRequest. Never throws.
core::Result<core::Submission> ParseSubmission(std::string_view body, core::TimePoint now);

// The HTTP response for an answer: 200 if complete, 202 if unfinished, else by the error table.
// Results are strings of UTF-8. If any result is not valid UTF-8, all are encoded in base64 and the
// answer has the field "encoding": "base64".
HttpResponse ToHttp(const core::JobAnswer& answer);
// The HTTP response for an error outside a job.
HttpResponse ToHttp(const core::Error& error);

}  // namespace zinniamux::adapters

#endif  // ZINNIAMUX_ADAPTERS_CALLER_CODEC_H_
