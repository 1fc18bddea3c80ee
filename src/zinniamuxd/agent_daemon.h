// The agent role: the one process beside an executor, through which every task reaches it.
#ifndef ZINNIAMUX_ZINNIAMUXD_AGENT_DAEMON_H_
#define ZINNIAMUX_ZINNIAMUXD_AGENT_DAEMON_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "adapters/http_client.h"
#include "adapters/http_message.h"
#include "adapters/http_server.h"
#include "adapters/json_log.h"
#include "adapters/settings.h"
#include "core/agent_core.h"
#include "core/clock.h"
#include "zinniamuxd/entry_connection.h"

namespace zinniamux::daemon {

// One agent process. Threads: gRPC's, RESTinio's, libcurl's, and the caller of OnTimer.
class AgentDaemon {
 public:
  AgentDaemon(adapters::AgentSettings settings, const core::Clock& clock, adapters::JsonLog& log);

  core::Result<void> Start();
  // Called every few milliseconds by the main thread.
  void OnTimer();
  // A graceful shutdown: returns when no task runs and the results are delivered.
  void Stop();

 private:
  // State of the connection to one entry address.
  struct Link {
    std::shared_ptr<EntryConnection> connection;
    core::TimePoint retry_at;
  };

  void ServeLocal(const adapters::HttpRequest& request, const adapters::HttpResponder& respond);
  void Connect(const std::string& address, Link& link);
  void OnEntryMessage(const std::shared_ptr<EntryConnection>& connection, v1::EntryMessage message);
  void OnEntryClosed(const std::shared_ptr<EntryConnection>& connection);
  // Carries out the core's actions. The lock is held.
  void CarryOut();
  void RunTask(core::StartTask start);
  void OnTaskResponse(const core::TaskKey& key, core::TimePoint started,
                      adapters::HttpResult result);
  void SendTo(const std::string& entry_id, v1::AgentMessage message);

  const adapters::AgentSettings settings_;
  const core::Clock& clock_;
  adapters::JsonLog& log_;
  std::mutex mutex_;
  // Guarded by mutex_.
  core::AgentCore core_;
  std::map<std::string, Link> links_;
  std::string executor_address_;
  core::TimePoint last_announce_;
  std::unique_ptr<adapters::HttpServer> local_server_;
  std::unique_ptr<adapters::HttpClient> executor_client_;
};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_AGENT_DAEMON_H_
