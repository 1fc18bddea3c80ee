// Common options and help pages.
#include "zinniamuxctl/command_line.h"

#include <cstdlib>
#include <iostream>
#include <utility>

#include "adapters/listen_address.h"

namespace zinniamux::ctl {
namespace {

constexpr int kHelpWidth = 90;
constexpr const char* kAdminVariable = "ZINNIAMUX_ADMIN";
constexpr const char* kCallerVariable = "ZINNIAMUX_CALLER";
constexpr std::string_view kExitCodes =
    "Exit codes: 0 done; 1 internal error; 2 wrong usage or input; 3 refused for good;\n"
    "  4 refused for now, or no answer; 5 conflict; 6 not found; 7 cancelled; 8 failed;\n"
    "  9 differences found (config diff).\n";

std::string ValueOr(const TCLAP::ValueArg<std::string>& argument, const char* variable) {
  if (argument.isSet()) return argument.getValue();
  const char* value = std::getenv(variable);
  return value != nullptr ? value : "";
}

}  // namespace

HelpPage::HelpPage(std::string description, std::string examples)
    : description_(std::move(description)), examples_(std::move(examples)) {}

void HelpPage::usage(TCLAP::CmdLineInterface& line) {
  std::cout << description_ << "\n\nUsage:\n";
  _shortUsage(line, std::cout);
  std::cout << "\nArguments:\n";
  for (TCLAP::Arg* argument : line.getArgList()) {
    spacePrint(std::cout, argument->longID() + ": " + argument->getDescription(), kHelpWidth, 2, 4);
  }
  std::cout << '\n' << kExitCodes << "\nExamples:\n" << examples_;
}

CommandLine::CommandLine(std::string_view command, std::string description, std::string examples)
    : program_("zinniamuxctl " + std::string(command)),
      help_(std::move(description), std::move(examples)),
      line_("", ' ', "0.1.0"),
      admin_("", "server",
             std::string("admin address of an entry; else the variable ") + kAdminVariable, false,
             "", "IP:PORT", line_),
      caller_("", "caller",
              std::string("caller address of an entry; else the variable ") + kCallerVariable,
              false, "", "IP:PORT", line_),
      json_("", "json", "print the answer as JSON", line_) {
  line_.setExceptionHandling(false);
  line_.setOutput(&help_);
}

void CommandLine::Parse(const std::vector<std::string>& words) {
  std::vector<std::string> arguments{program_};
  arguments.insert(arguments.end(), words.begin(), words.end());
  line_.parse(arguments);
}

std::string CommandLine::Address(Server server) const {
  const bool admin = server == Server::kAdmin;
  const std::string option = admin ? "--server" : "--caller";
  const std::string variable = admin ? kAdminVariable : kCallerVariable;
  std::string address = ValueOr(admin ? admin_ : caller_, variable.c_str());
  if (address.empty()) {
    throw TCLAP::CmdLineParseException("give " + option + " IP:PORT or set " + variable);
  }
  if (!adapters::ParseAddress(address)) {
    throw TCLAP::CmdLineParseException(option + " or " + variable + ": saw \"" + address +
                                       "\"; allowed: " + std::string(adapters::kAddressRule));
  }
  return address;
}

}  // namespace zinniamux::ctl
