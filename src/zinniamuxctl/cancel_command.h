// The command cancel.
#ifndef ZINNIAMUX_ZINNIAMUXCTL_CANCEL_COMMAND_H_
#define ZINNIAMUX_ZINNIAMUXCTL_CANCEL_COMMAND_H_

#include "zinniamuxctl/command.h"

namespace zinniamux::ctl {

// Cancels a job.
class CancelCommand : public Command {
 public:
  std::string_view name() const override { return "cancel"; }
  std::string_view summary() const override { return "cancel a job"; }
  int Run(const std::vector<std::string>& words) override;
};

}  // namespace zinniamux::ctl

#endif  // ZINNIAMUX_ZINNIAMUXCTL_CANCEL_COMMAND_H_
