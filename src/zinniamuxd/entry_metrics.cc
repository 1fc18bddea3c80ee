// Records and exports the metrics of an entry.
#include "zinniamuxd/entry_metrics.h"

#include <chrono>
#include <utility>

#include "adapters/decision_log.h"
#include "zinniamuxd/owned_shard.h"
#include "zinniamuxd/shard_host.h"

namespace zinniamux::daemon {
namespace {

using MillisecondsAsDouble = std::chrono::duration<double, std::milli>;

}  // namespace

EntryMetrics::EntryMetrics(adapters::Metrics& metrics, const core::Clock& clock,
                           const adapters::JsonLog& log)
    : metrics_(metrics), clock_(clock), log_(log) {}

adapters::HttpResponder EntryMetrics::WrapResponder(const adapters::HttpRequest& request,
                                                    adapters::HttpResponder respond) {
  const core::TimePoint arrival = clock_.now();
  return [this, arrival, method = request.method,
          respond = std::move(respond)](adapters::HttpResponse response) {
    metrics_.Add("caller_answers_total", 1,
                 {{"method", method}, {"status", std::to_string(response.status)}});
    if (method == "POST") {
      metrics_.Observe("submission_answer_ms",
                       MillisecondsAsDouble(clock_.now() - arrival).count());
    }
    respond(std::move(response));
  };
}

void EntryMetrics::OnDecision(const core::DecisionRecord& record) {
  metrics_.Add("decisions_total", 1, {{"decision", adapters::DecisionName(record.decision)}});
}

std::string EntryMetrics::Export(const std::vector<std::shared_ptr<ShardHost>>& shards,
                                 std::size_t attached_agents, std::uint64_t config_version) {
  double owned = 0;
  double queued_tasks = 0;
  double running_tasks = 0;
  for (const auto& host : shards) {
    const auto shard = host->owned_shard();
    const auto stats = shard == nullptr ? std::nullopt : shard->stats();
    if (!stats) continue;
    ++owned;
    queued_tasks += static_cast<double>(stats->queued_tasks);
    running_tasks += static_cast<double>(stats->running_tasks);
  }
  metrics_.Set("owned_shards", owned);
  metrics_.Set("queued_tasks", queued_tasks);
  metrics_.Set("running_tasks", running_tasks);
  metrics_.Set("attached_agents", static_cast<double>(attached_agents));
  metrics_.Set("config_version", static_cast<double>(config_version));
  metrics_.Set("log_lines_dropped", static_cast<double>(log_.dropped()));
  ExportMessageCounts();
  return metrics_.Text();
}

void EntryMetrics::ExportMessageCounts() {
  const std::lock_guard lock(mutex_);
  for (const auto& [kind, count] : messages_.ByKind()) {
    std::uint64_t& exported = exported_counts_[kind];
    metrics_.Add("messages_total", static_cast<double>(count - exported), {{"kind", kind}});
    exported = count;
  }
}

}  // namespace zinniamux::daemon
