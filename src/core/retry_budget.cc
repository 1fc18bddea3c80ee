// Token bucket of retries.
#include "core/retry_budget.h"

#include <algorithm>

namespace zinniamux::core {

RetryBudget::RetryBudget(const Options& options)
    : options_(options), tokens_(std::min(options.initial_tokens, options.max_tokens)) {}

void RetryBudget::OnTaskCompleted() {
  tokens_ = std::min(tokens_ + options_.tokens_per_completion, options_.max_tokens);
}

bool RetryBudget::TrySpend() {
  // Ten additions of 0.1 give slightly less than one.
  constexpr double kRoundingError = 1e-9;
  if (tokens_ + kRoundingError < 1) return false;
  tokens_ = std::max(0.0, tokens_ - 1);
  return true;
}

}  // namespace zinniamux::core
