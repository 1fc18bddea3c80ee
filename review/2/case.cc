// A dispatcher is cut off for a moment, and its callers' connections are reset meanwhile.
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

constexpr milliseconds kCut{300};
constexpr milliseconds kJobPeriod{250};

void Sleep(milliseconds time) { std::this_thread::sleep_for(time); }

void HandInJobs(const std::vector<std::uint16_t>& ports, const std::atomic<bool>& stop,
                Record& record) {
  std::vector<std::thread> callers;
  for (std::size_t number = 0; !stop; ++number) {
    std::string id = std::to_string(1'000'000'000'000'000 + number);
    callers.emplace_back([&ports, &record, number, id = std::move(id)] {
      HandIn({.id = id, .count = 2, .work_ms = 2500, .deadline = milliseconds(8000)}, ports, number,
             record);
    });
    Sleep(kJobPeriod);
  }
  for (std::thread& each : callers) each.join();
}

int RunCase(bool trouble, const std::string& record_file) {
  Record record(record_file);
  Deployment deployment({.supervisors = 5}, record);
  if (!deployment.WaitUntilReady()) {
    record.Note("the deployment did not become ready");
    std::cerr << "the deployment did not become ready\n";
    return kNotRun;
  }
  const std::vector<std::uint16_t> ports{deployment.caller_port(0), deployment.caller_port(1)};
  std::atomic<bool> stop{false};
  std::thread load([&] { HandInJobs(ports, stop, record); });
  Sleep(milliseconds(6000));
  if (trouble) {
    record.Note("dispatcher 1 is cut off; the connections of its callers are reset");
    deployment.SetCut(0, true);
    deployment.caller_path(0).ResetClients();
    Sleep(kCut);
    deployment.SetCut(0, false);
    record.Note("the cut ends");
  }
  Sleep(milliseconds(5000));
  stop = true;
  load.join();

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
