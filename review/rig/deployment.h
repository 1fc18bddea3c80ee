// A small deployment: the project's programs as processes, with stand-ins around them.
#ifndef ZINNIAMUX_REVIEW_RIG_DEPLOYMENT_H_
#define ZINNIAMUX_REVIEW_RIG_DEPLOYMENT_H_

#include <sys/types.h>

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "cut_proxy.h"
#include "http.h"
#include "platform.h"
#include "record.h"

namespace zinniamux::review {

// A program that this process has started.
class Child {
 public:
  Child(std::vector<std::string> command, const std::filesystem::path& output);
  // Kills it if it runs.
  ~Child();
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  void Signal(int signal) const;
  // False once it has ended.
  bool IsRunning();

 private:
  pid_t pid_ = -1;
};

// Dispatchers in front of supervisors with one executor each. Settings are the templates of the
// deploy file, filled in.
class Deployment {
 public:
  struct Options {
    std::size_t dispatchers = 2;
    std::size_t supervisors = 3;
  };
  static constexpr const char* kHost = "jobs.example";
  static constexpr const char* kPrefix = "/jobs/";
  static constexpr const char* kService = "workers";

  Deployment(const Options& options, Record& record);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  // Whether every dispatcher sees every executor, within 20 s.
  bool WaitUntilReady();
  // Of the proxy between callers and the dispatcher.
  std::uint16_t caller_port(std::size_t dispatcher) const {
    return dispatchers_[dispatcher].caller_proxy_port;
  }
  // Cuts the dispatcher off from callers, supervisors and the store, or ends that.
  void SetCut(std::size_t dispatcher, bool cut);
  CutProxy& caller_path(std::size_t dispatcher) { return *dispatchers_[dispatcher].caller_proxy; }
  Child& dispatcher(std::size_t index) { return *dispatchers_[index].process; }
  Child& supervisor(std::size_t index) { return *supervisors_[index].process; }
  Executor& executor(std::size_t index) { return *supervisors_[index].executor; }
  // Whether all processes run.
  bool AllRunning();

 private:
  struct Dispatcher {
    std::uint16_t caller = 0;
    std::uint16_t readiness = 0;
    std::uint16_t rpc = 0;
    std::uint16_t metrics = 0;
    std::uint16_t caller_proxy_port = 0;
    std::unique_ptr<CutProxy> caller_proxy;
    std::unique_ptr<CutProxy> rpc_proxy;
    std::unique_ptr<CutProxy> store_proxy;
    std::unique_ptr<Child> process;
  };
  struct Supervisor {
    std::uint16_t control = 0;
    std::uint16_t metrics = 0;
    std::uint16_t app = 0;
    std::unique_ptr<Child> process;
    std::unique_ptr<Executor> executor;
  };

  // Writes the settings and starts the program.
  std::unique_ptr<Child> StartProgram(const std::string& id, const std::string& settings_template,
                                      const std::map<std::string, std::string>& fields);

  std::filesystem::path directory_;
  std::unique_ptr<Store> store_;
  std::vector<Dispatcher> dispatchers_;
  std::vector<Supervisor> supervisors_;
};

// One job that a client hands in.
struct Job {
  std::string id;
  std::uint32_t count = 4;
  std::int64_t cpu_milli = 3100;
  std::int64_t memory_mb = 64;
  std::int64_t work_ms = 900;
  milliseconds deadline{1500};
  // Equal steps, each after the one before.
  std::uint32_t steps = 1;
};

// The call that hands it in.
Call SubmitCall(const Job& job, std::uint16_t port);

// Hands a job in and, as PROTOCOL says, once more to the next port `retransmit` after an attempt
// without an answer, a broken connection, 502 or 504. Returns the last status, 0 for none.
int HandIn(const Job& job, const std::vector<std::uint16_t>& ports, std::size_t first,
           Record& record, int attempts = 3, milliseconds retransmit = milliseconds(1300));

}  // namespace zinniamux::review

#endif  // ZINNIAMUX_REVIEW_RIG_DEPLOYMENT_H_
