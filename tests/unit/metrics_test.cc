// Metrics: figures on the text page are those that were recorded, in bounded memory.
#include "adapters/metrics.h"

#include <criterion/criterion.h>

#include <cmath>
#include <string>

namespace {

using zinniamux::adapters::Metrics;
using zinniamux::core::ManualClock;

// The number after `prefix` at the start of a line, or -1.
double ValueOf(const std::string& page, const std::string& prefix) {
  const std::size_t line = ("\n" + page).find("\n" + prefix + " ");
  if (line == std::string::npos) return -1;
  return std::stod(page.substr(line + prefix.size() + 1));
}

}  // namespace

// Guards against lost counts, label sets that share one series, and unescaped labels.
Test(metrics, prints_counters_and_gauges) {
  const ManualClock clock;
  Metrics metrics(clock);
  metrics.Add("jobs_total", 1, {{"state", "complete"}});
  metrics.Add("jobs_total", 2, {{"state", "complete"}});
  metrics.Add("jobs_total", 1, {{"state", "fa\"iled"}});
  metrics.Set("queue_tasks", 7);
  metrics.Set("queue_tasks", 5);
  const std::string page = metrics.Text();
  cr_assert_eq(ValueOf(page, "zinniamux_jobs_total{state=\"complete\"}"), 3);
  cr_assert_eq(ValueOf(page, "zinniamux_jobs_total{state=\"fa\\\"iled\"}"), 1);
  cr_assert_eq(ValueOf(page, "zinniamux_queue_tasks"), 5);
  cr_assert(page.find("# TYPE zinniamux_jobs_total counter\n") != std::string::npos);
}

// Guards against quantiles that are far from the samples, for few samples and for many.
Test(metrics, estimates_quantiles) {
  ManualClock clock;
  Metrics metrics(clock);
  metrics.Observe("wait_ms", 30);
  metrics.Observe("wait_ms", 10);
  metrics.Observe("wait_ms", 20);
  cr_assert_eq(ValueOf(metrics.Text(), "zinniamux_wait_ms{quantile=\"0.5\"}"), 20);
  cr_assert_eq(ValueOf(metrics.Text(), "zinniamux_wait_ms{quantile=\"0.99\"}"), 30);
  for (int i = 1; i <= 20; ++i) metrics.Observe("few_ms", i);
  cr_assert_eq(ValueOf(metrics.Text(), "zinniamux_few_ms{quantile=\"0.9\"}"), 18);
  cr_assert_eq(ValueOf(metrics.Text(), "zinniamux_few_ms{quantile=\"0.99\"}"), 20);
  // The exact samples end in the middle of the next series.
  for (int i = 1; i <= 200; ++i) metrics.Observe("more_ms", i);
  cr_assert_gt(ValueOf(metrics.Text(), "zinniamux_more_ms{quantile=\"0.99\"}"), 190);
  // 7919 is prime to 10000, so the samples are the numbers 0 to 9999 in a mixed order.
  for (int i = 0; i < 10'000; ++i) metrics.Observe("run_ms", (i * 7919) % 10'000);
  const std::string page = metrics.Text();
  cr_assert(std::abs(ValueOf(page, "zinniamux_run_ms{quantile=\"0.5\"}") - 5000) < 200);
  cr_assert(std::abs(ValueOf(page, "zinniamux_run_ms{quantile=\"0.99\"}") - 9900) < 100);
  cr_assert_eq(ValueOf(page, "zinniamux_run_ms_count"), 10'000);
}

// Guards against quantiles that still show an incident of hours ago.
Test(metrics, forgets_samples_of_earlier_windows) {
  ManualClock clock;
  Metrics metrics(clock);
  metrics.Observe("wait_ms", 1000);
  clock.Advance(Metrics::kWindow);
  metrics.Observe("wait_ms", 1);
  cr_assert_eq(ValueOf(metrics.Text(), "zinniamux_wait_ms{quantile=\"0.5\"}"), 1000);
  clock.Advance(Metrics::kWindow);
  cr_assert_eq(ValueOf(metrics.Text(), "zinniamux_wait_ms{quantile=\"0.5\"}"), 1);
  clock.Advance(Metrics::kWindow);
  cr_assert_eq(ValueOf(metrics.Text(), "zinniamux_wait_ms{quantile=\"0.5\"}"), -1);
  cr_assert_eq(ValueOf(metrics.Text(), "zinniamux_wait_ms_sum"), 1001);
}

// Guards against memory that grows with a label taken from requests.
Test(metrics, bounds_the_number_of_series) {
  const ManualClock clock;
  Metrics metrics(clock);
  for (std::size_t i = 0; i < Metrics::kMaxSeries + 10; ++i) {
    metrics.Add("requests_total", 1, {{"id", std::to_string(i)}});
  }
  cr_assert_gt(ValueOf(metrics.Text(), "zinniamux_metrics_rejected_total"), 9);
}
