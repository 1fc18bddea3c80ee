// Start, signals and end of child processes.
#include "support/child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>
#include <thread>

namespace zinniamux::testing {
namespace {

constexpr std::chrono::milliseconds kPollPeriod{5};
constexpr int kSignalExitBase = 128;
constexpr mode_t kLogFileMode = 0644;

}  // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& arguments,
                           const std::string& output_file) {
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (const std::string& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output_file.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kLogFileMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int result = posix_spawn(&id_, argv[0], &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (result != 0) throw std::runtime_error("cannot start " + arguments[0]);
}

ChildProcess::~ChildProcess() { Kill(); }

void ChildProcess::Signal(int signal) const {
  if (!exit_code_) kill(id_, signal);
}

void ChildProcess::Kill() {
  Signal(SIGKILL);
  while (!Wait(std::chrono::seconds(1))) {
  }
}

std::optional<int> ChildProcess::Wait(std::chrono::milliseconds timeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (!exit_code_) {
    int status = 0;
    if (waitpid(id_, &status, WNOHANG) == id_) {
      exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : kSignalExitBase + WTERMSIG(status);
      break;
    }
    if (std::chrono::steady_clock::now() >= end) return std::nullopt;
    std::this_thread::sleep_for(kPollPeriod);
  }
  return exit_code_;
}

}  // namespace zinniamux::testing
