// Open-loop submission over HTTP.
#include "load/open_loop_caller.h"

#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

namespace zinniamux::bench {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kAnswerMargin{5000};

std::string Body(const TraceJob& job, std::chrono::milliseconds deadline) {
  json body{{"submission_id", job.id}, {"team", job.team}, {"job", job.job},
            {"idempotent", true},      {"attempt", 1},     {"deadline_ms", deadline.count()},
            {"tasks", json::array()}};
  for (const TraceTask& task : job.tasks) {
    body["tasks"].push_back(
        {{"run_ms", task.declared.count()}, {"payload", std::to_string(task.length.count())}});
  }
  return body.dump();
}

}  // namespace

OpenLoopCaller::OpenLoopCaller(std::vector<std::uint16_t> entry_ports,
                               std::chrono::milliseconds deadline)
    : entry_ports_(std::move(entry_ports)), deadline_(deadline) {}

std::vector<JobOutcome> OpenLoopCaller::Run(std::span<const TraceJob> trace) {
  std::vector<JobOutcome> outcomes(trace.size());
  const auto begin = std::chrono::steady_clock::now();
  for (std::size_t index = 0; index < trace.size(); ++index) {
    std::this_thread::sleep_until(
        begin + std::chrono::duration_cast<std::chrono::nanoseconds>(trace[index].arrival));
    Submit(trace[index], entry_ports_[index % entry_ports_.size()], outcomes[index]);
  }
  std::unique_lock lock(mutex_);
  done_.wait(lock, [this] { return open_ == 0; });
  return outcomes;
}

void OpenLoopCaller::Submit(const TraceJob& job, std::uint16_t port, JobOutcome& outcome) {
  {
    const std::lock_guard lock(mutex_);
    ++open_;
  }
  const auto sent = std::chrono::steady_clock::now();
  client_.Send({.method = "POST",
                .url = "http://127.0.0.1:" + std::to_string(port) + "/v1/jobs",
                .headers = {{"Content-Type", "application/json"}},
                .body = Body(job, deadline_),
                .timeout = deadline_ + kAnswerMargin},
               [this, &outcome, &job, sent](const adapters::HttpResult& result) {
                 outcome.response = std::chrono::steady_clock::now() - sent;
                 const json body = json::parse(result.body, nullptr, false);
                 if (body.is_object()) {
                   outcome.state = body.value("state", std::string());
                   outcome.whole = outcome.state == "complete" &&
                                   body.value("results", json::array()).size() == job.tasks.size();
                   outcome.error_kind =
                       body.value("error", json::object()).value("kind", std::string());
                 }
                 const std::lock_guard lock(mutex_);
                 --open_;
                 done_.notify_all();
               });
}

}  // namespace zinniamux::bench
