// Runs fault rounds outside CI, one JSON line a round: two drawn faults a round on the roles entry
// and agent, or a drawn plan on the roles dispatcher and supervisor.
#include <tclap/CmdLine.h>

#include <atomic>
#include <csignal>
#include <iostream>
#include <mutex>
#include <sstream>
#include <thread>
#include <vector>

#include "support/fault_round.h"
#include "support/leased_plan.h"
#include "support/leased_round.h"

namespace {

using zinniamux::testing::DrawFaults;
using zinniamux::testing::DrawLeasedPlan;
using zinniamux::testing::Fault;
using zinniamux::testing::FaultByName;
using zinniamux::testing::LeasedRoundReport;
using zinniamux::testing::RoundOptions;
using zinniamux::testing::RoundReport;
using zinniamux::testing::RunFaultRound;
using zinniamux::testing::RunLeasedRound;

constexpr int kExitUsage = 2;

struct Verdict {
  bool clean = false;
  std::string json;
};

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
  TCLAP::ValueArg<std::size_t> skip("", "skip", "rounds of the seed to leave out at first", false,
                                    0, "N", command);
  TCLAP::ValueArg<std::size_t> parallel("", "parallel", "rounds at a time", false, 1, "N", command);
  TCLAP::ValueArg<std::size_t> entries("", "entries", "entries", false, 2, "N", command);
  TCLAP::ValueArg<std::string> names("", "faults", "comma-separated faults instead of drawn ones",
                                     false, "", "LIST", command);
  std::vector<std::string> role_sets{"entry", "leased"};
  TCLAP::ValuesConstraint<std::string> role_choice(role_sets);
  TCLAP::ValueArg<std::string> roles("", "roles",
                                     "entry: entry and agent; leased: dispatcher and "
                                     "supervisor",
                                     false, "entry", &role_choice, command);
  TCLAP::ValueArg<std::string> daemon("", "daemon", "zinniamuxd of another build, for leased roles",
                                      false, "", "FILE", command);
  command.parse(argc, argv);
  const bool leased = roles.getValue() == "leased";
  if (leased && (names.isSet() || entries.isSet())) {
    std::cerr << "fault_rounds: --faults and --entries are for the roles entry and agent\n";
    return kExitUsage;
  }
  if (!leased && daemon.isSet()) {
    std::cerr << "fault_rounds: --daemon is for the leased roles\n";
    return kExitUsage;
  }
  const std::vector<const Fault*> chosen = ParseFaults(names.getValue());

  const auto run_round = [&](std::uint64_t round_seed) -> Verdict {
    if (leased) {
      const LeasedRoundReport report =
          RunLeasedRound(DrawLeasedPlan(round_seed), daemon.getValue());
      return {.clean = report.clean(), .json = report.ToJson()};
    }
    const std::vector<const Fault*> faults = chosen.empty() ? DrawFaults(round_seed) : chosen;
    const RoundReport report =
        RunFaultRound({.seed = round_seed, .entries = entries.getValue()}, faults);
    return {.clean = report.clean(), .json = report.ToJson()};
  };

  std::atomic<std::size_t> next{0};
  std::atomic<std::size_t> unclean{0};
  std::mutex output;
  const auto work = [&] {
    for (std::size_t index = next++; index < rounds.getValue(); index = next++) {
      const std::uint64_t round_seed = seed.getValue() * 1'000'000 + skip.getValue() + index;
      try {
        const Verdict verdict = run_round(round_seed);
        if (!verdict.clean) ++unclean;
        const std::lock_guard lock(output);
        std::cout << verdict.json << std::endl;
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
