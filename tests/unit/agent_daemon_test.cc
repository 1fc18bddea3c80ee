// Tests AgentDaemon with entries and an executor in the same process, over loopback.
#include "zinniamuxd/agent_daemon.h"

#include <criterion/criterion.h>
#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include "adapters/http_client.h"
#include "adapters/http_server.h"
#include "adapters/steady_clock.h"
#include "support/port_block.h"
#include "zinniamux.grpc.pb.h"
#include "zinniamuxd/agent_stream.h"

namespace {

using namespace zinniamux;  // NOLINT(google-build-using-namespace)
using daemon::AgentDaemon;
using daemon::AgentStream;

// Far longer than any step takes, so that only a failing test reaches it.
constexpr std::chrono::seconds kTestTimeout{30};
constexpr std::chrono::milliseconds kPollPeriod{5};

bool WaitFor(const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + kTestTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) return false;
    std::this_thread::sleep_for(kPollPeriod);
  }
  return true;
}

// An entry that records the messages of the agent and sends those that the test asks for.
class FakeEntry : public v1::EntryService::CallbackService {
 public:
  explicit FakeEntry(std::string id) : id_(std::move(id)) {
    grpc::ServerBuilder builder;
    builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &port_);
    builder.RegisterService(this);
    server_ = builder.BuildAndStart();
  }
  ~FakeEntry() override { server_->Shutdown(std::chrono::system_clock::now()); }

  grpc::ServerBidiReactor<v1::AgentMessage, v1::EntryMessage>* Attach(
      grpc::CallbackServerContext* context) override {
    auto stream = std::make_shared<AgentStream>(
        context,
        AgentStream::Hooks{
            .on_message =
                [this](const std::shared_ptr<AgentStream>& from, v1::AgentMessage message) {
                  const std::lock_guard lock(mutex_);
                  if (message.has_hello()) stream_ = from;
                  messages_.push_back(std::move(message));
                },
            .on_closed =
                [this](const std::shared_ptr<AgentStream>& /*from*/) { ++closed_streams_; }},
        clock_);
    stream->Start();
    return stream.get();
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  int closed_streams() const { return closed_streams_; }

  int Count(const std::function<bool(const v1::AgentMessage&)>& matches) {
    const std::lock_guard lock(mutex_);
    return static_cast<int>(std::ranges::count_if(messages_, matches));
  }
  int HelloCount() {
    return Count([](const auto& message) { return message.has_hello(); });
  }
  std::uint64_t LastTimestamp() {
    const std::lock_guard lock(mutex_);
    return messages_.empty() ? 0 : messages_.back().now_mono_ms();
  }
  std::shared_ptr<AgentStream> stream() {
    const std::lock_guard lock(mutex_);
    return stream_;
  }

  void Welcome(const std::vector<const FakeEntry*>& others = {}) {
    v1::EntryMessage message;
    message.mutable_welcome()->set_entry_id(id_);
    for (const FakeEntry* other : others) {
      v1::EntryAddress* address = message.mutable_welcome()->add_roster();
      address->set_entry_id(other->id_);
      address->set_rpc_address(other->address());
    }
    stream()->Send(std::move(message));
  }
  void Dispatch(const std::string& id) {
    v1::EntryMessage message;
    v1::Dispatch* dispatch = message.mutable_dispatch();
    dispatch->set_epoch(1);
    dispatch->set_config_version(1);
    dispatch->set_submission_id(id);
    dispatch->set_start_by_mono_ms(LastTimestamp() + 60'000);
    dispatch->set_retention_ms(60'000);
    dispatch->add_tasks()->set_time_limit_ms(30'000);
    stream()->Send(std::move(message));
  }
  // Sends a heartbeat that acknowledges all messages with an earlier timestamp.
  void SendHeartbeat(std::uint64_t acknowledged_mono_ms) {
    v1::EntryMessage message;
    message.mutable_heartbeat()->set_now_mono_ms(acknowledged_mono_ms);
    stream()->Send(std::move(message));
  }

 private:
  const std::string id_;
  const adapters::SteadyClock clock_;
  int port_ = 0;
  std::atomic<int> closed_streams_{0};
  std::mutex mutex_;
  // Guarded by mutex_.
  std::shared_ptr<AgentStream> stream_;
  std::vector<v1::AgentMessage> messages_;
  std::unique_ptr<grpc::Server> server_;
};

// An agent daemon with an executor that answers every task at once.
class RunningAgent {
 public:
  explicit RunningAgent(const std::string& entry_address)
      : log_({.file = "/dev/null"}),
        daemon_({.id = "agent-1",
                 .availability_zone = "oslo",
                 .local = {.host = "127.0.0.1", .port = port_},
                 .entries = {entry_address}},
                clock_, log_) {
    const std::uint16_t executor_port = ports_.Next();
    executor_ = *adapters::HttpServer::Start(
        {.port = executor_port},
        [](const adapters::HttpRequest& /*request*/, const adapters::HttpResponder& respond) {
          respond({.status = 200, .body = "result"});
        });
    cr_assert(daemon_.Start().has_value());
    announcement_ = R"({"executor_id":"executor-1","address":"127.0.0.1:)" +
                    std::to_string(executor_port) + R"(","slots":8,"connections":8,"memory_mb":1})";
    timer_ = std::thread([this] {
      while (!stopping_) {
        daemon_.OnTimer();
        std::this_thread::sleep_for(kPollPeriod);
      }
    });
  }
  ~RunningAgent() {
    stopping_ = true;
    timer_.join();
    daemon_.Stop();
  }

  int Announce() {
    return client_
        .SendAndWait({.method = "POST", .url = Url("/v1/announce"), .body = announcement_})
        .status;
  }
  long MetricValue(const std::string& name) {
    const std::string page = client_.SendAndWait({.url = Url("/metrics")}).body;
    const std::string prefix = "zinniamux_agent_" + name + " ";
    const std::size_t found = page.find(prefix);
    return found == std::string::npos ? -1 : std::stol(page.substr(found + prefix.size()));
  }
  bool HasMetricLine(const std::string& line) {
    const std::string page = client_.SendAndWait({.url = Url("/metrics")}).body;
    return page.find("zinniamux_agent_" + line + "\n") != std::string::npos;
  }

 private:
  std::string Url(const std::string& path) const {
    return "http://127.0.0.1:" + std::to_string(port_) + path;
  }

  const adapters::SteadyClock clock_;
  testing::PortBlock ports_;
  const std::uint16_t port_ = ports_.Next();
  adapters::JsonLog log_;
  adapters::HttpClient client_;
  std::string announcement_;
  std::unique_ptr<adapters::HttpServer> executor_;
  AgentDaemon daemon_;
  std::atomic<bool> stopping_{false};
  std::thread timer_;
};

