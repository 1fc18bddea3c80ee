// The decisions about one job.
#include "zinniamuxctl/explain_command.h"

#include <fmt/format.h>

#include <iostream>

#include "zinniamuxctl/api_client.h"
#include "zinniamuxctl/command_line.h"
#include "zinniamuxctl/id_argument.h"
#include "zinniamuxctl/output.h"
#include "zinniamuxctl/text_table.h"

namespace zinniamux::ctl {
namespace {

using nlohmann::json;

constexpr std::size_t kShownCandidates = 4;

// For example "executor-1 free=3 score=0.5, executor-2 free=1 score=0.25".
std::string CandidatesText(const json& decision) {
  const auto candidates = decision.find("candidates");
  if (candidates == decision.end() || !candidates->is_array()) return {};
  std::string text;
  for (std::size_t i = 0; i < candidates->size(); ++i) {
    if (i == kShownCandidates) {
      return text + fmt::format(", and {} more", candidates->size() - i);
    }
    const json& candidate = (*candidates)[i];
    text += fmt::format("{}{} free={} score={}", i == 0 ? "" : ", ", CellOf(candidate, "executor"),
                        CellOf(candidate, "free_slots"), CellOf(candidate, "score"));
  }
  return text;
}

void PrintDecisions(const json& body) {
  TextTable table({"TIME (UTC)", "TASK", "DECISION", "EXECUTOR", "REASON", "CANDIDATES"});
  for (const json& decision : body.value("decisions", json::array())) {
    table.Add({TimeText(decision, "time_ms"), CellOf(decision, "task"),
               CellOf(decision, "decision"), CellOf(decision, "executor"),
               CellOf(decision, "reason"), CandidatesText(decision)});
  }
  table.Print(std::cout);
  const std::string forgotten = CellOf(body, "forgotten");
  if (!forgotten.empty() && forgotten != "0") {
    std::cout << forgotten << " earlier decisions are no longer kept; see the log\n";
  }
}

}  // namespace

int ExplainCommand::Run(const std::vector<std::string>& words) {
  CommandLine line(name(),
                   "Shows the decisions about a job: where each task was placed, with the figures\n"
                   "of the candidates, and why it was refused, placed again or ended.",
                   "  zinniamuxctl explain order-17\n"
                   "  zinniamuxctl explain --json order-17\n");
  TCLAP::UnlabeledValueArg<std::string> id("id", "submission id", true, "", "ID", line.native());
  line.Parse(words);
  ApiClient client(line.Address(Server::kCaller));
  const ApiAnswer answer = client.Get("/v1/jobs/" + CheckedId(id.getValue()) + "/explain");
  if (!answer.ok()) return ReportFailure(answer, line.json());
  if (line.json()) {
    PrintJson(answer.body);
  } else {
    PrintDecisions(answer.body);
  }
  return kExitOk;
}

}  // namespace zinniamux::ctl
