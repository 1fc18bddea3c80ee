// An executor drains, leaves and starts again under its id, while its last call is held up by a cut
// and arrives after the registration of the new lifetime.
#include <unistd.h>

#include <atomic>
#include <cstdlib>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "../rig/deployment.h"

namespace zinniamux::review {
namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

// The cut between the executor and its supervisor.
constexpr milliseconds kCut{2400};
// Bytes that a cut has held up come with the next retransmission: 200 ms, 600 ms, 1,400 ms and
// 3,000 ms after they were sent.
constexpr milliseconds kArrival{3000};
constexpr milliseconds kJobPeriod{250};

void Sleep(milliseconds time) { std::this_thread::sleep_for(time); }

// Hands in a job each 250 ms until told to stop. All callers have ended when it returns.
void HandInJobs(const std::vector<std::uint16_t>& ports, const std::atomic<bool>& stop,
                Record& record) {
  std::vector<std::thread> callers;
  for (std::size_t number = 0; !stop; ++number) {
    std::string id = std::to_string(1'000'000'000'000'000 + number);
    callers.emplace_back([&ports, &record, number, id = std::move(id)] {
      HandIn({.id = id}, ports, number, record);
    });
    Sleep(kJobPeriod);
  }
  for (std::thread& each : callers) each.join();
}

int RunCase(bool trouble, const std::string& record_file) {
  Record record(record_file);
  Deployment deployment({.supervisors = 6}, record);
  if (!deployment.WaitUntilReady()) {
    record.Note("the deployment did not become ready");
    std::cerr << "the deployment did not become ready\n";
    return kNotRun;
  }
  const std::vector<std::uint16_t> ports{deployment.caller_port(0), deployment.caller_port(1)};
  std::atomic<bool> stop{false};
  std::thread load([&] { HandInJobs(ports, stop, record); });
  Sleep(milliseconds(2000));

  Executor& executor = deployment.executor(0);
  bool acknowledged = executor.Drain();
  // `drain_ms` and a little longer; nothing runs on it any more.
  for (int i = 0; i < 40 && (i < 23 || executor.running() > 0); ++i) Sleep(milliseconds(100));
  const Call leave = executor.LeaveCall();
  const auto left_at = Clock::now();
  record.Note("i-1 sends its DELETE");
  const int connection = ConnectTo(leave.port);
  acknowledged = acknowledged && connection >= 0;
  if (!trouble) {
    WriteAll(connection, Encode(leave));
    record.Note("its DELETE arrives");
  }
  Sleep(milliseconds(50));
  executor.End();
  std::this_thread::sleep_until(left_at + kCut);
  executor.Begin();
  std::this_thread::sleep_until(left_at + kArrival);
  if (trouble) {
    record.Note("its DELETE arrives");
    WriteAll(connection, Encode(leave));
  }
  Sleep(milliseconds(5000));
  stop = true;
  load.join();
  close(connection);

  const bool all_running = deployment.AllRunning();
  const std::vector<Overlap> overlaps = record.Overlaps();
  for (const Overlap& each : overlaps) {
    record.Note("TWICE: task " + each.first.task + ", run " + std::to_string(each.first.run) +
                " on " + each.first.executor + " and run " + std::to_string(each.second.run) +
                " on " + each.second.executor + " for " + std::to_string(each.length.count()) +
                " ms");
  }
  const std::string result = std::to_string(overlaps.size()) + " pairs of runs at a time, " +
                             std::to_string(record.Runs().size()) + " runs";
  record.Note(result);
  std::cout << result << '\n';
  if (!overlaps.empty()) return kBroken;
  return acknowledged && all_running ? kHeld : kNotRun;
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
