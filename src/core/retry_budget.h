// Limits how many tasks of one team may be placed again after a confirmed refusal.
#ifndef ZINNIAMUX_CORE_RETRY_BUDGET_H_
#define ZINNIAMUX_CORE_RETRY_BUDGET_H_

namespace zinniamux::core {

// A token bucket that completed tasks fill. Refusals therefore cannot multiply the messages of a
// team beyond a fixed share of its useful work.
class RetryBudget {
 public:
  struct Options {
    double initial_tokens = 10;
    double tokens_per_completion = 0.1;
    // Bounds the burst of retries after a long time without refusals.
    double max_tokens = 100;
  };

  RetryBudget() : RetryBudget(Options()) {}
  explicit RetryBudget(const Options& options);

  double tokens() const { return tokens_; }
  void OnTaskCompleted();
  // Takes one token. Returns false, and takes nothing, if less than one is left.
  bool TrySpend();

 private:
  Options options_;
  // Invariant: 0 <= tokens_ <= options_.max_tokens.
  double tokens_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_RETRY_BUDGET_H_
