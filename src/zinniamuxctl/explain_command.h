// The command explain.
#ifndef ZINNIAMUX_ZINNIAMUXCTL_EXPLAIN_COMMAND_H_
#define ZINNIAMUX_ZINNIAMUXCTL_EXPLAIN_COMMAND_H_

#include "zinniamuxctl/command.h"

namespace zinniamux::ctl {

// Shows why a job's tasks ran where they did, or why the job was refused.
class ExplainCommand : public Command {
 public:
  std::string_view name() const override { return "explain"; }
  std::string_view summary() const override { return "show the decisions about a job"; }
  int Run(const std::vector<std::string>& words) override;
};

}  // namespace zinniamux::ctl

#endif  // ZINNIAMUX_ZINNIAMUXCTL_EXPLAIN_COMMAND_H_
