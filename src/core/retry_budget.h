// Limits how many tasks of one team may be placed again after a confirmed refusal.
#ifndef ZINNIAMUX_CORE_RETRY_BUDGET_H_
#define ZINNIAMUX_CORE_RETRY_BUDGET_H_

namespace zinniamux::core {

// A token bucket that is refilled by completed tasks, so that retries after refusals stay a fixed
// share of a team's completed tasks.
class RetryBudget {
 public:
  struct Options {
    double initial_tokens = 10;
    double tokens_per_completion = 0.1;
    // Limits the burst of retries after a long time without refusals.
    double max_tokens = 100;
  };

  RetryBudget() : RetryBudget(Options()) {}
  explicit RetryBudget(const Options& options);

  double tokens() const { return tokens_; }
  void OnTaskCompleted();
  // Takes one token. Returns false and takes nothing if less than one is left.
  bool TrySpend();

 private:
  Options options_;
  // Invariant: 0 <= tokens_ <= options_.max_tokens.
  double tokens_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_RETRY_BUDGET_H_
