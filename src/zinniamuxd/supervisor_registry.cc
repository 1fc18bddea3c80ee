// Frames from and to supervisors.
#include "zinniamuxd/supervisor_registry.h"

#include <algorithm>
#include <utility>

#include "zinniamuxd/run_codec.h"

namespace zinniamux::daemon {

using core::Duration;

namespace {

// Entries read the store; they need a supervisor's configuration at once only if that fails.
constexpr std::chrono::milliseconds kConfigurationDelay{100};

}  // namespace

SupervisorRegistry::SupervisorRegistry(asio::io_context& loop, Options options,
                                       const core::Clock& clock, Handlers handlers)
    : loop_(loop),
      options_(std::move(options)),
      clock_(clock),
      handlers_(std::move(handlers)),
      acceptor_(loop),
      exchange_({.delay = kConfigurationDelay}, options_.entry_id) {}

SupervisorRegistry::~SupervisorRegistry() {
  for (const auto& peer : peers_) peer->connection->Close();
}

core::Result<void> SupervisorRegistry::Listen() {
  asio::error_code error;
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(options_.address.host, error),
                                         options_.address.port);
  if (!error) acceptor_.open(endpoint.protocol(), error);
  if (!error) acceptor_.set_option(asio::socket_base::reuse_address(true), error);
  if (!error) acceptor_.bind(endpoint, error);
  if (!error) acceptor_.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    return tl::unexpected(
        core::Error{core::ErrorKind::kInternal,
                    "cannot listen on " + AddressText(options_.address) + ": " + error.message(),
                    {}});
  }
  Accept();
  return {};
}

void SupervisorRegistry::Accept() {
  acceptor_.async_accept(loop_,
                         [this](const asio::error_code& error, asio::ip::tcp::socket socket) {
                           if (error == asio::error::operation_aborted) return;
                           if (!error) Adopt(std::move(socket));
                           Accept();
                         });
}

void SupervisorRegistry::Adopt(asio::ip::tcp::socket socket) {
  auto peer = std::make_shared<Peer>();
  peer->connection =
      std::make_shared<link::FrameConnection>(std::move(socket), link::FrameConnection::Options());
  peer->heard_at = clock_.now();
  peers_.push_back(peer);
  peer->connection->Start(
      {.on_frame = [this, peer](std::string_view bytes) { OnFrame(peer, bytes); },
       .on_closed = [this, peer](const std::string& reason) { Drop(peer, reason); }});
}

void SupervisorRegistry::OnFrame(const std::shared_ptr<Peer>& peer, std::string_view bytes) {
  runs::AgentFrame frame;
  if (!frame.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return Drop(peer, "a frame that cannot be read");
  }
  peer->heard_at = clock_.now();
  const Duration sent_at = std::chrono::milliseconds(frame.sent_clock_ms());
  peer->clock_offset = std::max(peer->clock_offset, sent_at - peer->heard_at.time_since_epoch());
  if (frame.has_hello()) OnHello(peer, frame.hello());
  if (peer->agent_id.empty()) return Drop(peer, "no introduction");
  // Sending the welcome may have dropped the peer.
  const auto named = by_agent_.find(peer->agent_id);
  if (named == by_agent_.end() || named->second != peer) return;
  for (const runs::RunUpdate& update : frame.updates()) {
    handlers_.on_update(peer->agent_id, FromMessage(update.run()),
                        static_cast<core::RunOutcome>(update.outcome()),
                        std::chrono::milliseconds(update.elapsed_ms()));
  }
  if (frame.has_report()) handlers_.on_report(peer->agent_id, FromMessage(frame.report()));
  if (frame.config_version() > 0) {
    exchange_.OnPeerVersion(peer->agent_id, frame.config_version(), clock_.now());
  }
  if (frame.wants_config()) {
    peer->outgoing.set_config_body(exchange_.body());
    peer->has_outgoing = true;
  }
  if (!frame.config_body().empty()) {
    handlers_.on_configuration(frame.config_version(), frame.config_body());
  }
  handlers_.on_frame_done();
}

void SupervisorRegistry::OnHello(const std::shared_ptr<Peer>& peer, const runs::AgentHello& hello) {
  const auto earlier = by_agent_.find(hello.agent_id());
  if (earlier != by_agent_.end() && earlier->second != peer) {
    Drop(earlier->second, "replaced by a new connection");
  }
  peer->agent_id = hello.agent_id();
  by_agent_[peer->agent_id] = peer;
  std::vector<core::RunId> held;
  for (const runs::RunRef& run : hello.held_runs()) held.push_back(FromMessage(run));
  handlers_.on_attached(peer->agent_id, hello.availability_zone(), hello.incarnation(), held);
  runs::EntryWelcome* welcome = peer->outgoing.mutable_welcome();
  welcome->set_entry_id(options_.entry_id);
  welcome->set_incarnation(options_.incarnation);
  peer->has_outgoing = true;
  Send(*peer);
}

void SupervisorRegistry::Drop(const std::shared_ptr<Peer>& peer, const std::string& reason) {
  peer->connection->Close();
  const auto position = std::find(peers_.begin(), peers_.end(), peer);
  if (position == peers_.end()) return;
  peers_.erase(position);
  const auto named = by_agent_.find(peer->agent_id);
  if (named == by_agent_.end() || named->second != peer) return;
  by_agent_.erase(named);
  exchange_.OnPeerGone(peer->agent_id);
  handlers_.on_detached(peer->agent_id, reason);
}

void SupervisorRegistry::Add(const core::StartTasks& start) {
  const auto found = by_agent_.find(start.agent_id);
  if (found == by_agent_.end()) return;
  Peer& peer = *found->second;
  ToMessage(start, peer.clock_offset, *peer.outgoing.add_starts());
  peer.has_outgoing = true;
}

void SupervisorRegistry::Add(const core::StopTask& stop) {
  const auto found = by_agent_.find(stop.agent_id);
  if (found == by_agent_.end()) return;
  ToMessage(stop.id, *found->second->outgoing.add_stops());
  found->second->has_outgoing = true;
}

void SupervisorRegistry::Flush() {
  // Sending may drop a peer, which changes the list.
  const std::vector<std::shared_ptr<Peer>> peers = peers_;
  for (const auto& peer : peers) {
    if (peer->has_outgoing) Send(*peer);
  }
}

void SupervisorRegistry::Send(Peer& peer) {
  peer.sent_at = clock_.now();
  peer.has_outgoing = false;
  peer.outgoing.set_config_version(exchange_.version());
  peer.outgoing.set_wants_changes(by_agent_.size() <= options_.few_executors);
  const std::string bytes = peer.outgoing.SerializeAsString();
  peer.outgoing.Clear();
  peer.connection->Send(bytes);
}

void SupervisorRegistry::AskForConfiguration() {
  const std::optional<std::string> agent = exchange_.PeerToAsk(clock_.now());
  if (!agent) return;
  Peer& peer = *by_agent_.at(*agent);
  peer.outgoing.set_wants_config(true);
  Send(peer);
}

void SupervisorRegistry::OnTimer() {
  const core::TimePoint now = clock_.now();
  const std::vector<std::shared_ptr<Peer>> peers = peers_;
  for (const auto& peer : peers) {
    if (now - peer->heard_at > options_.silence_limit) {
      Drop(peer, "silent");
      continue;
    }
    if (peer->agent_id.empty() || now - peer->sent_at < options_.heartbeat) continue;
    Send(*peer);
  }
  AskForConfiguration();
}

}  // namespace zinniamux::daemon
