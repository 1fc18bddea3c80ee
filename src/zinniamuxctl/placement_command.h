// The command placement.
#ifndef ZINNIAMUX_ZINNIAMUXCTL_PLACEMENT_COMMAND_H_
#define ZINNIAMUX_ZINNIAMUXCTL_PLACEMENT_COMMAND_H_

#include "zinniamuxctl/command.h"

namespace zinniamux::ctl {

// Asks a dispatcher where a job would be placed, without submitting it.
class PlacementCommand : public Command {
 public:
  std::string_view name() const override { return "placement"; }
  std::string_view summary() const override { return "show where a job would be placed now"; }
  int Run(const std::vector<std::string>& words) override;
};

}  // namespace zinniamux::ctl

#endif  // ZINNIAMUX_ZINNIAMUXCTL_PLACEMENT_COMMAND_H_
