// The load and measure tool behind scripts/bench.sh; prints one JSON line per run.
#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include "load/load_run.h"

namespace {

using zinniamux::bench::RunIdle;
using zinniamux::bench::RunLoad;
using zinniamux::bench::RunOptions;
using zinniamux::bench::RunThroughput;

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> items;
  std::istringstream stream(text);
  for (std::string item; std::getline(stream, item, ',');) items.push_back(item);
  return items;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    TCLAP::CmdLine command("zinniamux load runs", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> deployments("", "deployment", "arkivhylse, tonewood or both",
                                             false, "arkivhylse,tonewood", "LIST", command);
    TCLAP::ValueArg<std::string> policies("", "policy", "placement policies, interleaved", false,
                                          "late_binding", "LIST", command);
    TCLAP::ValueArg<std::string> loads("", "load", "offered load over capacity", false,
                                       "0.5,0.8,0.95,1.3", "LIST", command);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed of the trace", false, 1, "N", command);
    TCLAP::ValueArg<int> seconds("", "seconds", "length of each run", false, 20, "N", command);
    TCLAP::ValueArg<std::size_t> throughput("", "throughput", "run 1 ms tasks at this rate instead",
                                            false, 0, "TASKS_PER_S", command);
    TCLAP::ValueArg<std::string> idle("", "idle-agents",
                                      "measure idle agents instead, one run for each number", false,
                                      "", "LIST", command);
    TCLAP::SwitchArg quick("", "quick", "5 s at load 0.8 only", command);
    command.parse(argc, argv);

    const std::chrono::seconds duration(quick.getValue() ? 5 : seconds.getValue());
    if (throughput.getValue() > 0) {
      std::cout << RunThroughput(seed.getValue(), throughput.getValue(), duration) << std::endl;
      return EXIT_SUCCESS;
    }
    if (idle.isSet()) {
      for (const std::string& agents : SplitList(idle.getValue())) {
        std::cout << RunIdle(std::stoul(agents), duration) << std::endl;
      }
      return EXIT_SUCCESS;
    }
    const std::string load_list = quick.getValue() ? "0.8" : loads.getValue();
    for (const std::string& load : SplitList(load_list)) {
      for (const std::string& deployment : SplitList(deployments.getValue())) {
        for (const std::string& policy : SplitList(policies.getValue())) {
          std::cout << RunLoad({.deployment = deployment,
                                .policy = policy,
                                .load = std::stod(load),
                                .seed = seed.getValue(),
                                .duration = duration})
                    << std::endl;
        }
      }
    }
    return EXIT_SUCCESS;
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "load_tool: " << error.error() << '\n';
  } catch (const std::exception& error) {
    std::cerr << "load_tool: " << error.what() << '\n';
  }
  return EXIT_FAILURE;
}
