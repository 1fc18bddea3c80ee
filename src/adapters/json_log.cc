// log4cxx configuration and formatting of JSON lines.
#include "adapters/json_log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <chrono>
#include <nlohmann/json.hpp>

namespace zinniamux::adapters {
namespace {

log4cxx::LevelPtr ToLog4cxx(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cxx::Level::getDebug();
    case LogLevel::kInfo:
      return log4cxx::Level::getInfo();
    case LogLevel::kWarning:
      return log4cxx::Level::getWarn();
    case LogLevel::kError:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

}  // namespace

JsonLog::JsonLog(const Options& options) : process_(options.process) {
  auto layout = std::make_shared<log4cxx::PatternLayout>("%m%n");
  log4cxx::AppenderPtr appender;
  if (options.file.empty()) {
    appender = std::make_shared<log4cxx::ConsoleAppender>(layout, "System.err");
  } else {
    appender = std::make_shared<log4cxx::FileAppender>(layout, options.file, true);
  }
  log4cxx::BasicConfigurator::configure(appender);
  log4cxx::Logger::getRootLogger()->setLevel(ToLog4cxx(options.level));
}

void JsonLog::Write(LogLevel level, std::string_view event, const nlohmann::json& fields) {
  const log4cxx::LoggerPtr logger = log4cxx::Logger::getRootLogger();
  const log4cxx::LevelPtr native = ToLog4cxx(level);
  if (!logger->isEnabledFor(native)) return;
  nlohmann::json line = fields;
  line["time_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count();
  line["event"] = event;
  line["process"] = process_;
  logger->forcedLog(native, line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

}  // namespace zinniamux::adapters
