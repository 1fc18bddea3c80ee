// Detects executors that fail tasks which their peers complete.
#ifndef ZINNIAMUX_CORE_EXECUTOR_HEALTH_H_
#define ZINNIAMUX_CORE_EXECUTOR_HEALTH_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/dispatch_config.h"

namespace zinniamux::core {

// Compares each outcome with the failure rate of the other executors for the same job kind, so that
// a job kind that fails everywhere ejects no executor. An ejected executor gets no tasks until its
// ejection time is over, then one at a time (probation) until enough of them succeed.
class ExecutorHealth {
 public:
  enum class Standing { kHealthy, kEjected, kProbation };

  struct Options {
    // An executor whose failure rate exceeds that of its peers by more than `eject_excess` is
    // ejected; one on probation is reinstated at `reinstate_excess` or less. The gap between them
    // keeps a borderline executor from being ejected and reinstated all the time.
    double eject_excess = 0.5;
    double reinstate_excess = 0.1;
    // With six outcomes, an executor with a failure rate of 5 % is ejected falsely in about 1 of
    // 10,000 cases.
    std::uint32_t min_outcomes = 6;
    std::uint32_t probation_outcomes = 5;
    Duration first_ejection = std::chrono::seconds(2);
    Duration max_ejection = std::chrono::seconds(60);
    // After this time without an ejection, the next one starts at `first_ejection` again.
    Duration forgive_after = std::chrono::minutes(5);
    // At most one in this many executors is ejected at a time.
    std::uint32_t ejected_divisor = 3;
  };

  struct Change {
    std::string executor_id;
    Standing standing = Standing::kHealthy;
    // Failure rate minus that of the peers at the time of the change.
    double excess = 0;
    // Set for an ejection.
    Duration ejected_for{0};
  };

  ExecutorHealth() : ExecutorHealth(Options()) {}
  explicit ExecutorHealth(const Options& options);

  // The limit on ejections is a share of the added executors.
  void Add(std::string_view executor_id);
  void Remove(std::string_view executor_id);
  // Forgets the job kinds that `config` does not list.
  void Retain(const DispatchConfig& config);
  Standing standing(std::string_view executor_id) const;
  std::size_t ejected() const { return ejected_; }

  // Records one outcome; returns the resulting change of standing, if any. O(log n).
  std::optional<Change> Record(std::string_view executor_id, std::string_view job_kind, bool failed,
                               TimePoint now);
  // Moves executors whose ejection time is over to probation.
  std::vector<Change> OnTimer(TimePoint now);

 private:
  struct Executor {
    Standing standing = Standing::kHealthy;
    // Outcomes since the standing last changed.
    std::uint32_t outcomes = 0;
    // Exponentially weighted mean of (failed - failure rate of the peers).
    double excess = 0;
    std::uint32_t ejections = 0;
    TimePoint ejected_until;
  };

  // Outcomes of one job kind on one executor.
  struct FailureRate {
    std::uint32_t outcomes = 0;
    double failure_rate = 0;
  };

  struct Kind {
    std::map<std::string, FailureRate, std::less<>> rates;
    // Sum of failure_rate over `rates`. Each executor counts once, however many tasks it runs: one
    // that fails tasks immediately gets new ones immediately and would dominate a mean over tasks.
    double rate_sum = 0;
  };

  // The mean failure rate of the other executors for this kind; empty if none has an outcome.
  static std::optional<double> PeerRate(const Kind& kind, std::string_view executor_id);
  static void UpdateFailureRate(Kind& kind, std::string_view executor_id, bool failed);
  std::optional<Change> UpdateStanding(const std::string& id, Executor& executor, TimePoint now);
  Change Eject(const std::string& id, Executor& executor, TimePoint now);
  bool MayEject() const;

  const Options options_;
  std::map<std::string, Executor, std::less<>> executors_;
  std::map<std::string, Kind, std::less<>> kinds_;
  // Invariant: the number of executors with the standing kEjected.
  std::size_t ejected_ = 0;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_EXECUTOR_HEALTH_H_
