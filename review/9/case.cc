// A caller that the users do not control hands in a job of very many tasks, within all limits on
// bytes, and sends it again when its channel breaks.
#include <csignal>

#include "../rig-2/rig.h"

namespace {

using rig::Deployment;
using rig::json;
using rig::Ms;

// limits.memory_mb of a front machine.
constexpr double kMemoryMb = 260;
constexpr Ms kRetransmit = 1300;

std::string WideBody(int steps, int count) {
  json list = json::array();
  for (int i = 0; i < steps; ++i) {
    list.push_back({{"count", count}, {"cpu", 1000}, {"mem_mb", 64}, {"estimate_ms", 60}});
  }
  return json{{"spec", "work 60 cpu 1000"}, {"best_effort", true}, {"steps", list}}.dump();
}

bool Run(rig::Record& record) {
  Deployment deployment({.fronts = 2, .sides = 2}, record);
  if (!deployment.WaitUntilReady(20'000)) throw rig::CannotRun{"the deployment is not ready"};
  rig::SleepMs(1000);
  // The platform: kills a process over its memory, and starts it again after a short delay.
  std::atomic<bool> finished = false;
  std::vector<int> ends(deployment.fronts().size(), 0);
  std::vector<double> peaks(deployment.fronts().size(), 0);
  // Processes are started by the main thread only.
  const auto watch = [&] {
    for (std::size_t i = 0; i < deployment.fronts().size(); ++i) {
      rig::Node& node = *deployment.fronts()[i].node;
      const double memory = node.MemoryMb();
      peaks[i] = std::max(peaks[i], memory);
      if (memory > kMemoryMb) {
        record.Write("node   " + std::to_string(i + 1) + " takes " + std::to_string(memory) +
                     " MB of " + std::to_string(kMemoryMb));
        node.Signal(SIGKILL);
        rig::WaitFor(2000, [&] { return node.HasEnded(); });
      }
      if (!node.HasEnded()) continue;
      ++ends[i];
      rig::SleepMs(500);
      node.Start();
    }
  };
  const std::string body = rig::HasTrouble() ? WideBody(300, 10'000) : WideBody(1, 8);
  const std::string id = rig::NewJobId();
  record.Write("caller POST " + id + ", body of " + std::to_string(body.size()) + " bytes");
  std::thread caller([&] {
    for (int attempt = 0; attempt < 8 && !finished; ++attempt) {
      const rig::Machine& front = deployment.fronts()[attempt % deployment.fronts().size()];
      const auto answer = rig::Call(front.ip, Deployment::kFrontPort, "POST",
                                    Deployment::kPrefix + id, Deployment::kHost, body, 6000, 1500);
      record.Write("caller answer of " + std::to_string(attempt % deployment.fronts().size() + 1) +
                   ": " + std::to_string(answer.status) + " " + answer.body);
      if (answer.status != 0 && answer.status != 502 && answer.status != 504) break;
      rig::SleepMs(kRetransmit + 700);
    }
    finished = true;
  });
  while (!finished) {
    watch();
    rig::SleepMs(2);
  }
  caller.join();
  for (std::size_t i = 0; i < ends.size(); ++i) {
    record.Write("check  dispatcher " + std::to_string(i + 1) + " ended " +
                 std::to_string(ends[i]) + " times, most memory " + std::to_string(peaks[i]) +
                 " MB");
  }
  // On two machines, three times each.
  int ended_often = 0;
  for (const int count : ends) ended_often += count >= 3 ? 1 : 0;
  return ended_often < 2;
}

}  // namespace

int main(int /*count*/, char** arguments) { return rig::RunCase(arguments[1], Run); }
