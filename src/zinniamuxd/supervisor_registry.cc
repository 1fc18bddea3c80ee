// Decoding and encoding of the frames exchanged with supervisors.
#include "zinniamuxd/supervisor_registry.h"

#include <algorithm>
#include <asio/post.hpp>
#include <utility>

#include "zinniamuxd/run_codec.h"

namespace zinniamux::daemon {

using core::Duration;

namespace {

// Dispatchers normally read the configuration from the store. The delay gives that read time before
// a supervisor is asked.
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
                           if (!error) AddPeer(std::move(socket));
                           Accept();
                         });
}

void SupervisorRegistry::AddPeer(asio::ip::tcp::socket socket) {
  auto peer = std::make_shared<Peer>();
  peer->connection =
      std::make_shared<link::FrameConnection>(std::move(socket), link::FrameConnection::Options());
  peer->last_received_at = clock_.now();
  peers_.push_back(peer);
  peer->connection->Start(
      {.on_frame = [this, peer](std::string_view bytes) { OnFrame(peer, bytes); },
       .on_part =
           [peer](std::size_t held_bytes) {
             if (peer->input) peer->input->OnMessagePart(held_bytes);
           },
       .on_closed = [this, peer](const std::string& reason) { ClosePeer(peer, reason); }});
  OpenInput(peer);
}

void SupervisorRegistry::OpenInput(const std::shared_ptr<Peer>& peer) {
  if (input_guard_ == nullptr) return;
  peer->input = input_guard_->Open("rpc");
  if (peer->input->dropped()) return ClosePeer(peer, "too many connections");
  // Posted because another peer's frame may be the reason and is being handled.
  peer->input->SetDropHandler([this, weak = std::weak_ptr<Peer>(peer)] {
    asio::post(loop_, [this, weak] {
      if (const auto dropped = weak.lock()) ClosePeer(dropped, "input over the limits");
    });
  });
}

void SupervisorRegistry::OnFrame(const std::shared_ptr<Peer>& peer, std::string_view bytes) {
  if (peer->input && bytes.size() > link::FrameConnection::kFirstPieceBytes) {
    peer->input->OnMessageComplete();
  }
  runs::AgentFrame frame;
  if (!frame.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return ClosePeer(peer, "malformed frame");
  }
  peer->last_received_at = clock_.now();
  const Duration delay = peer->clock_offset.Record(std::chrono::milliseconds(frame.sent_clock_ms()),
                                                   peer->last_received_at);
  report_pace_.OnMessage(delay, peer->last_received_at);
  // Before the hello: what it changes is sent at once, and a welcome comes only with the stops that
  // follow from the hello.
  const bool is_known = frame.has_hello() || !peer->supervisor_id.empty();
  if (is_known && frame.evacuation_version() > 0 && handlers_.on_evacuation) {
    handlers_.on_evacuation(EvacuationFromMessage(frame));
  }
  if (frame.has_hello() &&
      !OnHello(peer, frame.hello(), std::chrono::milliseconds(frame.sent_clock_ms()))) {
    return;
  }
  if (peer->supervisor_id.empty()) return ClosePeer(peer, "no hello in the first frame");
  handlers_.on_message_delay(peer->supervisor_id, delay);
  for (const runs::RunUpdate& update : frame.updates()) {
    handlers_.on_update(peer->supervisor_id, FromMessage(update.run()), OutcomeFromMessage(update),
                        std::chrono::milliseconds(update.elapsed_ms()));
  }
  ++peer->frames_handled;
  if (frame.has_report()) handlers_.on_report(peer->supervisor_id, FromMessage(frame.report()));
  if (frame.config_version() > 0) {
    exchange_.OnPeerVersion(peer->supervisor_id, frame.config_version(), clock_.now());
  }
  if (frame.wants_config()) {
    peer->outgoing.set_config_body(exchange_.body());
    peer->has_outgoing = true;
  }
  if (!frame.config_body().empty()) {
    handlers_.on_configuration(frame.config_version(), frame.config_body());
  }
  handlers_.on_frame_handled();
  // A welcome comes together with the stops of runs that belong to no job any more, so that it does
  // not count as a sign of life for them.
  const auto registered = peers_by_supervisor_.find(peer->supervisor_id);
  const bool is_registered = registered != peers_by_supervisor_.end() && registered->second == peer;
  if (is_registered && peer->has_outgoing) SendOutgoing(*peer);
}

