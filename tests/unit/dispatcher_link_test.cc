// DispatcherLink and SupervisorRegistry on one event loop, over loopback.
#include "zinniamuxd/dispatcher_link.h"

#include <criterion/criterion.h>

#include <asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "adapters/steady_clock.h"
#include "support/port_block.h"
#include "zinniamuxd/supervisor_registry.h"

namespace {

using zinniamux::core::EntryAddress;
using zinniamux::daemon::DispatcherLink;
using zinniamux::daemon::SupervisorRegistry;

// Far longer than any step takes, so that only a failing test reaches it.
constexpr std::chrono::seconds kTestTimeout{30};

// The dispatcher "d-1" and links of the supervisor "s-1".
struct Fixture {
  asio::io_context loop;
  zinniamux::adapters::SteadyClock clock;
  zinniamux::testing::PortBlock ports;
  std::uint16_t port = ports.Next();
  int attachments = 0;
  std::function<void()> on_frame_handled = [] {};
  std::vector<zinniamux::runs::EntryFrame> frames;
  std::optional<SupervisorRegistry> registry;
  // "ID: REASON" of each connection that ended.
  std::vector<std::string> disconnections;
  std::vector<std::shared_ptr<DispatcherLink>> links;

  Fixture() {
    registry.emplace(
        loop,
        SupervisorRegistry::Options{.address = {.port = port}, .entry_id = "d-1", .incarnation = 1},
        clock,
        SupervisorRegistry::Handlers{.on_attached = [this](const auto&...) { ++attachments; },
                                     .on_detached = [](const auto&...) {},
                                     .on_report = [](const auto&...) {},
                                     .on_update = [](const auto&...) {},
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
            .on_owner_lost = [](const auto&...) {},
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
