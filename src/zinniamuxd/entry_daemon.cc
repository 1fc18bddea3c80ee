// Connects the parts of the entry role.
#include "zinniamuxd/entry_daemon.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>
#include <variant>

#include "adapters/caller_codec.h"
#include "adapters/config_codec.h"
#include "rpc/convert.h"
#include "zinniamuxd/incarnation.h"

namespace zinniamux::daemon {
namespace {

using adapters::HttpRequest;
using adapters::HttpResponder;
using adapters::LogLevel;
using std::chrono::milliseconds;

constexpr milliseconds kTimerPeriod{10};
constexpr milliseconds kRpcShutdownTimeout{500};
// The servers stop when no request has been in flight for this long.
constexpr milliseconds kIdleTimeBeforeStop{200};
// An entry that becomes the owner of a shard while it stops waits this long for jobs that the
// previous owner resubmits.
constexpr milliseconds kResubmissionWait{2000};
// How long a stopping entry tries to hand over its shards while another entry and the table
// respond.
constexpr milliseconds kMaxHandoverTime{10'000};
// The longest deadline of a submission, with a margin for its answer.
constexpr std::chrono::minutes kMaxShutdownTime{11};

core::EntryAddress SelfAddress(const adapters::EntrySettings& settings) {
  return {.entry_id = settings.id,
          .incarnation = RandomIncarnation(),
          .rpc_address = settings.rpc_advertised.empty() ? adapters::AddressText(settings.rpc)
                                                         : settings.rpc_advertised};
}

}  // namespace

EntryDaemon::EntryDaemon(adapters::EntrySettings settings, const core::Clock& clock,
                         adapters::JsonLog& log)
    : settings_(std::move(settings)),
      clock_(clock),
      log_(log),
      self_(SelfAddress(settings_)),
      metrics_(clock),
      entry_metrics_(metrics_, clock, log),
      decisions_(log, {.max_bytes = settings_.limits.max_explain_bytes}),
      unreadable_rows_(log),
      store_client_(std::make_unique<adapters::HttpClient>()),
      store_({.url = settings_.store_url}, *store_client_, clock),
      last_owned_at_(clock.now()),
      agents_(std::make_unique<AgentRegistry>(
          clock, entry_metrics_.messages(),
          AgentRegistry::Hooks{
              .make_welcome = [this] { return MakeWelcome(); },
              .on_attached = [this](const core::AgentHello& hello) { OnAgentAttached(hello); },
              .on_message =
                  [this](const std::string& agent_id, std::uint32_t shard,
                         v1::AgentMessage message) {
                    const ShardHost* host = FindShardHost(shard);
                    const auto owned = host == nullptr ? nullptr : host->owned_shard();
                    return owned != nullptr && owned->OnAgentMessage(agent_id, std::move(message));
                  },
              .on_detached =
                  [this](const std::string& agent_id, std::uint32_t shard) {
                    log_.Write(LogLevel::kWarning, "agent_detached", {{"agent", agent_id}});
                    const ShardHost* host = FindShardHost(shard);
                    const auto owned = host == nullptr ? nullptr : host->owned_shard();
                    if (owned != nullptr) owned->OnAgentDetached(agent_id);
                  }})) {
  CreatePeers();
  CreateShards();
  config_service_ = std::make_unique<ConfigService>(
      store_, clock_,
      ConfigService::Hooks{
          .validate = [](std::string_view body) -> core::Result<void> {
            const auto config = adapters::ParseConfig(body, 1);
            if (!config) return tl::unexpected(config.error());
            return {};
          },
          .on_in_force = [this](const core::ConfigVersion& version) { OnConfigInForce(version); },
          .on_problem = [this](const std::string& text) { LogProblem("configuration", text); }});
  caller_api_ = std::make_unique<CallerApi>(
      *router_, clock_,
      CallerApi::Hooks{
          .submission_refusal = [this] { return SubmissionRefusal(); },
          .explain = [this](const std::string& id) { return decisions_.Explain(id); }});
  admin_api_ = std::make_unique<AdminApi>(
      *agents_, *config_service_, shards_,
      AdminApi::Hooks{.is_ready = [this] { return IsReady(); },
                      .metrics_text =
                          [this] {
                            return entry_metrics_.Export(shards_, agents_->AttachedAgents().size(),
                                                         config_version_);
                          }});
  rpc_service_ = std::make_unique<RpcService>(
      RpcService::Hooks{
          .accept_agent =
              [this](grpc::CallbackServerContext* context) { return agents_->Accept(context); },
          .on_heartbeat =
              [this](const v1::PeerStatus& status) { return peers_->OnHeartbeat(status); },
          .owned_shard_for =
              [this](const core::Submission& submission) {
                return shards_[router_->ShardOf(submission)]->owned_shard();
              },
          .owned_shards = [this] { return OwnedShards(); },
          .refuses_submissions = [this] { return refuses_submissions_.load(); }},
      entry_metrics_.messages(), clock_);
}

EntryDaemon::~EntryDaemon() {
  // Components that call others are stopped before the components that they call: servers, calls to
  // peers, then the store's client, whose callbacks run on its own thread.
  if (caller_server_ != nullptr) caller_server_->Stop();
  if (admin_server_ != nullptr) admin_server_->Stop();
  if (rpc_server_ != nullptr) {
    rpc_server_->Shutdown(std::chrono::system_clock::now());
    rpc_server_->Wait();
  }
  peers_->Close();
  roster_->Close();
  for (const auto& host : shards_) host->Close();
  config_service_.reset();
  store_client_.reset();
}

void EntryDaemon::CreatePeers() {
  roster_ = std::make_shared<RosterService>(
      core::EntryRoster::Options{.self = self_}, store_, clock_, [this] { OnRosterChanged(); },
      [this](const core::UnreadableRow& row) { unreadable_rows_.Write(row); });
  peers_ = std::make_shared<PeerExchange>(
      PeerExchange::Options{.self = self_, .seeds = settings_.peers}, clock_,
      PeerExchange::Hooks{
          .make_status =
              [this](std::uint64_t peer_version) { return MakePeerStatus(peer_version); },
          .on_status = [this](const v1::PeerStatus& status) { OnPeerStatus(status); },
          .on_connection_refused =
              [this](const std::string& address) {
                for (const auto& host : shards_) {
                  host->Apply([&](core::ShardOwnership& ownership) {
                    ownership.OnConnectionRefused(address);
                  });
                }
              },
          .live_entries = [this] { return roster_->members(); }});
}

void EntryDaemon::CreateShards() {
  for (std::uint32_t shard = 0; shard < settings_.shards; ++shard) {
    shards_.push_back(std::make_shared<ShardHost>(
        core::ShardOwnership::Options{
            .shard = shard, .self = self_, .seed = self_.incarnation + shard},
        store_, clock_,
        ShardHost::Hooks{
            .make_owned_shard =
                [this, shard](const core::StartOwning& start) {
                  return MakeOwnedShard(shard, start);
                },
            .on_route_changed = [this, shard] { OnRouteChanged(shard); },
            .on_unfinished_jobs =
                [this](std::vector<core::Submission> submissions) {
                  for (core::Submission& submission : submissions) {
                    router_->Resubmit(std::move(submission));
                  }
                },
            .on_problem = [this](const std::string& text) { LogProblem("shard row", text); }}));
  }
  router_ = std::make_unique<JobRouter>(
      JobRouter::Options{}, shards_, clock_,
      JobRouter::Hooks{
          .client_for = [this](const std::string& address) { return peers_->ClientFor(address); },
          .on_peer_failure =
              [this](const std::string& address, bool refused) {
                if (!refused) return;
                for (const auto& host : shards_) {
                  host->Apply([&](core::ShardOwnership& ownership) {
                    ownership.OnConnectionRefused(address);
                  });
                }
              },
          .on_forward =
              [this](const std::string& submission_id, const std::string& address,
                     bool resubmission) {
                log_.Write(LogLevel::kInfo, "forwarded",
                           {{"job", submission_id},
                            {"owner_address", address},
                            {"resubmission", resubmission},
                            {"reason", "another entry owns the shard"}});
              }});
}

std::shared_ptr<OwnedShard> EntryDaemon::MakeOwnedShard(std::uint32_t shard,
                                                        const core::StartOwning& start) {
  log_.Write(LogLevel::kInfo, "shard_won", {{"shard", shard}, {"epoch", start.epoch}});
  last_owned_at_ = clock_.now();
  const std::shared_ptr<ShardHost> host = shards_[shard];
  return std::make_shared<OwnedShard>(
      OwnedShard::Options{.shard = shard,
                          .epoch = start.epoch,
                          .row_version = start.row_version,
                          .incarnation = self_.incarnation,
                          .availability_zone = settings_.availability_zone},
      OwnedShard::Hooks{
          .on_action =
              [this](core::DispatcherAction action) {
                if (auto* log = std::get_if<core::LogDecision>(&action)) {
                  entry_metrics_.OnDecision(log->record);
                  decisions_.Record(std::move(log->record));
                }
              },
          .current_config = [this] { return config(); },
          .on_running = [host] { host->OnOwnedShardRunning(); },
          .on_row_outdated =
              [host] {
                host->Apply([](core::ShardOwnership& own) { own.OnRowVersionOutdated(); });
              },
          .on_epoch_seen =
              [host](std::uint64_t epoch) {
                host->Apply([epoch](core::ShardOwnership& own) { own.OnEpochSeen(epoch); });
              },
          .on_problem = [this](const std::string& text) { LogProblem("shard", text); }},
      store_, *agents_, clock_);
}

core::Result<void> EntryDaemon::Start() {
  if (settings_.store_url.empty()) {
    return tl::unexpected(core::Error{
        core::ErrorKind::kInvalidRequest, "entry.store: an entry needs the table service", {}});
  }
  return StartServers();
}

core::Result<void> EntryDaemon::StartServers() {
  grpc::ServerBuilder builder;
  int bound_port = 0;
  const std::string address = adapters::AddressText(settings_.rpc);
  builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &bound_port);
  builder.RegisterService(rpc_service_.get());
  rpc_server_ = builder.BuildAndStart();
  if (rpc_server_ == nullptr || bound_port == 0) {
    return tl::unexpected(
        core::Error{core::ErrorKind::kInternal, "cannot listen on " + address, {}});
  }
  auto caller = adapters::HttpServer::Start(
      {.address = settings_.caller.host,
       .port = settings_.caller.port,
       .threads = settings_.threads,
       .max_body_bytes = settings_.limits.max_body_bytes},
      [this](const HttpRequest& request, const HttpResponder& respond) {
        caller_api_->Serve(request, entry_metrics_.WrapResponder(request, respond));
      });
  if (!caller) return tl::unexpected(caller.error());
  caller_server_ = *std::move(caller);
  auto admin =
      adapters::HttpServer::Start({.address = settings_.admin.host,
                                   .port = settings_.admin.port,
                                   .threads = 1,
                                   .max_body_bytes = settings_.limits.max_body_bytes},
                                  [this](const HttpRequest& request, const HttpResponder& respond) {
                                    admin_api_->Serve(request, respond);
                                  });
  if (!admin) return tl::unexpected(admin.error());
  admin_server_ = *std::move(admin);
  return {};
}

ShardHost* EntryDaemon::FindShardHost(std::uint32_t shard) const {
  return shard < shards_.size() ? shards_[shard].get() : nullptr;
}

std::vector<std::shared_ptr<OwnedShard>> EntryDaemon::OwnedShards() const {
  std::vector<std::shared_ptr<OwnedShard>> shards;
  for (const auto& host : shards_) {
    if (auto shard = host->owned_shard()) shards.push_back(std::move(shard));
  }
  return shards;
}

std::optional<core::DispatchConfig> EntryDaemon::config() const {
  const std::lock_guard lock(mutex_);
  return config_;
}

v1::Welcome EntryDaemon::MakeWelcome() const {
  v1::Welcome welcome;
  welcome.set_entry_id(self_.entry_id);
  welcome.set_incarnation(self_.incarnation);
  for (const core::EntryAddress& entry : roster_->members()) {
    *welcome.add_roster() = rpc::ToProto(entry);
  }
  return welcome;
}

v1::PeerStatus EntryDaemon::MakePeerStatus(std::uint64_t peer_config_version) const {
  v1::PeerStatus status;
  *status.mutable_sender() = rpc::ToProto(self_);
  for (const core::EntryAddress& entry : roster_->members()) {
    *status.add_roster() = rpc::ToProto(entry);
  }
  for (const auto& host : shards_) {
    const ShardRoute route = host->route();
    if (!route.owner) continue;
    v1::ShardOwner* owner = status.add_owners();
    owner->set_shard(host->shard());
    owner->set_epoch(route.owner->epoch);
    *owner->mutable_owner() = rpc::ToProto(route.owner->owner);
  }
  const std::uint64_t version = config_version_;
  status.set_config_version(version);
  if (peer_config_version < version) {
    const core::ConfigVersion in_force = config_service_->in_force();
    status.set_config_version(in_force.version);
    status.set_config_body(in_force.body);
  }
  status.set_stopping(stopping_);
  return status;
}

void EntryDaemon::OnPeerStatus(const v1::PeerStatus& status) {
  const core::EntryAddress sender = rpc::FromProto(status.sender());
  roster_->OnEntryHeard(sender);
  std::vector<core::EntryAddress> roster;
  for (const v1::EntryAddress& entry : status.roster()) roster.push_back(rpc::FromProto(entry));
  roster_->OnPeerRoster(roster);
  for (const auto& host : shards_) {
    host->Apply([&](core::ShardOwnership& ownership) { ownership.OnEntryHeard(sender); });
  }
  for (const v1::ShardOwner& owner : status.owners()) {
    ShardHost* host = FindShardHost(owner.shard());
    if (host == nullptr) continue;
    const core::ShardRow row{.epoch = owner.epoch(), .owner = rpc::FromProto(owner.owner())};
    host->Apply([&](core::ShardOwnership& ownership) { ownership.OnOwnerReported(row); });
  }
  if (!status.config_body().empty()) {
    config_service_->OnPeerConfig(
        {.version = status.config_version(), .body = status.config_body()});
  } else if (status.config_version() > 0) {
    config_service_->OnPeerVersion(status.config_version());
  }
}

void EntryDaemon::OnAgentAttached(const core::AgentHello& hello) {
  log_.Write(LogLevel::kInfo, "agent_attached",
             {{"agent", hello.agent_id}, {"shard", hello.shard}, {"epoch", hello.epoch}});
  ShardHost* host = FindShardHost(hello.shard);
  if (host == nullptr) {
    LogProblem("agent", hello.agent_id + " belongs to a shard that does not exist");
    return;
  }
  host->Apply([&](core::ShardOwnership& ownership) { ownership.OnEpochSeen(hello.epoch); });
  const auto owned = host->owned_shard();
  if (owned != nullptr) owned->OnAgentAttached(hello.agent_id);
}

void EntryDaemon::OnRosterChanged() {
  std::vector<std::string> ids;
  for (const core::EntryAddress& entry : roster_->members()) ids.push_back(entry.entry_id);
  log_.Write(LogLevel::kInfo, "roster", {{"entries", ids}});
  for (const auto& host : shards_) {
    host->Apply([&](core::ShardOwnership& ownership) { ownership.SetCandidates(ids); });
  }
  agents_->SendWelcomes();
}

void EntryDaemon::OnRouteChanged(std::uint32_t shard) {
  const ShardRoute route = shards_[shard]->route();
  if (route.owner) {
    log_.Write(LogLevel::kInfo, "shard_owner",
               {{"shard", shard},
                {"epoch", route.owner->epoch},
                {"owner", route.owner->owner.entry_id},
                {"running_here", route.local != nullptr}});
  }
  router_->OnRouteChanged(shard);
  peers_->SendHeartbeatsNow();
}

void EntryDaemon::OnConfigInForce(const core::ConfigVersion& version) {
  core::Result<core::DispatchConfig> parsed = adapters::ParseConfig(version.body, version.version);
  if (!parsed) {
    LogProblem("configuration", parsed.error().message);
    return;
  }
  {
    const std::lock_guard lock(mutex_);
    config_ = *parsed;
  }
  config_version_ = version.version;
  log_.Write(LogLevel::kInfo, "config_in_force", {{"version", version.version}});
  for (const auto& owned : OwnedShards()) owned->OnConfig(*parsed);
  peers_->SendHeartbeatsNow();
}

void EntryDaemon::LogProblem(std::string_view part, const std::string& text) {
  log_.Write(LogLevel::kWarning, "problem", {{"part", part}, {"text", text}});
}

bool EntryDaemon::IsReady() const {
  if (stopping_ || config_version_ == 0) return false;
  if (config_service_->knowledge() == core::ConfigKnowledge::kFromTable) return true;
  return std::all_of(shards_.begin(), shards_.end(), [](const auto& host) {
    const ShardRoute route = host->route();
    return route.owner && !route.owner_is_self && !route.owner_missing;
  });
}

std::optional<core::Error> EntryDaemon::SubmissionRefusal() const {
  if (refuses_submissions_) {
    return core::Error{core::ErrorKind::kShuttingDown, "this entry is stopping", {}};
  }
  if (config_version_ == 0) {
    return core::Error{core::ErrorKind::kNotReady, "no configuration is known yet", {}};
  }
  return std::nullopt;
}

void EntryDaemon::UpdateMayTakeOver() {
  const bool may_take_over =
      !stopping_ && config_service_->knowledge() == core::ConfigKnowledge::kFromTable;
  if (may_take_over_ == may_take_over) return;
  may_take_over_ = may_take_over;
  for (const auto& host : shards_) {
    host->Apply([may_take_over](core::ShardOwnership& ownership) {
      ownership.SetMayTakeOver(may_take_over);
    });
  }
}

void EntryDaemon::OnTimer() {
  config_service_->OnTimer();
  UpdateMayTakeOver();
  roster_->OnTimer();
  peers_->OnTimer();
  for (const auto& host : shards_) host->OnTimer();
  router_->OnTimer();
  agents_->OnTimer();
}

void EntryDaemon::RunTimerUntil(core::TimePoint until) {
  while (clock_.now() < until) {
    OnTimer();
    std::this_thread::sleep_for(kTimerPeriod);
  }
}

void EntryDaemon::ContinueHandover() {
  const std::optional<core::EntryAddress> target = peers_->HandoverTarget();
  bool cannot_hand_over = false;
  for (const auto& host : shards_) {
    if (host->owned_epoch() == 0) continue;
    cannot_hand_over = cannot_hand_over || !target || !host->route().store_answers;
    if (!target || host->handing_over()) continue;
    log_.Write(LogLevel::kInfo, "hand_over",
               {{"shard", host->shard()}, {"target", target->entry_id}});
    host->Apply([&](core::ShardOwnership& ownership) { ownership.HandOver(*target); });
  }
  refuses_submissions_ = cannot_hand_over;
}

bool EntryDaemon::IsIdle() const {
  if (router_->in_flight() > 0 || rpc_service_->in_flight() > 0) return false;
  const auto shards = OwnedShards();
  return std::all_of(shards.begin(), shards.end(),
                     [](const auto& shard) { return shard->unfinished_jobs() == 0; });
}

void EntryDaemon::Stop() {
  stopping_ = true;
  const core::TimePoint started_at = clock_.now();
  UpdateMayTakeOver();
  peers_->SendHeartbeatsNow();
  RunTimerUntil(started_at + settings_.drain_notice);
  const core::TimePoint drain_notice_ended_at = clock_.now();
  core::TimePoint last_busy_at = clock_.now();
  while (clock_.now() < started_at + kMaxShutdownTime) {
    ContinueHandover();
    RunTimerUntil(clock_.now() + kTimerPeriod);
    const core::TimePoint now = clock_.now();
    const bool handover_pending = !OwnedShards().empty() && !refuses_submissions_ &&
                                  now - drain_notice_ended_at < kMaxHandoverTime;
    const bool awaiting_resubmissions =
        !OwnedShards().empty() && now - last_owned_at_.load() < kResubmissionWait;
    if (handover_pending || awaiting_resubmissions || !IsIdle()) last_busy_at = now;
    if (now - last_busy_at >= kIdleTimeBeforeStop) break;
  }
  caller_server_->Stop();
  admin_server_->Stop();
  rpc_server_->Shutdown(std::chrono::system_clock::now() + kRpcShutdownTimeout);
  rpc_server_->Wait();
}

}  // namespace zinniamux::daemon
