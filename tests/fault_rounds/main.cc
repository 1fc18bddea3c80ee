// Runs fault rounds outside CI: two drawn faults a round, one JSON line a round.
#include <tclap/CmdLine.h>

#include <atomic>
#include <csignal>
#include <iostream>
#include <mutex>
#include <sstream>
#include <thread>
#include <vector>

#include "support/fault_round.h"

namespace {

using zinniamux::testing::DrawFaults;
using zinniamux::testing::Fault;
using zinniamux::testing::FaultByName;
using zinniamux::testing::RoundOptions;
using zinniamux::testing::RoundReport;
using zinniamux::testing::RunFaultRound;

constexpr int kExitUsage = 2;

std::vector<const Fault*> ParseFaults(const std::string& names) {
  std::vector<const Fault*> faults;
  std::istringstream stream(names);
  std::string name;
  while (std::getline(stream, name, ',')) {
    const Fault* fault = FaultByName(name);
    if (fault == nullptr) {
      std::cerr << "fault_rounds: unknown fault '" << name << "'\n";
      std::exit(kExitUsage);
    }
    faults.push_back(fault);
  }
  return faults;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  TCLAP::CmdLine command("fault rounds", ' ', "0.1.0");
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed of the first round", false, 1, "N",
                                      command);
  TCLAP::ValueArg<std::size_t> rounds("", "rounds", "number of rounds", false, 1, "N", command);
  TCLAP::ValueArg<std::size_t> parallel("", "parallel", "rounds at a time", false, 1, "N", command);
  TCLAP::ValueArg<std::size_t> entries("", "entries", "entries", false, 2, "N", command);
  TCLAP::ValueArg<std::string> names("", "faults", "comma-separated faults instead of drawn ones",
                                     false, "", "LIST", command);
  command.parse(argc, argv);
  const std::vector<const Fault*> chosen = ParseFaults(names.getValue());

  std::atomic<std::size_t> next{0};
  std::atomic<std::size_t> unclean{0};
  std::mutex output;
  const auto work = [&] {
    for (std::size_t index = next++; index < rounds.getValue(); index = next++) {
      const std::uint64_t round_seed = seed.getValue() * 1'000'000 + index;
      const std::vector<const Fault*> faults = chosen.empty() ? DrawFaults(round_seed) : chosen;
      try {
        const RoundReport report =
            RunFaultRound({.seed = round_seed, .entries = entries.getValue()}, faults);
        if (!report.clean()) ++unclean;
        const std::lock_guard lock(output);
        std::cout << report.ToJson() << std::endl;
      } catch (const std::exception& error) {
        ++unclean;
        const std::lock_guard lock(output);
        std::cout << R"({"seed":)" << round_seed << R"(,"error":")" << error.what() << "\"}"
                  << std::endl;
      }
    }
  };
  std::vector<std::thread> workers;
  for (std::size_t count = 0; count < parallel.getValue(); ++count) workers.emplace_back(work);
  for (std::thread& worker : workers) worker.join();
  return unclean == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
