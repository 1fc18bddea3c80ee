// The command line of one command: its own arguments, the common ones, and its help page.
#ifndef ZINNIAMUX_ZINNIAMUXCTL_COMMAND_LINE_H_
#define ZINNIAMUX_ZINNIAMUXCTL_COMMAND_LINE_H_

#include <tclap/CmdLine.h>

#include <string>
#include <string_view>
#include <vector>

namespace zinniamux::ctl {

// Prints a help page with usage, arguments, exit codes and examples.
class HelpPage : public TCLAP::StdOutput {
 public:
  HelpPage(std::string description, std::string examples);

  void usage(TCLAP::CmdLineInterface& line) override;

 private:
  const std::string description_;
  const std::string examples_;
};

// Addresses to send requests to.
enum class Server { kAdmin, kCaller };

// A TCLAP command line with the options that all commands share.
class CommandLine {
 public:
  // `examples` holds one example per line.
  CommandLine(std::string_view command, std::string description, std::string examples);

  TCLAP::CmdLine& native() { return line_; }
  void Parse(const std::vector<std::string>& words);

  bool json() const { return json_.getValue(); }
  // The address given by option or environment variable. Throws TCLAP::ArgException if there is
  // none or it is not IP:PORT.
  std::string Address(Server server) const;

 private:
  const std::string program_;
  HelpPage help_;
  TCLAP::CmdLine line_;
  TCLAP::ValueArg<std::string> admin_;
  TCLAP::ValueArg<std::string> caller_;
  TCLAP::SwitchArg json_;
};

}  // namespace zinniamux::ctl

#endif  // ZINNIAMUX_ZINNIAMUXCTL_COMMAND_LINE_H_
