// The agent role: the process next to an executor through which all tasks reach it.
#ifndef ZINNIAMUX_ZINNIAMUXD_AGENT_DAEMON_H_
#define ZINNIAMUX_ZINNIAMUXD_AGENT_DAEMON_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "adapters/http_client.h"
#include "adapters/http_message.h"
#include "adapters/http_server.h"
#include "adapters/json_log.h"
#include "adapters/settings.h"
#include "core/agent_core.h"
#include "core/clock.h"
#include "core/table_store.h"
#include "zinniamuxd/entry_connection.h"

namespace zinniamux::daemon {

// One agent process. Threads: gRPC's, RESTinio's, libcurl's, the store's, and the caller of
// OnTimer.
class AgentDaemon {
 public:
  // `store` may be null; the shard row is then never read. It must outlive the daemon.
  AgentDaemon(adapters::AgentSettings settings, const core::Clock& clock, adapters::JsonLog& log,
              core::TableStore* store = nullptr);

  core::Result<void> Start();
  // Called every few milliseconds by the main thread.
  void OnTimer();
  // A graceful shutdown: accepts no new tasks and returns when no task is running and the owner has
  // acknowledged the results, or has failed to do so for a few seconds.
  void Stop();

 private:
  // State of the connection to one entry address.
  struct Link {
    std::shared_ptr<EntryConnection> connection;
    core::TimePoint retry_at;
    // Number of consecutive connections that ended before a Welcome arrived.
    unsigned failures = 0;
  };
  struct ExecutorCall {
    core::StartTask start;
    std::string address;
  };

  void ServeLocal(const adapters::HttpRequest& request, const adapters::HttpResponder& respond);
  adapters::HttpResponse ServeAnnounce(const std::string& body);
  adapters::HttpResponse ServeLeave(const std::string& body);
  adapters::HttpResponse ServeReady();
  adapters::HttpResponse ServeMetrics();

  // Calls `event` under the lock, then carries out the core's actions.
  void Apply(const std::function<void()>& event);

  // Called with the lock held, except ReadShardRow, which needs no lock.
  void Connect(const std::string& address, Link& link);
  void HandleEntryMessage(const std::shared_ptr<EntryConnection>& connection,
                          v1::EntryMessage message);
  void HandleWelcome(const std::shared_ptr<EntryConnection>& connection,
                     const v1::Welcome& welcome);
  void UpdateLinks();
  void MaintainLinks();
  void ReadShardRow();
  // Sends messages in the order of the core's actions. Tasks to start are returned, so that libcurl
  // is called without the lock.
  std::vector<ExecutorCall> CarryOut();
  void SendTo(const std::string& entry_id, v1::AgentMessage message);
  void Broadcast(const v1::AgentMessage& message);
  core::Duration RetryDelay(unsigned failures);
  bool IsCurrent(const std::shared_ptr<EntryConnection>& connection) const;
  std::size_t attached_entries() const;

  // Called without the lock.
  void OnEntryMessage(const std::shared_ptr<EntryConnection>& connection, v1::EntryMessage message);
  void OnEntryClosed(std::shared_ptr<EntryConnection> connection);
  // Called by the main thread.
  void DestroyEndedConnections();
  void RunTask(ExecutorCall call);
  void OnTaskResponse(const core::TaskKey& key, core::TimePoint started,
                      adapters::HttpResult result);
  void OnShardRow(core::TimePoint requested_at,
                  const core::Result<std::optional<core::TableRow>>& row);
  // Returns whether no task is running and all results are acknowledged, or `deadline` has passed.
  bool ResultsDelivered(core::TimePoint deadline);
  // Writes the ledger to the object store, so that a new owner of the shard can read it after this
  // process has ended. Waits for the store for a limited time.
  void PublishLedger();
  void CloseConnections();

  const adapters::AgentSettings settings_;
  const core::Clock& clock_;
  adapters::JsonLog& log_;
  core::TableStore* const store_;
  std::mutex mutex_;
  // Guarded by mutex_.
  core::AgentCore core_;
  std::map<std::string, Link> links_;
  // RPC addresses of the entries in the core's roster, by entry id.
  std::map<std::string, std::string> roster_addresses_;
  std::string executor_address_;
  core::TimePoint last_announced_at_;
  // Ended connections that the main thread destroys; see EntryConnection::Hooks.
  std::vector<std::shared_ptr<EntryConnection>> ended_connections_;
  // Connections whose on_closed hook has not been called yet.
  std::size_t open_connections_ = 0;
  std::uint64_t connections_total_ = 0;
  bool shard_row_read_pending_ = false;
  bool stopping_ = false;
  std::minstd_rand random_;
  std::unique_ptr<adapters::HttpServer> local_server_;
  // Destroyed first, because its callbacks use the other members.
  std::unique_ptr<adapters::HttpClient> executor_client_;
};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_AGENT_DAEMON_H_
