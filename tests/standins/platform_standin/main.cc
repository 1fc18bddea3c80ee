// A stand-in for the platform's transactional table service and object store, in memory.
// See platform_service.h for its interface.
#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>
#include <thread>

#include "adapters/http_server.h"
#include "standins/platform_standin/platform_service.h"

namespace {

constexpr std::chrono::milliseconds kStopPollPeriod{20};

volatile std::sig_atomic_t stop_requested = 0;

void RequestStop(int /*signal*/) { stop_requested = 1; }

}  // namespace

int main(int argc, char** argv) {
  using zinniamux::adapters::HttpRequest;
  using zinniamux::adapters::HttpResponder;
  using zinniamux::adapters::HttpServer;
  std::signal(SIGTERM, RequestStop);
  std::signal(SIGINT, RequestStop);
  try {
    TCLAP::CmdLine command("stand-in for the platform's table service and object store", ' ',
                           "0.1.0");
    TCLAP::ValueArg<std::uint16_t> port("", "port", "port to listen on", true, 0, "PORT", command);
    TCLAP::ValueArg<int> write_delay("", "write-delay-ms", "time that each write takes", false, 0,
                                     "MS", command);
    TCLAP::ValueArg<std::uint32_t> write_rate("", "writes-per-second", "0: no limit", false, 0, "N",
                                              command);
    command.parse(argc, argv);

    zinniamux::standins::PlatformService service(
        {.write_delay = std::chrono::milliseconds(write_delay.getValue()),
         .writes_per_second = write_rate.getValue()});
    auto server = HttpServer::Start({.port = port.getValue()},
                                    [&](HttpRequest request, HttpResponder respond) {
                                      service.Handle(std::move(request), std::move(respond));
                                    });
    if (!server) {
      std::cerr << server.error().message << '\n';
      return EXIT_FAILURE;
    }
    while (stop_requested == 0) std::this_thread::sleep_for(kStopPollPeriod);
    return EXIT_SUCCESS;
  } catch (const TCLAP::ArgException& error) {
    std::cerr << error.error() << '\n';
    return EXIT_FAILURE;
  }
}
