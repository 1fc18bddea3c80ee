// What every command of zinniamuxctl offers to the main program.
#ifndef ZINNIAMUX_ZINNIAMUXCTL_COMMAND_H_
#define ZINNIAMUX_ZINNIAMUXCTL_COMMAND_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace zinniamux::ctl {

// Exit codes besides those of the error table (see 4.5 of docs/design.md).
inline constexpr int kExitOk = 0;
inline constexpr int kExitUsage = 2;
// No answer came; whether the request took effect is not known.
inline constexpr int kExitNoAnswer = 4;
// `config diff` found differences.
inline constexpr int kExitDifferent = 9;

// One command, for example "submit".
class Command {
 public:
  virtual ~Command() = default;
  virtual std::string_view name() const = 0;
  // One line for the overview.
  virtual std::string_view summary() const = 0;
  // Runs with the words after the command's name and returns the exit code. Throws
  // TCLAP::ArgException on wrong words and TCLAP::ExitException after --help.
  virtual int Run(const std::vector<std::string>& words) = 0;
};

// All commands, in the order of the overview.
std::vector<std::unique_ptr<Command>> MakeCommands();

}  // namespace zinniamux::ctl

#endif  // ZINNIAMUX_ZINNIAMUXCTL_COMMAND_H_
