// A stand-in for an executor: announces itself to its agent and runs tasks of given lengths.
//
// The payload of a task names its length in milliseconds ("120"), or "fail" to answer with status
// 500. Every start is appended to the record file as one line "SUBMISSION_ID INDEX".
#include <tclap/CmdLine.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "adapters/http_client.h"
#include "adapters/http_server.h"

namespace {

using zinniamux::adapters::HttpClient;
using zinniamux::adapters::HttpRequest;
using zinniamux::adapters::HttpResponder;
using zinniamux::adapters::HttpServer;

constexpr std::chrono::milliseconds kAnnouncePeriod{500};
constexpr std::chrono::milliseconds kTick{1};

volatile std::sig_atomic_t stop_requested = 0;

void RequestStop(int /*signal*/) { stop_requested = 1; }

// Runs tasks by answering each after its length.
class Executor {
 public:
  explicit Executor(const std::string& record_file) : record_(record_file, std::ios::app) {}

  void Serve(const HttpRequest& request, const HttpResponder& respond) {
    const std::string id = zinniamux::adapters::HeaderValue(request.headers, "X-Submission-Id");
    const std::string index = zinniamux::adapters::HeaderValue(request.headers, "X-Task-Index");
    const std::lock_guard lock(mutex_);
    record_ << id << ' ' << index << std::endl;
    if (request.body == "fail") {
      respond({.status = 500, .body = "failed\n"});
      return;
    }
    const auto length = std::chrono::milliseconds(std::strtoul(request.body.c_str(), nullptr, 10));
    running_.emplace(std::chrono::steady_clock::now() + length, [respond, id, index] {
      respond({.status = 200, .body = "done " + id + "/" + index, .content_type = "text/plain"});
    });
  }

  void Tick() {
    const std::lock_guard lock(mutex_);
    const auto now = std::chrono::steady_clock::now();
    while (!running_.empty() && running_.begin()->first <= now) {
      running_.begin()->second();
      running_.erase(running_.begin());
    }
  }

 private:
  std::mutex mutex_;
  // Guarded by mutex_.
  std::ofstream record_;
  std::multimap<std::chrono::steady_clock::time_point, std::function<void()>> running_;
};

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGTERM, RequestStop);
  std::signal(SIGINT, RequestStop);
  try {
    TCLAP::CmdLine command("stand-in executor", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> id("", "id", "executor id", true, "", "ID", command);
    TCLAP::ValueArg<std::uint16_t> port("", "port", "port to listen on", true, 0, "PORT", command);
    TCLAP::ValueArg<std::string> agent("", "agent", "agent's host:port", true, "", "ADDRESS",
                                       command);
    TCLAP::ValueArg<std::string> record("", "record", "file of starts", true, "", "FILE", command);
    TCLAP::ValueArg<int> slots("", "slots", "slots", false, 8, "N", command);
    command.parse(argc, argv);

    Executor executor(record.getValue());
    auto server = HttpServer::Start({.port = port.getValue()},
                                    [&](const HttpRequest& request, const HttpResponder& respond) {
                                      executor.Serve(request, respond);
                                    });
    if (!server) {
      std::cerr << server.error().message << '\n';
      return EXIT_FAILURE;
    }
    HttpClient client;
    const std::string announcement =
        R"({"executor_id":")" + id.getValue() + R"(","address":"127.0.0.1:)" +
        std::to_string(port.getValue()) + R"(","slots":)" + std::to_string(slots.getValue()) +
        R"(,"connections":64,"memory_mb":65536})";
    auto next_announce = std::chrono::steady_clock::now();
    while (stop_requested == 0) {
      executor.Tick();
      if (std::chrono::steady_clock::now() >= next_announce) {
        next_announce += kAnnouncePeriod;
        client.Send({.method = "POST",
                     .url = "http://" + agent.getValue() + "/v1/announce",
                     .body = announcement},
                    [](const auto&) {});
      }
      std::this_thread::sleep_for(kTick);
    }
    return EXIT_SUCCESS;
  } catch (const TCLAP::ArgException& error) {
    std::cerr << error.error() << '\n';
    return EXIT_FAILURE;
  }
}
