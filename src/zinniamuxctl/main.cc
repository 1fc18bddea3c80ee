// zinniamuxctl: the command-line tool for callers and operators.
#include <csignal>
#include <iostream>

#include "zinniamuxctl/command.h"
#include "zinniamuxctl/command_line.h"

namespace {

using zinniamux::ctl::Command;

constexpr std::size_t kNameWidth = 12;

void PrintOverview(const std::vector<std::unique_ptr<Command>>& commands, std::ostream& out) {
  out << "zinniamuxctl submits jobs, publishes configurations and operates executors.\n\n"
         "Usage: zinniamuxctl COMMAND [ARGUMENT...]\n\nCommands:\n";
  for (const auto& command : commands) {
    std::string name(command->name());
    name.resize(kNameWidth, ' ');
    out << "  " << name << command->summary() << '\n';
  }
  out << "\nzinniamuxctl COMMAND --help shows arguments, exit codes and examples.\n";
}

int RunCommand(Command& command, const std::vector<std::string>& words) {
  try {
    return command.Run(words);
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "zinniamuxctl " << command.name() << ": " << error.error();
    if (error.argId() != " ") std::cerr << " (" << error.argId() << ")";
    std::cerr << "\nTry: zinniamuxctl " << command.name() << " --help\n";
    return zinniamux::ctl::kExitUsage;
  } catch (const std::exception& error) {
    std::cerr << "zinniamuxctl " << command.name() << ": " << error.what() << '\n';
    return EXIT_FAILURE;
  }
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const std::vector<std::string> words(argv + 1, argv + argc);
  const std::vector<std::unique_ptr<Command>> commands = zinniamux::ctl::MakeCommands();
  if (words.empty() || words.front() == "--help" || words.front() == "-h") {
    PrintOverview(commands, words.empty() ? std::cerr : std::cout);
    return words.empty() ? zinniamux::ctl::kExitUsage : zinniamux::ctl::kExitOk;
  }
  for (const auto& command : commands) {
    if (command->name() == words.front()) {
      return RunCommand(*command, {words.begin() + 1, words.end()});
    }
  }
  std::cerr << "zinniamuxctl: saw the command \"" << words.front()
            << "\"; zinniamuxctl --help lists what is allowed\n";
  return zinniamux::ctl::kExitUsage;
}
