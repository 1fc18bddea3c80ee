// The dispatcher's endpoint that explains where a job would be placed.
#ifndef ZINNIAMUX_ZINNIAMUXD_PLACEMENT_API_H_
#define ZINNIAMUX_ZINNIAMUXD_PLACEMENT_API_H_

#include <string_view>

#include "adapters/http_message.h"
#include "core/job_scheduler.h"
#include "core/queue_configuration.h"

namespace zinniamux::daemon {

inline constexpr std::string_view kPlacementPath = "/v1/placement";

// Answers GET /v1/placement. The query names the queue and the job's step; see docs/OPERATIONS.md.
// `configuration` is null while there is none.
adapters::HttpResponse AnswerPlacement(const adapters::HttpRequest& request,
                                       const core::JobScheduler& scheduler,
                                       const core::QueueConfiguration* configuration,
                                       core::TimePoint now);

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_PLACEMENT_API_H_
