// Checks of job files.
#include "zinniamuxctl/validate_command.h"

#include <iostream>

#include "adapters/config_codec.h"
#include "adapters/job_files.h"
#include "zinniamuxctl/command_line.h"

namespace zinniamux::ctl {

int ValidateCommand::Run(const std::vector<std::string>& words) {
  CommandLine line(name(),
                   "Checks all *.zinniamux.yaml files below the folders as one configuration and\n"
                   "lists every problem with file and line. Sends nothing. With --json it prints\n"
                   "the body that publish would send.",
                   "  zinniamuxctl validate samples/arkivhylse\n"
                   "  zinniamuxctl validate --json services/ teams/\n");
  TCLAP::UnlabeledMultiArg<std::string> folders("folders", "folders or files", true, "FOLDER",
                                                line.native());
  line.Parse(words);
  const auto collected = adapters::CollectConfig(folders.getValue());
  if (!collected) {
    std::cerr << collected.error().message << '\n';
    return kExitUsage;
  }
  if (line.json()) {
    std::cout << adapters::ComposeConfig(collected->config) << '\n';
    return kExitOk;
  }
  std::cout << "valid: " << collected->files.size() << " files, " << collected->config.teams.size()
            << " teams, " << collected->config.jobs.size() << " jobs\n";
  return kExitOk;
}

}  // namespace zinniamux::ctl
