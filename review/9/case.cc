// A machine is added while a job runs, and the platform forwards the caller's next channel, on
// which it cancels the job, to the new machine.
#include "../rig-2/rig.h"

namespace {

using rig::Deployment;
using rig::json;
using rig::Ms;

// Bounds of the site file.
constexpr Ms kCancel = 3000;
constexpr Ms kStop = 50;
constexpr Ms kStableWindow = 3000;

// A chain of steps of one task each.
std::string ChainBody(int steps, Ms work) {
  json list = json::array();
  for (int i = 0; i < steps; ++i) {
    json step{{"count", 1}, {"cpu", 1000}, {"mem_mb", 64}, {"estimate_ms", work}};
    if (i > 0) step["after"] = json::array({i - 1});
    list.push_back(std::move(step));
  }
  return json{{"spec", "work " + std::to_string(work) + " cpu 1000"},
              {"best_effort", true},
              {"steps", list}}
      .dump();
}

bool Run(rig::Record& record) {
  constexpr Ms kDeadline = 20'000;
  Deployment deployment({.fronts = 2, .fronts_added_later = 1, .sides = 2, .timeout_ms = kDeadline},
                        record);
  if (!deployment.WaitUntilReady(20'000)) throw rig::CannotRun{"the deployment is not ready"};
  rig::SleepMs(4000);
  const rig::Machine& first = deployment.fronts()[0];
  const rig::Machine& second = deployment.fronts()[1];
  const std::string id = rig::NewJobId();
  const std::string path = Deployment::kPrefix + id;
  rig::Channel caller(first.ip, Deployment::kFrontPort);
  record.Write("caller POST " + id + " at the first dispatcher, 24 tasks of 600 ms in turn");
  caller.Send("POST", path, Deployment::kHost, ChainBody(24, 600), kDeadline);
  if (!rig::WaitFor(1000, [&] { return !deployment.runs().All().empty(); })) {
    throw rig::CannotRun{"the task did not start"};
  }
  if (rig::HasTrouble()) {
    second.node->Start();
    if (!deployment.WaitUntilReady(3000)) throw rig::CannotRun{"the added machine is not ready"};
  }
  // The added machine is in touch.
  rig::SleepMs(kStableWindow + 1000);
  const rig::Machine& other = rig::HasTrouble() ? second : first;
  const auto cancel =
      rig::Call(other.ip, Deployment::kFrontPort, "DELETE", path, Deployment::kHost, "", 1000);
  const Ms cancelled_at = rig::NowMs();
  record.Write(std::string("caller DELETE ") + id + " at the " +
               (rig::HasTrouble() ? "second" : "first") + " dispatcher -> " +
               std::to_string(cancel.status) + " " + cancel.body);
  if (cancel.status / 100 != 2 && cancel.status != 410) {
    throw rig::CannotRun{"the cancel was not acknowledged"};
  }
  const auto answer = caller.Receive(kDeadline);
  record.Write("caller answer " + id + " " + std::to_string(answer.status) + " " + answer.body);
  bool held = true;
  for (const rig::RunEntry& run : deployment.runs().All()) {
    const Ms end = run.ended < 0 ? rig::NowMs() : run.ended;
    if (run.started <= cancelled_at + kCancel && end <= cancelled_at + kCancel + kStop) continue;
    held = false;
    record.Write("check  UNASKED: " + run.task + " ran from " +
                 std::to_string(run.started - cancelled_at) + " to " +
                 std::to_string(end - cancelled_at) + " ms after the ack of the cancelling");
  }
  return held;
}

}  // namespace

int main(int /*count*/, char** arguments) { return rig::RunCase(arguments[1], Run); }
