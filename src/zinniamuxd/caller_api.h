// The HTTP interface for callers.
#ifndef ZINNIAMUX_ZINNIAMUXD_CALLER_API_H_
#define ZINNIAMUX_ZINNIAMUXD_CALLER_API_H_

#include <functional>
#include <optional>
#include <string>

#include "adapters/http_message.h"
#include "core/clock.h"
#include "core/error_kind.h"
#include "zinniamuxd/job_router.h"

namespace zinniamux::daemon {

// Translates HTTP requests into calls of the router, and its answers into responses. Thread-safe.
class CallerApi {
 public:
  struct Hooks {
    // Returns the error for new submissions if this entry currently accepts none.
    std::function<std::optional<core::Error>()> submission_refusal;
    // Returns JSON with this process's decisions on a submission, if it knows any.
    std::function<std::optional<std::string>(const std::string& submission_id)> explain;
  };

  CallerApi(JobRouter& router, const core::Clock& clock, Hooks hooks);

  void Serve(const adapters::HttpRequest& request, const adapters::HttpResponder& respond);

 private:
  void Submit(const adapters::HttpRequest& request, AnswerCallback reply);

  JobRouter& router_;
  const core::Clock& clock_;
  const Hooks hooks_;
};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_CALLER_API_H_
