// The metrics of an entry.
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

// Records the metrics of an entry under their names and labels. Thread-safe.
class EntryMetrics {
 public:
  // All arguments outlive this object.
  EntryMetrics(adapters::Metrics& metrics, const core::Clock& clock, const adapters::JsonLog& log);

  // Returns a responder that records the status and, for submissions, the response time of a
  // request to the caller port, and then calls `respond`.
  adapters::HttpResponder WrapResponder(const adapters::HttpRequest& request,
                                        adapters::HttpResponder respond);
  void OnDecision(const core::DecisionRecord& record);
  // Updated by the components that send and receive messages.
  MessageCounts& messages() { return messages_; }
  // Updates the gauges and returns the body of GET /metrics.
  std::string Export(const std::vector<std::shared_ptr<ShardHost>>& shards,
                     std::size_t attached_agents, std::uint64_t config_version);

 private:
  void ExportMessageCounts();

  adapters::Metrics& metrics_;
  const core::Clock& clock_;
  const adapters::JsonLog& log_;
  MessageCounts messages_;
  std::mutex mutex_;
  // Guarded by mutex_. The values of messages_ at the last Export.
  std::map<std::string, std::uint64_t> exported_counts_;
};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_ENTRY_METRICS_H_
