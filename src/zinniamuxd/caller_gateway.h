// Translates callers' HTTP requests into scheduler calls, and job results into responses.
#ifndef ZINNIAMUX_ZINNIAMUXD_CALLER_GATEWAY_H_
#define ZINNIAMUX_ZINNIAMUXD_CALLER_GATEWAY_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "adapters/http_message.h"
#include "adapters/json_log.h"
#include "adapters/metrics.h"
#include "core/clock.h"
#include "core/job_scheduler.h"
#include "core/queue_configuration.h"

namespace zinniamux::daemon {

// Tracks which connections wait for which job. A job is cancelled when the connections of all its
// callers have closed. All calls are on the event loop.
class CallerGateway {
 public:
  using ConnectionId = std::uint64_t;

  CallerGateway(core::JobScheduler& scheduler, const core::Clock& clock, adapters::JsonLog& log,
                adapters::Metrics& metrics)
      : scheduler_(scheduler), clock_(clock), log_(log), metrics_(metrics) {}

  // Applies the configuration and returns true if its version is higher than the current one. The
  // first configuration also releases the requests that wait for it.
  bool SetConfiguration(core::QueueConfiguration configuration);
  // Null while there is none.
  const core::QueueConfiguration* configuration() const {
    return configuration_ ? &*configuration_ : nullptr;
  }
  std::uint64_t config_version() const { return configuration_ ? configuration_->version : 0; }

  // `arrived` may be before now: requests wait in socket buffers while the process is behind.
  void OnRequest(ConnectionId connection, const adapters::HttpRequest& request,
                 adapters::HttpResponder responder, core::TimePoint arrived);
  void OnClosed(ConnectionId connection);
  // Refuses requests that have waited too long for a configuration, and logs refusals for lack of
  // memory.
  void OnTimer();
  void OnJobAnswered(const core::AnswerJob& answer);

  // From now on, responses ask callers to use another connection.
  void StartShutdown() { shutting_down_ = true; }
  // Callers that wait for a job or for the first configuration.
  std::size_t waiting_caller_count() const { return job_caller_count_ + early_requests_.size(); }

 private:
  struct WaitingCaller {
    ConnectionId connection = 0;
    adapters::HttpResponder responder;
  };

  // A request that is being handled.
  struct RequestContext {
    ConnectionId connection = 0;
    const adapters::HttpRequest& request;
    const adapters::HttpResponder& responder;
    core::TimePoint arrived;
  };
  // A request that waits for the first configuration.
  struct EarlyRequest {
    ConnectionId connection = 0;
    adapters::HttpRequest request;
    adapters::HttpResponder responder;
    core::TimePoint arrived;
  };

  void HandleRequest(const RequestContext& context);
  EarlyRequest TakeEarlyRequest();
  void RefuseEarlyRequest(const adapters::HttpRequest& request,
                          const adapters::HttpResponder& responder);
  void SubmitJob(const std::string& id, const core::QueueRule& queue,
                 const RequestContext& context);
  void NoteMemoryRefusal(std::string_view cause);
  void LogMemoryRefusals();
  adapters::HttpResponse FetchJob(const std::string& id) const;
  adapters::HttpResponse CancelJob(const std::string& id);
  void Reply(const adapters::HttpResponder& responder, adapters::HttpResponse response);
  void Reject(const adapters::HttpResponder& responder, adapters::HttpResponse response,
              std::string_view decision, const std::string& id, const std::string& reason);

  core::JobScheduler& scheduler_;
  const core::Clock& clock_;
  adapters::JsonLog& log_;
  adapters::Metrics& metrics_;
  std::optional<core::QueueConfiguration> configuration_;
  // Requests that wait for the first configuration. Invariant: empty once there is one.
  std::deque<EarlyRequest> early_requests_;
  // Invariant: the memory of early_requests_. There are no jobs yet, so they may take the memory
  // for jobs.
  std::size_t early_bytes_ = 0;
  std::unordered_map<std::string, std::vector<WaitingCaller>> callers_by_job_;
  // The jobs that each connection waits for. Invariant: the same pairs as in callers_by_job_.
  std::unordered_map<ConnectionId, std::set<std::string>> jobs_by_connection_;
  // Number of callers in callers_by_job_.
  std::size_t job_caller_count_ = 0;
  bool shutting_down_ = false;
  // Jobs refused for their size or for lack of memory since the last log line, by cause.
  std::map<std::string, std::uint64_t, std::less<>> memory_refusals_;
  core::TimePoint next_refusal_log_at_;
};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_CALLER_GATEWAY_H_
