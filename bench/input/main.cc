// Requests per second through a dispatcher's caller listener, of two versions of zinniamuxd in one
// run. Rounds alternate, so that other load of the machine meets both.
// Usage: input_bench BEFORE AFTER [ROUNDS] [SECONDS]   (BEFORE and AFTER are paths of zinniamuxd)
#include <asio.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "load/process_usage.h"
#include "support/leased_deployment.h"

namespace {

using Clock = std::chrono::steady_clock;
using zinniamux::testing::LeasedDeployment;

constexpr std::size_t kConnections = 16;
// An ordinary job in size. It is refused without a lookup of executors, so that the share of the
// listener in the cost is large.
constexpr std::size_t kBodyBytes = 2000;

// Sends a request whenever the last one is answered.
class Client : public std::enable_shared_from_this<Client> {
 public:
  Client(asio::io_context& loop, std::uint16_t port, std::size_t& answers)
      : socket_(loop), answers_(answers) {
    socket_.connect({asio::ip::make_address("127.0.0.1"), port});
    socket_.set_option(asio::ip::tcp::no_delay(true));
    request_ = std::string("POST /jobs/0 HTTP/1.1\r\nHost: ") + LeasedDeployment::kHost +
               "\r\nContent-Type: application/json\r\nX-Request: 1\r\nContent-Length: " +
               std::to_string(kBodyBytes) + "\r\n\r\n" + std::string(kBodyBytes, 'x');
  }

  void Send() {
    asio::async_write(socket_, asio::buffer(request_),
                      [self = shared_from_this()](const asio::error_code& error, std::size_t) {
                        if (!error) self->Receive();
                      });
  }

 private:
  void Receive() {
    socket_.async_read_some(
        asio::buffer(answer_),
        [self = shared_from_this()](const asio::error_code& error, std::size_t length) {
          if (error) return;
          // Answers are short and arrive whole; a part of one is not counted.
          const std::string_view text(self->answer_.data(), length);
          if (!text.starts_with("HTTP/1.1 400")) return self->Receive();
          ++self->answers_;
          self->Send();
        });
  }

  asio::ip::tcp::socket socket_;
  std::size_t& answers_;
  std::string request_;
  std::vector<char> answer_ = std::vector<char>(4096);
};

struct Result {
  double requests_per_second = 0;
  double processor_us_per_request = 0;
};

Result Measure(const std::string& daemon, std::chrono::seconds length) {
  LeasedDeployment deployment({.dispatchers = 1, .supervisors = 1, .daemon = daemon});
  asio::io_context loop;
  std::size_t answers = 0;
  for (std::size_t i = 0; i < kConnections; ++i) {
    std::make_shared<Client>(loop, deployment.caller_port(0), answers)->Send();
  }
  const pid_t process = deployment.dispatcher(0).id();
  const auto used = zinniamux::bench::UsageOf(process).processor_time;
  const Clock::time_point start = Clock::now();
  loop.run_for(length);
  const std::chrono::duration<double> elapsed = Clock::now() - start;
  const auto cost = zinniamux::bench::UsageOf(process).processor_time - used;
  constexpr double kMicroseconds = 1e6;
  const auto count = static_cast<double>(answers);
  return {.requests_per_second = count / elapsed.count(),
          .processor_us_per_request = cost.count() * kMicroseconds / count};
}

}  // namespace

int main(int argc, char** argv) {
  const std::span<char*> arguments(argv, static_cast<std::size_t>(argc));
  if (arguments.size() < 3) {
    std::fputs("usage: input_bench BEFORE AFTER [ROUNDS] [SECONDS]\n", stderr);
    return 2;
  }
  const int rounds = arguments.size() > 3 ? std::atoi(arguments[3]) : 5;
  const std::chrono::seconds length(arguments.size() > 4 ? std::atoi(arguments[4]) : 3);
  try {
    for (int round = 0; round < rounds; ++round) {
      for (const std::size_t which : {1U, 2U}) {
        const Result result = Measure(arguments[which], length);
        std::printf(
            "{\"round\":%d,\"daemon\":\"%s\",\"requests_per_s\":%.0f,"
            "\"processor_us_per_request\":%.2f}\n",
            round, which == 1 ? "before" : "after", result.requests_per_second,
            result.processor_us_per_request);
        std::fflush(stdout);
      }
    }
  } catch (const std::exception& error) {
    std::fprintf(stderr, "input_bench: %s\n", error.what());
    return 1;
  }
  return 0;
}
