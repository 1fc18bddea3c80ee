// SupervisorRegistry and hellos that do not arrive in the order in which they were sent, over
// loopback.
#include "zinniamuxd/supervisor_registry.h"

#include <criterion/criterion.h>
#include <malloc.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "adapters/steady_clock.h"
#include "core/job_scheduler.h"
#include "link/frame_connection.h"
#include "support/port_block.h"

namespace {

using zinniamux::core::EvacuationState;
using zinniamux::core::JobScheduler;
using zinniamux::core::RunId;
using zinniamux::core::SchedulerAction;
using zinniamux::core::StartTasks;
using zinniamux::daemon::SupervisorRegistry;
using zinniamux::link::FrameConnection;
using zinniamux::runs::AgentFrame;
using zinniamux::runs::EntryFrame;

// Far longer than any step takes, so that only a failing test reaches it.
constexpr std::chrono::seconds kTestTimeout{30};

// One connection of the supervisor "s-1", which sends what the test tells it to.
struct Connection {
  std::shared_ptr<FrameConnection> frames;
  std::vector<EntryFrame> received;
  bool closed = false;

  void SendHello(std::uint64_t incarnation, std::int64_t sent_clock_ms) const {
    AgentFrame frame;
    frame.set_sent_clock_ms(sent_clock_ms);
    frame.mutable_hello()->set_agent_id("s-1");
    frame.mutable_hello()->set_incarnation(incarnation);
    frames->Send(frame.SerializeAsString());
  }
  bool is_welcome() const { return !received.empty() && received.front().has_welcome(); }
  // Whether the dispatcher has answered the hello or closed the connection.
  bool is_decided() const { return closed || is_welcome(); }
};

// The dispatcher "d-1".
struct Fixture {
  asio::io_context loop;
  zinniamux::adapters::SteadyClock clock;
  zinniamux::testing::PortBlock ports;
  std::uint16_t port = ports.Next();
  std::vector<std::uint64_t> attached_incarnations;
  JobScheduler scheduler{JobScheduler::Options(), clock};
  int detachments = 0;
  std::vector<SupervisorRegistry::OutdatedHello> outdated_hellos;
  std::vector<EvacuationState> evacuations;
  // Stopped when a frame has been handled.
  std::optional<RunId> stopped_run;
  std::optional<SupervisorRegistry> registry;
  std::vector<std::shared_ptr<Connection>> connections;

  Fixture() {
    registry.emplace(
        loop,
        SupervisorRegistry::Options{.address = {.port = port}, .entry_id = "d-1", .incarnation = 1},
        clock,
        SupervisorRegistry::Handlers{
            .on_attached =
                [this](const std::string& supervisor, const std::string& zone,
                       std::uint64_t incarnation, const std::vector<RunId>& held) {
                  attached_incarnations.push_back(incarnation);
                  scheduler.OnAgentAttached(supervisor, zone, incarnation, held);
                },
            .on_detached =
                [this](const std::string& supervisor, const auto&) {
                  ++detachments;
                  scheduler.OnAgentDetached(supervisor);
                },
            .on_hello_outdated =
                [this](const SupervisorRegistry::OutdatedHello& hello) {
                  outdated_hellos.push_back(hello);
                },
            .on_report = [](const auto&...) {},
            .on_update = [](const auto&...) {},
            .on_evacuation =
                [this](const EvacuationState& state) {
                  evacuations.push_back(state);
                  registry->ShareEvacuation(state);
                },
            .on_configuration = [](const auto&...) {},
            .on_message_delay = [](const auto&...) {},
            .on_frame_handled =
                [this] {
                  if (stopped_run) registry->QueueStop({.agent_id = "s-1", .id = *stopped_run});
                }});
    cr_assert(registry->Listen().has_value());
  }
  ~Fixture() {
    for (const auto& connection : connections) connection->frames->Close();
    registry.reset();
    loop.poll();
  }

