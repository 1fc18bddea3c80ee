// The command status.
#ifndef ZINNIAMUX_ZINNIAMUXCTL_STATUS_COMMAND_H_
#define ZINNIAMUX_ZINNIAMUXCTL_STATUS_COMMAND_H_

#include "zinniamuxctl/command.h"

namespace zinniamux::ctl {

// Prints the current or final answer of a job.
class StatusCommand : public Command {
 public:
  std::string_view name() const override { return "status"; }
  std::string_view summary() const override { return "show the state or the answer of a job"; }
  int Run(const std::vector<std::string>& words) override;
};

}  // namespace zinniamux::ctl

#endif  // ZINNIAMUX_ZINNIAMUXCTL_STATUS_COMMAND_H_
