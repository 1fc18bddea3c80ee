// The bounded queue of log lines and the thread that formats and writes them.
#include "adapters/json_log.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>
#include <vector>

namespace zinniamux::adapters {
namespace {

constexpr std::size_t kMaxBufferBytes = 64U << 10U;
// Lines of this time are written together, because each wake-up of the writer costs more than the
// formatting of a line.
constexpr std::chrono::milliseconds kGatherTime{50};

using SystemTime = std::chrono::system_clock::time_point;

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

std::string_view LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "info";
}

log4cxx::AppenderPtr MakeAppender(const std::string& file) {
  const auto layout = std::make_shared<log4cxx::PatternLayout>("%m%n");
  if (file.empty()) return std::make_shared<log4cxx::ConsoleAppender>(layout, "System.out");
  return std::make_shared<log4cxx::FileAppender>(layout, file, true);
}

// A logger of its own per JsonLog, so that two logs in one process do not write to each other's
// files.
log4cxx::LoggerPtr MakeLogger(const JsonLog::Options& options) {
  static std::atomic<int> next_number{0};
  log4cxx::LoggerPtr logger =
      log4cxx::Logger::getLogger("zinniamux" + std::to_string(next_number++));
  logger->setAdditivity(false);
  logger->addAppender(MakeAppender(options.file));
  logger->setLevel(ToLog4cxx(options.level));
  return logger;
}

}  // namespace

std::optional<LogLevel> LogLevelFromName(std::string_view name) {
  for (const LogLevel level :
       {LogLevel::kDebug, LogLevel::kInfo, LogLevel::kWarning, LogLevel::kError}) {
    if (LevelName(level) == name) return level;
  }
  return std::nullopt;
}

class JsonLog::Writer {
 public:
  explicit Writer(const Options& options)
      : options_(options), logger_(MakeLogger(options)), thread_([this] { Run(); }) {}

  ~Writer() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    work_.notify_one();
    gathered_.notify_one();
    thread_.join();
    logger_->removeAllAppenders();
  }

  Writer(const Writer&) = delete;
  Writer& operator=(const Writer&) = delete;

  bool enabled(LogLevel level) const { return level >= options_.level; }
  std::uint64_t dropped() const { return dropped_; }

  void Add(LogLevel level, std::string_view event, Fill fill) {
    const SystemTime time = std::chrono::system_clock::now();
    bool was_empty = false;
    {
      const std::lock_guard lock(mutex_);
      if (waiting_.size() >= options_.capacity) {
        ++dropped_;
        return;
      }
      was_empty = waiting_.empty();
      if (waiting_.size() + 1 == options_.capacity / 2) gathered_.notify_one();
      waiting_.push_back({level, time, std::string(event), std::move(fill)});
      ++accepted_;
    }
    if (was_empty) work_.notify_one();
  }

  void Flush() {
    std::unique_lock lock(mutex_);
    const std::uint64_t target = accepted_;
    flush_to_ = target;
    gathered_.notify_one();
    written_changed_.wait(lock, [&] { return written_ >= target; });
  }

 private:
  struct Line {
    LogLevel level;
    SystemTime time;
    std::string event;
    Fill fill;
  };

  void Run() {
    std::vector<Line> lines;
    std::unique_lock lock(mutex_);
    while (true) {
      work_.wait(lock, [this] { return stopping_ || !waiting_.empty(); });
      if (waiting_.empty()) break;
      gathered_.wait_for(lock, kGatherTime, [this] {
        return stopping_ || flush_to_ > written_ || waiting_.size() >= options_.capacity / 2;
      });
      lines.swap(waiting_);
      lock.unlock();
      for (const Line& line : lines) Print(line);
      ReportDropped();
      WriteBuffer();
      lock.lock();
      written_ += lines.size();
      lines.clear();
      written_changed_.notify_all();
    }
  }

  void Print(const Line& line) {
    nlohmann::json object = nlohmann::json::object();
    // A line whose fields cannot be built is still worth its event and time.
    try {
      if (line.fill) line.fill(object);
    } catch (const std::exception& error) {
      object = {{"log_error", error.what()}};
    }
    if (!object.is_object()) object = {{"fields", std::move(object)}};
    object["time_ms"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(line.time.time_since_epoch()).count();
    object["level"] = LevelName(line.level);
    object["event"] = line.event;
    object["process"] = options_.process;
    if (!buffer_.empty()) buffer_ += '\n';
    // ASCII only, because log4cxx replaces other characters in the C locale.
    buffer_ += object.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    if (buffer_.size() >= kMaxBufferBytes) WriteBuffer();
  }

  // Hands several lines to log4cxx at once: its work per call is larger than the formatting.
  void WriteBuffer() {
    if (buffer_.empty()) return;
    logger_->forcedLog(ToLog4cxx(options_.level), buffer_);
    buffer_.clear();
  }

  void ReportDropped() {
    const std::uint64_t dropped = dropped_;
    if (dropped == reported_) return;
    const std::uint64_t new_lines = dropped - std::exchange(reported_, dropped);
    Print({LogLevel::kWarning, std::chrono::system_clock::now(), "log_lines_dropped",
           [=](nlohmann::json& fields) {
             fields = {{"lines", new_lines}, {"total", dropped}};
           }});
  }

  const Options options_;
  const log4cxx::LoggerPtr logger_;
  std::mutex mutex_;
  std::condition_variable work_;
  std::condition_variable gathered_;
  std::condition_variable written_changed_;
  // Guarded by mutex_. Invariant: waiting_.size() <= options_.capacity. As many lines again may be
  // in the hands of the writer thread.
  std::vector<Line> waiting_;
  std::uint64_t accepted_ = 0;
  std::uint64_t written_ = 0;
  // Lines up to this one are waited for.
  std::uint64_t flush_to_ = 0;
  bool stopping_ = false;
  std::atomic<std::uint64_t> dropped_{0};
  // Used by the writer thread only: lines that are formatted, and how many drops the last report
  // covered.
  std::string buffer_;
  std::uint64_t reported_ = 0;
  std::thread thread_;
};

JsonLog::JsonLog(const Options& options) : writer_(std::make_unique<Writer>(options)) {}

JsonLog::~JsonLog() = default;

bool JsonLog::enabled(LogLevel level) const { return writer_->enabled(level); }

void JsonLog::Write(LogLevel level, std::string_view event, nlohmann::json fields) {
  if (!enabled(level)) return;
  writer_->Add(level, event, [fields = std::move(fields)](nlohmann::json& line) { line = fields; });
}

void JsonLog::WriteDeferred(LogLevel level, std::string_view event, Fill fill) {
  if (!enabled(level)) return;
  writer_->Add(level, event, std::move(fill));
}

std::uint64_t JsonLog::dropped() const { return writer_->dropped(); }

void JsonLog::Flush() { writer_->Flush(); }

}  // namespace zinniamux::adapters
