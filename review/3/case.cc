// An unhealthy executor fails what it starts and resets the channels of the starts.
#include <cstdlib>
#include <iostream>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "../rig/deployment.h"

namespace zinniamux::review {
namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;
constexpr std::size_t kJobs = 12;
constexpr milliseconds kJobPeriod{400};

int RunCase(bool trouble, const std::string& record_file) {
  Record record(record_file);
  Deployment deployment({.supervisors = 10}, record);
  if (!deployment.WaitUntilReady()) {
    record.Note("the deployment did not become ready");
    std::cerr << "the deployment did not become ready\n";
    return kNotRun;
  }
  std::this_thread::sleep_for(milliseconds(3000));
  if (trouble) {
    record.Note("i-1 is unhealthy from now on");
    deployment.executor(0).set_unhealthy(true);
  }
  std::set<std::string> rejected;
  for (std::size_t number = 0; number < kJobs; ++number) {
    const Job job{.id = std::to_string(1'000'000'000'000'000 + number), .count = 1, .work_ms = 200};
    // One attempt: a rejected job is not handed in again.
    const int status =
        HandIn(job, {deployment.caller_port(number % 2)}, 0, record, 1, milliseconds(0));
    if (status == kTooManyRequests || status == kServiceUnavailable) rejected.insert(job.id);
    std::this_thread::sleep_for(kJobPeriod);
  }

  const bool all_running = deployment.AllRunning();
  std::set<std::string> started;
  for (const RunRecord& run : record.Runs()) {
    const std::string job = run.task.substr(0, run.task.find('.'));
    if (rejected.contains(job)) started.insert(job);
  }
  for (const std::string& job : started) {
    record.Note("REFUSED: job " + job + " was rejected, and its task was started");
  }
  const std::string result = std::to_string(rejected.size()) + " of " + std::to_string(kJobs) +
                             " jobs rejected, tasks started of " + std::to_string(started.size()) +
                             " of them; " + std::to_string(record.Runs().size()) + " runs";
  record.Note(result);
  std::cout << result << '\n';
  if (!started.empty()) return kBroken;
  return all_running ? kHeld : kNotRun;
}

}  // namespace
}  // namespace zinniamux::review

int main(int argc, char** argv) {
  const char* trouble = std::getenv("TROUBLE");
  try {
    return zinniamux::review::RunCase(trouble == nullptr || std::string(trouble) != "0",
                                      argc > 1 ? argv[1] : "record.txt");
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
}
