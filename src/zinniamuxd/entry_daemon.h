// The entry role: takes jobs from callers, owns shards, and talks to agents and other entries.
#ifndef ZINNIAMUX_ZINNIAMUXD_ENTRY_DAEMON_H_
#define ZINNIAMUX_ZINNIAMUXD_ENTRY_DAEMON_H_

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "adapters/http_message.h"
#include "adapters/http_server.h"
#include "adapters/json_log.h"
#include "adapters/settings.h"
#include "core/clock.h"
#include "zinniamux.grpc.pb.h"
#include "zinniamuxd/agent_stream.h"
#include "zinniamuxd/shard_runtime.h"

namespace zinniamux::daemon {

// One entry process. Threads: RESTinio's, gRPC's, and the caller of OnTimer.
class EntryDaemon {
 public:
  EntryDaemon(adapters::EntrySettings settings, const core::Clock& clock, adapters::JsonLog& log);
  ~EntryDaemon();

  core::Result<void> Start();
  // Called every few milliseconds by the main thread.
  void OnTimer();
  // A graceful shutdown: returns when no request is in flight.
  void Stop();

 private:
  class RpcService;

  void ServeCaller(const adapters::HttpRequest& request, adapters::HttpResponder respond);
  void ServeAdmin(const adapters::HttpRequest& request, const adapters::HttpResponder& respond);
  void SubmitJob(core::Submission submission, core::Duration wait, AnswerCallback callback);
  void ForwardJob(const core::Submission& submission, core::Duration wait, AnswerCallback callback);
  void OnAgentMessage(const std::shared_ptr<AgentStream>& stream, v1::AgentMessage message);
  void OnAgentClosed(const std::shared_ptr<AgentStream>& stream);
  void CarryOut(core::DispatcherAction action);
  void SendToAgent(const std::string& agent_id, v1::EntryMessage message);
  bool owns_shard() const { return settings_.peers.empty() || owner_; }

  const adapters::EntrySettings settings_;
  const core::Clock& clock_;
  adapters::JsonLog& log_;
  const bool owner_;
  std::unique_ptr<ShardRuntime> shard_;
  std::unique_ptr<RpcService> service_;
  std::unique_ptr<grpc::Server> rpc_server_;
  std::unique_ptr<v1::EntryService::Stub> owner_stub_;
  std::unique_ptr<adapters::HttpServer> caller_server_;
  std::unique_ptr<adapters::HttpServer> admin_server_;
  std::atomic<std::uint64_t> config_version_{0};
  std::atomic<bool> stopping_{false};
  std::atomic<int> requests_in_flight_{0};
  std::mutex mutex_;
  // Guarded by mutex_. The latest stream of each agent.
  std::map<std::string, std::shared_ptr<AgentStream>> streams_;
  std::map<const AgentStream*, std::string> agent_ids_;
};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_ENTRY_DAEMON_H_
