// JSON of the caller interface: submissions in, answers out. See docs/callers.md.
#ifndef ZINNIAMUX_ADAPTERS_CALLER_CODEC_H_
#define ZINNIAMUX_ADAPTERS_CALLER_CODEC_H_

#include <string>
#include <string_view>

#include "adapters/http_message.h"
#include "core/job_answer.h"
#include "core/submission.h"

namespace zinniamux::adapters {

// Parses and checks the body of POST /v1/jobs.
core::Result<core::Submission> ParseSubmission(std::string_view body, core::TimePoint now);

// The HTTP response for an answer: 200 if complete, 202 if unfinished, else by the error table.
HttpResponse ToHttp(const core::JobAnswer& answer);
// The HTTP response for an error outside a job.
HttpResponse ToHttp(const core::Error& error);

}  // namespace zinniamux::adapters

#endif  // ZINNIAMUX_ADAPTERS_CALLER_CODEC_H_
