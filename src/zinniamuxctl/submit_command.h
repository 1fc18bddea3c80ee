// The command submit.
#ifndef ZINNIAMUX_ZINNIAMUXCTL_SUBMIT_COMMAND_H_
#define ZINNIAMUX_ZINNIAMUXCTL_SUBMIT_COMMAND_H_

#include "zinniamuxctl/command.h"

namespace zinniamux::ctl {

// Sends one job and prints its answer.
class SubmitCommand : public Command {
 public:
  std::string_view name() const override { return "submit"; }
  std::string_view summary() const override { return "send a job and wait for its answer"; }
  int Run(const std::vector<std::string>& words) override;
};

}  // namespace zinniamux::ctl

#endif  // ZINNIAMUX_ZINNIAMUXCTL_SUBMIT_COMMAND_H_
