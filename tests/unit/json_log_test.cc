// JsonLog: lines are bounded, ordered and whole.
#include "adapters/json_log.h"

#include <criterion/criterion.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <future>
#include <nlohmann/json.hpp>
#include <vector>

namespace {

using nlohmann::json;
using zinniamux::adapters::JsonLog;
using zinniamux::adapters::LogLevel;

// A log file that is removed with the object.
class LogFile {
 public:
  explicit LogFile(const std::string& name)
      : path_(std::filesystem::temp_directory_path() /
              ("zinniamux_" + name + "_" + std::to_string(getpid()) + ".log")) {}
  ~LogFile() { std::filesystem::remove(path_); }

  std::string path() const { return path_.string(); }

  std::vector<json> Lines() const {
    std::ifstream file(path_);
    std::vector<json> lines;
    for (std::string line; std::getline(file, line);) lines.push_back(json::parse(line));
    return lines;
  }

 private:
  std::filesystem::path path_;
};

}  // namespace

// Guards against lines that are lost at shutdown, reordered, or below the level.
Test(json_log, writes_accepted_lines_in_order) {
  const LogFile file("order");
  {
    JsonLog log({.file = file.path(), .process = "entry-1"});
    log.Write(LogLevel::kDebug, "hidden", {{"number", 0}});
    for (int i = 0; i < 100; ++i) log.Write(LogLevel::kInfo, "counted", {{"number", i}});
  }
  const std::vector<json> lines = file.Lines();
  cr_assert_eq(lines.size(), 100U);
  for (int i = 0; i < 100; ++i) {
    cr_assert(lines[i]["number"] == i);
    cr_assert(lines[i]["event"] == "counted");
    cr_assert(lines[i]["process"] == "entry-1");
  }
}

// Guards against an unbounded queue, a caller that waits for the writer, and uncounted drops.
Test(json_log, drops_and_counts_lines_beyond_its_capacity) {
  const LogFile file("drop");
  std::promise<void> release;
  std::promise<void> blocked;
  JsonLog log({.file = file.path(), .process = "entry-1", .capacity = 4});
  log.WriteDeferred(LogLevel::kInfo, "blocking", [&](json& /*line*/) {
    blocked.set_value();
    release.get_future().wait();
  });
  blocked.get_future().wait();
  for (int i = 0; i < 10; ++i) log.Write(LogLevel::kInfo, "counted", {{"number", i}});
  cr_assert_eq(log.dropped(), 6U);
  release.set_value();
  log.Flush();
  std::uint64_t reported = 0;
  std::size_t counted = 0;
  for (const json& line : file.Lines()) {
    if (line["event"] == "log_lines_dropped") reported += line["lines"].get<std::uint64_t>();
    if (line["event"] == "counted") ++counted;
  }
  cr_assert_eq(counted, 4U);
  cr_assert_eq(reported, 6U);
}

// Guards against a writer thread that ends, or a line that breaks the format, on bad content.
Test(json_log, survives_content_that_cannot_be_formatted) {
  const LogFile file("bad");
  {
    JsonLog log({.file = file.path()});
    log.Write(LogLevel::kInfo, "bytes", {{"text", "\xff\xfe line\nbreak"}});
    log.WriteDeferred(LogLevel::kInfo, "throwing",
                      [](json& /*line*/) { throw std::runtime_error("no fields"); });
    log.Write(LogLevel::kInfo, "array", json::array({1, 2}));
    log.Write(LogLevel::kInfo, "umlauts", {{"text", "gr\xc3\xbc\xc3\x9f"}});
  }
  const std::vector<json> lines = file.Lines();
  cr_assert_eq(lines.size(), 4U);
  cr_assert(lines[1]["log_error"] == "no fields");
  cr_assert(lines[2]["fields"] == json::array({1, 2}));
  cr_assert(lines[3]["text"] == "gr\xc3\xbc\xc3\x9f");
}
