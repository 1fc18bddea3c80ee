// Injection and healing of each fault.
#include "support/fault.h"

#include <csignal>
#include <string>
#include <vector>

namespace zinniamux::testing {
namespace {

constexpr std::chrono::milliseconds kStopLimit{30'000};
constexpr std::chrono::milliseconds kLinkDelay{50};

std::size_t Draw(std::mt19937_64& random, std::size_t count) {
  return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

// Restarts every process that has ended, with an empty memory.
void RestartEnded(Deployment& deployment) {
  for (std::size_t index = 0; index < deployment.entry_count(); ++index) {
    auto& process = deployment.entry(index).process;
    if (process == nullptr || !process->running()) deployment.StartEntry(index);
  }
  for (std::size_t index = 0; index < deployment.agent_count(); ++index) {
    Deployment::Agent& agent = deployment.agent(index);
    if (agent.process == nullptr || !agent.process->running()) deployment.StartAgent(index);
    if (agent.executor == nullptr || !agent.executor->running()) deployment.StartExecutor(index);
  }
}

void ContinueAll(Deployment& deployment) {
  for (std::size_t index = 0; index < deployment.entry_count(); ++index) {
    if (auto& process = deployment.entry(index).process) process->Signal(SIGCONT);
  }
  for (std::size_t index = 0; index < deployment.agent_count(); ++index) {
    if (auto& process = deployment.agent(index).process) process->Signal(SIGCONT);
  }
}

void HealLinks(Deployment& deployment) {
  for (std::size_t index = 0; index < deployment.entry_count(); ++index) {
    FaultProxy& proxy = *deployment.entry(index).rpc_proxy;
    proxy.SetBlackhole(false);
    proxy.SetRefuse(false);
    proxy.SetDelay(std::chrono::microseconds(0));
  }
}

ChildProcess& OwnerProcess(Deployment& deployment) {
  return *deployment.entry(deployment.Owner().value_or(0)).process;
}

FaultProxy& DrawEntryLink(Deployment& deployment, std::mt19937_64& random) {
  return *deployment.entry(Draw(random, deployment.entry_count())).rpc_proxy;
}

ChildProcess& DrawAgent(Deployment& deployment, std::mt19937_64& random) {
  return *deployment.agent(Draw(random, deployment.agent_count())).process;
}

Fault PlatformFault(std::string_view name, std::string body) {
  return {.name = name,
          .inject = [body = std::move(body)](
                        Deployment& deployment,
                        std::mt19937_64& /*random*/) { deployment.SetPlatformFault(body); },
          .heal = [](Deployment& deployment) { deployment.SetPlatformFault(R"({"mode":"ok"})"); }};
}

std::vector<Fault> MakeFaults() {
  std::vector<Fault> faults;
  faults.push_back(
      {.name = "none", .planned = true, .inject = [](auto&, auto&) {}, .heal = [](auto&) {}});
  faults.push_back(
      {.name = "kill_owner",
       .inject = [](Deployment& deployment, auto& /*random*/) { OwnerProcess(deployment).Kill(); },
       .heal = RestartEnded});
  faults.push_back({.name = "kill_standby",
                    .inject =
                        [](Deployment& deployment, auto& /*random*/) {
                          const std::size_t owner = deployment.Owner().value_or(0);
                          const std::size_t standby = (owner + 1) % deployment.entry_count();
                          deployment.entry(standby).process->Kill();
                        },
                    .heal = RestartEnded});
  faults.push_back({.name = "kill_agent",
                    .inject = [](Deployment& deployment,
                                 std::mt19937_64& random) { DrawAgent(deployment, random).Kill(); },
                    .heal = RestartEnded});
  faults.push_back({.name = "kill_executor",
                    .inject =
                        [](Deployment& deployment, std::mt19937_64& random) {
                          deployment.agent(Draw(random, deployment.agent_count())).executor->Kill();
                        },
                    .heal = RestartEnded});
  faults.push_back({.name = "pause_owner",
                    .inject = [](Deployment& deployment,
                                 auto& /*random*/) { OwnerProcess(deployment).Signal(SIGSTOP); },
                    .heal = ContinueAll});
  faults.push_back(
      {.name = "pause_agent",
       .inject = [](Deployment& deployment,
                    std::mt19937_64& random) { DrawAgent(deployment, random).Signal(SIGSTOP); },
       .heal = ContinueAll});
  faults.push_back({.name = "silent_connections",
                    .inject =
                        [](Deployment& deployment, std::mt19937_64& random) {
                          DrawEntryLink(deployment, random).SilenceOpenConnections();
                        },
                    .heal = [](auto&) {}});
  faults.push_back({.name = "cut_entry",
                    .inject =
                        [](Deployment& deployment, std::mt19937_64& random) {
                          DrawEntryLink(deployment, random).SetBlackhole(true);
                        },
                    .heal = HealLinks});
  faults.push_back({.name = "reset_connections",
                    .inject =
                        [](Deployment& deployment, std::mt19937_64& random) {
                          DrawEntryLink(deployment, random).ResetOpenConnections();
                        },
                    .heal = [](auto&) {}});
  faults.push_back({.name = "delay",
                    .inject =
                        [](Deployment& deployment, std::mt19937_64& random) {
                          DrawEntryLink(deployment, random).SetDelay(kLinkDelay);
                        },
                    .heal = HealLinks});
  faults.push_back(PlatformFault("store_down", R"({"mode":"down"})"));
  faults.push_back(PlatformFault("store_slow", R"({"mode":"slow","delay_ms":1500})"));
  faults.push_back(PlatformFault("store_loses_answers", R"({"mode":"lose_answers","every":2})"));
  faults.push_back({.name = "stop_owner",
                    .planned = true,
                    .inject =
                        [](Deployment& deployment, auto& /*random*/) {
                          ChildProcess& owner = OwnerProcess(deployment);
                          owner.Signal(SIGTERM);
                        },
                    .heal =
                        [](Deployment& deployment) {
                          for (std::size_t index = 0; index < deployment.entry_count(); ++index) {
                            auto& process = deployment.entry(index).process;
                            if (process->running() && !deployment.Ready(index)) {
                              process->Wait(kStopLimit);
                            }
                          }
                          RestartEnded(deployment);
                        }});
  faults.push_back(
      {.name = "stop_agent",
       .planned = true,
       .inject = [](Deployment& deployment,
                    std::mt19937_64& random) { DrawAgent(deployment, random).Signal(SIGTERM); },
       .heal = RestartEnded});
  faults.push_back({.name = "stop_standby",
                    .planned = true,
                    .drawn = false,
                    .inject =
                        [](Deployment& deployment, auto& /*random*/) {
                          const std::size_t owner = deployment.Owner().value_or(0);
                          const std::size_t standby = (owner + 1) % deployment.entry_count();
                          deployment.entry(standby).process->Signal(SIGTERM);
                        },
                    .heal = RestartEnded});
  faults.push_back({.name = "stop_executor",
                    .planned = true,
                    .drawn = false,
                    .inject =
                        [](Deployment& deployment, std::mt19937_64& random) {
                          const std::size_t index = Draw(random, deployment.agent_count());
                          deployment.agent(index).executor->Signal(SIGTERM);
                        },
                    .heal = RestartEnded});
  return faults;
}

}  // namespace

std::span<const Fault> AllFaults() {
  static const std::vector<Fault> faults = MakeFaults();
  return faults;
}

const Fault* FaultByName(std::string_view name) {
  for (const Fault& fault : AllFaults()) {
    if (fault.name == name) return &fault;
  }
  return nullptr;
}

}  // namespace zinniamux::testing
