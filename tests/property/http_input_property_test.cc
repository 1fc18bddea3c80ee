// The head reader, the reader of frames and the codecs of dispatchers and supervisors: no cut or
// damage of their input ends the process, and cuts of valid input change nothing.
#include <algorithm>
#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "adapters/input_guard.h"
#include "adapters/json_log.h"
#include "adapters/loop_http_server.h"
#include "adapters/metrics.h"
#include "core/clock.h"
#include "link/frame_connection.h"
#include "platform/configuration_codec.h"
#include "platform/executor_codec.h"
#include "platform/job_codec.h"
#include "property/property.h"
#include "support/port_block.h"
#include "unit/temporary_folder.h"

namespace {

using zinniamux::adapters::HttpRequest;
using zinniamux::adapters::HttpResponder;
using zinniamux::adapters::InputGuard;
using zinniamux::adapters::LoopHttpServer;
using zinniamux::link::FrameConnection;
using zinniamux::testing::PortBlock;
using zinniamux::tests::CheckProperty;

using Condition = std::function<bool()>;

// Runs the loop until it holds. The limit is generous: verdicts don't depend on the machine.
bool RunUntil(asio::io_context& loop, const Condition& condition) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) return false;
    loop.run_one_for(std::chrono::milliseconds(5));
  }
  return true;
}

class Server {
 public:
  Server() {
    auto server = LoopHttpServer::Start(
        loop_, {.address = {.port = port_},
                .input_guard = &guard_,
                .name = "caller",
                .handler = [this](LoopHttpServer::ConnectionId, HttpRequest request,
                                  const HttpResponder& responder) {
                  requests_.push_back(std::move(request));
                  responder({});
                }});
    cr_assert(server.has_value());
    server_ = *std::move(server);
  }

  // Sends the pieces, each read before the next, and ends sending.
  void Send(const std::vector<std::string>& pieces) {
    requests_.clear();
    asio::ip::tcp::socket client(loop_);
    client.connect({asio::ip::make_address("127.0.0.1"), port_});
    asio::error_code error;
    for (const std::string& piece : pieces) {
      asio::write(client, asio::buffer(piece), error);
      while (loop_.poll() > 0) {
      }
    }
    client.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    cr_assert(RunUntil(loop_, [this] { return guard_.connections() == 0; }));
  }
  const std::vector<HttpRequest>& requests() const { return requests_; }
  std::size_t input_bytes() const { return guard_.input_bytes(); }

 private:
  const zinniamux::tests::TemporaryFolder folder_{"http_input"};
  PortBlock ports_;
  const std::uint16_t port_ = ports_.Next();
  zinniamux::core::ManualClock clock_;
  zinniamux::adapters::JsonLog log_{{.file = folder_.path() + "/log", .process = "test"}};
  zinniamux::adapters::Metrics metrics_{clock_};
  InputGuard guard_{{}, clock_, log_, metrics_};
  asio::io_context loop_;
  std::vector<HttpRequest> requests_;
  std::unique_ptr<LoopHttpServer> server_;
};

std::vector<std::string> RandomPieces(const std::string& text) {
  std::vector<std::size_t> cuts = *rc::gen::container<std::vector<std::size_t>>(
      rc::gen::inRange<std::size_t>(0, text.size() + 1));
  cuts.push_back(text.size());
  std::sort(cuts.begin(), cuts.end());
  std::vector<std::string> pieces;
  std::size_t from = 0;
  for (const std::size_t cut : cuts) {
    if (cut > from) pieces.push_back(text.substr(from, cut - from));
    from = cut;
  }
  return pieces;
}

std::string ChunkedRequest(const std::string& body) {
  std::string text =
      "POST /jobs/1 HTTP/1.1\r\nHost: jobs.example\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string& chunk : RandomPieces(body)) {
    constexpr std::size_t kDigits = 16;
    std::string size(kDigits, '\0');
    size.resize(
        static_cast<std::size_t>(std::snprintf(size.data(), size.size(), "%zx", chunk.size())));
    text += size + (*rc::gen::arbitrary<bool>() ? ";e=1" : "") + "\r\n" + chunk + "\r\n";
  }
  return text + "0\r\n" + (*rc::gen::arbitrary<bool>() ? "trailer: x\r\n" : "") + "\r\n";
}

