// The command drain.
#ifndef ZINNIAMUX_ZINNIAMUXCTL_DRAIN_COMMAND_H_
#define ZINNIAMUX_ZINNIAMUXCTL_DRAIN_COMMAND_H_

#include "zinniamuxctl/command.h"

namespace zinniamux::ctl {

// Takes an executor out of use, or back into use.
class DrainCommand : public Command {
 public:
  std::string_view name() const override { return "drain"; }
  std::string_view summary() const override {
    return "stop placing work on an executor, or resume";
  }
  int Run(const std::vector<std::string>& words) override;
};

}  // namespace zinniamux::ctl

#endif  // ZINNIAMUX_ZINNIAMUXCTL_DRAIN_COMMAND_H_
