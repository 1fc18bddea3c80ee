// The command executors.
#ifndef ZINNIAMUX_ZINNIAMUXCTL_EXECUTORS_COMMAND_H_
#define ZINNIAMUX_ZINNIAMUXCTL_EXECUTORS_COMMAND_H_

#include "zinniamuxctl/command.h"

namespace zinniamux::ctl {

// Lists the executors and their slots.
class ExecutorsCommand : public Command {
 public:
  std::string_view name() const override { return "executors"; }
  std::string_view summary() const override { return "list the executors"; }
  int Run(const std::vector<std::string>& words) override;
};

}  // namespace zinniamux::ctl

#endif  // ZINNIAMUX_ZINNIAMUXCTL_EXECUTORS_COMMAND_H_
