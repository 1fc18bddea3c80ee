// Decides whether a submission may enter a shard's queue.
#ifndef ZINNIAMUX_CORE_ADMISSION_CONTROLLER_H_
#define ZINNIAMUX_CORE_ADMISSION_CONTROLLER_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "core/dispatch_config.h"
#include "core/error_kind.h"
#include "core/job_queue.h"
#include "core/run_time_estimator.h"
#include "core/submission.h"

namespace zinniamux::core {

// Expected run times of a job's tasks.
struct JobEstimate {
  // By task index.
  std::vector<Duration> task_costs;
  Duration total{0};
  Duration longest{0};
  Duration deviation{0};
  // False while the estimate rests on declarations alone.
  bool learned = false;
};

// The declared memory of a task, or that of its job kind if it declares none.
std::uint32_t TaskMemory(const TaskDeclaration& task, const JobConfig& config);

JobEstimate EstimateJob(const Submission& submission, const JobConfig& config,
                        const RunTimeEstimator& estimator);

// Refuses on arrival the submissions that would be refused later or miss their deadline, so that
// capacity goes to jobs that can still be completed. Stateless.
class AdmissionController {
 public:
  struct Options {
    // Bound on the waiting tasks of a shard.
    std::uint32_t max_queued_tasks = 100'000;
    // Factor on the estimated wait, because teams that arrive later take their share of the slots.
    // At a load of 1.3 times the capacity, jobs that missed their deadline used 19 % of the
    // capacity with a factor of 1.0, 5 % with 1.25 and 1 % with 1.5.
    double wait_margin = 1.5;
  };

  // Slots and memory of the shard's executors.
  struct Capacity {
    // Slots of executors that accept tasks.
    std::uint32_t open_slots = 0;
    std::uint32_t free_slots = 0;
    // Memory of the largest known executor; zero if unknown.
    std::uint32_t largest_memory_mb = 0;
  };

  struct Situation {
    const DispatchConfig& config;
    const JobQueue& queue;
    Capacity capacity;
    TimePoint now;
  };

  AdmissionController() : AdmissionController(Options()) {}
  explicit AdmissionController(const Options& options);

  // Returns why the submission is refused regardless of the load, or nothing if it can run at all.
  // If nothing is returned, the submission's job and team are configured.
  std::optional<Error> CheckDeclaration(const Submission& submission,
                                        const Situation& situation) const;
  // Returns why a valid submission is refused under the current load, or nothing if it is admitted.
  std::optional<Error> CheckLoad(const Submission& submission, const JobEstimate& estimate,
                                 const Situation& situation) const;
  // How long a caller should wait before a retry if `excess_tasks` must be served first.
  static std::chrono::milliseconds RetryAfter(std::uint64_t excess_tasks,
                                              const Situation& situation);

 private:
  std::optional<Error> CheckQuota(const Submission& submission, const Situation& situation) const;
  std::optional<Error> CheckQueueBound(const Submission& submission,
                                       const Situation& situation) const;
  std::optional<Error> CheckDeadline(const Submission& submission, const JobEstimate& estimate,
                                     const Situation& situation) const;

  const Options options_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_ADMISSION_CONTROLLER_H_
