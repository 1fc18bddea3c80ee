// Clients that send more than the limits, against dispatchers and supervisors as real processes.
// The checks are independent of the machine's speed: the process lives, its memory and descriptors
// stay under a bound, and an ordinary request is answered afterwards.
#include <criterion/criterion.h>

#include <algorithm>
#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "adapters/http_client.h"
#include "adapters/steady_clock.h"
#include "platform/names.h"
#include "support/child_process.h"
#include "support/deployment.h"
#include "support/leased_deployment.h"
#include "support/leased_plan.h"
#include "support/process_usage.h"
#include "support/resending_caller.h"

namespace {

using zinniamux::testing::ChildProcess;
using zinniamux::testing::Descriptors;
using zinniamux::testing::LeasedDeployment;
using zinniamux::testing::PeakKilobytes;
using zinniamux::testing::WaitFor;

// Lowered, so that a small set of clients exceeds them.
constexpr const char* kLimits =
    "  limits:\n    max_input_bytes: 8388608\n    max_connections: 100\n";
// Peak resident memory. An idle process takes 22 to 24 MiB and the budget is 8 MiB.
constexpr std::size_t kMaxPeakKilobytes = 64U << 10U;
// 100 connections and what the process itself needs.
constexpr std::size_t kMaxDescriptors = 160;

constexpr std::size_t kChunkBytes = 16U << 10U;
constexpr std::size_t kBodyBytes = 900'000;

const std::string kChunkedHead =
    "POST /jobs/1000000000000001 HTTP/1.1\r\nHost: jobs.example\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

std::string Repeated(const std::string& part, std::size_t count) {
  std::string text;
  text.reserve(part.size() * count);
  for (std::size_t i = 0; i < count; ++i) text += part;
  return text;
}

std::string Chunk(std::size_t bytes) {
  constexpr std::size_t kMaxDigits = 16;
  std::string digits(kMaxDigits, '\0');
  const int length = std::snprintf(digits.data(), digits.size(), "%zx", bytes);
  digits.resize(static_cast<std::size_t>(length));
  return digits + "\r\n" + std::string(bytes, 'x') + "\r\n";
}

// Clients that stay connected after they have sent what the server took from them.
class Clients {
 public:
  explicit Clients(std::uint16_t port) : port_(port) {}

  // Each of `count` clients sends the same, one after the other.
  void Send(std::size_t count, const std::string& input) {
    for (std::size_t i = 0; i < count; ++i) {
      asio::error_code error;
      asio::ip::tcp::socket& socket = sockets_.emplace_back(loop_);
      socket.connect({asio::ip::make_address("127.0.0.1"), port_}, error);
      // The server may refuse the rest or close the connection.
      if (!error) asio::write(socket, asio::buffer(input), error);
    }
  }

 private:
  const std::uint16_t port_;
  asio::io_context loop_;
  std::vector<asio::ip::tcp::socket> sockets_;
};

void CheckBounds(ChildProcess& process) {
  cr_assert(process.running());
  const std::size_t peak = PeakKilobytes(process);
  const std::size_t descriptors = Descriptors(process);
  cr_log_info("peak %zu KiB, descriptors %zu", peak, descriptors);
  cr_expect_gt(peak, 0);
  cr_expect_lt(peak, kMaxPeakKilobytes);
  cr_expect_lt(descriptors, kMaxDescriptors);
}

class Fixture {
 public:
  Fixture() : deployment_({.dispatchers = 1, .supervisors = 1, .limits = kLimits}) {}

  using Attack = std::function<void(Clients&)>;

