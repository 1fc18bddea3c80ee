// The dry run of a placement.
#include "zinniamuxctl/placement_command.h"

#include <cstdint>
#include <iostream>
#include <string>

#include "adapters/listen_address.h"
#include "adapters/percent_encoding.h"
#include "zinniamuxctl/api_client.h"
#include "zinniamuxctl/command_line.h"
#include "zinniamuxctl/output.h"
#include "zinniamuxctl/text_table.h"

namespace zinniamux::ctl {
namespace {

using nlohmann::json;

std::string MillisecondsText(const json& object, const std::string& key) {
  const auto found = object.find(key);
  if (found == object.end() || !found->is_number()) return "unknown";
  return std::to_string(found->get<std::int64_t>()) + " ms";
}

void PrintPlacement(const json& body) {
  std::cout << "decision: " << CellOf(body, "decision");
  if (CellOf(body, "decision") == "refused") std::cout << " (" << CellOf(body, "reason") << ')';
  std::cout << "\ntasks with room now: " << CellOf(body, "tasks_with_room")
            << "\nexpected wait: " << MillisecondsText(body, "expected_wait_ms")
            << "; refused above: " << MillisecondsText(body, "start_limit_ms")
            << "; waits at an executor up to: " << MillisecondsText(body, "order_wait_limit_ms")
            << '\n';
  const std::string remedy = CellOf(body, "remedy");
  if (!remedy.empty()) std::cout << "it would need: " << remedy << '\n';
  TextTable table({"AGENT", "ZONE", "CLASS", "RACK", "VERDICT", "FREE", "OF", "PACE", "SCORE",
                   "WAIT", "TASKS"});
  for (const json& executor : body.value("executors", json::array())) {
    table.Add({CellOf(executor, "agent"), CellOf(executor, "zone"), CellOf(executor, "class"),
               executor.value("in_rack", false) ? "yes" : "", CellOf(executor, "verdict"),
               CellOf(executor, "free_cpu_milli"), CellOf(executor, "cpu_milli"),
               CellOf(executor, "pace"), CellOf(executor, "score"),
               MillisecondsText(executor, "expected_wait_ms"), CellOf(executor, "tasks")});
  }
  table.Print(std::cout);
}

}  // namespace

int PlacementCommand::Run(const std::vector<std::string>& words) {
  CommandLine line(name(),
                   "Asks a dispatcher where a job of one step would be placed now. Nothing is\n"
                   "submitted. Shows for each executor what excludes it, or its score and wait,\n"
                   "and for a refusal what would have to change. Exit code 0 also for a job that\n"
                   "would be refused.",
                   "  zinniamuxctl placement --dispatcher 10.0.0.7:9464 --queue stock --tasks 8 "
                   "--cpu-milli 1300\n"
                   "  zinniamuxctl placement --json --dispatcher 10.0.0.7:9464 --queue stock\n");
  TCLAP::ValueArg<std::string> dispatcher("", "dispatcher", "metrics address of the dispatcher",
                                          true, "", "IP:PORT", line.native());
  TCLAP::ValueArg<std::string> queue("", "queue", "queue of the job", true, "", "NAME",
                                     line.native());
  using Number = TCLAP::ValueArg<std::int64_t>;
  Number tasks("", "tasks", "number of tasks", false, 1, "N", line.native());
  Number cpu("", "cpu-milli", "milli-cores of a task", false, 0, "N", line.native());
  Number memory("", "memory-mb", "memory of a task in MB", false, 0, "N", line.native());
  Number gpus("", "gpus", "GPUs of a task", false, 0, "N", line.native());
  Number estimate("", "estimate-ms", "run time of a task", false, 0, "N", line.native());
  Number most("", "max-per-executor", "tasks on one executor at a time; 0: any number", false, 0,
              "N", line.native());
  TCLAP::ValueArg<std::string> label("", "label", "label that the executor must have", false, "",
                                     "NAME", line.native());
  TCLAP::ValueArg<std::string> rack("", "rack", "rack of the job's data", false, "", "NAME",
                                    line.native());
  line.Parse(words);
  if (!adapters::ParseAddress(dispatcher.getValue())) {
    throw TCLAP::CmdLineParseException("--dispatcher: saw \"" + dispatcher.getValue() +
                                       "\"; allowed: " + std::string(adapters::kAddressRule));
  }
  std::string path = "/v1/placement?queue=" + adapters::PercentEncode(queue.getValue());
  const auto add = [&path](const std::string& key, const Number& number) {
    path += '&' + key + '=' + std::to_string(number.getValue());
  };
  add("tasks", tasks);
  add("cpu_milli", cpu);
  add("memory_mb", memory);
  add("gpus", gpus);
  add("estimate_ms", estimate);
  add("max_per_executor", most);
  path += "&label=" + adapters::PercentEncode(label.getValue());
  path += "&rack=" + adapters::PercentEncode(rack.getValue());
  ApiClient client(dispatcher.getValue());
  const ApiAnswer answer = client.Get(path);
  if (!answer.ok()) return ReportFailure(answer, line.json());
  if (line.json()) {
    PrintJson(answer.body);
  } else {
    PrintPlacement(answer.body);
  }
  return kExitOk;
}

}  // namespace zinniamux::ctl
