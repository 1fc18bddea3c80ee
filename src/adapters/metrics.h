// Counters, gauges and quantiles of one process, and the text page of GET /metrics.
#ifndef ZINNIAMUX_ADAPTERS_METRICS_H_
#define ZINNIAMUX_ADAPTERS_METRICS_H_

#include <array>
#include <cstddef>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "core/clock.h"

namespace zinniamux::adapters {

// A registry of metrics. A metric exists from its first use. The registry is divided into shards by
// the metric's name, each with a lock, so that threads that count different things rarely meet.
// Memory is bounded: at most `kMaxSeries` series exist, and one quantile series takes under 4 KB.
class Metrics {
 public:
  // Pairs of label and value, for example {{"kind", "overloaded"}}.
  using Labels = std::initializer_list<std::pair<std::string_view, std::string_view>>;

  static constexpr std::size_t kMaxSeries = 8192;
  // Quantiles describe the last complete window, or the first one while it lasts.
  static constexpr std::chrono::seconds kWindow{60};

  explicit Metrics(const core::Clock& clock);
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Adds to a counter. Names end in "_total".
  void Add(std::string_view name, double amount = 1, Labels labels = {});
  // Sets a gauge.
  void Set(std::string_view name, double value, Labels labels = {});
  // Adds a sample to a quantile series. Names end in their unit, for example "_ms".
  void Observe(std::string_view name, double value, Labels labels = {});

  // The text page in the Prometheus exposition format, sorted by name. Names get the prefix
  // "zinniamux_".
  std::string Text() const;

 private:
  class Shard;

  static constexpr std::size_t kShards = 16;

  Shard& ShardOf(std::string_view name) const;

  std::array<std::unique_ptr<Shard>, kShards> shards_;
};

}  // namespace zinniamux::adapters

#endif  // ZINNIAMUX_ADAPTERS_METRICS_H_
