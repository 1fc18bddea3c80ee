// A stand-in for an executor: announces itself to its agent and runs tasks of given lengths.
//
// The payload of a task is "LENGTH" or "LENGTH:TEXT". LENGTH is a number of milliseconds, "fail" to
// answer with status 500, or "exit" to drop the connection without an answer. The answer of a task
// that succeeds is TEXT, or "done ID/INDEX" if there is none.
//
// The record file gets one line per event, "start ID INDEX MS" or "end ID INDEX MS", with MS on the
// machine's monotonic clock, so that the files of several executors can be compared. The statistics
// file is replaced every second and at the end.
//
// On SIGTERM it posts /v1/leave until the agent answers that no task runs or is on its way, and
// exits with status 0.
#include <tclap/CmdLine.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <restinio/all.hpp>
#include <string>
#include <string_view>
#include <thread>

#include "adapters/http_client.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;
using zinniamux::adapters::HttpClient;
using zinniamux::adapters::HttpResult;

constexpr milliseconds kAnnouncePeriod{1000};
constexpr milliseconds kAnnounceRetry{200};
constexpr milliseconds kStatisticsPeriod{1000};
constexpr milliseconds kLeavePeriod{100};
constexpr milliseconds kTick{1};
// Longer than any task.
constexpr std::chrono::minutes kHandleRequestTimeout{11};

volatile std::sig_atomic_t stop_requested = 0;

void RequestStop(int /*signal*/) { stop_requested = 1; }