  // Returns when the registry has accepted the connection.
  Connection& Connect() {
    const std::size_t accepted = registry->connection_count();
    asio::ip::tcp::socket socket(loop);
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
    auto connection = std::make_shared<Connection>();
    connection->frames =
        std::make_shared<FrameConnection>(std::move(socket), FrameConnection::Options());
    connection->frames->Start(
        {.on_frame =
             [connection](std::string_view bytes) {
               EntryFrame frame;
               cr_assert(frame.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())));
               connection->received.push_back(frame);
             },
         .on_closed = [connection](const auto&) { connection->closed = true; }});
    connections.push_back(connection);
    cr_assert(RunUntil([&] { return registry->connection_count() > accepted; }));
    return *connection;
  }

  // Sends the hello and returns when the dispatcher has welcomed or closed the connection.
  void Greet(Connection& connection, std::uint64_t incarnation, std::int64_t sent_clock_ms) {
    connection.SendHello(incarnation, sent_clock_ms);
    cr_assert(RunUntil([&] { return connection.is_decided(); }));
  }

  // The starts that the dispatcher orders now, while the executor has room.
  std::size_t OrderStarts() {
    scheduler.OnReport("s-1", {.executor_id = "executor",
                               .service = "service",
                               .accepting = true,
                               .capacity = {.cpu_milli = 4000, .memory_mb = 1000},
                               .free = {.cpu_milli = 4000, .memory_mb = 1000},
                               .pace = 1});
    scheduler.Place();
    std::size_t starts = 0;
    for (const SchedulerAction& action : scheduler.TakeActions()) {
      if (const auto* order = std::get_if<StartTasks>(&action)) starts += order->starts.size();
    }
    return starts;
  }

  // Whether an order to the supervisor arrives on this connection.
  bool GetsOrders(const Connection& connection) {
    const std::size_t before = connection.received.size();
    registry->QueueStop({.agent_id = "s-1", .id = RunId{.task = {.job_id = "job"}, .run = 1}});
    registry->Flush();
    return RunUntil([&] { return connection.closed || connection.received.size() > before; }) &&
           !connection.closed;
  }

  bool RunUntil(const std::function<bool()>& condition) {
    const auto deadline = std::chrono::steady_clock::now() + kTestTimeout;
    while (!condition()) {
      if (loop.run_one_until(deadline) == 0) return false;
    }
    return true;
  }
};

}  // namespace

// Guards against a hello that was held up on the way and replaces the connection that the
// supervisor opened after it: the runs ordered since are not in its list and would be ordered
// again.
Test(supervisor_registry, older_hello_replaces_no_newer_connection) {
  Fixture f;
  Connection& older = f.Connect();
  Connection& newer = f.Connect();
  f.Greet(newer, 7, 2000);
  f.Greet(older, 7, 1000);
  cr_assert(older.closed);
  cr_assert(f.GetsOrders(newer));
  cr_assert_eq(f.attached_incarnations.size(), 1);
  cr_assert_eq(f.detachments, 0);
  cr_assert_eq(f.outdated_hellos.size(), 1);
  cr_assert_eq(f.outdated_hellos.front().supervisor_id, "s-1");
  cr_assert_eq(f.outdated_hellos.front().age, std::chrono::milliseconds(1000));
}

// Guards against a task that runs twice at the same time: it was ordered on the newer connection,
// and taken for lost when an older hello, which could not name it, arrived.
Test(supervisor_registry, run_that_an_older_hello_does_not_name_is_not_ordered_again) {
  Fixture f;
  Connection& older = f.Connect();
  Connection& newer = f.Connect();
  f.Greet(newer, 7, 2000);
  f.scheduler.OnJob({.id = "job",
                     .queue = "normal",
                     .service = "service",
                     .steps = {{.count = 1,
                                .need = {.cpu_milli = 1000, .memory_mb = 1},
                                .estimate = std::chrono::milliseconds(100)}},
                     .attempts = 2,
                     .stretch = 1.6,
                     .slack = std::chrono::milliseconds(60),
                     .deadline = f.clock.now() + kTestTimeout});
  cr_assert_eq(f.OrderStarts(), 1);
  f.Greet(older, 7, 1000);
  cr_assert_eq(f.OrderStarts(), 0);
}

