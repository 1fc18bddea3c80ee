// Parsing of /proc/PID/stat.
#include "load/process_usage.h"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace zinniamux::bench {
namespace {

constexpr double kBytesPerMb = 1 << 20;
// Fields between the command's closing bracket and utime.
constexpr int kFieldsBeforeUserTime = 11;
// Fields between stime and rss.
constexpr int kFieldsBeforeResident = 8;

}  // namespace

ProcessUsage UsageOf(pid_t process) {
  std::ifstream file("/proc/" + std::to_string(process) + "/stat");
  std::string line;
  if (!std::getline(file, line)) return {};
  // The command may contain spaces, so parsing begins after its closing bracket.
  std::istringstream fields(line.substr(line.rfind(')') + 2));
  std::string skipped;
  for (int index = 0; index < kFieldsBeforeUserTime; ++index) fields >> skipped;
  double user_ticks = 0;
  double system_ticks = 0;
  fields >> user_ticks >> system_ticks;
  for (int index = 0; index < kFieldsBeforeResident; ++index) fields >> skipped;
  double resident_pages = 0;
  fields >> resident_pages;
  const auto ticks_per_second = static_cast<double>(sysconf(_SC_CLK_TCK));
  const auto page_bytes = static_cast<double>(sysconf(_SC_PAGESIZE));
  return {.processor_time =
              std::chrono::duration<double>((user_ticks + system_ticks) / ticks_per_second),
          .resident_mb = resident_pages * page_bytes / kBytesPerMb};
}

}  // namespace zinniamux::bench