bool SupervisorRegistry::IsOutdated(const std::string& supervisor_id,
                                    const HelloTime& hello) const {
  const auto last = last_hellos_.find(supervisor_id);
  if (last == last_hellos_.end()) return false;
  if (hello.incarnation == last->second.incarnation) return hello.sent_at < last->second.sent_at;
  // Incarnations follow the time of day, which may be set back between two processes. The later
  // process can attach when the connection of the earlier one has ended.
  return hello.incarnation < last->second.incarnation &&
         peers_by_supervisor_.contains(supervisor_id);
}

bool SupervisorRegistry::OnHello(const std::shared_ptr<Peer>& peer, const runs::AgentHello& hello,
                                 std::chrono::milliseconds sent_at) {
  const HelloTime time{.incarnation = hello.incarnation(), .sent_at = sent_at};
  if (IsOutdated(hello.agent_id(), time)) {
    // Its list of held runs lacks what was ordered on the newer connection.
    const HelloTime& last = last_hellos_.at(hello.agent_id());
    if (handlers_.on_hello_outdated) {
      handlers_.on_hello_outdated({.supervisor_id = hello.agent_id(),
                                   .incarnation = hello.incarnation(),
                                   .newer_incarnation = last.incarnation,
                                   .age = last.sent_at - sent_at});
    }
    ClosePeer(peer, "outdated hello");
    return false;
  }
  last_hellos_[hello.agent_id()] = time;
  const auto earlier = peers_by_supervisor_.find(hello.agent_id());
  if (earlier != peers_by_supervisor_.end() && earlier->second != peer) {
    ClosePeer(earlier->second, "replaced by a new connection");
  }
  peer->supervisor_id = hello.agent_id();
  peers_by_supervisor_[peer->supervisor_id] = peer;
  if (peer->input) peer->input->OnPeerKnown();
  std::vector<core::RunId> held;
  for (const runs::RunRef& run : hello.held_runs()) held.push_back(FromMessage(run));
  handlers_.on_attached(peer->supervisor_id, hello.availability_zone(), hello.incarnation(), held);
  runs::EntryWelcome* welcome = peer->outgoing.mutable_welcome();
  welcome->set_entry_id(options_.entry_id);
  welcome->set_incarnation(options_.incarnation);
  peer->has_outgoing = true;
  return true;
}

void SupervisorRegistry::ClosePeer(const std::shared_ptr<Peer>& peer, const std::string& reason) {
  peer->connection->Close();
  const auto position = std::find(peers_.begin(), peers_.end(), peer);
  if (position == peers_.end()) return;
  peers_.erase(position);
  if (peer->input) peer->input->OnClosed();
  const auto registered = peers_by_supervisor_.find(peer->supervisor_id);
  if (registered == peers_by_supervisor_.end() || registered->second != peer) return;
  peers_by_supervisor_.erase(registered);
  exchange_.OnPeerGone(peer->supervisor_id);
  handlers_.on_detached(peer->supervisor_id, reason);
}

std::size_t SupervisorRegistry::unsent_order_bytes() const {
  std::size_t bytes = 0;
  for (const auto& peer : peers_) {
    bytes += std::min(peer->order_bytes, peer->connection->unsent_bytes());
  }
  return bytes;
}