// Changes, inserts and removes single bytes.
std::string Damaged(std::string text) {
  for (const int change : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3))) {
    const std::size_t at = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
    const char byte = *rc::gen::arbitrary<char>();
    if (change == 0 && at < text.size()) text[at] = byte;
    if (change == 1) text.insert(at, 1, byte);
    if (change == 2 && at < text.size()) text.erase(at, 1);
  }
  return text.substr(0, *rc::gen::inRange<std::size_t>(0, text.size() + 1));
}

const std::string kJob =
    R"({"best_effort":true,"spec":"x","steps":[{"count":2,"cpu":1000,"mem_mb":10,"estimate_ms":50}]})";

}  // namespace

// Guards against requests that are read differently when they arrive in pieces.
Test(http_input, cuts_of_valid_requests_change_nothing) {
  Server server;
  CheckProperty(4401, "requests are read whole", [&server] {
    const std::string body = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    server.Send(RandomPieces("\r\n" + ChunkedRequest(body)));
    RC_ASSERT(server.requests().size() == 1U);
    RC_ASSERT(server.requests()[0].body == body);
    RC_ASSERT(server.requests()[0].path == "/jobs/1");
    RC_ASSERT(server.input_bytes() == 0U);
  });
}

// Guards against input that ends the process, keeps its connection open or leaves bytes counted.
Test(http_input, damaged_requests_do_no_harm) {
  Server server;
  CheckProperty(4402, "connections end", [&server] {
    server.Send(RandomPieces(Damaged(ChunkedRequest(kJob) + ChunkedRequest("x"))));
    RC_ASSERT(server.input_bytes() == 0U);
  });
}

// Guards against frames that are joined, split or lost when they are read in pieces.
Test(http_input, cuts_of_frames_change_nothing) {
  CheckProperty(4403, "frames are read whole", [] {
    asio::io_context loop;
    asio::ip::tcp::acceptor acceptor(loop, {asio::ip::make_address("127.0.0.1"), 0});
    asio::ip::tcp::socket client(loop);
    client.connect(acceptor.local_endpoint());
    const auto connection =
        std::make_shared<FrameConnection>(acceptor.accept(), FrameConnection::Options());
    std::vector<std::string> received;
    connection->Start({.on_frame = [&](std::string_view frame) { received.emplace_back(frame); },
                       .on_closed = [](const std::string&) {}});
    std::vector<std::string> frames;
    std::string text;
    for (const std::size_t size :
         *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, 20'000))) {
      frames.emplace_back(size, static_cast<char>('a' + frames.size() % 26));
      for (const unsigned shift : {24U, 16U, 8U, 0U}) {
        text.push_back(static_cast<char>((size >> shift) & 0xFFU));
      }
      text += frames.back();
    }
    for (const std::string& piece : RandomPieces(text)) {
      asio::write(client, asio::buffer(piece));
      loop.poll();
    }
    RC_ASSERT(RunUntil(loop, [&] { return received.size() == frames.size(); }));
    RC_ASSERT(received == frames);
    connection->Close();
    loop.poll();
  });
}

// Guards against documents that end the process in a codec of outside input.
Test(http_input, damaged_documents_are_refused) {
  CheckProperty(4404, "codecs return", [] {
    const std::string announcement =
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":8,)"
        R"("state":"ready","capacity":{"cpu":32000,"mem_mb":65536,"gpu":0},"labels":["a","r1"],)"
        R"("clock_ms":482113,"seq":4,"born":1700000000000})";
    const std::string configuration =
        R"({"version":1,"routes":[{"name":"jobs","host":"h","prefix":"/j/","service":"s",)"
        R"("priority":0,"attempts":3,"stretch":3,"slo_ms":4000,"timeout_ms":10000}]})";
    RC_ASSERT(zinniamux::platform::ParseJob(kJob).has_value());
    RC_ASSERT(zinniamux::platform::ParseConfiguration(configuration).has_value());
    RC_ASSERT(zinniamux::platform::ParseExecutorAnnouncement("e", announcement).has_value());
    for (const std::string& text : {kJob, announcement, configuration}) {
      const std::string damaged = Damaged(text);
      const bool read = zinniamux::platform::ParseJob(damaged).has_value() ||
                        zinniamux::platform::ParseConfiguration(damaged).has_value() ||
                        zinniamux::platform::ParseExecutorAnnouncement("e", damaged).has_value();
      RC_CLASSIFY(read);
    }
  });
}
