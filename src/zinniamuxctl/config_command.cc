// config show, config history and config diff.
#include "zinniamuxctl/config_command.h"

#include <iostream>
#include <nlohmann/json.hpp>

#include "adapters/config_codec.h"
#include "adapters/job_files.h"
#include "zinniamuxctl/api_client.h"
#include "zinniamuxctl/command_line.h"
#include "zinniamuxctl/config_client.h"
#include "zinniamuxctl/output.h"
#include "zinniamuxctl/text_table.h"

namespace zinniamux::ctl {
namespace {

using nlohmann::json;

constexpr const char* kDescription =
    "config show prints the configuration in force, config history its versions, and config diff\n"
    "what a publish of the folders would change (exit code 9 if anything).";
constexpr const char* kExamples =
    "  zinniamuxctl config show --server 127.0.0.1:27102\n"
    "  zinniamuxctl config history\n"
    "  zinniamuxctl config diff samples/arkivhylse\n";

int Show(ApiClient& client, bool as_json) {
  const CurrentConfig current = ReadCurrentConfig(client);
  if (!current.ok()) return ReportFailure(current.answer, as_json);
  if (as_json) {
    PrintJson(current.answer.body);
    return kExitOk;
  }
  std::cout << "version " << current.version << "\n\n";
  TextTable teams({"TEAM", "WEIGHT", "MAX QUEUED", "MAX RUNNING"});
  for (const auto& [name, team] : current.body.value("teams", json::object()).items()) {
    teams.Add({name, CellOf(team, "weight"), CellOf(team, "max_queued_tasks"),
               CellOf(team, "max_running_tasks")});
  }
  teams.Print(std::cout);
  std::cout << '\n';
  TextTable jobs({"JOB", "TEAM", "IDEMPOTENT", "RUN MS", "LIMIT MS", "MAX TASKS", "MEMORY MB"});
  for (const auto& [name, job] : current.body.value("jobs", json::object()).items()) {
    jobs.Add({name, CellOf(job, "team"), CellOf(job, "idempotent"), CellOf(job, "run_ms"),
              CellOf(job, "time_limit_ms"), CellOf(job, "max_tasks"), CellOf(job, "memory_mb")});
  }
  jobs.Print(std::cout);
  std::cout << '\n';
  TextTable policy({"POLICY", "VALUE"});
  for (const auto& [name, value] : current.body.value("policy", json::object()).items()) {
    policy.Add({name, CellOf(current.body["policy"], name)});
  }
  policy.Print(std::cout);
  return kExitOk;
}

int History(ApiClient& client, bool as_json) {
  const ApiAnswer answer = client.Get("/v1/config/history");
  if (!answer.ok()) return ReportFailure(answer, as_json);
  if (as_json) {
    PrintJson(answer.body);
    return kExitOk;
  }
  TextTable table({"VERSION", "TIME (UTC)", "AUTHOR", "TOKEN", "OBJECT"});
  for (const json& version : answer.body.value("versions", json::array())) {
    table.Add({CellOf(version, "version"), TimeText(version, "time_ms"), CellOf(version, "author"),
               CellOf(version, "token"), CellOf(version, "object")});
  }
  table.Print(std::cout);
  return kExitOk;
}

void PrintChanges(const json& before, const json& after) {
  TextTable table({"FIELD", "IN FORCE", "FILES"});
  for (const auto& [path, value] : before.items()) {
    const std::string new_text = after.contains(path) ? after[path].dump() : "-";
    if (new_text != value.dump()) table.Add({path, value.dump(), new_text});
  }
  for (const auto& [path, value] : after.items()) {
    if (!before.contains(path)) table.Add({path, "-", value.dump()});
  }
  table.Print(std::cout);
}

int Diff(ApiClient& client, const std::vector<std::string>& folders, bool as_json) {
  const auto collected = adapters::CollectConfig(folders);
  if (!collected) {
    std::cerr << collected.error().message << '\n';
    return kExitUsage;
  }
  const CurrentConfig current = ReadCurrentConfig(client);
  if (!current.ok()) return ReportFailure(current.answer, as_json);
  const json before = json::parse(adapters::ComposeConfig(current.config));
  const json after = json::parse(adapters::ComposeConfig(collected->config));
  if (as_json) {
    PrintJson(json::diff(before, after));
  } else if (before == after) {
    std::cout << "no differences from version " << current.version << '\n';
  } else {
    PrintChanges(before.flatten(), after.flatten());
  }
  return before == after ? kExitOk : kExitDifferent;
}

}  // namespace

int ConfigCommand::Run(const std::vector<std::string>& words) {
  CommandLine line(name(), kDescription, kExamples);
  TCLAP::UnlabeledValueArg<std::string> action("action", "show, history or diff", true, "",
                                               "ACTION", line.native());
  TCLAP::UnlabeledMultiArg<std::string> folders("folders", "folders or files, for diff", false,
                                                "FOLDER", line.native());
  line.Parse(words);
  const std::string& chosen = action.getValue();
  const bool diff = chosen == "diff";
  if (chosen != "show" && chosen != "history" && !diff) {
    throw TCLAP::CmdLineParseException("saw \"" + chosen + "\"; allowed: show, history, diff");
  }
  if (diff == folders.getValue().empty()) {
    throw TCLAP::CmdLineParseException("folders are given for diff and only for diff");
  }
  ApiClient client(line.Address(Server::kAdmin));
  if (chosen == "show") return Show(client, line.json());
  if (chosen == "history") return History(client, line.json());
  return Diff(client, folders.getValue(), line.json());
}

}  // namespace zinniamux::ctl
