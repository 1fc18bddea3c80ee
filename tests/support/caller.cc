// Submission, resubmission and checking of answers.
#include "support/caller.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace zinniamux::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kAnswerMargin{5000};
constexpr milliseconds kRetryDelay{200};
constexpr milliseconds kReadinessPeriod{200};
constexpr milliseconds kReadinessTimeout{1000};

std::string ResultText(const JobPlan& plan, std::size_t index) {
  return plan.id + "/" + std::to_string(index);
}

bool ResultsAreRight(const JobPlan& plan, const json& results) {
  if (!results.is_array() || results.size() != plan.task_lengths.size()) return false;
  for (std::size_t index = 0; index < results.size(); ++index) {
    if (!results[index].is_string()) return false;
    if (results[index].get<std::string>() != ResultText(plan, index)) return false;
  }
  return true;
}

}  // namespace

std::string SubmissionBody(const JobPlan& plan) {
  json body{{"submission_id", plan.id},
            {"team", plan.team},
            {"job", plan.job},
            {"idempotent", plan.idempotent},
            {"deadline_ms", plan.deadline.count()},
            {"tasks", json::array()}};
  if (!plan.idempotent) body["request_key"] = plan.request_key;
  for (std::size_t index = 0; index < plan.task_lengths.size(); ++index) {
    const auto length = plan.task_lengths[index].count();
    body["tasks"].push_back(
        {{"run_ms", length}, {"payload", std::to_string(length) + ":" + ResultText(plan, index)}});
  }
  return body.dump();
}

Caller::Caller(Options options)
    : options_(std::move(options)), ready_(options_.entry_ports.size()) {
  for (std::atomic<bool>& ready : ready_) ready = true;
  if (!options_.admin_ports.empty()) readiness_checks_ = std::thread([this] { CheckReadiness(); });
}

Caller::~Caller() {
  Finish();
  stopping_ = true;
  if (readiness_checks_.joinable()) readiness_checks_.join();
}

void Caller::CheckReadiness() {
  while (!stopping_) {
    for (std::size_t index = 0; index < options_.admin_ports.size(); ++index) {
      const std::string port = std::to_string(options_.admin_ports[index]);
      client_.Send({.url = "http://127.0.0.1:" + port + "/readyz",
                    .timeout = kReadinessTimeout,
                    .fresh_connection = true},
                   [this, index](const adapters::HttpResult& result) {
                     ready_[index] = result.status == 200;
                   });
    }
    std::this_thread::sleep_for(kReadinessPeriod);
  }
}

std::size_t Caller::ChooseEntry() {
  const std::size_t count = options_.entry_ports.size();
  const std::size_t first = next_entry_++ % count;
  for (std::size_t step = 0; step < count; ++step) {
    if (ready_[(first + step) % count]) return (first + step) % count;
  }
  return first;
}

void Caller::Submit(JobPlan plan) {
  threads_.emplace_back([this, plan = std::move(plan)] {
    JobReport report = Run(plan);
    const std::lock_guard lock(mutex_);
    reports_.push_back(std::move(report));
  });
}

std::vector<JobReport> Caller::Finish() {
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
  const std::lock_guard lock(mutex_);
  return std::exchange(reports_, {});
}

JobReport Caller::Run(const JobPlan& plan) {
  JobReport report{.plan = plan};
  const auto begin = std::chrono::steady_clock::now();
  const auto end = begin + plan.deadline + options_.patience;
  while (true) {
    const bool final = Attempt(plan, options_.entry_ports[ChooseEntry()], report);
    if (final || !options_.resubmit || std::chrono::steady_clock::now() >= end) break;
    std::this_thread::sleep_for(kRetryDelay);
  }
  report.elapsed =
      std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - begin);
  return report;
}

bool Caller::Attempt(const JobPlan& plan, std::uint16_t port, JobReport& report) {
  ++report.submissions;
  const adapters::HttpResult result =
      client_.SendAndWait({.method = "POST",
                           .url = "http://127.0.0.1:" + std::to_string(port) + "/v1/jobs",
                           .headers = {{"Content-Type", "application/json"}},
                           .body = SubmissionBody(plan),
                           .timeout = plan.deadline + kAnswerMargin,
                           .fresh_connection = true});
  if (result.status == 0) {
    // A connection that was never made says nothing about the entry's promises.
    if (!result.not_sent) ++report.lost_answers;
    return false;
  }
  const json body = json::parse(result.body, nullptr, false);
  if (body.is_discarded()) {
    report.wrong_results = true;
    return true;
  }
  report.state = body.value("state", std::string());
  if (report.state == "complete") {
    report.error_kind.clear();
    report.not_run = false;
    report.wrong_results = !ResultsAreRight(plan, body.value("results", json()));
    return true;
  }
  const json error = body.value("error", json::object());
  report.state = "failed";
  report.error_kind = error.value("kind", std::string());
  report.not_run = error.value("not_run", false);
  return !error.value("retryable", false);
}

}  // namespace zinniamux::testing