bool HasResults(const v1::AgentMessage& message) { return message.has_results(); }

}  // namespace

// Guards against results that are lost when a stream breaks, and against results that are never
// acknowledged, which would delay every shutdown and be repeated on every new stream.
Test(agent_daemon, sends_results_again_on_a_new_stream_until_acknowledged) {
  FakeEntry entry("entry-1");
  RunningAgent agent(entry.address());
  cr_assert(WaitFor([&] { return entry.HelloCount() == 1; }));
  entry.Welcome();
  cr_assert_eq(agent.Announce(), 200);
  cr_assert(WaitFor([&] { return agent.HasMetricLine("attached_entries 1"); }));
  entry.Dispatch("order-1");
  cr_assert(WaitFor([&] { return entry.Count(HasResults) == 1; }));
  entry.stream()->Cancel();
  cr_assert(WaitFor([&] { return entry.HelloCount() == 2; }));
  entry.Welcome();
  cr_assert(WaitFor([&] { return entry.Count(HasResults) == 2; }));
  cr_assert(agent.HasMetricLine("unacknowledged_outcomes 1"));
  const std::uint64_t sent = entry.LastTimestamp();
  cr_assert(WaitFor([&] { return entry.LastTimestamp() > sent; }), "the agent sends no heartbeat");
  entry.SendHeartbeat(entry.LastTimestamp());
  cr_assert(WaitFor([&] { return agent.HasMetricLine("unacknowledged_outcomes 0"); }));
}

// Guards against an abort when one of gRPC's threads destroys the last channel of the process. The
// test has no gRPC server, because a server also uses these threads and would hide the fault.
Test(agent_daemon, survives_the_destruction_of_its_only_channel) {
  testing::PortBlock ports;
  RunningAgent agent("127.0.0.1:" + std::to_string(ports.Next()));
  cr_assert(WaitFor([&] { return agent.MetricValue("connections_total") > 2; }));
}

// Guards against an agent that keeps using a stream that has gone silent.
Test(agent_daemon, reconnects_when_a_stream_goes_silent) {
  FakeEntry entry("entry-1");
  RunningAgent agent(entry.address());
  cr_assert(WaitFor([&] { return entry.HelloCount() == 1; }));
  entry.Welcome();
  cr_assert(WaitFor([&] { return entry.HelloCount() == 2; }));
  cr_assert(WaitFor([&] { return entry.closed_streams() == 1; }));
}

// Guards against an agent that connects only to the entries in its settings, or stays connected to
// an entry that has left the roster.
Test(agent_daemon, connects_to_the_entries_of_the_roster) {
  FakeEntry first("entry-1");
  FakeEntry second("entry-2");
  RunningAgent agent(first.address());
  cr_assert(WaitFor([&] { return first.HelloCount() == 1; }));
  first.Welcome({&first, &second});
  cr_assert(WaitFor([&] { return second.HelloCount() == 1; }));
  second.Welcome({&first, &second});
  cr_assert(WaitFor([&] { return agent.HasMetricLine("attached_entries 2"); }));
  first.Welcome({&first});
  cr_assert(WaitFor([&] { return second.closed_streams() == 1; }));
  cr_assert(WaitFor([&] { return agent.HasMetricLine("roster_entries 1"); }));
  cr_assert(agent.HasMetricLine("entry_addresses 1"));
}

// Guards against an agent that ignores an operator's drain or does not report it to its entries.
Test(agent_daemon, reports_a_drain_and_refuses_tasks) {
  FakeEntry entry("entry-1");
  RunningAgent agent(entry.address());
  cr_assert(WaitFor([&] { return entry.HelloCount() == 1; }));
  entry.Welcome();
  cr_assert_eq(agent.Announce(), 200);
  v1::EntryMessage drain;
  drain.mutable_drain()->set_draining(true);
  entry.stream()->Send(std::move(drain));
  cr_assert(WaitFor([&] {
    return entry.Count([](const auto& message) { return message.report().leaving(); }) == 1;
  }));
  entry.Dispatch("order-1");
  cr_assert(WaitFor([&] {
    return entry.Count([](const auto& message) {
      return message.refusal().reason() == v1::REFUSAL_REASON_LEAVING;
    }) == 1;
  }));
}
