// What an entry records in its metrics registry.
#ifndef ZINNIAMUX_ZINNIAMUXD_ENTRY_METRICS_H_
#define ZINNIAMUX_ZINNIAMUXD_ENTRY_METRICS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "adapters/http_message.h"
#include "adapters/json_log.h"
#include "adapters/metrics.h"
#include "core/clock.h"
#include "core/dispatcher_action.h"
#include "zinniamuxd/message_counts.h"

namespace zinniamux::daemon {

class ShardHost;

// Names and labels of an entry's metrics; see docs/OPERATIONS.md. Thread-safe.
class EntryMetrics {
 public:
  // All arguments outlive this object.
  EntryMetrics(adapters::Metrics& metrics, const core::Clock& clock, const adapters::JsonLog& log);

  // A responder that records the status and, for submissions, the response time of a request to the
  // caller port, and then calls `respond`.
  adapters::HttpResponder Recorded(const adapters::HttpRequest& request,
                                   adapters::HttpResponder respond);
  void OnDecision(const core::DecisionRecord& record);
  // Filled by those who send and receive.
  MessageCounts& messages() { return messages_; }
  // Sets the gauges and returns the text page.
  std::string Page(const std::vector<std::shared_ptr<ShardHost>>& shards, std::size_t agents,
                   std::uint64_t config_version);

 private:
  void ExportMessages();

  adapters::Metrics& metrics_;
  const core::Clock& clock_;
  const adapters::JsonLog& log_;
  MessageCounts messages_;
  std::mutex mutex_;
  // Guarded by mutex_. What messages_ held at the last page.
  std::map<std::string, std::uint64_t> exported_;
};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_ENTRY_METRICS_H_
