// Log lines in JSON, one object per line, written by log4cxx.
#ifndef ZINNIAMUX_ADAPTERS_JSON_LOG_H_
#define ZINNIAMUX_ADAPTERS_JSON_LOG_H_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace zinniamux::adapters {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// Writes log lines of one process. Thread-safe.
class JsonLog {
 public:
  struct Options {
    // A file path; empty for standard error.
    std::string file;
    LogLevel level = LogLevel::kInfo;
    // Added to every line.
    std::string process;
  };

  explicit JsonLog(const Options& options);

  void Write(LogLevel level, std::string_view event, const nlohmann::json& fields);

 private:
  const std::string process_;
};

}  // namespace zinniamux::adapters

#endif  // ZINNIAMUX_ADAPTERS_JSON_LOG_H_
