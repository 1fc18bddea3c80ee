// Fetching of a job.
#include "zinniamuxctl/status_command.h"

#include "zinniamuxctl/api_client.h"
#include "zinniamuxctl/command_line.h"
#include "zinniamuxctl/id_argument.h"
#include "zinniamuxctl/output.h"

namespace zinniamux::ctl {

int StatusCommand::Run(const std::vector<std::string>& words) {
  CommandLine line(name(), "Prints the state of a job, with its results once it is complete.",
                   "  zinniamuxctl status order-17\n"
                   "  zinniamuxctl status --json --caller 127.0.0.1:27101 order-17\n");
  TCLAP::UnlabeledValueArg<std::string> id("id", "submission id", true, "", "ID", line.native());
  line.Parse(words);
  ApiClient client(line.Address(Server::kCaller));
  return PrintJob(client.Get("/v1/jobs/" + CheckedId(id.getValue())), line.json());
}

}  // namespace zinniamux::ctl