// Guards against a hello that was held up and is taken for the present one because the newer
// connection has broken meanwhile.
Test(supervisor_registry, older_hello_does_not_count_after_the_newer_connection_broke) {
  Fixture f;
  Connection& older = f.Connect();
  Connection& newer = f.Connect();
  f.Greet(newer, 7, 2000);
  newer.frames->Close();
  cr_assert(f.RunUntil([&] { return f.detachments == 1; }));
  f.Greet(older, 7, 1000);
  cr_assert(older.closed);
  cr_assert_eq(f.attached_incarnations.size(), 1);
}

// Guards against a held-up hello of a process that has been replaced: the runs of the present one
// would count as runs of a process that has ended.
Test(supervisor_registry, hello_of_an_earlier_process_replaces_no_later_one) {
  Fixture f;
  Connection& earlier = f.Connect();
  Connection& later = f.Connect();
  f.Greet(later, 8, 2000);
  f.Greet(earlier, 7, 1000);
  cr_assert(earlier.closed);
  cr_assert(f.GetsOrders(later));
  cr_assert_eq(f.attached_incarnations, (std::vector<std::uint64_t>{8}));
}

// Guards against a supervisor that is shut out after its VM's time of day was set back: its
// incarnation is lower than that of the process before it.
Test(supervisor_registry, lower_incarnation_attaches_once_the_other_connection_has_ended) {
  Fixture f;
  Connection& earlier = f.Connect();
  f.Greet(earlier, 8, 2000);
  earlier.frames->Close();
  cr_assert(f.RunUntil([&] { return f.detachments == 1; }));
  Connection& later = f.Connect();
  f.Greet(later, 7, 1000);
  cr_assert(f.GetsOrders(later));
  cr_assert_eq(f.attached_incarnations, (std::vector<std::uint64_t>{8, 7}));
}

// Guards against a supervisor that cannot attach again after its connection went silent without a
// reset, and against two connections of one supervisor.
Test(supervisor_registry, newer_hello_replaces_a_silent_connection) {
  Fixture f;
  Connection& silent = f.Connect();
  f.Greet(silent, 7, 1000);
  Connection& newer = f.Connect();
  f.Greet(newer, 7, 2000);
  cr_assert(f.GetsOrders(newer));
  cr_assert(f.RunUntil([&] { return silent.closed; }));
  cr_assert_eq(f.registry->connection_count(), 1);
  cr_assert_eq(f.detachments, 1);
}

// Guards against a supervisor that learns of an evacuated zone only with the next heartbeat, or not
// at all because it attaches after the change or again.
Test(supervisor_registry, tells_evacuated_zones_at_once_and_with_the_welcome) {
  Fixture f;
  const EvacuationState state{.version = 5, .zones = {"zone-a"}};
  Connection& first = f.Connect();
  f.Greet(first, 7, 1000);
  cr_assert_eq(first.received.back().evacuation_version(), 0);
  f.registry->ShareEvacuation(state);
  cr_assert(f.RunUntil([&] { return first.received.size() > 1; }));
  cr_assert_eq(first.received.back().evacuation_version(), 5);
  cr_assert_eq(first.received.back().evacuated_zones(0), "zone-a");
  // Told once on a connection.
  cr_assert(f.GetsOrders(first));
  cr_assert_eq(first.received.back().evacuation_version(), 0);
  Connection& second = f.Connect();
  f.Greet(second, 7, 2000);
  cr_assert_eq(second.received.front().evacuation_version(), 5);
  cr_assert_eq(second.received.front().evacuated_zones_size(), 1);
}

