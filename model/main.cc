// Searches the lease model, and prints the shortest way to two runs of a task at the same time.
//
// Exit codes: 0 nothing found up to the bounds, 1 a task runs twice, 2 bad input, 3 incomplete.
#include <tclap/CmdLine.h>

#include <chrono>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include "core/run_end_budget.h"
#include "model/options.h"
#include "model/search.h"

namespace {

using std::chrono::milliseconds;
using zinniamux::core::ErrorKind;
using zinniamux::core::Result;
using zinniamux::core::RunEndBudget;
using zinniamux::model::Bounds;
using zinniamux::model::Fault;
using zinniamux::model::FaultNames;
using zinniamux::model::FaultOf;
using zinniamux::model::Faults;
using zinniamux::model::Findings;
using zinniamux::model::kStep;
using zinniamux::model::Limits;
using zinniamux::model::Options;
using zinniamux::model::Rule;
using zinniamux::model::RuleNames;
using zinniamux::model::RuleOf;
using zinniamux::model::Search;

constexpr int kExitRunsTwice = 1;
constexpr int kExitBadInput = 2;
constexpr int kExitIncomplete = 3;
// Ids of states have 32 bits.
constexpr long long kMaxStates = 4'000'000'000;
constexpr int kMaxFaults = 20;

struct Request {
  Options options;
  Bounds bounds;
};

tl::unexpected<zinniamux::core::Error> BadInput(std::string message) {
  return tl::unexpected(
      zinniamux::core::Error{.kind = ErrorKind::kInvalidRequest, .message = std::move(message)});
}

Result<Request> ParseRequest(int argc, const char* const* argv) {
  TCLAP::CmdLine command("Searches a model of leases for two runs of a task at the same time.", ' ',
                         "0.1.0");
  command.setExceptionHandling(false);
  const RunEndBudget::Deployment defaults;
  TCLAP::ValueArg<int> faults("", "faults", "most faults", false, 2, "N", command);
  TCLAP::ValueArg<int> horizon("", "horizon-ms", "time that is searched", false, 3000, "MS",
                               command);
  TCLAP::ValueArg<long long> max_states("", "max-states", "most states", false, 100'000'000, "N",
                                        command);
  TCLAP::MultiArg<std::string> without("", "without", "leave a rule out: " + RuleNames(), false,
                                       "RULE", command);
  TCLAP::MultiArg<std::string> with("", "with", "add a rule that the core does not keep", false,
                                    "RULE", command);
  TCLAP::ValueArg<std::string> only("", "only-faults", "faults to search: " + FaultNames(), false,
                                    "", "NAME,NAME", command);
  TCLAP::ValueArg<std::string> except("", "except-faults", "faults to leave out", false, "",
                                      "NAME,NAME", command);
  TCLAP::ValueArg<int> retransmit("", "retransmit-ms", "callers send again after", false,
                                  static_cast<int>(defaults.retransmit.count()), "MS", command);
  TCLAP::ValueArg<int> lease("", "lease-ms", "longest lease", false,
                             static_cast<int>(defaults.max_lease.count()), "MS", command);
  TCLAP::ValueArg<int> stop("", "stop-ms", "time to stop a run", false,
                            static_cast<int>(defaults.stop_time.count()), "MS", command);
  command.parse(argc, argv);

  if (faults.getValue() <= 0 || faults.getValue() > kMaxFaults) {
    return BadInput("--faults has to be between 1 and " + std::to_string(kMaxFaults));
  }
  if (horizon.getValue() < kStep.count()) return BadInput("--horizon-ms has to be at least 50");
  if (max_states.getValue() <= 0 || max_states.getValue() > kMaxStates) {
    return BadInput("--max-states has to be between 1 and " + std::to_string(kMaxStates));
  }
  Request request;
  const auto limits = Limits::For({.retransmit = milliseconds(retransmit.getValue()),
                                   .max_lease = milliseconds(lease.getValue()),
                                   .stop_time = milliseconds(stop.getValue())});
  if (!limits) return tl::unexpected(limits.error());
  request.options.limits = *limits;
  request.options.max_faults = static_cast<std::uint8_t>(faults.getValue());
  request.bounds = {.horizon = milliseconds(horizon.getValue()),
                    .max_states = static_cast<std::size_t>(max_states.getValue())};
  for (const TCLAP::MultiArg<std::string>* list : {&with, &without}) {
    for (const std::string& name : list->getValue()) {
      const std::optional<Rule> rule = RuleOf(name);
      if (!rule) return BadInput("unknown rule " + name + "; known: " + RuleNames());
      if (list == &with) {
        request.options.rules.Add(*rule);
      } else {
        request.options.rules.Remove(*rule);
      }
    }
  }
  if (only.isSet()) request.options.faults = Faults::None();
  for (const TCLAP::ValueArg<std::string>* list : {&only, &except}) {
    std::istringstream names(list->getValue());
    for (std::string name; std::getline(names, name, ',');) {
      const std::optional<Fault> fault = FaultOf(name);
      if (!fault) return BadInput("unknown fault " + name + "; known: " + FaultNames());
      if (list == &only) {
        request.options.faults.Add(*fault);
      } else {
        request.options.faults.Remove(*fault);
      }
    }
  }
  return request;
}

int Report(const Findings& findings, double seconds) {
  for (const auto& entry : findings.timeline) {
    std::cout << std::setw(6) << entry.time.count() << " ms  " << entry.text << '\n';
  }
  std::cout << findings.states << " states, " << findings.repeated
            << " seen again, searched whole to " << findings.depth.count() << " ms, " << std::fixed
            << std::setprecision(1) << seconds << " s\n";
  switch (findings.kind) {
    case Findings::Kind::kClean:
      std::cout << "clean\n";
      return EXIT_SUCCESS;
    case Findings::Kind::kRunsTwice:
      std::cout << "a task runs twice\n";
      return kExitRunsTwice;
    case Findings::Kind::kIncomplete:
      std::cout << "incomplete\n";
      return kExitIncomplete;
  }
  return kExitIncomplete;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    const auto request = ParseRequest(argc, argv);
    if (!request) {
      std::cerr << "lease_model: " << request.error().message << '\n';
      return kExitBadInput;
    }
    const auto start = std::chrono::steady_clock::now();
    const Findings findings = Search(request->options, request->bounds);
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - start;
    return Report(findings, took.count());
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "lease_model: " << error.error() << " " << error.argId() << '\n';
    return kExitBadInput;
  }
}