long MonotonicMs() {
  return std::chrono::duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

struct Task {
  std::string id;
  std::string index;
  std::string length;
  std::string text;
};

Task ReadTask(const restinio::request_handle_t& request) {
  Task task;
  task.id = request->header().get_field_or("X-Submission-Id", "");
  task.index = request->header().get_field_or("X-Task-Index", "");
  const std::string& body = request->body();
  const std::size_t colon = body.find(':');
  task.length = body.substr(0, colon);
  task.text =
      colon == std::string::npos ? "done " + task.id + "/" + task.index : body.substr(colon + 1);
  return task;
}

void Respond(const restinio::request_handle_t& request, std::uint16_t status, std::string body) {
  request->create_response(restinio::http_status_line_t{restinio::http_status_code_t{status}, ""})
      .append_header(restinio::http_field::content_type, "text/plain")
      .set_body(std::move(body))
      .done();
}

// Closes the request's connection without a response.
void Drop(const restinio::request_handle_t& request) {
  const restinio::impl::connection_handle_t connection =
      restinio::impl::access_req_connection(*request);
  connection->write_response_parts(request->request_id(),
                                   {restinio::response_parts_attr_t::final_parts,
                                    restinio::response_connection_attr_t::connection_close},
                                   restinio::write_group_t(restinio::writable_items_container_t{}));
}

// Runs tasks by answering each after its length.
class Executor {
 public:
  struct Options {
    std::string record_file;
    std::string statistics_file;
    bool fail_all = false;
    double slowdown = 1;
  };

  explicit Executor(const Options& options)
      : options_(options), record_(options.record_file, std::ios::app) {}

  void Serve(const restinio::request_handle_t& request) {
    Task task = ReadTask(request);
    const std::lock_guard lock(mutex_);
    Record("start", task);
    ++started_;
    most_running_ = std::max(most_running_, running_.size() + 1);
    if (options_.fail_all || task.length == "fail") {
      ++failed_;
      Record("end", task);
      Respond(request, 500, "failed\n");
      return;
    }
    if (task.length == "exit") {
      ++dropped_;
      Record("end", task);
      Drop(request);
      return;
    }
    const double length =
        static_cast<double>(std::strtoul(task.length.c_str(), nullptr, 10)) * options_.slowdown;
    running_.emplace(steady_clock::now() + milliseconds(static_cast<long>(length)),
                     [this, request, task = std::move(task)] {
                       ++finished_;
                       Record("end", task);
                       Respond(request, 200, task.text);
                     });
  }

  // Answers the tasks that have ended. Returns the number that still runs.
  std::size_t Tick() {
    const std::lock_guard lock(mutex_);
    const auto now = steady_clock::now();
    while (!running_.empty() && running_.begin()->first <= now) {
      running_.begin()->second();
      running_.erase(running_.begin());
    }
    return running_.size();
  }

  void WriteStatistics() {
    if (options_.statistics_file.empty()) return;
    const std::lock_guard lock(mutex_);
    const nlohmann::json statistics{{"started", started_},        {"finished", finished_},
                                    {"failed", failed_},          {"dropped", dropped_},
                                    {"running", running_.size()}, {"most_running", most_running_}};
    // Renamed into place, so that a reader never sees half a file.
    const std::string temporary = options_.statistics_file + ".new";
    std::ofstream(temporary) << statistics.dump() << '\n';
    std::rename(temporary.c_str(), options_.statistics_file.c_str());
  }

 private:
  void Record(std::string_view event, const Task& task) {
    // Flushed at once, so that the record is complete when the process is killed.
    record_ << event << ' ' << task.id << ' ' << task.index << ' ' << MonotonicMs() << std::endl;
  }

  const Options options_;
  std::mutex mutex_;
  // Guarded by mutex_.
  std::ofstream record_;
  std::multimap<steady_clock::time_point, std::function<void()>> running_;
  std::uint64_t started_ = 0;
  std::uint64_t finished_ = 0;
  std::uint64_t failed_ = 0;
  std::uint64_t dropped_ = 0;
  std::size_t most_running_ = 0;
};

// Tells the agent that the executor is there, or that it leaves.
class Announcer {
 public:
  Announcer(std::string agent, nlohmann::json announcement)
      : agent_(std::move(agent)), announcement_(std::move(announcement)) {}

  // Announces if it is time to.
  void Tick() {
    const auto now = steady_clock::now();
    if (now < next_) return;
    next_ = now + (answered_ ? kAnnouncePeriod : kAnnounceRetry);
    nlohmann::json body = announcement_;
    // Until the agent has answered once: the executor was restarted and takes work again.
    if (!answered_) body["leaving"] = false;
    client_.Send(
        {.method = "POST", .url = "http://" + agent_ + "/v1/announce", .body = body.dump()},
        [this](const HttpResult& result) {
          if (result.status == 200) answered_ = true;
        });
  }

  // Returns true when the agent has no task here, or cannot be reached.
  bool Leave() {
    const nlohmann::json body{{"executor_id", announcement_["executor_id"]}};
    const HttpResult result = client_.SendAndWait(
        {.method = "POST", .url = "http://" + agent_ + "/v1/leave", .body = body.dump()});
    if (result.status != 200) return true;
    const nlohmann::json answer = nlohmann::json::parse(result.body, nullptr, false);
    return !answer.is_object() || answer.value("running_tasks", 0U) == 0;
  }

 private:
  const std::string agent_;
  const nlohmann::json announcement_;
  std::atomic<bool> answered_{false};
  steady_clock::time_point next_;
  // Destroyed first, because its callbacks use the other members.
  HttpClient client_;
};

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGTERM, RequestStop);
  std::signal(SIGINT, RequestStop);
  try {
    TCLAP::CmdLine command("stand-in executor", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> id("", "id", "executor id", true, "", "ID", command);
    TCLAP::ValueArg<std::uint16_t> port("", "port", "port to listen on", true, 0, "PORT", command);
    TCLAP::ValueArg<std::uint16_t> announce_port(
        "", "announce-port", "port to announce, if not the own one", false, 0, "PORT", command);
    TCLAP::ValueArg<std::string> agent("", "agent", "agent's host:port", true, "", "ADDRESS",
                                       command);
    TCLAP::ValueArg<std::string> record("", "record", "file of starts and ends", true, "", "FILE",
                                        command);
    TCLAP::ValueArg<std::string> statistics("", "statistics", "file of totals (JSON)", false, "",
                                            "FILE", command);
    TCLAP::ValueArg<unsigned> slots("", "slots", "slots", false, 8, "N", command);
    TCLAP::ValueArg<unsigned> connections("", "connections", "connections", false, 64, "N",
                                          command);
    TCLAP::SwitchArg fail_all("", "fail-all", "answer every task with status 500", command);
    TCLAP::ValueArg<long> start_delay("", "start-delay", "time before the first announcement",
                                      false, 0, "MS", command);
    TCLAP::ValueArg<double> slowdown("", "slowdown", "factor on the length of every task", false, 1,
                                     "FACTOR", command);
    command.parse(argc, argv);

    Executor executor({.record_file = record.getValue(),
                       .statistics_file = statistics.getValue(),
                       .fail_all = fail_all.getValue(),
                       .slowdown = slowdown.getValue()});
    const auto server = restinio::run_async(
        restinio::own_io_context(),
        restinio::server_settings_t<>{}
            .address("127.0.0.1")
            .port(port.getValue())
            .handle_request_timeout(kHandleRequestTimeout)
            .request_handler([&executor](const restinio::request_handle_t& request) {
              executor.Serve(request);
              return restinio::request_accepted();
            }),
        1);
    Announcer announcer(
        agent.getValue(),
        {{"executor_id", id.getValue()},
         {"address", "127.0.0.1:" + std::to_string(announce_port.isSet() ? announce_port.getValue()
                                                                         : port.getValue())},
         {"slots", slots.getValue()},
         {"connections", connections.getValue()},
         {"memory_mb", 65536}});
    const auto announce_at = steady_clock::now() + milliseconds(start_delay.getValue());
    auto next_statistics = steady_clock::now();
    auto next_leave = next_statistics;
    bool left = false;
    while (executor.Tick() > 0 || !left) {
      const auto now = steady_clock::now();
      if (now >= next_statistics) {
        next_statistics = now + kStatisticsPeriod;
        executor.WriteStatistics();
      }
      if (now >= announce_at && stop_requested == 0) announcer.Tick();
      if (stop_requested != 0 && !left && now >= next_leave) {
        next_leave = now + kLeavePeriod;
        left = announcer.Leave();
      }
      std::this_thread::sleep_for(kTick);
    }
    server->stop();
    server->wait();
    executor.WriteStatistics();
    return EXIT_SUCCESS;
  } catch (const TCLAP::ArgException& error) {
    std::cerr << error.error() << '\n';
    return EXIT_FAILURE;
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return EXIT_FAILURE;
  }
}