void SupervisorRegistry::QueueStart(const core::StartTasks& start) {
  const auto registered = peers_by_supervisor_.find(start.agent_id);
  if (registered == peers_by_supervisor_.end()) return;
  Peer& peer = *registered->second;
  ToMessage(start, peer.clock_offset.value(), *peer.outgoing.add_starts());
  peer.has_outgoing = true;
}

void SupervisorRegistry::QueueStop(const core::StopTask& stop) {
  const auto registered = peers_by_supervisor_.find(stop.agent_id);
  if (registered == peers_by_supervisor_.end()) return;
  ToMessage(stop.id, *registered->second->outgoing.add_stops());
  registered->second->has_outgoing = true;
}

void SupervisorRegistry::QueueSupersede(const core::SupersedeJob& job) {
  for (const std::string& supervisor : job.agent_ids) {
    const auto registered = peers_by_supervisor_.find(supervisor);
    if (registered == peers_by_supervisor_.end()) continue;
    registered->second->outgoing.add_superseded_jobs(job.job_id);
    registered->second->has_outgoing = true;
  }
}

void SupervisorRegistry::Flush() {
  // Sending may close a connection, which changes peers_.
  const std::vector<std::shared_ptr<Peer>> peers = peers_;
  for (const auto& peer : peers) {
    if (peer->has_outgoing) SendOutgoing(*peer);
  }
}

void SupervisorRegistry::ShareEvacuation(const core::EvacuationState& state) {
  const bool zones_changed = state.zones != evacuation_.zones;
  evacuation_ = state;
  if (!zones_changed) return;
  for (const auto& [id, peer] : peers_by_supervisor_) peer->has_outgoing = true;
  Flush();
}

void SupervisorRegistry::SendOutgoing(Peer& peer) {
  peer.last_sent_at = clock_.now();
  peer.has_outgoing = false;
  peer.outgoing.set_frames_handled(peer.frames_handled);
  peer.outgoing.set_config_version(exchange_.version());
  if (peer.evacuation_sent < evacuation_.version) {
    peer.evacuation_sent = evacuation_.version;
    ToMessage(evacuation_, peer.outgoing);
  }
  peer.outgoing.set_report_pause_ms(static_cast<std::uint32_t>(report_pace_.pause().count()));
  peer.outgoing.set_wants_changes(peers_by_supervisor_.size() <=
                                  options_.max_executors_for_all_changes);
  if (handlers_.input_handled) {
    // The first frame of the connection has set the offset.
    peer.outgoing.set_input_handled_clock_ms(
        ToClockMilliseconds(handlers_.input_handled() + peer.clock_offset.value()));
  }
  const std::string bytes = peer.outgoing.SerializeAsString();
  if (peer.connection->unsent_bytes() == 0) peer.order_bytes = 0;
  if (peer.outgoing.starts_size() > 0) {
    peer.order_bytes += bytes.size() - peer.outgoing.config_body().size();
  }
  peer.outgoing.Clear();
  // Cleared messages keep their memory for the next ones.
  if (bytes.size() > link::FrameConnection::kKeptBytes) runs::EntryFrame().Swap(&peer.outgoing);
  peer.connection->Send(bytes);
}

void SupervisorRegistry::RequestConfiguration() {
  const std::optional<std::string> supervisor = exchange_.PeerToAsk(clock_.now());
  if (!supervisor) return;
  Peer& peer = *peers_by_supervisor_.at(*supervisor);
  peer.outgoing.set_wants_config(true);
  SendOutgoing(peer);
}

void SupervisorRegistry::OnTimer() {
  const core::TimePoint now = clock_.now();
  const std::vector<std::shared_ptr<Peer>> peers = peers_;
  for (const auto& peer : peers) {
    if (now - peer->last_received_at > options_.silence_limit) {
      ClosePeer(peer, "silent");
      continue;
    }
    if (peer->supervisor_id.empty() || now - peer->last_sent_at < options_.heartbeat) continue;
    SendOutgoing(*peer);
  }
  RequestConfiguration();
}

}  // namespace zinniamux::daemon
