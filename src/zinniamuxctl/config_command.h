// The command config.
#ifndef ZINNIAMUX_ZINNIAMUXCTL_CONFIG_COMMAND_H_
#define ZINNIAMUX_ZINNIAMUXCTL_CONFIG_COMMAND_H_

#include "zinniamuxctl/command.h"

namespace zinniamux::ctl {

// Shows the configuration in force, its versions, or what a publish would change.
class ConfigCommand : public Command {
 public:
  std::string_view name() const override { return "config"; }
  std::string_view summary() const override { return "show, history or diff of the configuration"; }
  int Run(const std::vector<std::string>& words) override;
};

}  // namespace zinniamux::ctl

#endif  // ZINNIAMUX_ZINNIAMUXCTL_CONFIG_COMMAND_H_
