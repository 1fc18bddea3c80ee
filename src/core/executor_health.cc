// Outlier ejection relative to peers, per job kind.
#include "core/executor_health.h"

#include <algorithm>

namespace zinniamux::core {
namespace {

// Weight of one outcome after the first ones: the rates cover about the last 16 outcomes.
constexpr double kMinWeight = 1.0 / 16;

double WeightOf(std::uint32_t outcomes) {
  return std::max(kMinWeight, 1.0 / static_cast<double>(outcomes));
}

}  // namespace

ExecutorHealth::ExecutorHealth(const Options& options) : options_(options) {}

void ExecutorHealth::Add(std::string_view executor_id) {
  executors_.try_emplace(std::string(executor_id));
}

void ExecutorHealth::Remove(std::string_view executor_id) {
  const auto found = executors_.find(executor_id);
  if (found == executors_.end()) return;
  if (found->second.standing == Standing::kEjected) --ejected_;
  executors_.erase(found);
  for (auto& [name, kind] : kinds_) {
    const auto rate = kind.rates.find(executor_id);
    if (rate == kind.rates.end()) continue;
    kind.rate_sum -= rate->second.failure_rate;
    kind.rates.erase(rate);
  }
  std::erase_if(kinds_, [](const auto& entry) { return entry.second.rates.empty(); });
}

void ExecutorHealth::Retain(const DispatchConfig& config) {
  std::erase_if(kinds_, [&](const auto& entry) { return !config.jobs.contains(entry.first); });
}

ExecutorHealth::Standing ExecutorHealth::standing(std::string_view executor_id) const {
  const auto found = executors_.find(executor_id);
  return found == executors_.end() ? Standing::kHealthy : found->second.standing;
}

std::optional<ExecutorHealth::Change> ExecutorHealth::Record(std::string_view executor_id,
                                                             std::string_view job_kind, bool failed,
                                                             TimePoint now) {
  const auto found = executors_.find(executor_id);
  if (found == executors_.end()) return std::nullopt;
  Executor& executor = found->second;
  auto kind = kinds_.find(job_kind);
  if (kind == kinds_.end()) kind = kinds_.emplace(std::string(job_kind), Kind()).first;
  const std::optional<double> peer_rate = PeerRate(kind->second, executor_id);
  UpdateFailureRate(kind->second, executor_id, failed);
  // Without peers, a failing executor cannot be told from a failing job kind. Late outcomes of
  // tasks that were started before an ejection add no information.
  if (!peer_rate || executor.standing == Standing::kEjected) return std::nullopt;
  ++executor.outcomes;
  const double excess = (failed ? 1.0 : 0.0) - *peer_rate;
  executor.excess += WeightOf(executor.outcomes) * (excess - executor.excess);
  return UpdateStanding(found->first, executor, now);
}

std::vector<ExecutorHealth::Change> ExecutorHealth::OnTimer(TimePoint now) {
  std::vector<Change> changes;
  if (ejected_ == 0) return changes;
  for (auto& [id, executor] : executors_) {
    if (executor.standing != Standing::kEjected || now < executor.ejected_until) continue;
    changes.push_back(
        {.executor_id = id, .standing = Standing::kProbation, .excess = executor.excess});
    --ejected_;
    executor.standing = Standing::kProbation;
    executor.outcomes = 0;
    executor.excess = 0;
  }
  return changes;
}

std::optional<double> ExecutorHealth::PeerRate(const Kind& kind, std::string_view executor_id) {
  const auto own = kind.rates.find(executor_id);
  const bool has_own = own != kind.rates.end();
  const std::size_t peers = kind.rates.size() - (has_own ? 1 : 0);
  if (peers == 0) return std::nullopt;
  const double sum = kind.rate_sum - (has_own ? own->second.failure_rate : 0);
  return std::clamp(sum / static_cast<double>(peers), 0.0, 1.0);
}

void ExecutorHealth::UpdateFailureRate(Kind& kind, std::string_view executor_id, bool failed) {
  auto rate = kind.rates.find(executor_id);
  if (rate == kind.rates.end()) {
    rate = kind.rates.emplace(std::string(executor_id), FailureRate()).first;
  }
  const double step =
      WeightOf(++rate->second.outcomes) * ((failed ? 1.0 : 0.0) - rate->second.failure_rate);
  rate->second.failure_rate += step;
  kind.rate_sum += step;
}

std::optional<ExecutorHealth::Change> ExecutorHealth::UpdateStanding(const std::string& id,
                                                                     Executor& executor,
                                                                     TimePoint now) {
  const bool probation = executor.standing == Standing::kProbation;
  const std::uint32_t needed = probation ? options_.probation_outcomes : options_.min_outcomes;
  // On probation, no further tasks are needed once the failure rate is certain to end above the
  // limit.
  const double worst_case = executor.excess * executor.outcomes / needed;
  const bool failing = executor.outcomes >= needed
                           ? executor.excess > options_.eject_excess
                           : probation && worst_case > options_.eject_excess;
  if (failing && MayEject()) return Eject(id, executor, now);
  if (!probation || executor.outcomes < needed) return std::nullopt;
  if (executor.excess > options_.reinstate_excess) return std::nullopt;
  executor.standing = Standing::kHealthy;
  executor.outcomes = 0;
  const double excess = executor.excess;
  executor.excess = 0;
  return Change{.executor_id = id, .standing = Standing::kHealthy, .excess = excess};
}

ExecutorHealth::Change ExecutorHealth::Eject(const std::string& id, Executor& executor,
                                             TimePoint now) {
  const bool forgiven =
      executor.ejections > 0 && now - executor.ejected_until > options_.forgive_after;
  if (forgiven) executor.ejections = 0;
  Duration duration = options_.first_ejection;
  for (std::uint32_t step = 0; step < executor.ejections && duration < options_.max_ejection;
       ++step) {
    duration *= 2;
  }
  duration = std::min(duration, options_.max_ejection);
  ++executor.ejections;
  executor.standing = Standing::kEjected;
  executor.ejected_until = now + duration;
  ++ejected_;
  return {.executor_id = id,
          .standing = Standing::kEjected,
          .excess = executor.excess,
          .ejected_for = duration};
}

bool ExecutorHealth::MayEject() const {
  return (ejected_ + 1) * options_.ejected_divisor <= executors_.size();
}

}  // namespace zinniamux::core
