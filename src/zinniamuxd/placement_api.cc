// Decoding of the question, and the explanation as JSON.
#include "zinniamuxd/placement_api.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "adapters/caller_codec.h"
#include "core/error_kind.h"
#include "core/placement_explanation.h"

namespace zinniamux::daemon {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Bounds of a number in the query.
struct Range {
  std::int64_t lowest = 0;
  std::int64_t highest = 0;
  std::int64_t fallback = 0;
};
constexpr Range kTaskRange{.lowest = 1, .highest = 10'000, .fallback = 1};
constexpr Range kAmountRange{.lowest = 0, .highest = 1'000'000'000, .fallback = 0};
constexpr Range kDurationRange{.lowest = 0, .highest = 86'400'000, .fallback = 0};

struct InvalidQuery {
  std::string message;
};

std::int64_t ReadNumber(const std::string& query, const std::string& name, const Range& range) {
  const std::string text = adapters::QueryValue(query, name);
  if (text.empty()) return range.fallback;
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || value < range.lowest ||
      value > range.highest) {
    throw InvalidQuery{name + " is not a whole number from " + std::to_string(range.lowest) +
                       " to " + std::to_string(range.highest)};
  }
  return value;
}

core::JobRequest ReadJob(const std::string& query, const core::QueueRule& queue, bool is_urgent,
                         core::TimePoint now) {
  core::JobStep step;
  step.count = static_cast<std::uint32_t>(ReadNumber(query, "tasks", kTaskRange));
  step.need = {.cpu_milli = ReadNumber(query, "cpu_milli", kAmountRange),
               .memory_mb = ReadNumber(query, "memory_mb", kAmountRange),
               .gpus = ReadNumber(query, "gpus", kAmountRange)};
  step.estimate = milliseconds(ReadNumber(query, "estimate_ms", kDurationRange));
  step.required_label = adapters::QueryValue(query, "label");
  step.preferred_rack = adapters::QueryValue(query, "rack");
  step.max_per_executor =
      static_cast<std::uint32_t>(ReadNumber(query, "max_per_executor", {0, kTaskRange.highest, 0}));
  constexpr milliseconds kDefaultTimeout{60'000};
  const milliseconds timeout = queue.timeout > milliseconds(0) ? queue.timeout : kDefaultTimeout;
  return {.queue = queue.name,
          .service = queue.service,
          .steps = {step},
          .urgent = is_urgent,
          .attempts = queue.attempts,
          .stretch = queue.stretch,
          .slack = queue.slack,
          .arrived = now,
          .deadline = now + timeout};
}

json MillisecondsOf(const std::optional<core::Duration>& duration) {
  if (!duration) return nullptr;
  return std::chrono::duration<double, std::milli>(*duration).count();
}

json ToJson(const core::PlacementExplanation::Executor& executor) {
  return {{"agent", executor.agent_id},
          {"zone", executor.availability_zone},
          {"class", executor.is_close ? "close" : "other"},
          {"in_rack", executor.is_in_rack},
          {"verdict", executor.verdict},
          {"free_cpu_milli", executor.free.cpu_milli},
          {"cpu_milli", executor.capacity.cpu_milli},
          {"pace", executor.pace},
          {"score", executor.score},
          {"expected_wait_ms", MillisecondsOf(executor.expected_wait)},
          {"tasks", executor.tasks}};
}

adapters::HttpResponse ErrorResponse(core::ErrorKind kind, std::string message) {
  return adapters::ToHttp(core::Error{kind, std::move(message), {}});
}

}  // namespace

adapters::HttpResponse AnswerPlacement(const adapters::HttpRequest& request,
                                       const core::JobScheduler& scheduler,
                                       const core::QueueConfiguration* configuration,
                                       core::TimePoint now) {
  if (request.method != "GET") {
    return ErrorResponse(core::ErrorKind::kInvalidRequest, "only GET is supported");
  }
  if (configuration == nullptr) {
    return ErrorResponse(core::ErrorKind::kNotReady, "no configuration yet");
  }
  const std::string name = adapters::QueryValue(request.query, "queue");
  const auto& queues = configuration->queues;
  const auto queue =
      std::find_if(queues.begin(), queues.end(),
                   [&name](const core::QueueRule& each) { return each.name == name; });
  if (queue == queues.end()) {
    return ErrorResponse(core::ErrorKind::kNotFound, "no queue is named \"" + name + '"');
  }
  try {
    const core::PlacementExplanation explanation =
        scheduler.Explain(ReadJob(request.query, *queue, configuration->IsUrgent(*queue), now));
    json body{{"queue", name},
              {"service", queue->service},
              {"decision", explanation.decision},
              {"reason", NameOf(explanation.reason)},
              {"remedy", explanation.remedy},
              {"expected_wait_ms", MillisecondsOf(explanation.expected_wait)},
              {"start_limit_ms", MillisecondsOf(explanation.start_limit)},
              {"order_wait_limit_ms", MillisecondsOf(explanation.order_wait_limit)},
              {"tasks_with_room", explanation.tasks_with_room},
              {"trusts_close_views", scheduler.trusts_close_views()},
              {"trusts_other_views", scheduler.trusts_other_views()},
              {"executors", json::array()}};
    for (const auto& executor : explanation.executors) {
      body["executors"].push_back(ToJson(executor));
    }
    return {.body = body.dump(-1, ' ', false, json::error_handler_t::replace)};
  } catch (const InvalidQuery& error) {
    return ErrorResponse(core::ErrorKind::kInvalidRequest, error.message);
  }
}

}  // namespace zinniamux::daemon
