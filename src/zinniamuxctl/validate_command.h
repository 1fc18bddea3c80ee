// The command validate.
#ifndef ZINNIAMUX_ZINNIAMUXCTL_VALIDATE_COMMAND_H_
#define ZINNIAMUX_ZINNIAMUXCTL_VALIDATE_COMMAND_H_

#include "zinniamuxctl/command.h"

namespace zinniamux::ctl {

// Checks job files without sending them.
class ValidateCommand : public Command {
 public:
  std::string_view name() const override { return "validate"; }
  std::string_view summary() const override { return "check job files"; }
  int Run(const std::vector<std::string>& words) override;
};

}  // namespace zinniamux::ctl

#endif  // ZINNIAMUX_ZINNIAMUXCTL_VALIDATE_COMMAND_H_
