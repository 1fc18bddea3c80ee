// Callers' requests on a dispatcher: from HTTP to the scheduler and back.
#ifndef ZINNIAMUX_ZINNIAMUXD_CALLER_GATEWAY_H_
#define ZINNIAMUX_ZINNIAMUXD_CALLER_GATEWAY_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "adapters/http_message.h"
#include "adapters/json_log.h"
#include "adapters/metrics.h"
#include "core/clock.h"
#include "core/job_scheduler.h"
#include "core/queue_configuration.h"

namespace zinniamux::daemon {

// Keeps the callers that wait for a job. A job whose callers have all gone is cancelled. All calls
// are on the loop.
class CallerGateway {
 public:
  using ConnectionId = std::uint64_t;

  CallerGateway(core::JobScheduler& scheduler, const core::Clock& clock, adapters::JsonLog& log,
                adapters::Metrics& metrics)
      : scheduler_(scheduler), clock_(clock), log_(log), metrics_(metrics) {}

  // Versions only increase; an older configuration is ignored. Returns whether it was taken.
  // Requests that waited for the first one are taken up.
  bool SetConfiguration(core::QueueConfiguration configuration);
  std::uint64_t config_version() const { return configuration_ ? configuration_->version : 0; }

  void OnRequest(ConnectionId connection, const adapters::HttpRequest& request,
                 adapters::HttpResponder responder);
  void OnClosed(ConnectionId connection);
  // Refuses requests that have waited too long for a configuration.
  void OnTimer();
  void OnAnswer(const core::AnswerJob& answer);

  // From now on, responses ask callers to use another connection.
  void StartLeaving() { leaving_ = true; }
  std::size_t waiting_callers() const { return waiting_callers_ + early_.size(); }

 private:
  struct Waiting {
    ConnectionId connection = 0;
    adapters::HttpResponder responder;
  };

  // A request while it is handled.
  struct Call {
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

  void Handle(const Call& call);
  void RefuseEarly(const adapters::HttpRequest& request, const adapters::HttpResponder& responder);
  void Submit(const std::string& id, const core::QueueRule& queue, const Call& call);
  adapters::HttpResponse Fetch(const std::string& id) const;
  adapters::HttpResponse Cancel(const std::string& id);
  void Reply(const adapters::HttpResponder& responder, adapters::HttpResponse response);
  void ReplyAndLog(const adapters::HttpResponder& responder, adapters::HttpResponse response,
                   std::string_view decision, const std::string& id, const std::string& reason);

  core::JobScheduler& scheduler_;
  const core::Clock& clock_;
  adapters::JsonLog& log_;
  adapters::Metrics& metrics_;
  std::optional<core::QueueConfiguration> configuration_;
  // Invariant: empty once there is a configuration.
  std::deque<EarlyRequest> early_;
  std::unordered_map<std::string, std::vector<Waiting>> by_job_;
  // Jobs for which a connection waits. Invariant: the same pairs as in by_job_.
  std::unordered_map<ConnectionId, std::set<std::string>> by_connection_;
  std::size_t waiting_callers_ = 0;
  bool leaving_ = false;
};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_CALLER_GATEWAY_H_
