// The list of commands.
#include "zinniamuxctl/cancel_command.h"
#include "zinniamuxctl/command.h"
#include "zinniamuxctl/config_command.h"
#include "zinniamuxctl/drain_command.h"
#include "zinniamuxctl/executors_command.h"
#include "zinniamuxctl/explain_command.h"
#include "zinniamuxctl/placement_command.h"
#include "zinniamuxctl/publish_command.h"
#include "zinniamuxctl/status_command.h"
#include "zinniamuxctl/submit_command.h"
#include "zinniamuxctl/validate_command.h"

namespace zinniamux::ctl {

std::vector<std::unique_ptr<Command>> MakeCommands() {
  std::vector<std::unique_ptr<Command>> commands;
  commands.push_back(std::make_unique<SubmitCommand>());
  commands.push_back(std::make_unique<StatusCommand>());
  commands.push_back(std::make_unique<CancelCommand>());
  commands.push_back(std::make_unique<ExplainCommand>());
  commands.push_back(std::make_unique<PlacementCommand>());
  commands.push_back(std::make_unique<ValidateCommand>());
  commands.push_back(std::make_unique<PublishCommand>());
  commands.push_back(std::make_unique<ConfigCommand>());
  commands.push_back(std::make_unique<ExecutorsCommand>());
  commands.push_back(std::make_unique<DrainCommand>());
  return commands;
}

}  // namespace zinniamux::ctl
