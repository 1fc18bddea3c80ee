// Finds executors that fail tasks which their peers complete.
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
// a job kind that fails everywhere ejects nobody. An ejected executor gets no tasks until its
// ejection time is over, then one at a time (probation) until it has shown enough good outcomes.
class ExecutorHealth {
 public:
  enum class Standing { kHealthy, kEjected, kProbation };

  struct Options {
    // Failure rate in excess of the peers' above which an executor is ejected, and below which one
    // on probation is reinstated. The gap between them keeps a borderline executor from moving in
    // and out all the time.
    double eject_excess = 0.5;
    double reinstate_excess = 0.1;
    // Six outcomes keep the chance of a false ejection at a failure rate of 5 % near 1 in 10,000.
    std::uint32_t min_outcomes = 6;
    std::uint32_t probation_outcomes = 5;
    Duration first_ejection = std::chrono::seconds(2);
    Duration max_ejection = std::chrono::seconds(60);
    // After this time without an ejection, the next one is short again.
    Duration forgive_after = std::chrono::minutes(5);
    // At most one in this many executors is ejected at a time.
    std::uint32_t ejected_divisor = 3;
  };

  struct Change {
    std::string executor_id;
    Standing standing = Standing::kHealthy;
    // Failure rate minus that of the peers when the change was decided.
    double excess = 0;
    // Set for an ejection.
    Duration ejected_for{0};
  };

  ExecutorHealth() : ExecutorHealth(Options()) {}
  explicit ExecutorHealth(const Options& options);

  // Only known executors count for the limit on ejections.
  void Add(std::string_view executor_id);
  void Remove(std::string_view executor_id);
  // Forgets the job kinds that `config` does not list.
  void Retain(const DispatchConfig& config);
  Standing standing(std::string_view executor_id) const;
  std::size_t ejected() const { return ejected_; }

  // Records one outcome; returns the change of standing that it causes. O(log n).
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
  struct Cell {
    std::uint32_t outcomes = 0;
    double failure_rate = 0;
  };

  struct Kind {
    std::map<std::string, Cell, std::less<>> cells;
    // Sum of failure_rate over `cells`. Each executor counts once, however many tasks it takes: one
    // that fails at once is free again at once and would otherwise dominate the mean.
    double rate_sum = 0;
  };

  // The mean failure rate of the others for this kind; empty if no other has an outcome.
  static std::optional<double> PeerRate(const Kind& kind, std::string_view executor_id);
  static void Learn(Kind& kind, std::string_view executor_id, bool failed);
  std::optional<Change> Judge(const std::string& id, Executor& executor, TimePoint now);
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
