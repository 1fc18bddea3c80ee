// Handling of callers' requests and replies to them.
#include "zinniamuxd/caller_gateway.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "adapters/short_text.h"
#include "platform/job_codec.h"

namespace zinniamux::daemon {
namespace {

using adapters::HttpResponder;
using adapters::HttpResponse;
using adapters::LogLevel;
using std::chrono::milliseconds;

// For refusals that are not caused by load: another dispatcher may already have the configuration
// that this one lacks.
constexpr milliseconds kDefaultRetryAfter{1000};
// For a caller that sends no deadline to a queue without a timeout.
constexpr milliseconds kDefaultCallerTimeout{30'000};
// How long requests wait for the first configuration. The store answers within tens of
// milliseconds, so a process without a configuration after this time is unlikely to get one soon.
constexpr milliseconds kEarlyRequestTimeout{300};
constexpr std::size_t kMaxEarlyRequests = 500;
// Least time between two lines on jobs that were refused for their memory.
constexpr std::chrono::seconds kRefusalLogPeriod{10};

// Cause of a refusal that sending the job again does not help against.
constexpr std::string_view kTooLarge = "too_large";

double ToMilliseconds(core::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace

bool CallerGateway::SetConfiguration(core::QueueConfiguration configuration) {
  if (configuration_ && configuration.version <= configuration_->version) return false;
  configuration_ = std::move(configuration);
  // Each is freed before the next one becomes a job.
  while (!early_requests_.empty()) {
    const EarlyRequest early = TakeEarlyRequest();
    HandleRequest({.connection = early.connection,
                   .request = early.request,
                   .responder = early.responder,
                   .arrived = early.arrived});
  }
  return true;
}

void CallerGateway::Reply(const HttpResponder& responder, HttpResponse response) {
  response.close_connection = shutting_down_;
  responder(std::move(response));
}

void CallerGateway::Reject(const HttpResponder& responder, HttpResponse response,
                           std::string_view decision, const std::string& id,
                           const std::string& reason) {
  log_.Write(LogLevel::kInfo, decision,
             {{"job", adapters::ShortText(id)},
              {"reason", adapters::ShortText(reason)},
              {"status", response.status},
              {"config_version", config_version()}});
  metrics_.Add("requests_rejected_total", 1, {{"decision", decision}});
  Reply(responder, std::move(response));
}

void CallerGateway::OnRequest(ConnectionId connection, const adapters::HttpRequest& request,
                              HttpResponder responder, core::TimePoint arrived) {
  scheduler_.OnCallerRequest();
  if (configuration_) {
    return HandleRequest(
        {.connection = connection, .request = request, .responder = responder, .arrived = arrived});
  }
  const std::size_t bytes = adapters::MemoryOf(request);
  const bool has_memory = early_bytes_ + bytes <= scheduler_.max_work_bytes();
  if (!has_memory) NoteMemoryRefusal(NameOf(core::JobReason::kNoMemory));
  if (!has_memory || early_requests_.size() >= kMaxEarlyRequests) {
    return RefuseEarlyRequest(request, responder);
  }
  early_bytes_ += bytes;
  early_requests_.push_back({.connection = connection,
                             .request = request,
                             .responder = std::move(responder),
                             .arrived = arrived});
}

void CallerGateway::OnTimer() {
  while (!early_requests_.empty() &&
         early_requests_.front().arrived + kEarlyRequestTimeout <= clock_.now()) {
    const EarlyRequest early = TakeEarlyRequest();
    RefuseEarlyRequest(early.request, early.responder);
  }
  if (!memory_refusals_.empty() && clock_.now() >= next_refusal_log_at_) LogMemoryRefusals();
}

CallerGateway::EarlyRequest CallerGateway::TakeEarlyRequest() {
  EarlyRequest early = std::move(early_requests_.front());
  early_requests_.pop_front();
  early_bytes_ -= adapters::MemoryOf(early.request);
  return early;
}

void CallerGateway::NoteMemoryRefusal(std::string_view cause) {
  metrics_.Add("work_refused_total", 1, {{"cause", cause}});
  ++memory_refusals_[std::string(cause)];
}

void CallerGateway::LogMemoryRefusals() {
  next_refusal_log_at_ = clock_.now() + kRefusalLogPeriod;
  log_.Write(LogLevel::kWarning, "work_refused",
             {{"refusals", nlohmann::json(std::exchange(memory_refusals_, {}))},
              {"work_bytes", scheduler_.work_bytes()},
              {"max_work_bytes", scheduler_.max_work_bytes()}});
}

void CallerGateway::RefuseEarlyRequest(const adapters::HttpRequest& request,
                                       const HttpResponder& responder) {
  Reject(responder, platform::ComposeRefusal("not_ready", kDefaultRetryAfter), "request_refused",
         request.path, "no configuration yet");
}

void CallerGateway::HandleRequest(const RequestContext& context) {
  const adapters::HttpRequest& request = context.request;
  const HttpResponder& responder = context.responder;
  const std::string host = adapters::HeaderValue(request.headers, "Host");
  const core::QueueRule* queue = configuration_->Find(host, request.path);
  if (queue == nullptr) {
    return Reject(responder, platform::ComposeUnknownQueue(), "request_invalid", request.path,
                  "unknown queue");
  }
  const std::optional<std::string> id = platform::ParseJobId(request.path, *queue);
  if (!id || (id->empty() && request.method != "GET")) {
    return Reject(responder, platform::ComposeInvalid("the path has no job id"), "request_invalid",
                  request.path, "no job id");
  }
  if (request.method == "POST") {
    return SubmitJob(*id, *queue, context);
  }
  if (request.method == "GET" && id->empty()) {
    return Reply(responder, platform::ComposePendingCount(scheduler_.PendingOf(queue->name)));
  }
  if (request.method == "GET") return Reply(responder, FetchJob(*id));
  if (request.method == "DELETE") return Reply(responder, CancelJob(*id));
  Reject(responder, platform::ComposeInvalid("unsupported method " + request.method),
         "request_invalid", *id, "unsupported method");
}

void CallerGateway::SubmitJob(const std::string& id, const core::QueueRule& queue,
                              const RequestContext& context) {
  const adapters::HttpRequest& request = context.request;
  const HttpResponder& responder = context.responder;
  core::Result<platform::SubmittedJob> job = platform::ParseJob(request.body);
  if (!job) {
    return Reject(responder, platform::ComposeInvalid(job.error().message), "request_invalid", id,
                  job.error().message);
  }
  if (job->features.durable || job->features.special_scheduling) {
    return Reject(responder, platform::ComposeRefusal("not_supported", kDefaultRetryAfter),
                  "request_refused", id, "durable jobs and special scheduling are not supported");
  }
  if (const auto earlier_reply = scheduler_.Remembered(id)) {
    return Reply(responder, platform::ComposeAnswer(*earlier_reply));
  }
  if (request.client_closed) {
    // It may have sent the job elsewhere. If it only stops sending, it gets a truthful answer.
    return Reject(responder, platform::ComposeRefusal("caller_left", kDefaultRetryAfter),
                  "caller_left", id, "the caller has closed its connection");
  }
  if (const core::Result<void> size = core::WorkBudget::CheckSize(job->request); !size) {
    NoteMemoryRefusal(kTooLarge);
    return Reject(responder, platform::ComposeInvalid(size.error().message), "request_invalid", id,
                  size.error().message);
  }
  const milliseconds timeout =
      queue.timeout > milliseconds(0) ? queue.timeout : kDefaultCallerTimeout;
  const milliseconds caller_timeout = platform::ParseCallerTimeout(request).value_or(timeout);
  core::JobRequest submitted = std::move(job->request);
  submitted.id = id;
  submitted.queue = queue.name;
  submitted.service = queue.service;
  submitted.urgent = configuration_->IsUrgent(queue);
  submitted.attempts = queue.attempts;
  submitted.stretch = queue.stretch;
  submitted.slack = queue.slack;
  submitted.arrived = context.arrived;
  submitted.connection_used_at = request.connection_used_at;
  submitted.deadline = context.arrived + caller_timeout;
  callers_by_job_[id].push_back({.connection = context.connection, .responder = responder});
  jobs_by_connection_[context.connection].insert(id);
  ++job_caller_count_;
  metrics_.Add("jobs_submitted_total", 1, {{"queue", queue.name}});
  log_.Write(LogLevel::kInfo, "job_received",
             {{"job", id},
              {"queue", queue.name},
              {"config_version", config_version()},
              {"steps", submitted.steps.size()},
              {"tasks", submitted.steps.front().count},
              {"cpu_milli", submitted.steps.front().need.cpu_milli},
              {"estimate_ms", submitted.steps.front().estimate.count()},
              {"patience_ms", caller_timeout.count()}});
  scheduler_.OnJob(std::move(submitted));
}

HttpResponse CallerGateway::FetchJob(const std::string& id) const {
  const auto earlier_reply = scheduler_.Remembered(id);
  if (earlier_reply) return platform::ComposeAnswer(*earlier_reply);
  if (!scheduler_.Knows(id)) return platform::ComposeUnknownJob();
  return platform::ComposeState(true);
}

HttpResponse CallerGateway::CancelJob(const std::string& id) {
  if (!scheduler_.Knows(id)) return platform::ComposeUnknownJob();
  scheduler_.OnCancel(id);
  return {.status = 200, .body = "{}"};
}

void CallerGateway::OnClosed(ConnectionId connection) {
  std::erase_if(early_requests_, [this, connection](const EarlyRequest& early) {
    if (early.connection != connection) return false;
    early_bytes_ -= adapters::MemoryOf(early.request);
    return true;
  });
  const auto found = jobs_by_connection_.find(connection);
  if (found == jobs_by_connection_.end()) return;
  const std::set<std::string> jobs = std::move(found->second);
  jobs_by_connection_.erase(found);
  for (const std::string& job : jobs) {
    auto& callers = callers_by_job_[job];
    job_caller_count_ -= std::erase_if(
        callers, [connection](const WaitingCaller& each) { return each.connection == connection; });
    if (!callers.empty()) continue;
    callers_by_job_.erase(job);
    scheduler_.OnCancel(job);
  }
}

void CallerGateway::OnJobAnswered(const core::AnswerJob& answer) {
  const core::JobReply& reply = answer.answer;
  log_.Write(LogLevel::kInfo, "job_answered",
             {{"job", reply.job_id},
              {"queue", answer.queue},
              {"result", NameOf(reply.result)},
              {"reason", NameOf(reply.reason)},
              {"waited_ms", ToMilliseconds(answer.waited)},
              {"took_ms", ToMilliseconds(answer.took)},
              {"expected_wait_ms", ToMilliseconds(answer.expected_wait)},
              {"failed_runs", answer.failed_runs},
              {"refused_starts", answer.refused_starts},
              {"retry_after_ms", reply.retry_after.count()},
              {"held_late", answer.held_late},
              {"held_stale", answer.held_stale},
              {"displaced", answer.displaced}});
  if (reply.reason == core::JobReason::kNoMemory) NoteMemoryRefusal(NameOf(reply.reason));
  if (answer.displaced) metrics_.Add("jobs_displaced_total", 1, {{"queue", answer.queue}});
  if (answer.held_stale) {
    metrics_.Add("stale_jobs_total", 1,
                 {{"queue", answer.queue}, {"result", NameOf(reply.result)}});
  }
  if (answer.held_late) {
    metrics_.Add("late_jobs_total", 1, {{"queue", answer.queue}, {"result", NameOf(reply.result)}});
  }
  metrics_.Add("jobs_answered_total", 1,
               {{"queue", answer.queue},
                {"result", NameOf(reply.result)},
                {"reason", NameOf(reply.reason)}});
  metrics_.Observe("job_time_ms", ToMilliseconds(answer.took), {{"queue", answer.queue}});
  metrics_.Observe("job_wait_ms", ToMilliseconds(answer.waited), {{"queue", answer.queue}});
  const auto found = callers_by_job_.find(reply.job_id);
  if (found == callers_by_job_.end()) return;
  const std::vector<WaitingCaller> callers = std::move(found->second);
  callers_by_job_.erase(found);
  for (const WaitingCaller& caller : callers) {
    const auto connection = jobs_by_connection_.find(caller.connection);
    if (connection != jobs_by_connection_.end()) connection->second.erase(reply.job_id);
    --job_caller_count_;
    Reply(caller.responder, platform::ComposeAnswer(reply));
  }
}

}  // namespace zinniamux::daemon
