// A process that a test starts, signals and waits for.
#ifndef ZINNIAMUX_TESTS_SUPPORT_CHILD_PROCESS_H_
#define ZINNIAMUX_TESTS_SUPPORT_CHILD_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace zinniamux::testing {

// One child process. Killed on destruction, if it still runs.
class ChildProcess {
 public:
  // Starts `arguments[0]`; its output goes to the end of `output_file`.
  ChildProcess(const std::vector<std::string>& arguments, const std::string& output_file);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t id() const { return id_; }
  void Signal(int signal) const;
  // Sends SIGKILL and waits for the end.
  void Kill();
  // The exit code, 128 + the signal's number, or nothing if the process still runs.
  std::optional<int> Wait(std::chrono::milliseconds timeout);
  bool running() { return !Wait(std::chrono::milliseconds(0)).has_value(); }

 private:
  pid_t id_ = -1;
  // Set once the process has ended and was waited for.
  std::optional<int> exit_code_;
};

}  // namespace zinniamux::testing

#endif  // ZINNIAMUX_TESTS_SUPPORT_CHILD_PROCESS_H_
