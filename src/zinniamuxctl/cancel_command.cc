// Cancellation of a job.
#include "zinniamuxctl/cancel_command.h"

#include <iostream>

#include "core/error_kind.h"
#include "zinniamuxctl/api_client.h"
#include "zinniamuxctl/command_line.h"
#include "zinniamuxctl/id_argument.h"
#include "zinniamuxctl/output.h"

namespace zinniamux::ctl {

int CancelCommand::Run(const std::vector<std::string>& words) {
  CommandLine line(
      name(),
      "Cancels a job. Tasks that have not started will not start; tasks that run are\n"
      "not interrupted. Exits with 0 if the job is cancelled, and as status does if it\n"
      "had ended before.",
      "  zinniamuxctl cancel order-17\n");
  TCLAP::UnlabeledValueArg<std::string> id("id", "submission id", true, "", "ID", line.native());
  line.Parse(words);
  ApiClient client(line.Address(Server::kCaller));
  const ApiAnswer answer = client.Delete("/v1/jobs/" + CheckedId(id.getValue()));
  if (answer.error_kind() != core::RowOf(core::ErrorKind::kCancelled).name) {
    return PrintJob(answer, line.json());
  }
  if (line.json()) {
    PrintJson(answer.body);
  } else {
    std::cout << "submission " << id.getValue() << ": cancelled\n";
  }
  return kExitOk;
}

}  // namespace zinniamux::ctl
