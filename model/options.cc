// Names of rules and faults, and the rounding of limits to steps.
#include "model/options.h"

#include <array>

#include "core/run_supervisor.h"

namespace zinniamux::model {

using core::RunEndBudget;
using std::chrono::milliseconds;

namespace {

constexpr std::array<std::string_view, kRuleCount> kRuleNames{
    "drop-unread", "lease-cap",      "handled-input", "isolation", "fencing",
    "stall-pause", "isolated-input", "hold-stale",    "keep-owner"};
constexpr std::array<std::string_view, kFaultCount> kFaultNames{
    "freeze-supervisor", "freeze-dispatcher", "cut-dispatcher",   "cut-executor",
    "lose-answers",      "delay-start",       "restart-executor", "break-connection",
    "hold-request",      "refuse-connection", "start-first",      "late-close",
    "old-request"};

template <typename Element, std::size_t kCount>
std::optional<Element> Find(const std::array<std::string_view, kCount>& names,
                            std::string_view name) {
  for (std::size_t i = 0; i < kCount; ++i) {
    if (names[i] == name) return static_cast<Element>(i);
  }
  return std::nullopt;
}

template <std::size_t kCount>
std::string Join(const std::array<std::string_view, kCount>& names) {
  std::string joined;
  for (const std::string_view name : names) {
    if (!joined.empty()) joined += ", ";
    joined += name;
  }
  return joined;
}

Steps Up(core::Duration time) {
  return static_cast<Steps>((time + kStep - core::Duration(1)) / kStep);
}

Steps Down(core::Duration time) { return static_cast<Steps>(time / kStep); }

core::Error Refusal(std::string message) {
  return {.kind = core::ErrorKind::kInvalidRequest, .message = std::move(message)};
}

}  // namespace

std::string_view NameOf(Rule rule) { return kRuleNames[static_cast<std::size_t>(rule)]; }
std::string_view NameOf(Fault fault) { return kFaultNames[static_cast<std::size_t>(fault)]; }
std::optional<Rule> RuleOf(std::string_view name) { return Find<Rule>(kRuleNames, name); }
std::optional<Fault> FaultOf(std::string_view name) { return Find<Fault>(kFaultNames, name); }
std::string RuleNames() { return Join(kRuleNames); }
std::string FaultNames() { return Join(kFaultNames); }

core::Result<Limits> Limits::For(const RunEndBudget::Deployment& deployment) {
  // Above, ages in steps do not fit in a byte.
  constexpr milliseconds kLongest{5000};
  if (deployment.retransmit > kLongest || deployment.stop_time > kLongest ||
      deployment.max_lease > kLongest) {
    return tl::unexpected(Refusal("times above 5000 ms are not modelled"));
  }
  if (deployment.stop_time <= milliseconds(0) || deployment.retransmit % kStep != milliseconds(0) ||
      deployment.stop_time % kStep != milliseconds(0)) {
    return tl::unexpected(
        Refusal("the times to send again and to stop have to be positive multiples of 50 ms"));
  }
  const auto budget = RunEndBudget::For(deployment);
  if (!budget) return tl::unexpected(budget.error());
  const core::RunSupervisor::Options supervisor;
  return Limits{.retransmit = Down(deployment.retransmit),
                .silence = Up(budget->silence()),
                .lease = Up(RunEndBudget::LongestLease(budget->lease())),
                .run_end = Up(budget->run_end()),
                .stop_time = Up(budget->stop_time()),
                .stop_limit = Up(budget->stop_limit()),
                .lost_after = Down(budget->silence() + budget->lost_after()),
                .order_expiry = Up(budget->order_expiry()),
                .stall = Up(budget->stall_limit()),
                .isolation = Up(budget->isolation_limit()),
                .close = Down(budget->close_limit()),
                .min_start_lease = Down(supervisor.min_start_lease),
                .start_answer = Up(supervisor.max_start_limit),
                .executor_silence = Up(supervisor.min_silence)};
}

}  // namespace zinniamux::model
