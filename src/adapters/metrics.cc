// The sharded registry, P-square quantiles over windows, and the text page.
#include "adapters/metrics.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cmath>
#include <functional>
#include <map>
#include <mutex>
#include <variant>
#include <vector>

namespace zinniamux::adapters {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kProbabilities{0.5, 0.9, 0.99};
// The P-square algorithm starts from the median of five samples and needs many more before its
// estimate of 0.99 is near the largest ones, so the quantiles of a few samples are exact.
constexpr std::size_t kExactSamples = 128;

using Quantile = acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;

Quantile MakeQuantile(double probability) {
  return Quantile(acc::quantile_probability = probability);
}

// Quantiles over the samples of one window.
class Window {
 public:
  void Add(double value) {
    if (count_ < kExactSamples) first_[count_] = value;
    ++count_;
    for (Quantile& quantile : quantiles_) quantile(value);
  }

  bool empty() const { return count_ == 0; }

  double quantile(std::size_t index) const {
    if (count_ > kExactSamples) return acc::p_square_quantile(quantiles_[index]);
    std::array<double, kExactSamples> sorted = first_;
    std::sort(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(count_));
    const double rank = std::ceil(kProbabilities[index] * static_cast<double>(count_));
    return sorted[static_cast<std::size_t>(rank) - 1];
  }

 private:
  std::size_t count_ = 0;
  std::array<double, kExactSamples> first_{};
  std::array<Quantile, kProbabilities.size()> quantiles_{MakeQuantile(kProbabilities[0]),
                                                         MakeQuantile(kProbabilities[1]),
                                                         MakeQuantile(kProbabilities[2])};
};

struct Counter {
  double value = 0;
};

struct Gauge {
  double value = 0;
};

// Count and sum since the start, quantiles over the last window.
class Summary {
 public:
  void Add(double value, core::TimePoint now) {
    Rotate(now);
    ++count_;
    sum_ += value;
    current_.Add(value);
  }

  // Quantiles are left out when the last two windows saw no sample.
  void Print(const std::string& name, const std::string& labels, core::TimePoint now,
             std::string& page) const {
    const Window* window = Shown(now);
    for (std::size_t i = 0; window != nullptr && i < kProbabilities.size(); ++i) {
      const std::string separator = labels.empty() ? "" : ",";
      page += fmt::format("{}{{{}{}quantile=\"{}\"}} {}\n", name, labels, separator,
                          kProbabilities[i], window->quantile(i));
    }
    const std::string suffix = labels.empty() ? "" : "{" + labels + "}";
    page += fmt::format("{}_sum{} {}\n", name, suffix, sum_);
    page += fmt::format("{}_count{} {}\n", name, suffix, count_);
  }

 private:
  void Rotate(core::TimePoint now) {
    const auto number = now.time_since_epoch() / Metrics::kWindow;
    if (number == window_number_) return;
    previous_ = number == window_number_ + 1 ? current_ : Window();
    current_ = Window();
    window_number_ = number;
  }

  const Window* Shown(core::TimePoint now) const {
    const auto number = now.time_since_epoch() / Metrics::kWindow;
    if (number == window_number_ && !previous_.empty()) return &previous_;
    if (number <= window_number_ + 1 && !current_.empty()) return &current_;
    return nullptr;
  }

  std::uint64_t count_ = 0;
  double sum_ = 0;
  std::int64_t window_number_ = 0;
  Window current_;
  Window previous_;
};

std::string Escaped(std::string_view value) {
  std::string result;
  for (const char character : value) {
    if (character == '\\' || character == '"') result += '\\';
    result += character == '\n' ? ' ' : character;
  }
  return result;
}

std::string LabelText(Metrics::Labels labels) {
  std::string text;
  for (const auto& [label, value] : labels) {
    if (!text.empty()) text += ',';
    text += fmt::format("{}=\"{}\"", label, Escaped(value));
  }
  return text;
}

}  // namespace

class Metrics::Shard {
 public:
  explicit Shard(const core::Clock& clock) : clock_(clock) {}

  void Add(std::string_view name, double amount, Labels labels) {
    const std::lock_guard lock(mutex_);
    if (auto* counter = Find<Counter>(name, labels)) counter->value += amount;
  }

