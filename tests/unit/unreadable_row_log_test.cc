// UnreadableRowLog: which rows are logged.
#include "zinniamuxd/unreadable_row_log.h"

#include <criterion/criterion.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "unit/temporary_folder.h"

// Guards against a log line at each read of the rows, and against a row that is not logged when it
// is odd in another way.
Test(unreadable_row_log, logs_a_row_once_for_each_reason) {
  const zinniamux::tests::TemporaryFolder folder("unreadable_row_log");
  const std::string file = folder.path() + "/log";
  {
    zinniamux::adapters::JsonLog log({.file = file});
    zinniamux::daemon::UnreadableRowLog rows(log);
    for (int reads = 0; reads < 3; ++reads) {
      rows.Write({.key = "entry/a", .reason = "ver is missing"});
      rows.Write({.key = "entry/b\xff", .reason = "ver is missing"});
    }
    rows.Write({.key = "entry/a", .reason = "value is not base64"});
  }
  std::ifstream lines(file);
  std::vector<std::string> reasons;
  for (std::string line; std::getline(lines, line);) {
    reasons.push_back(nlohmann::json::parse(line)["reason"]);
  }
  cr_assert(reasons ==
            std::vector<std::string>({"ver is missing", "ver is missing", "value is not base64"}));
}
