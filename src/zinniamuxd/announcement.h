// Messages from an executor to its agent.
#ifndef ZINNIAMUX_ZINNIAMUXD_ANNOUNCEMENT_H_
#define ZINNIAMUX_ZINNIAMUXD_ANNOUNCEMENT_H_

#include <optional>
#include <string>
#include <string_view>

#include "core/error_kind.h"
#include "core/executor_info.h"

namespace zinniamux::daemon {

// A valid body of POST /v1/announce.
struct Announcement {
  core::ExecutorStatus status;
  // host:port with a numeric IPv4 address.
  std::string address;
  // Unset if the body does not contain the field; see AgentCore::OnAnnounce.
  std::optional<bool> leaving;
};

// Errors are of kind kInvalidRequest and name the field.
core::Result<Announcement> ParseAnnouncement(std::string_view body);

// Returns the executor's id in a body of POST /v1/leave, or an empty string for an empty body.
core::Result<std::string> ParseLeave(std::string_view body);

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_ANNOUNCEMENT_H_