  void Set(std::string_view name, double value, Labels labels) {
    const std::lock_guard lock(mutex_);
    if (auto* gauge = Find<Gauge>(name, labels)) gauge->value = value;
  }

  void Observe(std::string_view name, double value, Labels labels) {
    const std::lock_guard lock(mutex_);
    if (auto* summary = Find<Summary>(name, labels)) summary->Add(value, clock_.now());
  }

  // Adds one block of text per metric name.
  void Print(std::map<std::string, std::string>& blocks) const {
    const std::lock_guard lock(mutex_);
    for (const auto& [name, family] : families_) PrintFamily(name, family, blocks[name]);
  }

  std::uint64_t rejected() const {
    const std::lock_guard lock(mutex_);
    return rejected_;
  }

 private:
  using Series = std::variant<Counter, Gauge, Summary>;
  using Family = std::map<std::string, Series, std::less<>>;

  // The series, created on first use; null if there are too many or it has another type.
  template <typename Type>
  Type* Find(std::string_view name, Labels labels) {
    auto family = families_.find(name);
    if (family == families_.end()) family = families_.emplace(std::string(name), Family()).first;
    const std::string key = LabelText(labels);
    auto series = family->second.find(key);
    if (series == family->second.end()) {
      if (series_count_ >= kMaxSeries / kShards) {
        ++rejected_;
        return nullptr;
      }
      ++series_count_;
      series = family->second.emplace(key, Type()).first;
    }
    auto* found = std::get_if<Type>(&series->second);
    if (found == nullptr) ++rejected_;
    return found;
  }

  void PrintFamily(const std::string& name, const Family& family, std::string& page) const {
    if (family.empty()) return;
    constexpr std::array<std::string_view, 3> kTypes{"counter", "gauge", "summary"};
    const std::string full_name = "zinniamux_" + name;
    page += fmt::format("# TYPE {} {}\n", full_name, kTypes[family.begin()->second.index()]);
    for (const auto& [labels, series] : family) PrintSeries(full_name, labels, series, page);
  }

  void PrintSeries(const std::string& name, const std::string& labels, const Series& series,
                   std::string& page) const {
    if (const auto* summary = std::get_if<Summary>(&series)) {
      summary->Print(name, labels, clock_.now(), page);
      return;
    }
    const auto* counter = std::get_if<Counter>(&series);
    const double value = counter != nullptr ? counter->value : std::get<Gauge>(series).value;
    const std::string suffix = labels.empty() ? "" : "{" + labels + "}";
    page += fmt::format("{}{} {}\n", name, suffix, value);
  }

  const core::Clock& clock_;
  mutable std::mutex mutex_;
  // Guarded by mutex_.
  std::map<std::string, Family, std::less<>> families_;
  std::size_t series_count_ = 0;
  std::uint64_t rejected_ = 0;
};

Metrics::Metrics(const core::Clock& clock) {
  for (std::unique_ptr<Shard>& shard : shards_) shard = std::make_unique<Shard>(clock);
}

Metrics::~Metrics() = default;

void Metrics::Add(std::string_view name, double amount, Labels labels) {
  ShardOf(name).Add(name, amount, labels);
}

void Metrics::Set(std::string_view name, double value, Labels labels) {
  ShardOf(name).Set(name, value, labels);
}

void Metrics::Observe(std::string_view name, double value, Labels labels) {
  ShardOf(name).Observe(name, value, labels);
}

std::string Metrics::Text() const {
  std::map<std::string, std::string> blocks;
  std::uint64_t rejected = 0;
  for (const std::unique_ptr<Shard>& shard : shards_) {
    shard->Print(blocks);
    rejected += shard->rejected();
  }
  std::string page;
  for (const auto& [name, block] : blocks) page += block;
  page += fmt::format(
      "# TYPE zinniamux_metrics_rejected_total counter\n"
      "zinniamux_metrics_rejected_total {}\n",
      rejected);
  return page;
}

Metrics::Shard& Metrics::ShardOf(std::string_view name) const {
  return *shards_[std::hash<std::string_view>()(name) % kShards];
}

}  // namespace zinniamux::adapters
