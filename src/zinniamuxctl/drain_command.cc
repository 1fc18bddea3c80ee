// Draining of an executor.
#include "zinniamuxctl/drain_command.h"

#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>

#include "zinniamuxctl/api_client.h"
#include "zinniamuxctl/command_line.h"
#include "zinniamuxctl/id_argument.h"
#include "zinniamuxctl/output.h"

namespace zinniamux::ctl {
namespace {

constexpr std::chrono::milliseconds kTimeLimit{10'000};

}  // namespace

int DrainCommand::Run(const std::vector<std::string>& words) {
  CommandLine line(
      name(),
      "Stops placing work on an executor; tasks that run there finish. With --undo the\n"
      "executor gets work again.",
      "  zinniamuxctl drain executor-3\n"
      "  zinniamuxctl drain --undo executor-3\n");
  TCLAP::UnlabeledValueArg<std::string> id("executor", "executor id", true, "", "EXECUTOR",
                                           line.native());
  TCLAP::SwitchArg undo("", "undo", "take the executor back into use", line.native());
  line.Parse(words);
  ApiClient client(line.Address(Server::kAdmin));
  const nlohmann::json request{{"draining", !undo.getValue()}};
  const ApiAnswer answer = client.Post("/v1/executors/" + CheckedId(id.getValue()) + "/drain",
                                       request.dump(), kTimeLimit);
  if (!answer.ok()) return ReportFailure(answer, line.json());
  if (line.json()) {
    PrintJson(answer.body);
  } else {
    std::cout << "executor " << id.getValue() << (undo.getValue() ? ": in use\n" : ": draining\n");
  }
  return kExitOk;
}

}  // namespace zinniamux::ctl
