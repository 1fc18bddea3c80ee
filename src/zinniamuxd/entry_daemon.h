// The entry role: accepts jobs from callers, owns shards, and communicates with agents and other
// entries.
#ifndef ZINNIAMUX_ZINNIAMUXD_ENTRY_DAEMON_H_
#define ZINNIAMUX_ZINNIAMUXD_ENTRY_DAEMON_H_

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "adapters/decision_log.h"
#include "adapters/http_client.h"
#include "adapters/http_server.h"
#include "adapters/http_table_store.h"
#include "adapters/json_log.h"
#include "adapters/metrics.h"
#include "adapters/settings.h"
#include "core/clock.h"
#include "core/dispatch_config.h"
#include "core/entry_address.h"
#include "zinniamuxd/admin_api.h"
#include "zinniamuxd/agent_registry.h"
#include "zinniamuxd/caller_api.h"
#include "zinniamuxd/config_service.h"
#include "zinniamuxd/entry_metrics.h"
#include "zinniamuxd/job_router.h"
#include "zinniamuxd/peer_exchange.h"
#include "zinniamuxd/roster_service.h"
#include "zinniamuxd/rpc_service.h"
#include "zinniamuxd/shard_host.h"
#include "zinniamuxd/unreadable_row_log.h"

namespace zinniamux::daemon {

// One entry process: creates its components and connects them. Threads: RESTinio's, gRPC's, the
// store client's, and the caller of OnTimer.
class EntryDaemon {
 public:
  EntryDaemon(adapters::EntrySettings settings, const core::Clock& clock, adapters::JsonLog& log);
  ~EntryDaemon();

  core::Result<void> Start();
  // Called every few milliseconds by the main thread.
  void OnTimer();
  // A graceful shutdown: hands over the shards and returns when no request is in flight.
  void Stop();

 private:
  void CreateShards();
  void CreatePeers();
  core::Result<void> StartServers();

  v1::Welcome MakeWelcome() const;
  v1::PeerStatus MakePeerStatus(std::uint64_t peer_config_version) const;
  void OnPeerStatus(const v1::PeerStatus& status);
  void OnAgentAttached(const core::AgentHello& hello);
  void OnRosterChanged();
  void OnRouteChanged(std::uint32_t shard);
  void OnConfigInForce(const core::ConfigVersion& version);
  void LogProblem(std::string_view part, const std::string& text);
  std::shared_ptr<OwnedShard> MakeOwnedShard(std::uint32_t shard, const core::StartOwning& start);
  std::optional<core::DispatchConfig> config() const;
  ShardHost* FindShardHost(std::uint32_t shard) const;
  std::vector<std::shared_ptr<OwnedShard>> OwnedShards() const;

  bool IsReady() const;
  // The error for new submissions while this entry accepts none.
  std::optional<core::Error> SubmissionRefusal() const;
  void UpdateMayTakeOver();
  // Starts the handover of owned shards that are not being handed over yet. Called repeatedly by
  // Stop.
  void ContinueHandover();
  bool IsIdle() const;
  void RunTimerUntil(core::TimePoint until);

  const adapters::EntrySettings settings_;
  const core::Clock& clock_;
  adapters::JsonLog& log_;
  const core::EntryAddress self_;
  adapters::Metrics metrics_;
  EntryMetrics entry_metrics_;
  adapters::DecisionLog decisions_;
  // Used by callbacks of store_client_.
  UnreadableRowLog unreadable_rows_;
  std::unique_ptr<adapters::HttpClient> store_client_;
  adapters::HttpTableStore store_;
  std::atomic<bool> stopping_{false};
  // This entry is stopping and cannot hand over a shard that it owns.
  std::atomic<bool> refuses_submissions_{false};
  std::atomic<std::uint64_t> config_version_{0};
  std::optional<bool> may_take_over_;
  // When this entry last became the owner of a shard.
  std::atomic<core::TimePoint> last_owned_at_;
  mutable std::mutex mutex_;
  // Guarded by mutex_.
  std::optional<core::DispatchConfig> config_;

  // In the order of construction; the servers come last, because they call all other members.
  std::unique_ptr<AgentRegistry> agents_;
  std::shared_ptr<RosterService> roster_;
  std::shared_ptr<PeerExchange> peers_;
  std::vector<std::shared_ptr<ShardHost>> shards_;
  std::unique_ptr<JobRouter> router_;
  std::unique_ptr<ConfigService> config_service_;
  std::unique_ptr<CallerApi> caller_api_;
  std::unique_ptr<AdminApi> admin_api_;
  std::unique_ptr<RpcService> rpc_service_;
  std::unique_ptr<grpc::Server> rpc_server_;
  std::unique_ptr<adapters::HttpServer> caller_server_;
  std::unique_ptr<adapters::HttpServer> admin_server_;
};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_ENTRY_DAEMON_H_
