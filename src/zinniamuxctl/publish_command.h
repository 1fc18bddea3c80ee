// The command publish.
#ifndef ZINNIAMUX_ZINNIAMUXCTL_PUBLISH_COMMAND_H_
#define ZINNIAMUX_ZINNIAMUXCTL_PUBLISH_COMMAND_H_

#include "zinniamuxctl/command.h"

namespace zinniamux::ctl {

// Collects job files and publishes them as the next version of the configuration.
class PublishCommand : public Command {
 public:
  std::string_view name() const override { return "publish"; }
  std::string_view summary() const override { return "check job files and publish them"; }
  int Run(const std::vector<std::string>& words) override;
};

}  // namespace zinniamux::ctl

#endif  // ZINNIAMUX_ZINNIAMUXCTL_PUBLISH_COMMAND_H_
