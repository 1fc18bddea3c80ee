// DispatcherLink and SupervisorRegistry on one event loop, over loopback.
#include "zinniamuxd/dispatcher_link.h"

#include <criterion/criterion.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "adapters/steady_clock.h"
#include "link/frame_connection.h"
#include "support/port_block.h"
#include "zinniamuxd/supervisor_registry.h"

namespace {

using zinniamux::core::EntryAddress;
using zinniamux::daemon::DispatcherLink;
using zinniamux::daemon::SupervisorRegistry;
using zinniamux::link::FrameConnection;
using zinniamux::runs::AgentFrame;
using zinniamux::runs::EntryFrame;

// Far longer than any step takes, so that only a failing test reaches it.
constexpr std::chrono::seconds kTestTimeout{30};

// The dispatcher "d-1" and links of the supervisor "s-1".
struct Fixture {
  asio::io_context loop;
  zinniamux::adapters::SteadyClock clock;
  zinniamux::testing::PortBlock ports;
  std::uint16_t port = ports.Next();
  int attachments = 0;
  int updates = 0;
  std::function<void()> on_frame_handled = [] {};
  std::vector<zinniamux::runs::EntryFrame> frames;
  std::optional<SupervisorRegistry> registry;
  // "ID: REASON" of each connection that ended.
  std::vector<std::string> disconnections;
  std::vector<std::string> lost_owners;
  std::vector<std::string> refusing_owners;
  std::vector<std::shared_ptr<DispatcherLink>> links;

  Fixture() {
    registry.emplace(
        loop,
        SupervisorRegistry::Options{.address = {.port = port}, .entry_id = "d-1", .incarnation = 1},
        clock,
        SupervisorRegistry::Handlers{.on_attached = [this](const auto&...) { ++attachments; },
                                     .on_detached = [](const auto&...) {},
                                     .on_report = [](const auto&...) {},
                                     .on_update = [this](const auto&...) { ++updates; },
                                     .on_configuration = [](const auto&...) {},
                                     .on_message_delay = [](const auto&...) {},
                                     .on_frame_handled = [this] { on_frame_handled(); }});
    cr_assert(registry->Listen().has_value());
  }
  ~Fixture() {
    for (const auto& link : links) link->Close();
    loop.poll();
  }

  EntryAddress Address(const std::string& id) const {
    return {.entry_id = id, .incarnation = 1, .rpc_address = "127.0.0.1:" + std::to_string(port)};
  }

  DispatcherLink& AddLink(const EntryAddress& address) {
    links.push_back(std::make_shared<DispatcherLink>(
        loop, address, DispatcherLink::Options(), clock,
        DispatcherLink::Handlers{
            .fill_hello =
                [](const DispatcherLink&, zinniamux::runs::AgentFrame& frame) {
                  frame.mutable_hello()->set_agent_id("s-1");
                },
            .fill_heartbeat = [](const auto&...) {},
            .on_frame = [this](
                            const std::string& /*owner*/,
                            const zinniamux::runs::EntryFrame& frame) { frames.push_back(frame); },
            .on_owner_lost = [this](const std::string& owner) { lost_owners.push_back(owner); },
            .on_owner_refuses =
                [this](const std::string& owner) { refusing_owners.push_back(owner); },
            .on_connection_changed =
                [this](const std::string& id, bool connected, const std::string& reason) {
                  if (!connected) disconnections.push_back(id + ": " + reason);
                }}));
    links.back()->Start();
    return *links.back();
  }

  bool RunUntil(const std::function<bool()>& condition) {
    const auto deadline = std::chrono::steady_clock::now() + kTestTimeout;
    while (!condition()) {
      if (loop.run_one_until(deadline) == 0) return false;
    }
    return true;
  }
};

// A stand-in for the dispatcher "d-1" that confirms only as many frames as the test says.
struct StandIn {
  asio::io_context& loop;
  asio::ip::tcp::acceptor acceptor;
  // The present connection.
  std::shared_ptr<FrameConnection> connection;
  // The frames of each connection.
  std::vector<std::vector<AgentFrame>> received;

  StandIn(asio::io_context& io, std::uint16_t port) : loop(io), acceptor(io) { Listen(port); }
  ~StandIn() {
    acceptor.close();
    if (connection) connection->Close();
    loop.poll();
  }

  void Listen(std::uint16_t port) {
    acceptor = asio::ip::tcp::acceptor(loop, {asio::ip::make_address("127.0.0.1"), port});
    Accept();
  }
  // Ends the connection, and refuses others until the next Listen.
  void Refuse() {
    acceptor.close();
    connection->Close();
  }

