// Attempts of jobs over HTTP.
#include "support/resending_caller.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "platform/names.h"
#include "support/leased_deployment.h"

namespace zinniamux::testing {
namespace {

using nlohmann::json;

constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;

bool IsLost(int status) {
  return status == 0 || status == kBadGateway || status == kGatewayTimeout;
}

std::string Body(const LeasedJob& job) {
  const json step{{"count", job.tasks},
                  {"cpu", LeasedDeployment::kTaskNeed.cpu_milli},
                  {"mem_mb", LeasedDeployment::kTaskNeed.memory_mb},
                  {"estimate_ms", job.task_length.count()}};
  return json{{"best_effort", true},
              {"spec", std::to_string(job.task_length.count())},
              {"steps", json::array({step})}}
      .dump();
}

}  // namespace

void ResendingCaller::Submit(const LeasedJob& job) {
  threads_.emplace_back([this, job] {
    Outcome outcome = Run(job);
    const std::lock_guard lock(mutex_);
    outcomes_.push_back(std::move(outcome));
  });
}

std::vector<ResendingCaller::Outcome> ResendingCaller::Finish() {
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
  const std::lock_guard lock(mutex_);
  return outcomes_;
}

ResendingCaller::Outcome ResendingCaller::Run(const LeasedJob& job) {
  Outcome outcome{.job = job, .attempts = {}};
  while (true) {
    const std::size_t dispatcher = (job.dispatcher + outcome.attempts.size()) % ports_.size();
    outcome.attempts.push_back(Send(job, dispatcher));
    const bool is_final = !IsLost(outcome.attempts.back().status);
    if (is_final || outcome.attempts.size() == kMaxAttempts) return outcome;
    std::this_thread::sleep_for(kRetransmit);
  }
}

ResendingCaller::Attempt ResendingCaller::Send(const LeasedJob& job, std::size_t dispatcher) {
  Attempt attempt{.dispatcher = dispatcher, .sent = clock_.now()};
  // A fresh connection, because the client sends a request on a broken one again by itself.
  const adapters::HttpResult result = client_.SendAndWait(
      {.method = "POST",
       .url = "http://127.0.0.1:" + std::to_string(ports_[dispatcher]) + LeasedDeployment::kPrefix +
              job.id,
       .headers = {{"Host", LeasedDeployment::kHost},
                   {"Content-Type", "application/json"},
                   {std::string(platform::kDeadlineHeader), std::to_string(kDeadline.count())}},
       .body = Body(job),
       .timeout = kDeadline,
       .fresh_connection = true});
  attempt.ended = clock_.now();
  attempt.status = result.status;
  attempt.answer = result.status == 0 ? result.failure : result.body;
  return attempt;
}

}  // namespace zinniamux::testing
