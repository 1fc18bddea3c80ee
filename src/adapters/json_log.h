// Log lines in JSON, one object per line, written by log4cxx on a thread of its own.
#ifndef ZINNIAMUX_ADAPTERS_JSON_LOG_H_
#define ZINNIAMUX_ADAPTERS_JSON_LOG_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace zinniamux::adapters {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// The level with that name (debug, info, warning, error), if there is one.
std::optional<LogLevel> LogLevelFromName(std::string_view name);

// Writes log lines of one process. Callers put lines into a bounded queue and never wait for the
// disk; one thread formats and writes them. A line that finds the queue full is dropped and
// counted, and a later line with event "log_lines_dropped" reports the count. Thread-safe.
class JsonLog {
 public:
  // Adds the line's fields to an object. Runs on the writer thread, so it owns what it captures.
  using Fill = std::function<void(nlohmann::json&)>;

  struct Options {
    // A file path; empty for standard output.
    std::string file;
    LogLevel level = LogLevel::kInfo;
    // Added to every line.
    std::string process;
    // Lines that may wait for the writer thread.
    std::size_t capacity = 8192;
  };

  explicit JsonLog(const Options& options);
  // Writes the lines that still wait.
  ~JsonLog();
  JsonLog(const JsonLog&) = delete;
  JsonLog& operator=(const JsonLog&) = delete;

  bool enabled(LogLevel level) const;
  // `fields` is an object. It is formatted on the writer thread.
  void Write(LogLevel level, std::string_view event, nlohmann::json fields);
  // For lines whose fields are costly to build.
  void WriteDeferred(LogLevel level, std::string_view event, Fill fill);

  // Lines dropped since the start.
  std::uint64_t dropped() const;
  // Returns when every line accepted before the call is written.
  void Flush();

 private:
  class Writer;

  const std::unique_ptr<Writer> writer_;
};

}  // namespace zinniamux::adapters

#endif  // ZINNIAMUX_ADAPTERS_JSON_LOG_H_
