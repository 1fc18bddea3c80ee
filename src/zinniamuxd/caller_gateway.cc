// Dispatch of callers' requests.
#include "zinniamuxd/caller_gateway.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "platform/job_codec.h"

namespace zinniamux::daemon {
namespace {

using adapters::HttpResponder;
using adapters::HttpResponse;
using adapters::LogLevel;
using std::chrono::milliseconds;

// For refusals that say nothing of the load: the next entry may know more already.
constexpr milliseconds kShortRetry{1000};
// A caller that does not say how long it waits, on a queue without a time limit.
constexpr milliseconds kDefaultPatience{30'000};
// The store answers within tens of milliseconds, so a process that has just started has its
// configuration by then, or will not have it soon.
constexpr milliseconds kEarlyWait{300};
constexpr std::size_t kMaxEarly = 500;

double Milliseconds(core::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace

bool CallerGateway::SetConfiguration(core::QueueConfiguration configuration) {
  if (configuration_ && configuration.version <= configuration_->version) return false;
  configuration_ = std::move(configuration);
  const std::deque<EarlyRequest> early = std::exchange(early_, {});
  for (const EarlyRequest& each : early) {
    Handle({.connection = each.connection,
            .request = each.request,
            .responder = each.responder,
            .arrived = each.arrived});
  }
  return true;
}

void CallerGateway::Reply(const HttpResponder& responder, HttpResponse response) {
  response.close_connection = leaving_;
  responder(std::move(response));
}

void CallerGateway::ReplyAndLog(const HttpResponder& responder, HttpResponse response,
                                std::string_view decision, const std::string& id,
                                const std::string& reason) {
  log_.Write(LogLevel::kInfo, decision,
             {{"job", id},
              {"reason", reason},
              {"status", response.status},
              {"config_version", config_version()}});
  metrics_.Add("requests_rejected_total", 1, {{"decision", decision}});
  Reply(responder, std::move(response));
}

void CallerGateway::OnRequest(ConnectionId connection, const adapters::HttpRequest& request,
                              HttpResponder responder) {
  const core::TimePoint now = clock_.now();
  if (configuration_) {
    return Handle(
        {.connection = connection, .request = request, .responder = responder, .arrived = now});
  }
  if (early_.size() >= kMaxEarly) return RefuseEarly(request, responder);
  early_.push_back({.connection = connection,
                    .request = request,
                    .responder = std::move(responder),
                    .arrived = now});
}

void CallerGateway::OnTimer() {
  while (!early_.empty() && early_.front().arrived + kEarlyWait <= clock_.now()) {
    RefuseEarly(early_.front().request, early_.front().responder);
    early_.pop_front();
  }
}

void CallerGateway::RefuseEarly(const adapters::HttpRequest& request,
                                const HttpResponder& responder) {
  ReplyAndLog(responder, platform::ComposeRefusal("not_ready", kShortRetry), "request_refused",
              request.path, "no configuration yet");
}

void CallerGateway::Handle(const Call& call) {
  const adapters::HttpRequest& request = call.request;
  const HttpResponder& responder = call.responder;
  const std::string host = adapters::HeaderValue(request.headers, "Host");
  const core::QueueRule* queue = configuration_->Find(host, request.path);
  if (queue == nullptr) {
    return ReplyAndLog(responder, platform::ComposeUnknownQueue(), "request_invalid", request.path,
                       "unknown queue");
  }
  const std::optional<std::string> id = platform::ParseJobId(request.path, *queue);
  if (!id || (id->empty() && request.method != "GET")) {
    return ReplyAndLog(responder, platform::ComposeInvalid("the path has no job id"),
                       "request_invalid", request.path, "no job id");
  }
  if (request.method == "POST") {
    return Submit(*id, *queue, call);
  }
  if (request.method == "GET" && id->empty()) {
    return Reply(responder, platform::ComposePendingCount(scheduler_.PendingOf(queue->name)));
  }
  if (request.method == "GET") return Reply(responder, Fetch(*id));
  if (request.method == "DELETE") return Reply(responder, Cancel(*id));
  ReplyAndLog(responder, platform::ComposeInvalid("method " + request.method), "request_invalid",
              *id, "unknown method");
}

void CallerGateway::Submit(const std::string& id, const core::QueueRule& queue, const Call& call) {
  const adapters::HttpRequest& request = call.request;
  const HttpResponder& responder = call.responder;
  core::Result<platform::SubmittedJob> job = platform::ParseJob(request.body);
  if (!job) {
    return ReplyAndLog(responder, platform::ComposeInvalid(job.error().message), "request_invalid",
                       id, job.error().message);
  }
  if (job->features.durable || job->features.special_scheduling) {
    return ReplyAndLog(responder, platform::ComposeRefusal("not_supported", kShortRetry),
                       "request_refused", id, "jobs that must be stored, or special ones");
  }
  if (const auto remembered = scheduler_.Remembered(id)) {
    return Reply(responder, platform::ComposeAnswer(*remembered));
  }
  const milliseconds timeout = queue.timeout > milliseconds(0) ? queue.timeout : kDefaultPatience;
  const milliseconds patience = platform::ParseCallerTimeout(request).value_or(timeout);
  core::JobRequest submitted = std::move(job->request);
  submitted.id = id;
  submitted.queue = queue.name;
  submitted.service = queue.service;
  submitted.urgent = configuration_->IsUrgent(queue);
  submitted.attempts = queue.attempts;
  submitted.stretch = queue.stretch;
  submitted.slack = queue.slack;
  submitted.arrived = call.arrived;
  submitted.deadline = call.arrived + patience;
  by_job_[id].push_back({.connection = call.connection, .responder = responder});
  by_connection_[call.connection].insert(id);
  ++waiting_callers_;
  metrics_.Add("jobs_submitted_total", 1, {{"queue", queue.name}});
  log_.Write(LogLevel::kInfo, "job_received",
             {{"job", id},
              {"queue", queue.name},
              {"config_version", config_version()},
              {"steps", submitted.steps.size()},
              {"tasks", submitted.steps.front().count},
              {"cpu_milli", submitted.steps.front().need.cpu_milli},
              {"estimate_ms", submitted.steps.front().estimate.count()},
              {"patience_ms", patience.count()}});
  scheduler_.OnJob(std::move(submitted));
}

HttpResponse CallerGateway::Fetch(const std::string& id) const {
  const auto remembered = scheduler_.Remembered(id);
  if (remembered) return platform::ComposeAnswer(*remembered);
  if (!scheduler_.Knows(id)) return platform::ComposeUnknownJob();
  return platform::ComposeState(true);
}

HttpResponse CallerGateway::Cancel(const std::string& id) {
  if (!scheduler_.Knows(id)) return platform::ComposeUnknownJob();
  scheduler_.OnCancel(id);
  return {.status = 200, .body = "{}"};
}

void CallerGateway::OnClosed(ConnectionId connection) {
  std::erase_if(early_, [connection](const EarlyRequest& request) {
    return request.connection == connection;
  });
  const auto found = by_connection_.find(connection);
  if (found == by_connection_.end()) return;
  const std::set<std::string> jobs = std::move(found->second);
  by_connection_.erase(found);
  for (const std::string& job : jobs) {
    auto& waiting = by_job_[job];
    waiting_callers_ -= std::erase_if(
        waiting, [connection](const Waiting& each) { return each.connection == connection; });
    if (!waiting.empty()) continue;
    by_job_.erase(job);
    scheduler_.OnCancel(job);
  }
}

void CallerGateway::OnAnswer(const core::AnswerJob& answer) {
  const core::JobReply& result = answer.answer;
  log_.Write(LogLevel::kInfo, "job_answered",
             {{"job", result.job_id},
              {"queue", answer.queue},
              {"result", NameOf(result.result)},
              {"reason", NameOf(result.reason)},
              {"waited_ms", Milliseconds(answer.waited)},
              {"took_ms", Milliseconds(answer.took)},
              {"expected_wait_ms", Milliseconds(answer.expected_wait)},
              {"failed_runs", answer.failed_runs},
              {"refused_starts", answer.refused_starts},
              {"retry_after_ms", result.retry_after.count()}});
  metrics_.Add("jobs_answered_total", 1,
               {{"queue", answer.queue},
                {"result", NameOf(result.result)},
                {"reason", NameOf(result.reason)}});
  metrics_.Observe("job_time_ms", Milliseconds(answer.took), {{"queue", answer.queue}});
  metrics_.Observe("job_wait_ms", Milliseconds(answer.waited), {{"queue", answer.queue}});
  const auto found = by_job_.find(result.job_id);
  if (found == by_job_.end()) return;
  const std::vector<Waiting> waiting = std::move(found->second);
  by_job_.erase(found);
  for (const Waiting& each : waiting) {
    const auto connection = by_connection_.find(each.connection);
    if (connection != by_connection_.end()) connection->second.erase(result.job_id);
    --waiting_callers_;
    Reply(each.responder, platform::ComposeAnswer(result));
  }
}

}  // namespace zinniamux::daemon
