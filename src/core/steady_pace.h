// Recognises an executor whose speed stays the same, whatever that speed is.
#ifndef ZINNIAMUX_CORE_STEADY_PACE_H_
#define ZINNIAMUX_CORE_STEADY_PACE_H_

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <optional>

#include "core/clock.h"

namespace zinniamux::core {

// Load pattern: some executors are slower than others for good, because of their hardware or their
// neighbours. Other than an executor in a slow phase, such a one can be relied on: how long a task
// takes there is known. Runs are taken in blocks; the pace is steady while the last blocks agree.
class SteadyPace {
 public:
  // The logarithm of run time / estimate of one run.
  void AddSample(double log_ratio, TimePoint now) {
    if (sampled_at_ && now - *sampled_at_ < kMinPause) return;
    sampled_at_ = now;
    samples_[count_++] = log_ratio;
    if (count_ < kBlockSize) return;
    blocks_ = {blocks_[1], blocks_[2], TrimmedMean()};
    block_ended_at_ = now;
    known_ = std::min(known_ + 1, kBlocks);
    count_ = 0;
  }

  // Run time / estimate, or 0 if it is not known to be steady.
  double value(TimePoint now) const {
    if (known_ < kBlocks || now - block_ended_at_ > kRetention) return 0;
    const auto [least, most] = std::minmax({blocks_[0], blocks_[1], blocks_[2]});
    if (most - least > kTolerance) return 0;
    const double mean = (blocks_[0] + blocks_[1] + blocks_[2]) / kBlocks;
    // The present block shows a change before it is complete.
    if (count_ >= kMinToContradict && std::abs(TrimmedMean() - mean) > kTolerance) return 0;
    return std::exp(mean);
  }

 private:
  // Estimates are off by tens of percent, and the tasks of a job alike: the mean of a block of 12
  // runs of about six jobs is off by 15 %, that of three blocks by 10 %.
  static constexpr std::size_t kBlockSize = 12;
  static constexpr std::size_t kBlocks = 3;
  // Ignored at both ends of a block: 3 % of runs that take several times as long, and others that
  // end early.
  static constexpr std::size_t kTrimmedPart = 6;
  static constexpr std::size_t kMinToContradict = 8;
  // A factor of 1.8 between blocks. Normal spread stays below it, slow phases are above.
  static constexpr double kTolerance = 0.6;
  // The tasks of one job, whose estimates are off alike, end together. With this pause between
  // samples, three blocks take at least 1.4 s.
  static constexpr std::chrono::milliseconds kMinPause{40};
  // The speed of an executor that gets little work is remembered for this time.
  static constexpr std::chrono::seconds kRetention{30};

  // Of the samples of the present block.
  double TrimmedMean() const {
    std::array<double, kBlockSize> sorted = samples_;
    const auto begin = sorted.begin();
    const auto end = begin + static_cast<std::ptrdiff_t>(count_);
    std::sort(begin, end);
    const auto trimmed = static_cast<std::ptrdiff_t>((count_ + kTrimmedPart - 1) / kTrimmedPart);
    double sum = 0;
    for (auto each = begin + trimmed; each != end - trimmed; ++each) sum += *each;
    return sum / static_cast<double>(end - begin - 2 * trimmed);
  }

  std::array<double, kBlockSize> samples_{};
  // Samples in the present block.
  std::size_t count_ = 0;
  std::optional<TimePoint> sampled_at_;
  // Means of the last blocks.
  std::array<double, kBlocks> blocks_{};
  TimePoint block_ended_at_;
  std::size_t known_ = 0;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_STEADY_PACE_H_
