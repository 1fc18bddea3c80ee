// Rules, faults and times of the lease model.
#ifndef ZINNIAMUX_MODEL_OPTIONS_H_
#define ZINNIAMUX_MODEL_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/error_kind.h"
#include "core/run_end_budget.h"

namespace zinniamux::model {

// Protections of the core. Without one, the model behaves like the code before it.
enum class Rule : std::uint8_t {
  // Requests that were received before their connection was reset are not read.
  kDropUnread,
  // No lease outlasts the time by which runs of a dispatcher must have ended.
  kLeaseCap,
  // Silence counts from the input that a frame's sender had handled, not from the frame's reading.
  kHandledInput,
  // After an isolation, nothing is ordered for jobs from before it, and they are given up.
  kIsolation,
  // The fencing token rises with each lifetime of an executor.
  kFencing,
  // After a stall, nothing is ordered until the input is handled.
  kStallPause,
  // During an isolation, and after it until the jobs from before it are given up, frames say that
  // input was handled up to its begin.
  kIsolatedInput,
  // After a silence, nothing is ordered for a request from before its end until the closed
  // connection of its caller would have come.
  kHoldStale,
  // A supervisor whose connection a dispatcher refuses goes on naming its runs to it.
  kKeepOwner,
};
inline constexpr std::size_t kRuleCount = 9;

enum class Fault : std::uint8_t {
  kFreezeSupervisor,
  kFreezeDispatcher,
  // Dispatcher 0 is cut off from callers and supervisors.
  kCutDispatcher,
  // Calls to an executor are not carried out.
  kCutExecutor,
  // Calls to an executor are carried out, and their answers are lost.
  kLoseAnswers,
  // A start call gets no answer and may be carried out at any later time.
  kDelayStart,
  // An executor starts again under its id; its supervisor's next call reaches it.
  kRestartExecutor,
  kBreakCaller,
  // The request is sent while dispatcher 0 is cut off. It comes up to as long after the end of the
  // cut, and the closed connection with it, or after one loss at the latest.
  kHoldRequest,
  // Dispatcher 0 refuses the connection of a supervisor for a moment.
  kRefuseConnection,
  // A delayed start is carried out in a new lifetime before the supervisor's first call.
  kStartFirst,
  // After a cut that is too short for the dispatcher to notice an isolation, the closed connection
  // is late as well. A property of the cut; it is not counted. Without it, the closed connection
  // comes in the first step after such a cut.
  kLateClose,
  // A request whose caller has left, and whose closed connection a cut holds back, is first read
  // after an isolation. Not counted. Without it, such requests are dropped.
  kOldRequest,
};
inline constexpr std::size_t kFaultCount = 13;

std::string_view NameOf(Rule rule);
std::string_view NameOf(Fault fault);
std::optional<Rule> RuleOf(std::string_view name);
std::optional<Fault> FaultOf(std::string_view name);
// All names, with commas between them.
std::string RuleNames();
std::string FaultNames();

// A set of rules or faults.
template <typename Element>
class Choice {
 public:
  static Choice All() { return Choice(~0U); }
  static Choice None() { return Choice(0); }

  bool contains(Element element) const { return (bits_ & BitOf(element)) != 0; }
  void Add(Element element) { bits_ |= BitOf(element); }
  void Remove(Element element) { bits_ &= ~BitOf(element); }

 private:
  explicit Choice(std::uint32_t bits) : bits_(bits) {}
  static std::uint32_t BitOf(Element element) { return 1U << static_cast<unsigned>(element); }

  std::uint32_t bits_;
};

using Rules = Choice<Rule>;
using Faults = Choice<Fault>;

// The rules that the core keeps.
inline Rules CoreRules() { return Rules::All(); }

// Times are counted in steps.
using Steps = std::uint8_t;

inline constexpr std::chrono::milliseconds kStep{50};

// The limits of a budget in steps. Those that a step does not divide are rounded to the side on
// which a task is more likely to run twice.
struct Limits {
  // Fails if the budget needs other steps, or more of them than a state can count.
  static core::Result<Limits> For(const core::RunEndBudget::Deployment& deployment);

  Steps retransmit = 0;
  Steps silence = 0;
  Steps lease = 0;
  Steps run_end = 0;
  Steps stop_time = 0;
  Steps stop_limit = 0;
  // After this silence, a dispatcher takes the runs of a supervisor for ended. Its connection is
  // closed after `silence`.
  Steps lost_after = 0;
  Steps order_expiry = 0;
  Steps stall = 0;
  Steps isolation = 0;
  // How long a request that may be stale is held.
  Steps close = 0;
  // RunSupervisor::Options.
  Steps min_start_lease = 0;
  Steps start_answer = 0;
  Steps executor_silence = 0;
};

struct Options {
  Limits limits;
  Rules rules = CoreRules();
  Faults faults = Faults::All();
  // Each fault that begins counts; its end does not.
  std::uint8_t max_faults = 2;
};

}  // namespace zinniamux::model

#endif  // ZINNIAMUX_MODEL_OPTIONS_H_
