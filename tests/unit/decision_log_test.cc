// DecisionLog: explain shows the recent decisions of a submission within bounded memory.
#include "adapters/decision_log.h"

#include <criterion/criterion.h>

#include <nlohmann/json.hpp>

namespace {

using nlohmann::json;
using zinniamux::adapters::DecisionLog;
using zinniamux::adapters::JsonLog;
using zinniamux::adapters::LogLevel;
using zinniamux::core::DecisionRecord;

DecisionRecord Placed(const std::string& id, std::uint32_t task) {
  return {.decision = DecisionRecord::Decision::kPlaced,
          .task = {id, task},
          .team = "orders",
          .executor_id = "executor-1",
          .candidates = {{"executor-1", 3, 0.5}, {"executor-2", 1, 0.25}},
          .reason = "most free slots"};
}

// A log that writes nothing to the test's output.
JsonLog QuietLog() { return JsonLog({.file = "/dev/null", .level = LogLevel::kError}); }

}  // namespace

// Guards against an explanation that lacks the executor, the candidates' figures or the reason.
Test(decision_log, explains_a_submission) {
  JsonLog log = QuietLog();
  DecisionLog decisions(log);
  decisions.Record(Placed("order-1", 0));
  decisions.Record(Placed("order-2", 0));
  decisions.Record(Placed("order-1", 1));
  const json answer = json::parse(decisions.Explain("order-1").value());
  cr_assert_eq(answer["decisions"].size(), 2U);
  const json& second = answer["decisions"][1];
  cr_assert(second["task"] == 1);
  cr_assert(second["decision"] == "placed");
  cr_assert(second["executor"] == "executor-1");
  cr_assert(second["reason"] == "most free slots");
  cr_assert(second["candidates"][1]["score"] == 0.25);
  cr_assert(!decisions.Explain("order-3").has_value());
}

// Guards against an index that grows without bound, by submissions or within one of them.
Test(decision_log, forgets_the_least_recent_decisions) {
  JsonLog log = QuietLog();
  DecisionLog decisions(log, {.max_bytes = 20'000});
  for (int i = 0; i < 1000; ++i) decisions.Record(Placed("order-" + std::to_string(i), 0));
  cr_assert(!decisions.Explain("order-0").has_value());
  cr_assert(decisions.Explain("order-999").has_value());
  for (std::uint32_t i = 0; i < 1000; ++i) decisions.Record(Placed("large", i));
  const json answer = json::parse(decisions.Explain("large").value());
  cr_assert_lt(answer["decisions"].size(), 100U);
  cr_assert(answer["decisions"].back()["task"] == 999);
  cr_assert_eq(answer["forgotten"].get<std::size_t>() + answer["decisions"].size(), 1000U);
}
