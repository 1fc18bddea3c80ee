// A caller as the clients of the two users behave: submits, waits, and resubmits what was lost.
#ifndef ZINNIAMUX_TESTS_SUPPORT_CALLER_H_
#define ZINNIAMUX_TESTS_SUPPORT_CALLER_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "adapters/http_client.h"

namespace zinniamux::testing {

// One job to submit. The payload of each task is "MS:TEXT"; the stand-in echoes the text.
struct JobPlan {
  std::string id;
  std::string team = "shops";
  std::string job = "stock-lookup";
  bool idempotent = true;
  std::string request_key;
  std::vector<std::chrono::milliseconds> task_lengths;
  std::chrono::milliseconds deadline{10'000};
};

// What the caller knows in the end.
struct JobReport {
  JobPlan plan;
  // The state of the last answer: "complete", "failed" or empty if none ever came.
  std::string state;
  std::string error_kind;
  bool not_run = false;
  // A complete answer whose results are not exactly those of the plan.
  bool wrong_results = false;
  // Connections that ended without an answer.
  int lost_answers = 0;
  int submissions = 0;
  std::chrono::milliseconds elapsed{0};
};

// Submits jobs, each on a thread of its own, through the balancer's choice of an entry.
class Caller {
 public:
  struct Options {
    std::vector<std::uint16_t> entry_ports;
    // Admin ports in the same order. If given, entries that are not ready get no new requests, as
    // the platform's balancer does it.
    std::vector<std::uint16_t> admin_ports;
    // Resubmits after a lost answer or a retryable refusal until this long after the deadline.
    std::chrono::milliseconds patience{20'000};
    // Without resubmission, the first outcome is final.
    bool resubmit = true;
  };

  explicit Caller(Options options);
  ~Caller();
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  void Submit(JobPlan plan);
  // Waits for all jobs and returns their reports.
  std::vector<JobReport> Finish();

 private:
  void CheckReadiness();
  std::size_t ChooseEntry();
  JobReport Run(const JobPlan& plan);
  // Returns true if the outcome is final.
  bool Attempt(const JobPlan& plan, std::uint16_t port, JobReport& report);

  const Options options_;
  std::atomic<std::size_t> next_entry_{0};
  std::vector<std::atomic<bool>> ready_;
  std::atomic<bool> stopping_{false};
  std::thread readiness_checks_;
  std::vector<std::thread> threads_;
  std::mutex mutex_;
  // Guarded by mutex_.
  std::vector<JobReport> reports_;
  // Last, as its callbacks use the members above until it is destroyed.
  adapters::HttpClient client_{{.max_connections_per_host = 256}};
};

// The HTTP body that submits the plan.
std::string SubmissionBody(const JobPlan& plan);

}  // namespace zinniamux::testing

#endif  // ZINNIAMUX_TESTS_SUPPORT_CALLER_H_