  // Runs the clients against the listener of a dispatcher or a supervisor and checks both.
  void Check(ChildProcess& process, std::uint16_t port, const Attack& attack) {
    Clients clients(port);
    attack(clients);
    CheckListener(port);
    CheckProcess(process);
  }
  void CheckListener(std::uint16_t port) {
    const std::string url = "http://127.0.0.1:" + std::to_string(port) + "/ready";
    cr_expect(WaitFor([&] { return client_.SendAndWait({.url = url}).status != 0; }),
              "the attacked listener answers");
  }
  // The job is for the dispatcher.
  void CheckProcess(ChildProcess& process) {
    cr_expect(WaitFor([this] { return RunJob(); }), "an ordinary job is answered");
    CheckBounds(process);
  }
  // Against the listeners that take bodies.
  void CheckBoth(const Attack& attack) {
    Check(deployment_.dispatcher(0), deployment_.caller_port(0), attack);
    Check(deployment_.supervisor(0), deployment_.local_port(0), attack);
  }

  LeasedDeployment& deployment() { return deployment_; }
  // The status of one request, 0 without an answer.
  int Send(const std::string& method, std::uint16_t port, const std::string& path,
           std::string body) {
    return client_
        .SendAndWait({.method = method,
                      .url = "http://127.0.0.1:" + std::to_string(port) + path,
                      .headers = {{"Host", LeasedDeployment::kHost}},
                      .body = std::move(body),
                      .timeout = std::chrono::seconds(60),
                      .fresh_connection = true})
        .status;
  }

 private:
  bool RunJob() {
    zinniamux::testing::ResendingCaller caller({deployment_.caller_port(0)}, clock_);
    caller.Submit({.id = std::to_string(next_job_++),
                   .at = std::chrono::milliseconds(0),
                   .task_length = std::chrono::milliseconds(10),
                   .tasks = 1,
                   .dispatcher = 0});
    constexpr int kOk = 200;
    return caller.Finish().front().attempts.back().status == kOk;
  }

  zinniamux::adapters::SteadyClock clock_;
  LeasedDeployment deployment_;
  zinniamux::adapters::HttpClient client_;
  std::uint64_t next_job_ = 2'000'000'000'000'000;
};

}  // namespace

TestSuite(input_limits, .timeout = 300);

// Guards against heads that cost many times their bytes: each field has two strings of its own.
Test(input_limits, heads_over_the_limit) {
  constexpr std::size_t kFields = 15'000;
  Fixture().CheckBoth([](Clients& clients) {
    clients.Send(60, "GET / HTTP/1.1\r\n" + Repeated("a:b\r\n", kFields));
  });
}

// Guards against clients that never end a head.
Test(input_limits, endless_heads) {
  const std::string field = "name: " + std::string(1000, 'x') + "\r\n";
  Fixture().CheckBoth([&field](Clients& clients) {
    clients.Send(60, "GET / HTTP/1.1\r\n" + Repeated(field, 1000));
  });
}

