// What an executor says about itself to its agent.
#ifndef ZINNIAMUX_ZINNIAMUXD_ANNOUNCEMENT_H_
#define ZINNIAMUX_ZINNIAMUXD_ANNOUNCEMENT_H_

#include <optional>
#include <string>
#include <string_view>

#include "core/error_kind.h"
#include "core/executor_info.h"

namespace zinniamux::daemon {

// A checked body of POST /v1/announce.
struct Announcement {
  core::ExecutorStatus status;
  // host:port with a numeric IPv4 address.
  std::string address;
  // Unset if the executor does not say; see AgentCore::OnAnnounce.
  std::optional<bool> leaving;
};

// Errors are of kind kInvalidRequest and name the field.
core::Result<Announcement> ParseAnnouncement(std::string_view body);

// A checked body of POST /v1/leave: the executor's id, or an empty string for an empty body.
core::Result<std::string> ParseLeave(std::string_view body);

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_ANNOUNCEMENT_H_
