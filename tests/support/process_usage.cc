// Reads the proc file system.
#include "support/process_usage.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace zinniamux::testing {

std::size_t PeakKilobytes(const ChildProcess& process) {
  std::ifstream status("/proc/" + std::to_string(process.id()) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (!line.starts_with("VmHWM:")) continue;
    return std::stoul(line.substr(line.find_first_of("0123456789")));
  }
  return 0;
}

std::size_t Descriptors(const ChildProcess& process) {
  const std::filesystem::directory_iterator open("/proc/" + std::to_string(process.id()) + "/fd");
  return static_cast<std::size_t>(std::distance(begin(open), end(open)));
}

}  // namespace zinniamux::testing