// Guards against a dispatcher that is cut off from the store and does not learn of an evacuated
// zone from a supervisor, in the frame with which that attaches.
Test(supervisor_registry, passes_on_the_evacuated_zones_of_a_supervisor) {
  Fixture f;
  Connection& connection = f.Connect();
  AgentFrame frame;
  frame.mutable_hello()->set_agent_id("s-1");
  frame.set_evacuation_version(5);
  frame.add_evacuated_zones("zone-a");
  connection.frames->Send(frame.SerializeAsString());
  cr_assert(f.RunUntil([&] { return connection.is_decided(); }));
  cr_assert_eq(f.evacuations.size(), 1);
  cr_assert(f.evacuations.front() == (EvacuationState{.version = 5, .zones = {"zone-a"}}));
}

// Guards against a welcome that overtakes the stops of runs without a job, and so counts as a sign
// of life for them: the hello tells of evacuated zones, which are passed on at once.
Test(supervisor_registry, welcome_comes_with_stops_when_the_hello_tells_evacuated_zones) {
  Fixture f;
  f.stopped_run = RunId{.task = {.job_id = "job"}, .run = 1};
  Connection& connection = f.Connect();
  AgentFrame frame;
  frame.mutable_hello()->set_agent_id("s-1");
  frame.set_evacuation_version(5);
  frame.add_evacuated_zones("zone-a");
  connection.frames->Send(frame.SerializeAsString());
  cr_assert(f.RunUntil([&] { return connection.is_decided(); }));
  cr_assert_eq(f.evacuations.size(), 1);
  cr_assert_eq(connection.received.front().stops_size(), 1);
}

// Guards against buffers that keep the size of the largest frame that a supervisor was ever sent:
// one of 3 MiB for each of 200 supervisors would take several times the memory of a VM.
Test(supervisor_registry, frees_the_memory_of_large_frames) {
  constexpr std::uint32_t kOrders = 700;
  constexpr std::size_t kMaxKeptBytes = 1U << 20U;
  const auto heap_bytes = [] {
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
  };
  Fixture fixture;
  Connection& connection = fixture.Connect();
  fixture.Greet(connection, 1, 1000);
  const std::size_t before = heap_bytes();
  for (std::uint32_t step = 0; step < kOrders; ++step) {
    fixture.registry->QueueStart({.agent_id = "s-1",
                                  .order = step + 1,
                                  .job_id = "0000000000000001",
                                  .step = step,
                                  .spec = std::string(4000, 'x'),
                                  .starts = {{.index = 0, .run = 1}}});
  }
  fixture.registry->Flush();
  cr_assert(fixture.RunUntil(
      [&] { return connection.received.back().starts_size() == static_cast<int>(kOrders); }));
  connection.received.clear();
  connection.received.shrink_to_fit();
  cr_assert(fixture.RunUntil([&] { return fixture.registry->unsent_order_bytes() == 0; }));
  const std::size_t kept = heap_bytes() - std::min(before, heap_bytes());
  cr_assert_lt(kept, kMaxKeptBytes, "%zu bytes", kept);
}

// Guards against orders that are held back by other frames: a configuration for many supervisors
// takes seconds on a narrow link.
Test(supervisor_registry, counts_only_orders_as_unsent) {
  Fixture fixture;
  Connection& connection = fixture.Connect();
  fixture.Greet(connection, 1, 1000);
  cr_assert_eq(fixture.registry->unsent_order_bytes(), 0);
  fixture.registry->ShareEvacuation({.version = 1, .zones = {std::string(1000, 'z')}});
  // Not sent before the loop runs.
  cr_assert_eq(fixture.registry->unsent_order_bytes(), 0);
  const std::string spec(4000, 'x');
  fixture.registry->QueueStart(
      {.agent_id = "s-1", .order = 1, .job_id = "job", .spec = spec, .starts = {{0, 1}}});
  fixture.registry->Flush();
  cr_assert_gt(fixture.registry->unsent_order_bytes(), spec.size());
  cr_assert(fixture.RunUntil([&] { return connection.received.back().starts_size() == 1; }));
  cr_assert(fixture.RunUntil([&] { return fixture.registry->unsent_order_bytes() == 0; }));
}