// Guards against connections that hold a descriptor with input that is not even a request.
Test(input_limits, empty_lines_without_end) {
  Fixture().CheckBoth([](Clients& clients) { clients.Send(200, Repeated("\r\n", 30'000)); });
}

// Guards against memory that is set aside for bodies that are only announced.
Test(input_limits, announced_bodies_far_over_the_limit) {
  Fixture().CheckBoth([](Clients& clients) {
    clients.Send(60,
                 "POST /jobs/1000000000000001 HTTP/1.1\r\nHost: jobs.example\r\n"
                 "Content-Length: 1073741824\r\n\r\n" +
                     std::string(1U << 20U, 'x'));
  });
}

// Guards against announced bodies that end just short.
Test(input_limits, announced_bodies_that_end_short) {
  Fixture().CheckBoth([](Clients& clients) {
    clients.Send(200,
                 "POST /jobs/1000000000000001 HTTP/1.1\r\nHost: jobs.example\r\nContent-Length: " +
                     std::to_string(kBodyBytes) + "\r\n\r\n" + std::string(kBodyBytes - 1, 'x'));
  });
}

// Guards against bodies over the limit that are just sent.
Test(input_limits, bodies_that_are_sent_without_end) {
  constexpr std::size_t kChunks = 512;
  Fixture().CheckBoth([](Clients& clients) {
    clients.Send(40, kChunkedHead + Repeated(Chunk(kChunkBytes), kChunks));
  });
}

// Guards against a server that keeps a record of each chunk: these bodies cost 17 times their
// bytes.
Test(input_limits, chunks_of_one_byte_that_end_short) {
  Fixture().CheckBoth(
      [](Clients& clients) { clients.Send(12, kChunkedHead + Repeated(Chunk(1), kBodyBytes)); });
}

// Guards against many bodies within the limit that never end.
Test(input_limits, chunks_of_16_kib_that_end_short) {
  Fixture().CheckBoth([](Clients& clients) {
    clients.Send(200, kChunkedHead + Repeated(Chunk(kChunkBytes), kBodyBytes / kChunkBytes));
  });
}

// Guards against listeners without limits of their own.
Test(input_limits, other_listeners) {
  Fixture fixture;
  LeasedDeployment& deployment = fixture.deployment();
  const Fixture::Attack attack = [](Clients& clients) {
    clients.Send(100, kChunkedHead + Repeated(Chunk(kChunkBytes), kBodyBytes / kChunkBytes));
    clients.Send(200, "GET / HTTP/1.1\r\n");
  };
  fixture.Check(deployment.dispatcher(0), deployment.readiness_port(0), attack);
  fixture.Check(deployment.dispatcher(0), deployment.metrics_port(0), attack);
  fixture.Check(deployment.supervisor(0), deployment.supervisor_metrics_port(0), attack);
}

// Guards against links that set aside the announced length of a frame: 4 bytes cost 4 MiB.
Test(input_limits, frames_that_end_short) {
  constexpr std::size_t kFrameBytes = 4U << 20U;
  const std::string header{'\x00', '\x40', '\x00', '\x00'};
  Fixture fixture;
  LeasedDeployment& deployment = fixture.deployment();
  Clients clients(deployment.rpc_port(0));
  clients.Send(60, header);
  clients.Send(40, header + std::string(kFrameBytes - 1, 'x'));
  clients.Send(200, header.substr(0, 1));
  fixture.CheckProcess(deployment.dispatcher(0));
}

// Guards against the same at the demo's roles, which share the parser's callbacks.
Test(input_limits, entry_and_agent) {
  zinniamux::testing::Deployment deployment({.entries = 1, .agents = 1});
  Clients callers(deployment.entry(0).caller_port);
  Clients executors(deployment.agent(0).local_port);
  for (Clients* clients : {&callers, &executors}) {
    clients->Send(12, kChunkedHead + Repeated(Chunk(1), kBodyBytes));
    clients->Send(60, "GET / HTTP/1.1\r\n" + Repeated("a:b\r\n", 15'000));
  }
  cr_expect(WaitFor([&deployment] { return deployment.Ready(0); }));
  CheckBounds(*deployment.entry(0).process);
  CheckBounds(*deployment.agent(0).process);
}

// Guards against limits that ordinary clients meet: the handlers' own answers to bodies of 1 MiB,
// announcements of 4 MiB and heads of 8 KiB.
Test(input_limits, requests_at_the_limits_are_served) {
  constexpr int kBadRequest = 400;
  constexpr int kNotFound = 404;
  constexpr std::size_t kJobBytes = 1U << 20U;
  constexpr std::size_t kAnnouncementBytes = 4U << 20U;
  constexpr std::size_t kHeadBytes = 8000;
  Fixture fixture;
  LeasedDeployment& deployment = fixture.deployment();
  cr_expect_eq(fixture.Send("POST", deployment.caller_port(0), "/jobs/1000000000000001",
                            std::string(kJobBytes, 'x')),
               kBadRequest);
  cr_expect_eq(fixture.Send("PUT", deployment.local_port(0),
                            std::string(zinniamux::platform::kInstancePathPrefix) + "executor-9",
                            std::string(kAnnouncementBytes, 'x')),
               kBadRequest);
  cr_expect_eq(
      fixture.Send("GET", deployment.caller_port(0), "/" + std::string(kHeadBytes, 'p'), ""),
      kNotFound);
}