  void Accept() {
    acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
      if (error) return;
      received.emplace_back();
      connection = std::make_shared<FrameConnection>(std::move(socket), FrameConnection::Options());
      connection->Start(
          {.on_frame =
               [this](std::string_view bytes) {
                 AgentFrame frame;
                 cr_assert(frame.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())));
                 received.back().push_back(frame);
               },
           .on_closed = [](const auto&) {}});
      Accept();
    });
  }

  void SendWelcome(std::uint64_t frames_handled, std::uint64_t incarnation = 1) const {
    EntryFrame frame;
    frame.mutable_welcome()->set_entry_id("d-1");
    frame.mutable_welcome()->set_incarnation(incarnation);
    frame.set_frames_handled(frames_handled);
    connection->Send(frame.SerializeAsString());
  }

  void Confirm(std::uint64_t frames_handled) const {
    EntryFrame frame;
    frame.set_frames_handled(frames_handled);
    connection->Send(frame.SerializeAsString());
  }
};

// A link to a stand-in, on which the end of the run 1 of "job" was sent after the hello.
struct StandInFixture : Fixture {
  std::uint16_t stand_in_port = ports.Next();
  StandIn dispatcher{loop, stand_in_port};
  DispatcherLink* link = nullptr;

  // `hellos_handled` is 0 for a dispatcher of an earlier version.
  explicit StandInFixture(std::uint64_t hellos_handled) {
    EntryAddress address = Address("d-1");
    address.rpc_address = "127.0.0.1:" + std::to_string(stand_in_port);
    link = &AddLink(address);
    cr_assert(RunUntil([&] { return CountFrames(1) == 1; }));
    dispatcher.SendWelcome(hellos_handled);
    cr_assert(RunUntil([&] { return !link->owner().empty(); }));
    link->mutable_outgoing().add_updates()->mutable_run()->set_job_id("job");
    link->Flush();
    cr_assert(RunUntil([&] { return CountFrames(1) == 2; }));
  }

  // The frames of the connection with that number, which starts at 1.
  std::size_t CountFrames(std::size_t connection) const {
    return dispatcher.received.size() < connection ? 0 : dispatcher.received[connection - 1].size();
  }
  // Ends the connection and returns the hello of the next one.
  AgentFrame BreakConnection() {
    const std::size_t next = dispatcher.received.size() + 1;
    dispatcher.connection->Close();
    cr_assert(RunUntil([&] { return CountFrames(next) > 0; }));
    return dispatcher.received.back().front();
  }
};

}  // namespace

// Guards against two links to one dispatcher that replace each other's connection again and again,
// because another row of the directory has the dispatcher's address.
Test(dispatcher_link, row_with_the_address_of_another_dispatcher_ends_no_connection) {
  Fixture f;
  DispatcherLink& odd = f.AddLink(f.Address("d-2"));
  cr_assert(f.RunUntil([&] { return f.attachments == 1; }));
  DispatcherLink& link = f.AddLink(f.Address("d-1"));
  // Three times: the odd link, the other one, and once more if its connection was replaced.
  constexpr int kMaxAttachments = 3;
  cr_assert(f.RunUntil([&] {
    return f.attachments > kMaxAttachments || (odd.misdirected() && !link.owner().empty());
  }));
  cr_assert_leq(f.attachments, kMaxAttachments);
  cr_assert_not(odd.connected());
  cr_assert(odd.owner().empty());
  cr_assert_eq(f.disconnections.front(), "d-2: the dispatcher at this address is d-1");
}

// Guards against a link that stays misdirected after its row was corrected, and against one that is
// replaced again and again while the row is the same.
Test(dispatcher_link, corrected_row_replaces_a_misdirected_link) {
  Fixture f;
  EntryAddress address = f.Address("d-2");
  const DispatcherLink& odd = f.AddLink(address);
  cr_assert(f.RunUntil([&] { return odd.misdirected(); }));
  cr_assert_not(odd.IsReplacedBy(address));
  // The dispatcher restarts at that address.
  address.incarnation = 2;
  cr_assert(odd.IsReplacedBy(address));
  address = f.Address("d-2");
  address.rpc_address = "127.0.0.1:" + std::to_string(f.ports.Next());
  cr_assert(odd.IsReplacedBy(address));
}

// Guards against a welcome that counts as a sign of life for runs whose stops come after it: they
// could not be sent while there was no connection.
Test(dispatcher_link, welcome_comes_together_with_stops) {
  Fixture f;
  const zinniamux::core::RunId run{.task = {.job_id = "job"}, .run = 1};
  f.on_frame_handled = [&f, run] {
    f.registry->QueueStop({.agent_id = "s-1", .id = run});
    f.registry->Flush();
  };
  f.AddLink(f.Address("d-1"));
  cr_assert(f.RunUntil([&f] { return !f.frames.empty(); }));
  cr_assert(f.frames.front().has_welcome());
  cr_assert_eq(f.frames.front().stops_size(), 1);
}

// Guards against a row with a wrong address that ends a connection which works, and against a
// dispatcher that is not found at its new address.
Test(dispatcher_link, wrong_address_in_a_row_ends_no_working_connection) {
  Fixture f;
  EntryAddress moved = f.Address("d-1");
  moved.rpc_address = "127.0.0.1:" + std::to_string(f.ports.Next());
  DispatcherLink& link = f.AddLink(f.Address("d-1"));
  cr_assert(link.IsReplacedBy(moved));
  cr_assert(f.RunUntil([&] { return !link.owner().empty(); }));
  cr_assert_not(link.IsReplacedBy(moved));
  f.registry.reset();
  cr_assert(f.RunUntil([&] { return !link.connected(); }));
  cr_assert(link.IsReplacedBy(moved));
}

