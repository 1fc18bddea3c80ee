// Exponentially weighted run-time estimates.
#include "core/run_time_estimator.h"

#include <algorithm>
#include <cmath>

namespace zinniamux::core {
namespace {

// Weight of one observation after the first ones: the mean follows a change of the run time within
// about 30 tasks, and one straggler moves it by 6 % of its excess.
constexpr double kMinWeight = 1.0 / 16;
// With fewer observations, the declared time predicts as well as the mean.
constexpr std::uint64_t kMinSamples = 4;

// The first observations have equal weights, so that the initial value causes no bias.
double WeightOf(std::uint64_t samples) {
  return std::max(kMinWeight, 1.0 / static_cast<double>(samples));
}

void UpdateMean(double& mean, double value, double weight) { mean += weight * (value - mean); }

Duration FromMicroseconds(double value) { return Duration(static_cast<Duration::rep>(value)); }

}  // namespace

double RunTimeEstimator::Kind::ScaledDeclaration(Duration declared) const {
  return static_cast<double>(declared.count()) * mean_actual_of_declared / mean_declared;
}

bool RunTimeEstimator::Kind::UsesRatio(Duration declared) const {
  return declared.count() > 0 && declared_samples >= kMinSamples && error_of_ratio <= error_of_mean;
}

RunTimeEstimator::Estimate RunTimeEstimator::For(std::string_view job_kind,
                                                 Duration declared) const {
  const auto found = kinds_.find(job_kind);
  if (found == kinds_.end() || found->second.samples < kMinSamples) return {.run_time = declared};
  const Kind& kind = found->second;
  const bool uses_ratio = kind.UsesRatio(declared);
  const double run_time = uses_ratio ? kind.ScaledDeclaration(declared) : kind.mean_actual;
  const double error = uses_ratio ? kind.error_of_ratio : kind.error_of_mean;
  return {.run_time = FromMicroseconds(run_time),
          .deviation = FromMicroseconds(error),
          .learned = true};
}

void RunTimeEstimator::Observe(std::string_view job_kind, Duration declared, Duration actual) {
  auto found = kinds_.find(job_kind);
  if (found == kinds_.end()) found = kinds_.emplace(std::string(job_kind), Kind()).first;
  Kind& kind = found->second;
  const auto time = static_cast<double>(std::max(actual, Duration(0)).count());
  if (kind.samples > 0) {
    // Prediction errors: computed before the means include this observation.
    const double weight = WeightOf(kind.samples);
    UpdateMean(kind.error_of_mean, std::abs(time - kind.mean_actual), weight);
  }
  ++kind.samples;
  UpdateMean(kind.mean_actual, time, WeightOf(kind.samples));
  if (declared.count() <= 0) return;
  if (kind.declared_samples > 0) {
    const double weight = WeightOf(kind.declared_samples);
    UpdateMean(kind.error_of_ratio, std::abs(time - kind.ScaledDeclaration(declared)), weight);
  }
  ++kind.declared_samples;
  const double weight = WeightOf(kind.declared_samples);
  UpdateMean(kind.mean_declared, static_cast<double>(declared.count()), weight);
  UpdateMean(kind.mean_actual_of_declared, time, weight);
}

void RunTimeEstimator::Retain(const DispatchConfig& config) {
  std::erase_if(kinds_, [&](const auto& entry) { return !config.jobs.contains(entry.first); });
}

}  // namespace zinniamux::core
