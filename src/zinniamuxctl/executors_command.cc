// The list of executors.
#include "zinniamuxctl/executors_command.h"

#include <iostream>

#include "zinniamuxctl/api_client.h"
#include "zinniamuxctl/command_line.h"
#include "zinniamuxctl/output.h"
#include "zinniamuxctl/text_table.h"

namespace zinniamux::ctl {

int ExecutorsCommand::Run(const std::vector<std::string>& words) {
  CommandLine line(name(), "Lists the executors of the deployment with their state and slots.",
                   "  zinniamuxctl executors --server 127.0.0.1:27102\n"
                   "  zinniamuxctl executors --json\n");
  line.Parse(words);
  ApiClient client(line.Address(Server::kAdmin));
  const ApiAnswer answer = client.Get("/v1/executors");
  if (!answer.ok()) return ReportFailure(answer, line.json());
  if (line.json()) {
    PrintJson(answer.body);
    return kExitOk;
  }
  TextTable table({"EXECUTOR", "AGENT", "ZONE", "RACK", "STATE", "USED", "SLOTS"});
  for (const nlohmann::json& executor : answer.body.value("executors", nlohmann::json::array())) {
    table.Add({CellOf(executor, "executor_id"), CellOf(executor, "agent_id"),
               CellOf(executor, "availability_zone"), CellOf(executor, "rack"),
               CellOf(executor, "state"), CellOf(executor, "used_slots"),
               CellOf(executor, "slots")});
  }
  table.Print(std::cout);
  return kExitOk;
}

}  // namespace zinniamux::ctl