// Guards against the end of a run that is lost with the connection: the dispatcher would take the
// run for lapsed and order its task again, also if the supervisor gave it up for another
// dispatcher.
Test(dispatcher_link, update_that_was_not_handled_is_sent_again_on_the_next_connection) {
  StandInFixture f(1);
  const AgentFrame hello = f.BreakConnection();
  cr_assert(hello.has_hello());
  cr_assert_eq(hello.updates_size(), 1);
  cr_assert_eq(hello.updates(0).run().job_id(), "job");
  // The hello was not handled either.
  cr_assert_eq(f.BreakConnection().updates_size(), 1);
}

// Guards against the end of a run that is told twice: by then, the job may have been submitted
// again and its runs are numbered from 1 again.
Test(dispatcher_link, update_that_was_handled_is_not_sent_again) {
  StandInFixture f(1);
  f.dispatcher.Confirm(2);
  const std::size_t before = f.frames.size();
  cr_assert(f.RunUntil([&] { return f.frames.size() > before; }));
  cr_assert_eq(f.BreakConnection().updates_size(), 0);
}

// Guards against updates that are kept for ever because the dispatcher does not confirm frames.
Test(dispatcher_link, dispatcher_of_an_earlier_version_gets_no_update_again) {
  StandInFixture f(0);
  f.dispatcher.Confirm(0);
  const std::size_t before = f.frames.size();
  cr_assert(f.RunUntil([&] { return f.frames.size() > before; }));
  cr_assert_eq(f.BreakConnection().updates_size(), 0);
}

// Guards against a dispatcher that confirms updates that it has not handled, or none.
Test(dispatcher_link, dispatcher_confirms_the_frames_that_it_has_handled) {
  Fixture f;
  DispatcherLink& link = f.AddLink(f.Address("d-1"));
  cr_assert(f.RunUntil([&f] { return !f.frames.empty(); }));
  cr_assert_eq(f.frames.front().frames_handled(), 1);
  link.mutable_outgoing().add_updates()->mutable_run()->set_job_id("job");
  link.Flush();
  cr_assert(f.RunUntil([&f] { return f.updates == 1; }));
  const std::size_t before = f.frames.size();
  f.registry->QueueStop({.agent_id = "s-1", .id = {.task = {.job_id = "job"}, .run = 1}});
  f.registry->Flush();
  cr_assert(f.RunUntil([&] { return f.frames.size() > before; }));
  cr_assert_eq(f.frames.back().frames_handled(), 2);
}

// Guards against a supervisor that takes refused connections for the end of a dispatcher's process:
// its next hello named no runs, and the dispatcher ordered them elsewhere while they went on.
Test(dispatcher_link, keeps_what_it_has_of_a_dispatcher_that_refuses_connections) {
  StandInFixture f(1);
  f.dispatcher.Refuse();
  cr_assert(f.RunUntil([&f] { return !f.refusing_owners.empty(); }));
  f.link->mutable_outgoing().add_updates()->mutable_run()->set_job_id("later");
  f.link->Flush();
  cr_assert_eq(f.link->owner(), "d-1@1");
  f.dispatcher.Listen(f.stand_in_port);
  cr_assert(f.RunUntil([&f] { return f.CountFrames(2) > 0; }));
  const AgentFrame& hello = f.dispatcher.received.back().front();
  cr_assert_eq(hello.updates_size(), 2);
  cr_assert_eq(hello.updates(0).run().job_id(), "job");
  cr_assert_eq(hello.updates(1).run().job_id(), "later");
  cr_assert_eq(f.refusing_owners, std::vector<std::string>{"d-1@1"});
  cr_assert(f.lost_owners.empty());
  // Another time.
  f.dispatcher.SendWelcome(1);
  f.dispatcher.Refuse();
  cr_assert(f.RunUntil([&f] { return f.refusing_owners.size() == 2; }));
}

// Guards against ends of runs that an earlier process of a dispatcher has ordered: the next one
// numbers its runs from 1 again, and would take a run of its own for ended.
Test(dispatcher_link, drops_the_updates_for_an_earlier_process_once_another_answers) {
  StandInFixture f(1);
  // Another process answers, which the supervisor does not know before the welcome.
  f.BreakConnection();
  f.link->mutable_outgoing().add_updates()->mutable_run()->set_job_id("later");
  f.link->Flush();
  cr_assert(f.RunUntil([&f] { return f.CountFrames(2) == 2; }));
  f.dispatcher.SendWelcome(1, 2);
  cr_assert(f.RunUntil([&f] { return !f.lost_owners.empty(); }));
  cr_assert_eq(f.lost_owners, std::vector<std::string>{"d-1@1"});
  cr_assert_eq(f.link->owner(), "d-1@2");
  cr_assert_eq(f.BreakConnection().updates_size(), 0);
}
