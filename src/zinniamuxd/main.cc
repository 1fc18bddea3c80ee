// zinniamuxd: reads its settings, runs one role, and stops gracefully on SIGTERM or SIGINT.
#include <tclap/CmdLine.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "adapters/boot_clock.h"
#include "adapters/http_client.h"
#include "adapters/http_table_store.h"
#include "adapters/json_log.h"
#include "adapters/settings.h"
#include "adapters/steady_clock.h"
#include "zinniamuxd/agent_daemon.h"
#include "zinniamuxd/dispatcher_daemon.h"
#include "zinniamuxd/entry_daemon.h"
#include "zinniamuxd/supervisor_daemon.h"

namespace {

using zinniamux::adapters::JsonLog;
using zinniamux::adapters::LogLevel;

constexpr std::chrono::milliseconds kTimerPeriod{10};
constexpr int kExitUsage = 2;

volatile std::sig_atomic_t stop_requested = 0;

void RequestStop(int /*signal*/) { stop_requested = 1; }

// Runs a role that needs OnTimer called periodically, until a stop is requested.
template <typename Daemon>
int RunWithTimer(Daemon& daemon, JsonLog& log) {
  if (const auto started = daemon.Start(); !started) {
    std::cerr << "zinniamuxd: " << started.error().message << '\n';
    return EXIT_FAILURE;
  }
  log.Write(LogLevel::kInfo, "started", nlohmann::json::object());
  while (stop_requested == 0) {
    std::this_thread::sleep_for(kTimerPeriod);
    daemon.OnTimer();
  }
  log.Write(LogLevel::kInfo, "stopping", nlohmann::json::object());
  daemon.Stop();
  log.Write(LogLevel::kInfo, "stopped", nlohmann::json::object());
  return EXIT_SUCCESS;
}

// Runs a role with its own main loop and signal handling.
template <typename Daemon>
int RunUntilStopped(Daemon&& daemon) {
  if (const auto ended = daemon.Run(); !ended) {
    std::cerr << "zinniamuxd: " << ended.error().message << '\n';
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}

int RunRole(const zinniamux::adapters::Settings& settings, const std::string& settings_file) {
  const zinniamux::adapters::SteadyClock clock;
  const zinniamux::adapters::BootClock boot_clock;
  JsonLog log(zinniamux::adapters::LogOptions(settings));
  if (settings.dispatcher) {
    return RunUntilStopped(
        zinniamux::daemon::DispatcherDaemon(*settings.dispatcher, settings_file, boot_clock, log));
  }
  if (settings.supervisor) {
    return RunUntilStopped(zinniamux::daemon::SupervisorDaemon(*settings.supervisor, settings_file,
                                                               boot_clock, clock, log));
  }
  if (settings.entry) {
    zinniamux::daemon::EntryDaemon daemon(*settings.entry, clock, log);
    return RunWithTimer(daemon, log);
  }
  zinniamux::adapters::HttpClient store_client;
  zinniamux::adapters::HttpTableStore store({.url = settings.agent->store_url}, store_client,
                                            clock);
  zinniamux::daemon::AgentDaemon daemon(*settings.agent, clock, log,
                                        settings.agent->store_url.empty() ? nullptr : &store);
  return RunWithTimer(daemon, log);
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGTERM, RequestStop);
  std::signal(SIGINT, RequestStop);
  std::signal(SIGPIPE, SIG_IGN);
  try {
    TCLAP::CmdLine command("zinniamux daemon", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> settings_file("s", "settings", "settings file (YAML)", true, "",
                                               "FILE", command);
    // By default, TCLAP would exit the process with code 1 on an error.
    command.setExceptionHandling(false);
    command.parse(argc, argv);
    const auto settings = zinniamux::adapters::LoadSettings(settings_file.getValue());
    if (!settings) {
      std::cerr << "zinniamuxd: " << settings.error().message << '\n';
      return kExitUsage;
    }
    return RunRole(*settings, settings_file.getValue());
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "zinniamuxd: " << error.error() << ' ' << error.argId()
              << "\nTry: zinniamuxd --help\n";
    return kExitUsage;
  } catch (const std::exception& error) {
    std::cerr << "zinniamuxd: " << error.what() << '\n';
    return EXIT_FAILURE;
  }
}
